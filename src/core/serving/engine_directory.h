// This node's view of each engine: its record from the platform, its last reported load, this node's requests in
// flight, and whether it may receive requests.
//
// Protocol. Records come from a watched collection. An engine that was removed or is leaving receives no new requests.
// An engine that fails is ejected for a while and then returns on probation: the number of concurrent requests allowed
// doubles with each success, and one more failure ejects it again. Only a limited share of a service's engines may be
// ejected at once. Outcomes reported by all nodes also eject an engine, so that not every node has to see failures of
// its own. A rejection for lack of capacity does not count as a failure: the engine is only backed off for some
// milliseconds. This state is local to the node and not persisted.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "saltquay/limits/permit_messages.h"
#include "src/base/time.h"
#include "src/core/serving/engine_key.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

enum class EngineStage { kUniform, kPrefill, kDecode };

struct EngineRecord {
  std::string id;
  // Start time of the engine's process in milliseconds since the epoch; 0 if not reported. Together with the id it
  // identifies one incarnation of the engine.
  std::int64_t started_ms = 0;
  std::string service;
  std::string address;
  std::string zone;
  int slots = 1;
  bool leaving = false;
  EngineStage stage = EngineStage::kUniform;
  std::int64_t order_sequence = 0;
  std::string software_version;  // Empty if not reported.
  bool spot = false;  // A spot instance: cheaper, but it may be reclaimed together with all others of its zone.

  bool operator==(const EngineRecord&) const = default;
};

// Outcomes of the last one to two seconds, in two buckets; the older bucket is dropped as a whole.
class RecentOutcomes {
 public:
  void RecordOutcome(bool failed, Time now);
  // Returns the counts; the engine's key and work in flight are not set.
  EngineWork Counts(Time now);

 private:
  struct Bucket {
    int response_count = 0;
    int failures = 0;
  };
  void Rotate(Time now);

  Time bucket_started_{};
  Bucket current_;
  Bucket previous_;
};

// Load as reported by an engine.
struct EngineLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

struct EngineState {
  EngineRecord record;
  EngineKey key;  // Key of this incarnation.
  bool gone = false;
  bool stated_leaving = false;        // The engine itself stated it; holds until it starts again.
  std::optional<Time> leaving_since;  // When this node learned that the engine is leaving.

  // This node's own work in flight on the engine.
  int outstanding = 0;
  std::int64_t outstanding_prompt_tokens = 0;

  // The last reported load, and this node's requests in flight when it was received.
  EngineLoad reported_load;
  Time load_reported_at{};
  int outstanding_at_load_report = 0;
  bool has_reported_load = false;

  // Work in flight of other nodes, from their reports.
  int peers_outstanding = 0;
  std::int64_t peers_prompt_tokens = 0;
  int peers_responses = 0;  // Responses that other nodes received from it within the last one to two seconds.

  RecentOutcomes outcomes;  // Outcomes of this node's requests.
  double error_share = 0;   // Moving average over responses to this node.
  int response_count = 0;
  int consecutive_failures = 0;
  Time ejected_until{};
  Duration ejection = 0s;  // Duration of the last ejection.
  Duration backoff = 0s;   // Duration of the last backoff; doubles with each consecutive rejection.
  Time backed_off_until{};
  int probation_limit = 0;    // Maximum number of this node's concurrent requests during probation; 0: no limit.
  Time last_response_time{};  // Time of the last response of any kind.
  bool unreachable = false;   // This node cannot connect to it; see engine_path_monitor.h.
  Time unreachable_since{};
  Time reachable_since{};     // Since it was unreachable.
  Time listening_since{};     // The first connection that it accepted after its last response.
  Time path_checked_until{};  // A probe is under way, since this node cannot connect to a similar engine.
  Time changing_until{};      // While a stage change is in progress.
  Time held_until{};          // While a stage change is announced.
  Time record_changed_at{};   // When this node last received a change of its record.
  Time rests_until{};         // This node shall send nothing until then.
  // When its process started, as it told on a connection that was not served by the process that its record describes.
  // 0: it did not tell.
  std::optional<std::int64_t> process_started_ms;
  Time unidentified_at{};      // When it last accepted a connection and did not answer which process it is.
  Time identified_again_at{};  // If it did not tell: it is not asked until then.
  std::optional<limits::EngineLimit> rate_limit;  // As the engine last stated to any node; nullopt: none.
  Time limit_stated_at{};                         // Of that statement.

