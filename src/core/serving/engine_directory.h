// What this node believes of each engine: its record from the platform, the
// load that its answers told, what this node has under way there, and whether
// it may get work.
//
// Protocol. Records come from a watched collection; a record that is gone or
// leaving gets no new work. An engine that fails is taken out for a while
// (ejected) and comes back by itself, on trial: it gets a little work, then twice
// as much with each good answer, and one more failure takes it out again. Only a
// share of a service may be out at once. What all nodes saw of an engine ejects it as
// well, so that each need not be hurt by itself. A refusal for lack of room says nothing
// of health: the engine is left alone for some milliseconds (backed off). Beliefs
// are this node's own and are lost with its process.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/engine_key.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

enum class EngineStage { kUniform, kPrefill, kDecode };

struct EngineRecord {
  std::string id;
  // When its process started, in milliseconds since the epoch; 0: not told. With the id it names one life of the
  // engine.
  std::int64_t started_ms = 0;
  std::string service;
  std::string address;
  std::string zone;
  int slots = 1;
  bool leaving = false;
  EngineStage stage = EngineStage::kUniform;
  std::int64_t order_sequence = 0;
  bool spot = false;  // It costs less and may be taken away, with all others of its zone.

  bool operator==(const EngineRecord&) const = default;
};

// Outcomes of the last second or two, in two halves of which the older is dropped whole.
class RecentOutcomes {
 public:
  void Note(bool failed, Time now);
  // The counts up to now; the engine's key and work are left open.
  EngineWork Counts(Time now);

 private:
  struct Half {
    int answers = 0;
    int failures = 0;
  };
  void Turn(Time now);

  Time began_{};
  Half now_;
  Half before_;
};

// Load as an engine told it.
struct EngineLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

struct EngineState {
  EngineRecord record;
  EngineKey key;  // Of this life.
  bool gone = false;
  std::optional<Time> leaving_since;  // When this node learnt that it leaves.

  // This node's own work there.
  int outstanding = 0;
  std::int64_t outstanding_prompt_tokens = 0;

  // The last load told, and what this node had there at that time.
  EngineLoad told;
  Time load_reported_at{};
  int outstanding_at_load_report = 0;
  bool has_reported_load = false;

  // Other nodes' work there, from their reports.
  int peers_outstanding = 0;
  std::int64_t peers_prompt_tokens = 0;

  RecentOutcomes outcomes;  // Of this node's calls.
  double error_share = 0;   // Moving average over own answers.
  int answers = 0;
  int consecutive_failures = 0;
  Time ejected_until{};
  Duration ejection = 0s;  // Length of the last one.
  Duration backoff = 0s;   // Length of the last one; grows with each refusal in a row.
  Time backed_off_until{};
  int probation_limit = 0;  // Most of this node's requests there after an ejection; 0: no limit.
  Time last_heard{};        // Any answer.
  Time changing_until{};    // A stage change is under way.
  Time held_until{};        // A stage change is announced.

  // Whether it should get no new work now, for whatever cause.
  bool IsOutOfService(Time now) const {
    const bool trial_full = probation_limit > 0 && outstanding >= probation_limit;
    return trial_full || now < std::max({ejected_until, backed_off_until, changing_until, held_until});
  }
};

struct EjectionPolicy {
  int failures = 2;  // In a row.
  Duration first = 1s;
  Duration longest = 8s;
  double error_share = 0.3;  // Above the other engines' mean.
  int min_answers = 6;
  double smoothing = 0.15;
  // Most of a service's engines that may be out at once for their errors (one always
  // may): beyond it the errors are more likely the service's or its load's.
  double max_ejected_share = 0.34;
  // The same for engines that are silent or not reached; work sent there is lost.
  double max_unreachable_share = 0.8;
  // Outcomes of all nodes together eject an engine from so many on: all of them failures, or a share above the
  // other engines' as for one node's.
  int min_fleet_failures = 3;
  int min_fleet_outcomes = 8;
  // At least, for nodes must not judge by outcomes from before; spread, so that a few nodes try first.
  Duration min_fleet_ejection = 2s;
  int full_trust_limit = 16;  // An engine on trial is trusted again from this limit on.
  // After a refusal for lack of room; doubles up to the longest with each one in a row.
  Duration first_backoff = 20ms;
  Duration longest_backoff = 320ms;
};

