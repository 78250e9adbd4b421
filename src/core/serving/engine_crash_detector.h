// Distinguishes an engine whose process crashed from one of which only a connection broke, or only this node's path.
//
// Protocol. The first response of an engine that is interrupted triggers a probe: one connection to its address. So
// does a connection that is refused although the engine has just responded. If the probe is refused, some peers are
// asked to probe the engine as well (see engine_checks.h). The process is taken to have crashed if at least two nodes
// besides this one find that the connection is refused, no node finds it accepted, and none of this node's other work
// there makes progress. A peer that cannot connect to any other engine either has no say: a partition looks the same to
// every node within it. In a fleet of two nodes, one peer suffices; a node without peers waits until the platform
// removes the engine's record or reports a later incarnation.
// Once a peer has reported the crash, a node whose own connection is refused needs no further confirmation.
//
// Anything that the engine sends, other than data already in flight, or an accepted connection clears it. A probe
// without result (network partition, unresponsive engine) proves nothing. An engine that announced its shutdown is not
// probed: its work was lost as planned.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/engine_key.h"

namespace saltquay::serving {

// The result of a connection attempt to an engine's address.
enum class EngineProbeOutcome {
  kRefused,   // No process is listening.
  kAccepted,  // A process is listening.
  kUnknown,   // Neither before the timeout. Of a peer's probe: or the peer could not say.
};

// An attempt whose response the engine interrupted.
struct InterruptedRun {
  std::string request_id;
  std::uint64_t fingerprint = 0;            // Of the request; 0 if unknown.
  std::vector<std::uint64_t> shared_parts;  // Fingerprints of the shared parts of its prompt.
  std::optional<Duration> response_age;     // Since the response head arrived; nullopt: it had not arrived.
};

// A crashed engine and this node's runs there.
struct CrashedEngine {
  std::string engine_id;
  EngineKey incarnation;  // The incarnation that crashed; another one may have started under the same id.
  Time alive_until{};     // When a response was interrupted, or the last one arrived.
  std::vector<InterruptedRun> runs;
};

class EngineCrashDetector {
 public:
  // Peers to ask about a suspected crash; some may not respond.
  static constexpr std::size_t kPeersAsked = 4;

  // A response of this incarnation was interrupted. Returns whether to probe the engine now.
  bool RecordBrokenResponse(const std::string& engine_id, EngineKey incarnation, InterruptedRun run, Time now);
  // A connection to this incarnation was refused. It has last responded at `last_response`. Returns whether to probe
  // the engine now.
  bool RecordRefusedConnection(const std::string& engine_id, EngineKey incarnation, Time last_response);
  // Returns whether to ask peers now.
  bool RecordProbeOutcome(const std::string& engine_id, EngineProbeOutcome outcome);
  void RecordPeersAsked(const std::string& engine_id, std::size_t count);
  // A peer's probe of that incarnation; nullopt: the peer did not respond. Call it once for each peer asked.
  void RecordPeerProbe(const std::string& engine_id, EngineKey incarnation, std::optional<EngineProbeOutcome> outcome);
  // A peer reported that this incarnation has crashed.
  void RecordReportedCrash(EngineKey incarnation);
  // The platform removed the engine's record, or it has restarted.
  void RecordRemoval(const std::string& engine_id);
  // Records may disappear although their engines run.
  void RecordStoreLost();
  // The engine responded to a request sent at `sent_at`, or sent more of a response at `now`.
  void RecordActivity(const std::string& engine_id, Time sent_at, Time now);
  // Removes and returns the engines that have crashed. `has_work`: whether this node has work in flight at an engine.
  template <typename HasWork>
  std::vector<CrashedEngine> TakeCrashed(HasWork has_work, Time now) {
    std::vector<CrashedEngine> crashed;
    for (auto& [id, suspect] : suspects_) {
      if (IsConfirmed(suspect) && !has_work(id))
        crashed.push_back({id, suspect.incarnation, suspect.since, std::move(suspect.runs)});
    }
    for (const CrashedEngine& engine : crashed) suspects_.erase(engine.engine_id);
    ForgetExpired(now);
    return crashed;
  }
  bool empty() const { return suspects_.empty(); }

 private:
  struct Suspect {
    EngineKey incarnation;
    Time since{};
    bool refused = false;   // This node's connection.
    bool removed = false;   // By the platform.
    bool reported = false;  // As crashed, by a peer.
    bool records_reliable = true;
    std::size_t peers_awaited = 0;  // Of those asked; all are awaited, since one that was accepted decides.
    std::size_t peers_responded = 0;
    std::size_t peers_refused = 0;  // Their connections were refused.
    std::vector<InterruptedRun> runs;
  };

  static bool IsConfirmed(const Suspect& suspect);
  void ForgetExpired(Time now);

  std::map<std::string, Suspect> suspects_;  // By engine.
};

}  // namespace saltquay::serving
