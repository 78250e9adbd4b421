// Chooses the engine for an attempt.
//
// The cost of an engine is its queueing delay plus the weighted network latency to it, both in milliseconds: requests
// stay local until the local queue costs more than the latency to another zone or region. For uniform engines the
// cheapest is chosen. For prefill, the engines of the node's own region are ranked for a shared prompt part by
// rendezvous hashing. Every node of the region computes the same ranking, so each region caches a part on one home
// engine without coordination. Another engine is chosen when the home engine's backlog costs more than recomputing the
// part. Decoding then goes to the cheapest decode engine, where the cost includes the latency to the engine that holds
// the KV cache.
//
// If there are few engines, all of them are compared. If there are many, only the home engines, the engines known to
// cache the prompt's parts and a random sample are compared, so that the time of a choice does not grow with the number
// of engines (engine_index.h).
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "saltquay/admission/prefill_time_model.h"
#include "src/base/random.h"
#include "src/core/serving/engine_gate.h"
#include "src/core/serving/engine_index.h"
#include "src/core/serving/events.h"
#include "src/core/serving/prompt_cache_index.h"
#include "src/core/serving/serving_parameters.h"

namespace saltquay::serving {

using EngineIds = std::set<std::string>;

// The engines that an attempt may be sent to. Refers to the values that it was made from.
class EngineFilter {
 public:
  EngineFilter() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): most attempts only exclude the engines that were tried.
  EngineFilter(const EngineIds& tried) : tried_(&tried) {}
  // `software_version`: the only one that may serve the attempt; nullopt: any.
  // `avoids_unknown`: engines whose software version is known come first.
  EngineFilter(const EngineIds& tried, const std::optional<std::string>& software_version, bool avoids_unknown = false)
      : tried_(&tried),
        software_version_(software_version ? &*software_version : nullptr),
        avoids_unknown_(avoids_unknown) {}

  bool Admits(const EngineState& engine, Time now) const {
    return HasVersion(engine, now) && (tried_ == nullptr || !tried_->contains(engine.record.id));
  }
  // Whether the engine is chosen only if no other can be.
  bool Avoids(const EngineState& engine, Time now) const { return avoids_unknown_ && engine.HasUnknownVersion(now); }

 private:
  bool HasVersion(const EngineState& engine, Time now) const {
    if (software_version_ == nullptr) return true;
    return !engine.HasUnknownVersion(now) && engine.record.software_version == *software_version_;
  }

  const EngineIds* tried_ = nullptr;
  const std::string* software_version_ = nullptr;
  bool avoids_unknown_ = false;
};

// Number of engines, and the peers' requests in flight on them.
struct EngineCount {
  int engines = 0;
  int peers_outstanding = 0;
};

// Estimated work that other nodes have started since their last reports, over all engines.
struct UnreportedWork {
  double prompt_tokens = 0;
  double requests = 0;
};

class EngineSelector {
 public:
  EngineSelector(const ServingParameters& parameters, const std::string& zone, std::uint64_t seed)
      : parameters_(parameters),
        topology_(zone, parameters.regions, parameters.distances),
        zone_(zone),
        random_(seed),
        prefill_time_model_(parameters.prefill_time_model),
        prompt_cache_(parameters.cached_part_lifetime) {}

  // Engines whose gate is closed are never chosen. `gate` must outlive the selector; without one, all are open.
  void set_gate(const EngineGate* gate) { gate_ = gate; }
  // Returns and clears the engines that would have been chosen since the last call, had this node held a permit.
  std::vector<EngineKey> TakeEnginesWithoutPermit() { return std::exchange(without_permit_, {}); }

  const Topology& topology() const { return topology_; }
  Topology& topology() { return topology_; }

  // Each of the following returns nullptr if no engine can take the attempt. Only engines that `filter` admits are
  // chosen.
  EngineState* ChooseUniformEngine(EngineDirectory& engines, const std::string& service, const EngineFilter& filter,
                                   Time now);
  // The engine for the prompt's prefill: of stage kPrefill, or of kUniform if the service's engines do both stages.
  EngineState* ChoosePrefillEngine(EngineDirectory& engines, const std::string& service, EngineStage stage,
                                   const PromptMetadata& prompt, const EngineFilter& filter, Time now);
  // The earliest time at which an engine of the service and stage that `filter` admits may receive a request; nullopt
  // if there is no such engine.
  std::optional<Time> OpensAt(EngineDirectory& engines, const std::string& service, EngineStage stage,
                              const EngineFilter& filter, Time now);
  // Whether the service has engines of the stage, and requests may be lost on the way to each of them.
  bool ReachesNone(EngineDirectory& engines, const std::string& service, EngineStage stage, Time now);
  // Engines of the service and stage that may receive requests.
  EngineCount CountEngines(EngineDirectory& engines, const std::string& service, EngineStage stage, Time now);
  // Prefill time in milliseconds on the engine that caches most of the prompt.
  double MinPrefillMs(EngineDirectory& engines, const std::string& service, const PromptMetadata& prompt, Time now);
  // The engine from which `prefill_engine` should copy the shared parts of the prompt that it lacks: the one known to
  // cache the most, the nearest among equals, otherwise the first home engine. Returns nullptr if copying saves
  // nothing.
  const EngineState* FindCopySource(EngineDirectory& engines, const EngineState& prefill_engine,
                                    const PromptMetadata& prompt, Time now);
  EngineState* ChooseDecodeEngine(EngineDirectory& engines, const std::string& service,
                                  const std::string& kv_cache_zone, const EngineFilter& filter, Time now);