  // Whether the engine has stated something that holds although its record has disappeared.
  bool HasStatements() const { return stated_leaving || rate_limit.has_value() || rests_until != Time{}; }
  // Whether a request may be lost on the way to it.
  bool HasDoubtfulPath(Time now) const { return unreachable || now < path_checked_until; }
  // Whether its process is not the one that its record describes: a record tells a restart late, and with it the
  // software version.
  bool HasUnknownVersion(Time now) const {
    if (!process_started_ms || *process_started_ms == record.started_ms) return false;
    return *process_started_ms != 0 || now < identified_again_at;
  }
  // The process that has to be found running; nullopt: it cannot be told from others, or does not tell.
  std::optional<std::int64_t> ExpectedProcess(Time now);
  // It runs a process that started then, not the one of its record.
  void RecordOtherProcess(std::int64_t started_ms, Time now);
  // It accepted a connection and did not say which process it is.
  void RecordUnidentified(Time now);
  // Whether the engine should receive no new requests now, for any reason.
  bool IsOutOfService(Time now) const {
    const bool probation_full = probation_limit > 0 && outstanding >= probation_limit;
    return HasDoubtfulPath(now) || probation_full ||
           now < std::max({ejected_until, backed_off_until, changing_until, held_until, rests_until});
  }
};

struct EjectionPolicy {
  int failures = 2;  // Consecutive failures that eject an engine.
  Duration initial_ejection = 1s;
  Duration max_ejection = 8s;
  double error_share = 0.3;  // Above the mean of the service's other engines.
  int min_responses = 6;
  double smoothing = 0.15;
  // Maximum share of a service's engines that may be ejected for errors at once (one always may be). Beyond it, the
  // cause is more likely the service itself or its load.
  double max_ejected_share = 0.34;
  // The same for engines that are unresponsive or unreachable; requests sent there are lost.
  double max_unreachable_share = 0.8;
  // Outcomes over all nodes eject an engine from this many failures on if no request succeeded. Otherwise
  // `min_fleet_outcomes` outcomes are needed as well, with an error share above the other engines' as for one node's
  // responses.
  int min_fleet_failures = 3;
  int min_fleet_outcomes = 8;
  // Minimum ejection time, so that nodes do not judge by outcomes from before the ejection. Randomized, so that only a
  // few nodes try the engine first.
  Duration min_fleet_ejection = 2s;
  int full_trust_limit = 16;  // Probation ends when the request limit reaches this value.
  // Backoff after a rejection for lack of capacity; doubles with each consecutive rejection up to the maximum.
  Duration initial_backoff = 20ms;
  Duration max_backoff = 320ms;
};

// A change of an engine's health, for the log.
struct HealthChange {
  std::string engine;
  bool ejected = false;
  std::string cause;
  Duration span = 0s;
  // The engine is unresponsive or unreachable, so requests in flight there may never get a response.
  bool lost = false;
};

class EngineDirectory {
 public:
  explicit EngineDirectory(const EjectionPolicy& policy) : policy_(policy) {}

  // Replaces the whole collection: engines not in `records` are marked as removed.
  void Replace(const std::vector<EngineRecord>& records);
  // Returns whether the record changed.
  bool Update(EngineRecord record);
  void Remove(const std::string& id);
  // The engine itself stated that it is leaving, which holds until it starts again, whatever its record says.
  void RecordLeavingStatement(EngineState& engine);

  EngineState* Find(const std::string& id);
  // The engine's incarnation with that key; nullptr if it is not known or has been removed.
  EngineState* FindPresent(const EngineKey& key);
  const std::map<std::string, EngineState>& all() const { return engines_; }
  // Increases whenever a record is added, changed or removed; pointers to engines are valid until then.
  std::uint64_t generation() const { return generation_; }
  bool empty() const { return engines_.empty(); }

