// Selection among many engines: as good as comparing all of them, at a cost that does not grow with their number.
#include <map>
#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "src/core/serving/engine_selector.h"

namespace saltquay::serving {
namespace {

constexpr Time kNow{1s};
constexpr int kEngineCount = 300;

class ManyEnginesTest : public ::testing::Test {
 protected:
  ManyEnginesTest() {
    for (int i = 0; i < kEngineCount; ++i) engines_.Update(Record(i, EngineStage::kPrefill));
    for (int i = 0; i < kEngineCount; ++i) engines_.Update(Record(i, EngineStage::kDecode));
  }
  static EngineRecord Record(int number, EngineStage stage) {
    EngineRecord record;
    record.id = fmt::format("{}{}", stage == EngineStage::kPrefill ? "p" : "d", number);
    record.service = "s";
    record.zone = number % 2 == 0 ? "a" : "b";
    record.stage = stage;
    return record;
  }
  static PromptMetadata Prompt(int shared) {
    PromptMetadata prompt;
    prompt.tokens = 9000;
    prompt.parts = {{fmt::format("part-{}", shared), 6000}, {"own", 3000}};
    return prompt;
  }
  EngineState* ChoosePrefill(const PromptMetadata& prompt, const EngineIds& tried = {}) {
    return selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, prompt, tried, kNow);
  }
  EngineState* ChooseDecode(const EngineIds& tried = {}) {
    return selector_.ChooseDecodeEngine(engines_, "s", "a", tried, kNow);
  }

  EngineDirectory engines_{EjectionPolicy{}};
  EngineSelector selector_{ServingParameters{}, "a", 7};
};

TEST_F(ManyEnginesTest, HomesAreSpreadEvenlyAndIdenticalOnAllNodes) {
  constexpr int kParts = 6000;
  EngineIndex index;
  const Topology topology("b", {}, TopologyParameters{});
  index.Refresh(engines_, topology);
  const EngineGroup& group = index.GroupOf("s", EngineStage::kPrefill);
  std::map<const EngineState*, int> parts;
  for (int i = 0; i < kParts; ++i) {
    const HomeEngines homes = group.FindHomeEngines(Prompt(i).parts[0].hash, 0, kNow);
    ASSERT_NE(homes.first, nullptr);
    ASSERT_NE(homes.second, nullptr);
    EXPECT_NE(homes.first, homes.second);
    ++parts[homes.first];
    if (i < 50) {
      selector_.RecordPrefill(homes.first->key, Prompt(i), kNow);
      EXPECT_EQ(ChoosePrefill(Prompt(i)), homes.first);
    }
  }
  for (const auto& [engine, count] : parts) EXPECT_LT(count, 2.5 * kParts / kEngineCount) << engine->record.id;
}

TEST_F(ManyEnginesTest, LosingAHomeMovesOnlyItsPartsToTheirSecondHome) {
  EngineIndex index;
  const Topology topology("a", {}, TopologyParameters{});
  index.Refresh(engines_, topology);
  std::map<int, HomeEngines> before;
  for (int i = 0; i < 500; ++i) {
    before[i] = index.GroupOf("s", EngineStage::kPrefill).FindHomeEngines(Prompt(i).parts[0].hash, 0, kNow);
  }
  const EngineState* lost = before[0].first;
  engines_.Find(lost->record.id)->ejected_until = kNow + 1s;
  for (const auto& [part, homes] : before) {
    const HomeEngines after =
        index.GroupOf("s", EngineStage::kPrefill).FindHomeEngines(Prompt(part).parts[0].hash, 0, kNow);
    EXPECT_EQ(after.first, homes.first == lost ? homes.second : homes.first);
  }
}

TEST_F(ManyEnginesTest, AnEngineThatCachesThePromptIsFoundAmongAll) {
  const PromptMetadata prompt = Prompt(1);
  EngineState* home = ChoosePrefill(prompt);
  home->outstanding_prompt_tokens = 400'000;  // Far too long to wait for.
  EngineState* caching_engine = engines_.Find("p17");
  selector_.RecordPrefill(caching_engine->key, prompt, kNow);
  EXPECT_EQ(selector_.FindCopySource(engines_, *home, prompt, kNow), caching_engine);
  EXPECT_DOUBLE_EQ(selector_.MinPrefillMs(engines_, "s", prompt, kNow), 3000 / selector_.median_prefill_rate());
}

TEST_F(ManyEnginesTest, AFreeEngineIsFoundInAnyZone) {
  engines_.ForEachPresent([](EngineState& engine) { engine.ejected_until = kNow + 1s; });
  engines_.Find("p201")->ejected_until = engines_.Find("d201")->ejected_until = Time{};
  EXPECT_EQ(ChoosePrefill(Prompt(1))->record.id, "p201");
  EXPECT_EQ(ChooseDecode()->record.id, "d201");
  EXPECT_FALSE(ChooseDecode({"d201"}) == nullptr);  // An ejected engine is better than none.
}

TEST_F(ManyEnginesTest, SampledEnginesShareABurst) {
  constexpr int kEach = 4;
  for (int i = 0; i < kEach * kEngineCount; ++i) ++ChooseDecode()->outstanding;
  int most = 0;
  for (const auto& [id, engine] : engines_.all()) most = std::max(most, engine.outstanding);
  EXPECT_LE(most, 3 * kEach);
}

TEST_F(ManyEnginesTest, AddedAndRemovedEnginesTakeEffectAtOnce) {
  const PromptMetadata prompt = Prompt(3);
  const std::string home = ChoosePrefill(prompt)->record.id;
  EngineRecord leaving = engines_.Find(home)->record;
  leaving.leaving = true;
  engines_.Update(leaving);
  EXPECT_NE(ChoosePrefill(prompt)->record.id, home);
  leaving.leaving = false;
  engines_.Update(leaving);
  EXPECT_EQ(ChoosePrefill(prompt)->record.id, home);
  engines_.Remove(home);
  EXPECT_NE(ChoosePrefill(prompt)->record.id, home);
}

TEST_F(ManyEnginesTest, CountsFollowWithinMilliseconds) {
  EXPECT_EQ(selector_.CountEngines(engines_, "s", EngineStage::kDecode, kNow).engines, kEngineCount);
  engines_.Find("d1")->ejected_until = kNow + 1s;
  EXPECT_EQ(selector_.CountEngines(engines_, "s", EngineStage::kDecode, kNow + 50ms).engines, kEngineCount - 1);
}

}  // namespace
}  // namespace saltquay::serving
