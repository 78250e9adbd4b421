// Totals of client demand, by service and by the region of the reporting nodes.
#pragma once

#include <compare>
#include <initializer_list>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

class DemandSum {
 public:
  DemandSum() = default;
  DemandSum(std::initializer_list<ServiceDemand> demands) {
    for (const ServiceDemand& demand : demands) Add(demand);
  }

  void Add(const ServiceDemand& demand);
  void Add(std::span<const ServiceDemand> demands) {
    for (const ServiceDemand& demand : demands) Add(demand);
  }
  // The service's total in that region, or in all regions if `region` is empty.
  ServiceDemand Of(const std::string& service, const std::string& region) const;
  std::map<std::string, ServiceDemand> ByService() const;
  // One entry per service and region.
  std::vector<ServiceDemand> All() const;

 private:
  struct Key {
    std::string service;
    std::string region;

    auto operator<=>(const Key&) const = default;
  };
  std::map<Key, ServiceDemand> sums_;
};

}  // namespace saltquay::serving
