// Decides whether a request may be sent to an engine now.
//
// Every way to an engine (first attempts, prefills, KV handoffs, retries, hedges, resumed streams) needs an
// EngineAdmission, and only the gate creates them. Unlike an ejection, which is this node's own judgement, what the
// gate enforces was requested by the engine: it holds even if no other engine is left.
#pragma once

#include <optional>
#include <string>

#include "saltquay/limits/engine_permits.h"
#include "src/core/serving/engine_directory.h"

namespace saltquay::serving {

// An engine that has named a limit.
struct KnownEngineLimit {
  std::string engine_id;
  std::optional<Time> ended_at;  // When this node learnt that the engine names no limit any more.
};

// Permission to send one request to an engine, during the current event.
class EngineAdmission {
 public:
  EngineAdmission(const EngineAdmission&) = delete;
  EngineAdmission& operator=(const EngineAdmission&) = delete;
  EngineAdmission(EngineAdmission&&) = default;
  EngineAdmission& operator=(EngineAdmission&&) = default;
  ~EngineAdmission() = default;

  EngineState& engine() const { return *engine_; }

 private:
  friend class EngineGate;
  explicit EngineAdmission(EngineState& engine) : engine_(&engine) {}

  EngineState* engine_;
};

class EngineGate {
 public:
  // `permits` must outlive the gate.
  explicit EngineGate(limits::EnginePermits& permits) : permits_(permits) {}

  bool IsOpen(const EngineState& engine, Time now) const;
  // The earliest time at which it may be open; now if it is.
  Time OpensAt(const EngineState& engine, Time now) const;
  // Whether asking for a permit could open it.
  bool MayRequestPermit(const EngineState& engine, Time now) const;
  // Returns nullopt if the gate is closed. Uses up a permit if the engine has named a limit.
  std::optional<EngineAdmission> Admit(EngineState& engine, Time now);

 private:
  limits::EnginePermits& permits_;
};

}  // namespace saltquay::serving
