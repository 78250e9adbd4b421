#include "src/core/serving/serving_config.h"

namespace saltquay::serving {

const Route* ServingConfig::FindRoute(std::string_view host, std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

const Service* ServingConfig::FindService(std::string_view name) const {
  for (const Service& service : services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

}  // namespace saltquay::serving
