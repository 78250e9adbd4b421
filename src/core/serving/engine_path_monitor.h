// Engines that this node cannot connect to, although their records say that they serve.
//
// Protocol. A connection that is refused, or not accepted in time, only concerns the pair of this node and the engine:
// the engine may have ended, or the path between them may be broken. The engine is unreachable for this node until it
// accepts a connection or responds to a later request. Unreachable engines are probed a few at a time. As soon as one
// accepts, the others are probed at once, since a partition usually heals for all of them.
//
// A response that is interrupted or does not arrive is a suspicion: it is attributed to the engine only if the engine
// accepts a connection after that. Otherwise it says no more than that the engine is unreachable.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/time.h"

namespace saltquay::serving {

struct PathMonitorParameters {
  Duration first_probe_delay = 50ms;
  // From the end of a probe to the next one of that engine. A probe takes up to 300 ms, and this node has to use the
  // direct path again within half a second.
  Duration probe_interval = 150ms;
  std::size_t max_concurrent_probes = 4;
  // While engines are found to be reachable again.
  std::size_t max_recovery_probes = 16;
  Duration recovery_period = 500ms;
  // An engine is not checked again within this time.
  Duration min_check_interval = 500ms;
};

class EnginePathMonitor {
 public:
  explicit EnginePathMonitor(const PathMonitorParameters& parameters = {}) : parameters_(parameters) {}

  // Returns whether the engine was reachable until now.
  bool RecordUnreachable(const std::string& engine_id, Time now);
  // Returns whether the engine was unreachable until now.
  bool RecordReachable(const std::string& engine_id, Time now);
  // The engine no longer exists under this incarnation.
  void Forget(const std::string& engine_id) { unreachable_.erase(engine_id); }
  std::size_t unreachable_count() const { return unreachable_.size(); }

  // The unreachable engines that have to be probed now.
  std::vector<std::string> TakeDueProbes(Time now);
  std::optional<Time> next_deadline() const;
  void RecordProbeEnd(const std::string& engine_id, Time now);

  // A response of the engine failed for `cause`, a literal. Returns whether the engine has to be probed now.
  bool RecordSuspicion(const std::string& engine_id, std::string_view cause);
  // Removes and returns the causes of the suspicions against the engine.
  std::vector<std::string_view> TakeSuspicions(const std::string& engine_id);
  // Whether an engine from which nothing was heard may be checked by a probe now.
  bool TryStartCheck(const std::string& engine_id, Time now);

 private:
  struct Path {
    Time next_probe_at{};
    bool probing = false;
  };

  PathMonitorParameters parameters_;
  std::map<std::string, Path> unreachable_;
  std::map<std::string, std::vector<std::string_view>> suspicions_;
  std::map<std::string, Time> checked_at_;
  Time recovering_until_{};
};

}  // namespace saltquay::serving
