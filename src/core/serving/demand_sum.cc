#include "src/core/serving/demand_sum.h"

namespace saltquay::serving {

void DemandSum::Add(const ServiceDemand& demand) {
  ServiceDemand& sum = sums_[{demand.service, demand.region}];
  sum.service = demand.service;
  sum.region = demand.region;
  sum.Add(demand);
}

ServiceDemand DemandSum::Of(const std::string& service, const std::string& region) const {
  ServiceDemand sum{service};
  for (const auto& [key, demand] : sums_) {
    if (key.service == service && (region.empty() || key.region == region)) sum.Add(demand);
  }
  return sum;
}

std::map<std::string, ServiceDemand> DemandSum::ByService() const {
  std::map<std::string, ServiceDemand> by_service;
  for (const auto& [key, demand] : sums_) {
    by_service.try_emplace(key.service, ServiceDemand{key.service}).first->second.Add(demand);
  }
  return by_service;
}

std::vector<ServiceDemand> DemandSum::All() const {
  std::vector<ServiceDemand> all;
  all.reserve(sums_.size());
  for (const auto& [key, demand] : sums_) all.push_back(demand);
  return all;
}

}  // namespace saltquay::serving