// Why an engine's standing changed; goes into the log line.
struct HealthChange {
  std::string engine;
  bool ejected = false;
  std::string cause;
  Duration span = 0s;
  bool lost = false;  // It is silent or not reached, so what waits there may wait in vain.
};

class EngineDirectory {
 public:
  explicit EngineDirectory(const EjectionPolicy& policy) : policy_(policy) {}

  // Replaces the whole collection: engines not among `records` are gone.
  void Replace(const std::vector<EngineRecord>& records);
  // Returns whether the record changed.
  bool Update(const EngineRecord& record);
  void Remove(const std::string& id);
  // Forgets gone engines without work under way.
  void Sweep();

  EngineState* Find(const std::string& id);
  const std::map<std::string, EngineState>& all() const { return engines_; }
  // Grows whenever a record has changed, come or gone; pointers to engines hold until then.
  std::uint64_t generation() const { return generation_; }
  bool empty() const { return engines_.empty(); }

  // Calls `visit` for each engine that is not gone, of whatever service.
  void ForEachPresent(const std::function<void(EngineState&)>& visit);
  // Calls `visit` for each engine of the service that is neither gone nor leaving.
  void ForEachServing(const std::string& service, const std::function<void(EngineState&)>& visit);

  // The same, with those that are leaving: they get no work, but what they keep can be copied until they are gone.
  void ForEachPresent(const std::string& service, const std::function<void(EngineState&)>& visit);

  void RecordLoad(const std::string& id, const EngineLoad& load, Time now);
  // An answer of the engine's own; `failed`: an error of its own making.
  std::optional<HealthChange> RecordResponse(const std::string& id, bool failed, Time now);
  // The engine did not run a request because it had no room, or because the
  // request's time ran out in its queue.
  void RecordRejection(const std::string& id, Time now);
  // Another engine answers at its address: nothing goes there for long.
  std::optional<HealthChange> RecordWrongEngine(const std::string& id, Time now);
  // It refused the connection, fell silent, or broke an answer off.
  std::optional<HealthChange> RecordFailure(const std::string& id, const std::string& cause, Time now);
  // Judges engines by what all nodes saw of them lately; `peers`: the others' sums. `draw`: between 0 and 1.
  std::vector<HealthChange> EjectByFleetOutcomes(const std::map<EngineKey, EngineWork>& peers, double draw, Time now);

 private:
  std::optional<HealthChange> EjectOneByFleetOutcomes(EngineState& engine, const EngineWork& seen,
                                                      const EngineWork& service, double draw, Time now);
  // Ejects unless `most_out` of the service's engines are out already.
  std::optional<HealthChange> Eject(EngineState& engine, const std::string& cause, double most_out, Time now);
  // Ejects whatever else is out.
  std::optional<HealthChange> EjectUnconditionally(EngineState& engine, const std::string& cause, Time now);
  void NoteRecords();
  // A good answer of an engine on trial.
  void RaiseProbationLimit(EngineState& engine) const;
  double PeerEnginesErrorShare(const EngineState& engine);
  // Whether one more engine of the service may be taken out.
  bool MayEjectMore(const std::string& service, double most_out, Time now);

  // What is kept of a service, so that an answer or a failure need not look at all of its engines.
  struct ServiceStats {
    int serving = 0;                // Engines neither gone nor leaving.
    int answered = 0;               // Engines that have answered this node.
    double error_shares = 0;        // Their sum.
    std::vector<EngineState*> out;  // Taken out lately.

    // Counts the engine's answers, or no longer.
    void Count(const EngineState& engine, int sign);
  };
  ServiceStats& StatsOf(const std::string& service);

  EjectionPolicy policy_;
  std::map<std::string, EngineState> engines_;
  std::uint64_t generation_ = 0;
  std::map<std::string, ServiceStats> service_stats_;  // Empty: to be counted anew.
};

}  // namespace saltquay::serving
