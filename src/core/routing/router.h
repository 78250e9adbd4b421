// Chooses the engine for a piece of work.
//
// The predicted policy scores each engine by the time the whole answer is
// expected to take: prompt tokens queued there, less those cached, over its
// rate, plus the output at its present step time. Scores are multiplied by a
// random factor of each node, so that nodes with equally stale reports do not
// all choose the same engine. Long prompts go to a prefill engine whose zone
// has a decode engine; short ones run whole on a decode engine where that is
// quicker. Round robin and least outstanding are baselines for experiments.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/core/bundle/bundle.h"
#include "src/core/context.h"
#include "src/core/routing/load_table.h"
#include "src/core/routing/prefix_index.h"

namespace saltquay {

// Work to be placed.
struct RouteRequest {
  const PoolDeclaration* pool = nullptr;
  std::vector<ModelVersionId> versions;  // That may serve it.
  std::uint32_t prompt_tokens = 0;
  const std::vector<BlockHash>* prompt_blocks = nullptr;
  std::uint32_t output_tokens = 0;
  bool allow_split = true;               // May go to a prefill engine.
  std::optional<ZoneId> decode_in_zone;  // Only decode engines of this zone: the KV cache is there.
  std::set<EngineId> avoid;              // Failed for this request already.
};

struct Route {
  EngineId engine;
  BootId boot;
  ModelVersionId version;
  AttemptMode mode = AttemptMode::kWhole;
  std::uint32_t cached_tokens = 0;
  Duration first_token{0};  // Predicted.
  Duration between_tokens{0};
};

// What one pass over a pool's engines tells about each of them.
struct RoutingScan {
  struct HomeEngine {
    EngineId engine;
    std::uint64_t rank = 0;
  };
  struct HomeKey {
    ZoneId zone;
    EngineRole role = EngineRole::kWhole;
    auto operator<=>(const HomeKey&) const = default;
  };

  std::vector<const EngineEntry*> usable;  // By ascending id.
  // Step time, with any wait for a slot, of each zone's best decode engine.
  std::map<ZoneId, double> decode_step_of_zone;
  // The engine that nodes agree on for a prefix none of them has seen.
  std::map<HomeKey, HomeEngine> homes;
};

RoutingScan ScanPool(const NodeContext& context, const LoadTable& table, const RouteRequest& request);

class Router {
 public:
  // Returns nullopt when no engine is usable.
  std::optional<Route> Choose(NodeContext& context, const LoadTable& table, const PrefixIndex& prefixes,
                              const RouteRequest& request);

 private:
  struct Candidate {
    Route route;
    double score = 0;
  };
  struct RoundRobinKey {
    std::string pool;
    std::optional<ZoneId> decode_zone;
    auto operator<=>(const RoundRobinKey&) const = default;
  };

  bool IsEligible(const RoutingScan& scan, const RouteRequest& request, const EngineEntry& entry,
                  bool short_prompt) const;
  Candidate Score(NodeContext& context, const LoadTable& table, const PrefixIndex& prefixes, const RoutingScan& scan,
                  const RouteRequest& request, const EngineEntry& entry) const;
  double BaselineScore(const NodeContext& context, const LoadTable& table, const RoutingScan& scan,
                       const RouteRequest& request, const EngineEntry& entry) const;

  std::map<RoundRobinKey, EngineId> round_robin_;
};

// Seconds that one decode step takes with `streams` streams.
double DecodeStepSeconds(const EngineProfile& profile, double streams);
// Prompt tokens a second that an engine of `role` takes.
double PrefillRate(const EngineProfile& profile, EngineRole role, double streams);

}  // namespace saltquay
