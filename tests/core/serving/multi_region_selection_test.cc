// Engine selection across regions: local engines are preferred until their queueing delay exceeds the network latency.
#include <map>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "src/core/serving/engine_selector.h"

namespace saltquay::serving {
namespace {

constexpr Time kNow{1s};

// Two zones in each of three regions: n1, n2 in "n", s1, s2 in "s", e1, e2 in "e".
class MultiRegionSelectionTest : public ::testing::Test {
 protected:
  static ServingParameters MakeParameters() {
    ServingParameters parameters;
    for (const char* region : {"n", "s", "e"}) {
      for (const char* number : {"1", "2"}) parameters.regions[std::string(region) + number] = region;
    }
    return parameters;
  }
  static EngineSelector SelectorIn(const std::string& zone) { return {MakeParameters(), zone, 7}; }

  // Adds `each` engines in every zone, named by zone and number.
  void AddEngines(EngineStage stage, int each) {
    for (const auto& [zone, region] : MakeParameters().regions) {
      for (int i = 0; i < each; ++i) {
        EngineRecord record;
        record.id = fmt::format("{}-{}-{}", zone, static_cast<int>(stage), i);
        record.service = "s";
        record.zone = zone;
        record.stage = stage;
        record.slots = 24;  // More than the tests use unless they set it.
        engines_.Update(record);
      }
    }
  }
  // Calls `change` for each engine of the region.
  template <typename Change>
  void ForRegion(const std::string& region, Change change) {
    engines_.ForEachPresent("s", [&](EngineState& engine) {
      if (engine.record.zone.starts_with(region)) change(engine);
    });
  }
  static std::string RegionOf(const EngineState& engine) { return engine.record.zone.substr(0, 1); }
  static PromptMetadata Prompt(const std::string& shared) {
    PromptMetadata prompt;
    prompt.tokens = 9000;
    prompt.parts = {{shared, 6000}, {"own", 3000}};
    return prompt;
  }
  EngineState* ChoosePrefill(EngineSelector& selector, const PromptMetadata& prompt) {
    return selector.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, prompt, {}, kNow);
  }