  // Calls `visit` for each engine that has not been removed, of any service.
  void ForEachPresent(const std::function<void(EngineState&)>& visit);
  // Calls `visit` for each engine of the service that is neither removed nor leaving.
  void ForEachServing(const std::string& service, const std::function<void(EngineState&)>& visit);

  // The same including leaving engines: they receive no requests, but their cached parts can be copied until they are
  // removed.
  void ForEachPresent(const std::string& service, const std::function<void(EngineState&)>& visit);

  // A request with that many prompt tokens to prefill was sent to the engine, or has ended.
  void BeginWork(EngineState& engine, std::int64_t prompt_tokens);
  void EndWork(EngineState& engine, std::int64_t prompt_tokens);
  // This node's work in flight and recent outcomes, of the engines that have any; by id.
  std::vector<EngineWork> LocalWork(Time now);
  // Replaces the work in flight of other nodes; engines that are not listed have none.
  void SetPeerWork(const std::map<EngineKey, EngineWork>& work);

  void RecordLoad(const std::string& id, const EngineLoad& load, Time now);
  // A response from the engine itself; `failed`: an error of its own.
  std::optional<HealthChange> RecordResponse(const std::string& id, bool failed, Time now);
  // The engine did not run a request because it had no capacity, or because the request's deadline passed in its queue.
  void RecordRejection(const std::string& id, Time now);
  // Another engine responds at this engine's address: it is ejected for the maximum time.
  std::optional<HealthChange> RecordWrongEngine(const std::string& id, Time now);
  // The engine refused the connection, did not respond, or aborted a response.
  std::optional<HealthChange> RecordFailure(const std::string& id, const std::string& cause, Time now);
  // Ejects engines by their recent outcomes on all nodes. `peers`: totals of the other nodes. `draw`: random, 0 to 1.
  std::vector<HealthChange> EjectByFleetOutcomes(const std::map<EngineKey, EngineWork>& peers, double draw, Time now);

 private:
  std::optional<HealthChange> EjectOneByFleetOutcomes(EngineState& engine, const EngineWork& totals,
                                                      const EngineWork& service, double draw, Time now);
  // Ejects the engine unless a share `max_share` of the service's engines is ejected already.
  std::optional<HealthChange> Eject(EngineState& engine, const std::string& cause, double max_share, Time now);
  // Ejects the engine regardless of how many others are ejected.
  std::optional<HealthChange> EjectUnconditionally(EngineState& engine, const std::string& cause, Time now);
  void OnRecordsChanged();
  // Drops the engine if it was removed, has no requests in flight and has stated nothing that holds until it starts
  // again; returns whether it did.
  bool DropIfDone(const std::string& id);
  // Bounds the number of removed engines that are kept.
  void DropOldestRemoved();
  // A successful response from an engine on probation.
  void RaiseProbationLimit(EngineState& engine) const;
  double PeerEnginesErrorShare(const EngineState& engine);
  // Whether one more engine of the service may be ejected.
  bool MayEjectMore(const std::string& service, double max_share, Time now);

  // Aggregates of a service, so that a response or a failure need not be processed by visiting all of its engines.
  struct ServiceStats {
    int serving = 0;                            // Engines neither removed nor leaving.
    int responding_engines = 0;                 // Engines that have responded to this node.
    double error_share_sum = 0;                 // Sum over these engines.
    std::vector<EngineState*> ejected_engines;  // Recently ejected engines.

    // Adds the engine's contribution if `sign` is 1, removes it if -1.
    void Count(const EngineState& engine, int sign);
  };
  ServiceStats& StatsOf(const std::string& service);

  EjectionPolicy policy_;
  std::map<std::string, EngineState> engines_;
  absl::flat_hash_map<std::uint64_t, EngineState*> by_key_;
  std::set<std::string> active_engines_;      // May have local work or outcomes; a superset.
  std::vector<EngineKey> peer_work_;          // Engines with work of other nodes.
  std::vector<std::string> removed_engines_;  // Removed but kept, oldest first.
  Time stats_recomputed_at_{};
  std::uint64_t generation_ = 0;
  std::map<std::string, ServiceStats> service_stats_;  // Recomputed on the next query when empty.
};

}  // namespace saltquay::serving
