// What this node believes of each engine: its record from the platform, the
// load that its answers told, what this node has under way there, and whether
// it may get work.
//
// Protocol. Records come from a watched collection; a record that is gone or
// leaving gets no new work. An engine that fails is taken out for a while
// (ejected) and comes back by itself, on probation: one more failure takes it
// out again. Beliefs are this node's own and are lost with its process.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/time.h"

namespace saltquay::serving {

enum class EngineStage { kUniform, kPrefill, kDecode };

struct EngineRecord {
  std::string id;  // One run of the engine's process.
  std::string service;
  std::string address;
  std::string zone;
  int slots = 1;
  bool leaving = false;
  EngineStage stage = EngineStage::kUniform;
  std::int64_t order_sequence = 0;

  bool operator==(const EngineRecord&) const = default;
};

// Load as an engine told it.
struct EngineLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

struct EngineState {
  EngineRecord record;
  bool gone = false;

  // This node's own work there.
  int outstanding = 0;
  std::int64_t outstanding_prompt_tokens = 0;

  // The last load told, and what this node had there at that time.
  EngineLoad told;
  Time told_at{};
  int outstanding_when_told = 0;
  bool ever_told = false;

  // Other nodes' work there, from their reports.
  int peers_outstanding = 0;
  std::int64_t peers_prompt_tokens = 0;

  double error_share = 0;  // Moving average over own answers.
  int answers = 0;
  int consecutive_failures = 0;
  Time ejected_until{};
  Duration ejection = 0s;  // Length of the last one.
  Time last_heard{};       // Any answer.
  Time changing_until{};   // A stage change is under way.
  Time held_until{};       // A stage change is announced.
};

struct EjectionPolicy {
  int failures = 2;  // In a row.
  Duration first = 1s;
  Duration longest = 8s;
  double error_share = 0.3;  // Above the other engines' mean.
  int min_answers = 6;
  double smoothing = 0.15;
};

// Why an engine's standing changed; goes into the log line.
struct StandingChange {
  std::string engine;
  bool ejected = false;
  std::string cause;
  Duration span = 0s;
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
  bool empty() const { return engines_.empty(); }

  // Calls `visit` for each engine of the service that is neither gone nor leaving.
  void ForEachServing(const std::string& service, const std::function<void(EngineState&)>& visit);

  void NoteLoad(const std::string& id, const EngineLoad& load, Time now);
  // An answer of the engine's own; `failed`: an error of its own making.
  std::optional<StandingChange> NoteAnswer(const std::string& id, bool failed, Time now);
  // Another engine answers at its address: nothing goes there for long.
  std::optional<StandingChange> NoteMisdirected(const std::string& id, Time now);
  // It refused the connection, fell silent, or broke an answer off.
  std::optional<StandingChange> NoteFailure(const std::string& id, const std::string& cause, Time now);

 private:
  std::optional<StandingChange> Eject(EngineState& engine, const std::string& cause, Time now);
  double OthersErrorShare(const EngineState& engine) const;

  EjectionPolicy policy_;
  std::map<std::string, EngineState> engines_;
};

}  // namespace saltquay::serving