  EngineDirectory engines_{EjectionPolicy{}};
};

TEST_F(MultiRegionSelectionTest, ZonesOfARegionShareAHomeAndEachRegionHasItsOwn) {
  AddEngines(EngineStage::kPrefill, 3);
  for (int i = 0; i < 20; ++i) {
    const PromptMetadata prompt = Prompt(fmt::format("part-{}", i));
    std::map<std::string, std::set<std::string>> homes;
    for (const auto& [zone, region] : MakeParameters().regions) {
      EngineSelector selector = SelectorIn(zone);
      const EngineState* home = ChoosePrefill(selector, prompt);
      EXPECT_EQ(RegionOf(*home), region);
      homes[region].insert(home->record.id);
    }
    for (const auto& [region, ids] : homes) EXPECT_EQ(ids.size(), 1U) << region;
  }
}

// Guards against sending a request to a full engine in the KV cache's zone, where it preempts a stream, while an engine
// in the next zone is idle. Occurred with few slots per engine.
TEST_F(MultiRegionSelectionTest, AnIdleEngineInTheNextZoneIsPreferredToAFullOne) {
  AddEngines(EngineStage::kDecode, 1);
  EngineSelector selector = SelectorIn("n1");
  const auto fill = [&](int work) {
    engines_.ForEachPresent("s", [&](EngineState& engine) {
      engine.record.slots = 6;
      engine.outstanding = engine.record.zone == "n1" ? work : 0;
    });
  };
  fill(3);
  EXPECT_EQ(selector.ChooseDecodeEngine(engines_, "s", "n1", {}, kNow)->record.zone, "n1");
  fill(7);
  EXPECT_EQ(selector.ChooseDecodeEngine(engines_, "s", "n1", {}, kNow)->record.zone, "n2");
}

TEST_F(MultiRegionSelectionTest, PrefillLeavesTheRegionOnlyWhenItsQueueExceedsTheLatency) {
  AddEngines(EngineStage::kPrefill, 3);
  EngineSelector selector = SelectorIn("n1");
  const double latency_cost_ms =
      MakeParameters().rtt_weight * 2 * ToSeconds(MakeParameters().distances.between_regions) * 1000;
  const auto queue = [&](double ms) {
    ForRegion("n", [&](EngineState& engine) {
      engine.outstanding_prompt_tokens = static_cast<std::int64_t>(ms * selector.median_prefill_rate());
    });
  };
  queue(latency_cost_ms / 2);
  EXPECT_EQ(RegionOf(*ChoosePrefill(selector, Prompt("part"))), "n");
  // Whatever it costs to recompute the shared part there.
  queue(latency_cost_ms * 3 + 1000);
  EXPECT_NE(RegionOf(*ChoosePrefill(selector, Prompt("part"))), "n");
}

TEST_F(MultiRegionSelectionTest, PlainRequestsLeaveTheRegionOnlyWhenItsQueueExceedsTheLatency) {
  AddEngines(EngineStage::kUniform, 2);
  EngineSelector selector = SelectorIn("n1");
  const auto choose = [&] { return selector.ChooseUniformEngine(engines_, "s", {}, kNow); };
  EXPECT_EQ(choose()->record.zone, "n1");
  ForRegion("n1", [](EngineState& engine) { engine.outstanding = 4; });
  EXPECT_EQ(choose()->record.zone, "n2");
  ForRegion("n2", [](EngineState& engine) { engine.outstanding = 4; });
  EXPECT_EQ(RegionOf(*choose()), "n");
  ForRegion("n", [](EngineState& engine) { engine.outstanding = 60; });
  EXPECT_NE(RegionOf(*choose()), "n");
}

TEST_F(MultiRegionSelectionTest, DecodeIsPlacedNearTheKvCache) {
  AddEngines(EngineStage::kDecode, 2);
  EngineSelector selector = SelectorIn("n1");
  const auto choose = [&](const std::string& kv_zone) {
    return selector.ChooseDecodeEngine(engines_, "s", kv_zone, {}, kNow);
  };
  EXPECT_EQ(choose("n2")->record.zone, "n2");
  ForRegion("n2", [](EngineState& engine) { engine.outstanding = 8; });
  EXPECT_EQ(choose("n2")->record.zone, "n1");
  // A prompt processed in another region is decoded there: transferring the KV cache takes longer than sending the
  // response.
  EXPECT_EQ(RegionOf(*choose("s1")), "s");
}

TEST_F(MultiRegionSelectionTest, PartsAreCopiedFromTheNearestEngineThatCachesThem) {
  AddEngines(EngineStage::kPrefill, 1);
  EngineSelector selector = SelectorIn("n1");
  const PromptMetadata prompt = Prompt("part");
  const EngineState& prefill_engine = *engines_.Find("s1-1-0");
  selector.RecordPrefill(engines_.Find("e1-1-0")->key, prompt, kNow);
  EXPECT_EQ(selector.FindCopySource(engines_, prefill_engine, prompt, kNow)->record.id, "e1-1-0");
  selector.RecordPrefill(engines_.Find("n1-1-0")->key, prompt, kNow);
  selector.RecordPrefill(engines_.Find("s2-1-0")->key, prompt, kNow);
  EXPECT_EQ(selector.FindCopySource(engines_, prefill_engine, prompt, kNow)->record.id, "s2-1-0");
}

TEST_F(MultiRegionSelectionTest, ABurstIsPrefilledWhileHalfOfARegionsEnginesAreLost) {
  AddEngines(EngineStage::kPrefill, 4);
  EngineSelector selector = SelectorIn("n1");
  constexpr std::int64_t kMaxBacklogMs = 300;  // On any engine, while reachable engines are idle.
  int in_other_regions = 0;
  for (int i = 0; i < 200; ++i) {
    if (i == 50) engines_.Remove("n1-1-0");
    if (i == 100) {
      ForRegion("n1", [](EngineState& engine) { engine.ejected_until = kNow + 1s; });
    }
    PromptMetadata prompt;
    prompt.tokens = 900;
    prompt.parts = {{fmt::format("part-{}", i % 10), 600}, {"own", 300}};
    EngineState* prefill_engine = ChoosePrefill(selector, prompt);
    ASSERT_NE(prefill_engine, nullptr);
    EXPECT_FALSE(prefill_engine->IsOutOfService(kNow));
    prefill_engine->outstanding_prompt_tokens += selector.TokensToPrefill(prefill_engine->key, prompt, kNow);
    selector.RecordPrefill(prefill_engine->key, prompt, kNow);
    in_other_regions += RegionOf(*prefill_engine) == "n" ? 0 : 1;
    const double latency_cost_ms =
        MakeParameters().rtt_weight * 2 * ToSeconds(MakeParameters().distances.between_regions) * 1000;
    EXPECT_LT(static_cast<double>(prefill_engine->outstanding_prompt_tokens) / selector.median_prefill_rate(),
              latency_cost_ms + kMaxBacklogMs);
  }
  EXPECT_GT(in_other_regions, 0);
}

TEST_F(MultiRegionSelectionTest, OtherRegionsServeWhenTheLocalOneHasNoEngines) {
  AddEngines(EngineStage::kPrefill, 2);
  AddEngines(EngineStage::kDecode, 2);
  ForRegion("n", [](EngineState& engine) { engine.ejected_until = kNow + 1s; });
  EngineSelector selector = SelectorIn("n1");
  EXPECT_NE(RegionOf(*ChoosePrefill(selector, Prompt("part"))), "n");
  EXPECT_NE(RegionOf(*selector.ChooseDecodeEngine(engines_, "s", "s1", {}, kNow)), "n");
}

TEST_F(MultiRegionSelectionTest, AZoneWhoseLatencyGrowsTenfoldIsNoLongerChosen) {
  AddEngines(EngineStage::kUniform, 2);
  EngineSelector selector = SelectorIn("n1");
  ForRegion("n1", [](EngineState& engine) { engine.outstanding = 4; });
  EXPECT_EQ(selector.ChooseUniformEngine(engines_, "s", {}, kNow)->record.zone, "n2");
  for (int i = 0; i < 500; ++i) selector.topology().RecordRoundTrip("n2", 20ms);
  EXPECT_EQ(selector.ChooseUniformEngine(engines_, "s", {}, kNow)->record.zone, "n1");
}

}  // namespace
}  // namespace saltquay::serving