  // Records that the engine processes the prompt and will cache its shared parts.
  void RecordPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) {
    prompt_cache_.RecordPrefill(engine, prompt, now);
  }
  // The same from a peer's report.
  void RecordCachedPart(const KeptPart& cached, Time now) { prompt_cache_.RecordCachedPart(cached, now); }
  // Cache updates recorded by this node since `since`, for reports to peers.
  std::vector<KeptPart> CacheUpdatesSince(Time since) { return prompt_cache_.CacheUpdatesSince(since); }
  // Estimated number of the prompt's tokens that the engine has to process.
  int TokensToPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) const {
    return prompt_cache_.TokensToPrefill(engine, prompt, now);
  }
  // Duration of a prefill that, as far as is known, ran alone on its engine.
  void RecordPrefillTime(std::int64_t tokens, Duration time) { prefill_time_model_.record_sample(tokens, time); }

  // Estimated requests in flight of all nodes on the engine.
  double EstimatedLoad(const EngineState& engine, Time now) const;
  // Whether other nodes report their work. If not, it is estimated from the load that engines report.
  void set_has_peer_reports(bool known) { has_peer_reports_ = known; }
  void set_unreported_work(const UnreportedWork& unreported) { unreported_work_ = unreported; }
  // Prompt tokens processed per millisecond.
  double median_prefill_rate() const { return prefill_time_model_.median_rate(); }
  const admission::PrefillTimeModel& prefill_time_model() const { return prefill_time_model_; }

 private:
  using Candidates = std::vector<IndexedEngine>;

  // Chooses from `candidates`, or from the whole group if none of them can take the attempt now.
  template <typename Cost>
  EngineState* Cheapest(const EngineGroup& group, const Candidates& candidates, const EngineFilter& filter, Time now,
                        Cost cost);
  bool IsOpen(const EngineState& engine, Time now) const { return gate_ == nullptr || gate_->IsOpen(engine, now); }
  template <typename Cost>
  EngineState* CheapestOf(const Candidates& candidates, const EngineFilter& filter, Time now, Cost cost);
  // All engines of the group if there are few, otherwise a random sample, mostly near `zone`.
  const Candidates& CandidatesOf(const EngineGroup& group, std::size_t zone);
  // Adds engines of the stage that are known to cache parts of the prompt.
  void AddCachingEngines(const std::string& service, EngineStage stage, const PromptMetadata& prompt,
                         Candidates& candidates);
  EngineGroup& GroupOf(EngineDirectory& engines, const std::string& service, EngineStage stage);
  // The engine known to cache most of the prompt's shared parts; nullptr if none caches any.
  const EngineState* FindCachingEngine(EngineDirectory& engines, const EngineState& prefill_engine,
                                       const PromptMetadata& prompt, Time now);
  // The home engines of the part that determines where the prompt is processed.
  HomeEngines FindHomeEngines(const EngineGroup& group, const PromptMetadata& prompt, Time now) const;
  double RoundTripMs(std::string_view first, std::string_view second) const;
  // By zone of the index: the network latency to it, in equivalent milliseconds of queueing, including the transfer of
  // the KV cache if `kv_cache_zone` is given.
  std::vector<double> NetworkCosts(const std::string& kv_cache_zone = "") const;
  // Milliseconds by which the engine's load delays a decode; `engines`: number of engines to choose from.
  double DecodeCost(const EngineState& engine, std::size_t engines, Time now);
  // A random value between 0 and twice one engine's share of `unreported`.
  double DrawUnreportedWork(double unreported, std::size_t engines);
  // By region: additional weight of recomputing a part while prefill work is queued there. In an idle region,
  // recomputing takes time from no other request.
  std::vector<double> BacklogPressure(EngineGroup& group, Time now) const;
  // Milliseconds until the prefill is complete, without network latency. `uncached_ms`: cost of the shared parts that
  // the engine does not cache.
  double PrefillCost(const EngineState& engine, const PromptMetadata& prompt, double uncached_ms, Time now) const;
  // Milliseconds to compute the shared parts of the prompt that the engine does not cache.
  double UncachedPrefillMs(const EngineState& engine, const PromptMetadata& prompt, Time now) const;

  ServingParameters parameters_;
  Topology topology_;
  std::string zone_;
  Random random_;
  bool has_peer_reports_ = false;
  UnreportedWork unreported_work_;
  admission::PrefillTimeModel prefill_time_model_;
  std::uint64_t next_round_robin_ = 0;
  PromptCacheIndex prompt_cache_;
  EngineIndex index_;
  const EngineGate* gate_ = nullptr;
  std::vector<EngineKey> without_permit_;
  Candidates sampled_;  // Member only to reuse its allocation.
};

}  // namespace saltquay::serving
