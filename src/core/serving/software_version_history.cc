#include "src/core/serving/software_version_history.h"

namespace saltquay::serving {

void SoftwareVersionHistory::Refresh(const EngineDirectory& engines, Time now) {
  // What was present until this change was seen until now.
  for (auto& [service, versions] : present_) {
    for (auto& [version, seen] : versions) services_[service][version] = now;
  }
  if (generation_ == engines.generation()) return;
  generation_ = engines.generation();
  present_.clear();
  for (const auto& [id, engine] : engines.all()) {
    if (engine.gone) continue;
    present_[engine.record.service][engine.record.software_version] = now;
    services_[engine.record.service][engine.record.software_version] = now;
  }
}

std::vector<std::string> SoftwareVersionHistory::SeenWithin(const std::string& service, Duration time, Time now) const {
  std::vector<std::string> seen_versions;
  const auto versions = services_.find(service);
  if (versions == services_.end()) return seen_versions;
  for (const auto& [version, seen] : versions->second) {
    if (seen >= now - time) seen_versions.push_back(version);
  }
  return seen_versions;
}

std::optional<std::string> SoftwareVersionHistory::OnlyVersionWithin(const std::string& service, Duration time,
                                                                     Time now) const {
  if (!known_since_ || *known_since_ > now - time) return std::nullopt;
  const std::vector<std::string> seen = SeenWithin(service, time, now);
  return seen.size() == 1 ? std::optional(seen.front()) : std::nullopt;
}

}  // namespace saltquay::serving
