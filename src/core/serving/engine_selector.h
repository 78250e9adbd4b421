// Chooses the engine of an attempt.
//
// An engine costs what waits there and the way to it, both in milliseconds: work
// stays near until the queue there is longer than the way to another zone or
// region. Uniform engines: the cheapest. Prompts are read at a home: the engines of
// the own region are ranked for a shared prompt part by rendezvous hashing, which
// every node of the region computes alike, so a part is kept by one engine of each
// region without any talk; another engine is taken when the home's backlog costs
// more than reading the part again. Memory is then used by the cheapest decode
// engine, of which the way to what holds the memory is a part.
//
// Of few engines the cheapest of all is taken; of many the cheapest of the homes,
// of those that keep the prompt's parts and of some drawn at random, so that a
// choice does not take longer the more engines there are (engine_index.h).
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "saltquay/admission/prefill_time_model.h"
#include "src/base/random.h"
#include "src/core/serving/engine_index.h"
#include "src/core/serving/events.h"
#include "src/core/serving/prompt_cache_index.h"
#include "src/core/serving/serving_parameters.h"

namespace saltquay::serving {

using EngineIds = std::set<std::string>;

// Engines, and what the peers have under way there.
struct EngineCount {
  int engines = 0;
  int peers_outstanding = 0;
};

// What other nodes have started since they told of their work, over all engines; a guess.
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
        reading_(parameters.reading),
        kept_(parameters.cached_part_lifetime) {}

  const Topology& topology() const { return topology_; }
  Topology& topology() { return topology_; }

  // Each returns nullptr where no engine can take the attempt. Engines in
  // `tried` are taken only when `tried` says nothing else is left, never twice.
  EngineState* ChooseUniformEngine(EngineDirectory& engines, const std::string& service, const EngineIds& tried,
                                   Time now);
  // The engine that reads the prompt: of stage kPrefill, or of kUniform where
  // the service's engines read and answer alike.
  EngineState* ChoosePrefillEngine(EngineDirectory& engines, const std::string& service, EngineStage stage,
                                   const PromptMetadata& prompt, const EngineIds& tried, Time now);
  // Whether any engine of the service reads prompts apart, those in `tried` aside.
  bool HasPrefillEngine(EngineDirectory& engines, const std::string& service, const EngineIds& tried);
  // Engines of the service and stage that may get work.
  EngineCount CountEngines(EngineDirectory& engines, const std::string& service, EngineStage stage, Time now);
  // Milliseconds to read the prompt where most of it is kept.
  double MinPrefillMs(EngineDirectory& engines, const std::string& service, const PromptMetadata& prompt, Time now);
  // The engine from which `reader` should copy what it lacks of the prompt's
  // shared parts: the one that is known to keep most, a near one of equals,
  // else the first home; nullptr where copying saves nothing.
  const EngineState* FindCopySource(EngineDirectory& engines, const EngineState& reader, const PromptMetadata& prompt,
                                    Time now);
  EngineState* ChooseDecodeEngine(EngineDirectory& engines, const std::string& service,
                                  const std::string& kv_cache_zone, const EngineIds& tried, Time now);

  // Notes that the engine reads the prompt: its shared parts are there then.
  void RecordPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) {
    kept_.RecordPrefill(engine, prompt, now);
  }
  // A peer's news of the same kind.
  void RecordCachedPart(const KeptPart& kept, Time now) { kept_.RecordCachedPart(kept, now); }
  // What this node noted by itself since `since`, for the peers.
  std::vector<KeptPart> CacheUpdatesSince(Time since) { return kept_.CacheUpdatesSince(since); }
  // Tokens that the engine would read of the prompt, as far as is known.
  int TokensToPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) const {
    return kept_.TokensToPrefill(engine, prompt, now);
  }
  // A prefill that was alone at its engine, as far as is known, took that long.
  void RecordPrefillTime(std::int64_t tokens, Duration time) { reading_.note(tokens, time); }

  // Work under way at the engine, of all nodes, as far as is known.
  double EstimatedLoad(const EngineState& engine, Time now) const;
  // Whether other nodes report their work; else it is guessed from told loads.
  void set_has_peer_reports(bool known) { has_peer_reports_ = known; }
  void set_unreported_work(const UnreportedWork& unseen) { unreported_work_ = unseen; }
  // Prompt tokens that an engine reads in a millisecond.
  double read_rate() const { return reading_.median_rate(); }
  const admission::PrefillTimeModel& reading() const { return reading_; }

 private:
  using Candidates = std::vector<IndexedEngine>;

  // Those in `candidates`, or all of the group where none of them can take the attempt now.
  template <typename Cost>
  EngineState* Cheapest(const EngineGroup& group, const Candidates& candidates, const EngineIds& tried, Time now,
                        Cost cost);
  template <typename Cost>
  EngineState* CheapestOf(const Candidates& candidates, const EngineIds& tried, Time now, Cost cost);
  // The group's engines if they are few, else some that are drawn, most of them near `zone`.
  const Candidates& CandidatesOf(const EngineGroup& group, std::size_t zone);
  // Engines of the stage that are known to keep parts of the prompt.
  void AddCachingEngines(const std::string& service, EngineStage stage, const PromptMetadata& prompt,
                         Candidates& candidates);
  EngineGroup& GroupOf(EngineDirectory& engines, const std::string& service, EngineStage stage);
  // The engine that is known to keep most of the prompt's shared parts; nullptr: none keeps any.
  const EngineState* FindCachingEngine(EngineDirectory& engines, const EngineState& reader,
                                       const PromptMetadata& prompt, Time now);
  // The first two homes of the part that decides where the prompt is read.
  HomeEngines FindHomeEngines(const EngineGroup& group, const PromptMetadata& prompt, Time now) const;
  double RoundTripMs(std::string_view first, std::string_view second) const;
  // Of each zone of the index: milliseconds of queueing that the way there is worth; that of the memory's way is added.
  std::vector<double> NetworkCosts(const std::string& kv_cache_zone = "") const;
  // Milliseconds that an answer waits at the engine, one of `engines`, for the others there.
  double DecodeCost(const EngineState& engine, std::size_t engines, Time now);
  // Between nothing and twice an engine's part of `unseen`, at random.
  double DrawUnreportedWork(double unseen, std::size_t engines);
  // Of each region, what reading a part once more is worth there beyond its usual weight. What is read once more in a
  // region that is idle takes time from nobody.
  std::vector<double> BacklogPressure(EngineGroup& group, Time now) const;
  // Milliseconds until the prompt is read there, the way aside; `lacking_ms`: what shared parts that the engine does
  // not keep cost there.
  double PrefillCost(const EngineState& engine, const PromptMetadata& prompt, double lacking_ms, Time now) const;
  // Milliseconds to read what the engine lacks of the prompt's shared parts.
  double UncachedPrefillMs(const EngineState& engine, const PromptMetadata& prompt, Time now) const;

  ServingParameters parameters_;
  Topology topology_;
  std::string zone_;
  Random random_;
  bool has_peer_reports_ = false;
  UnreportedWork unreported_work_;
  admission::PrefillTimeModel reading_;
  std::uint64_t turn_ = 0;
  PromptCacheIndex kept_;
  EngineIndex index_;
  Candidates drawn_;  // Kept for its memory.
};

}  // namespace saltquay::serving
