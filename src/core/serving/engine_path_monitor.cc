#include "src/core/serving/engine_path_monitor.h"

#include <algorithm>

namespace saltquay::serving {
namespace {

// Further suspicions against an engine change nothing: this many eject it.
constexpr std::size_t kMaxSuspicions = 4;

}  // namespace

bool EnginePathMonitor::RecordUnreachable(const std::string& engine_id, Time now) {
  return unreachable_.try_emplace(engine_id, Path{now + parameters_.first_probe_delay, false}).second;
}

bool EnginePathMonitor::RecordReachable(const std::string& engine_id, Time now) {
  if (unreachable_.erase(engine_id) == 0) return false;
  recovering_until_ = now + parameters_.recovery_period;
  for (auto& [id, path] : unreachable_) path.next_probe_at = std::min(path.next_probe_at, now);
  return true;
}

std::vector<std::string> EnginePathMonitor::TakeDueProbes(Time now) {
  const std::size_t limit =
      now < recovering_until_ ? parameters_.max_recovery_probes : parameters_.max_concurrent_probes;
  auto probing = static_cast<std::size_t>(
      std::count_if(unreachable_.begin(), unreachable_.end(), [](const auto& entry) { return entry.second.probing; }));
  std::vector<std::pair<Time, std::string>> due;
  for (const auto& [id, path] : unreachable_) {
    if (!path.probing && path.next_probe_at <= now) due.emplace_back(path.next_probe_at, id);
  }
  std::sort(due.begin(), due.end());  // Those that have waited longest first.
  std::vector<std::string> chosen;
  for (const auto& [since, id] : due) {
    if (probing + chosen.size() >= limit) break;
    unreachable_[id].probing = true;
    chosen.push_back(id);
  }
  return chosen;
}

std::optional<Time> EnginePathMonitor::next_deadline() const {
  std::optional<Time> next;
  std::size_t probing = 0;
  for (const auto& [id, path] : unreachable_) {
    if (path.probing) {
      ++probing;
    } else {
      next = std::min(next.value_or(path.next_probe_at), path.next_probe_at);
    }
  }
  // Otherwise the end of a probe makes room for the next one.
  return probing < parameters_.max_concurrent_probes ? next : std::nullopt;
}

void EnginePathMonitor::RecordProbeEnd(const std::string& engine_id, Time now) {
  const auto path = unreachable_.find(engine_id);
  if (path != unreachable_.end()) path->second = {now + parameters_.probe_interval, false};
}

bool EnginePathMonitor::RecordSuspicion(const std::string& engine_id, std::string_view cause) {
  std::vector<std::string_view>& causes = suspicions_[engine_id];
  const bool is_first = causes.empty();
  if (causes.size() < kMaxSuspicions) causes.push_back(cause);
  return is_first;
}

std::vector<std::string_view> EnginePathMonitor::TakeSuspicions(const std::string& engine_id) {
  const auto entry = suspicions_.extract(engine_id);
  return entry.empty() ? std::vector<std::string_view>{} : entry.mapped();
}

bool EnginePathMonitor::TryStartCheck(const std::string& engine_id, Time now) {
  std::erase_if(checked_at_, [&](const auto& entry) { return now - entry.second >= parameters_.min_check_interval; });
  return !unreachable_.contains(engine_id) && checked_at_.emplace(engine_id, now).second;
}

}  // namespace saltquay::serving
