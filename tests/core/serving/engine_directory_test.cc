// The engine directory's indexes: lookups by key and the engines with work follow every change of the records.
#include "src/core/serving/engine_directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace saltquay::serving {
namespace {

constexpr Time kStart{100s};

EngineRecord MakeRecord(const std::string& id, std::int64_t started_ms = 0) {
  EngineRecord record;
  record.id = id;
  record.started_ms = started_ms;
  record.service = "model";
  return record;
}

TEST(EngineDirectoryTest, OnlyEnginesWithWorkOrRecentOutcomesAreReported) {
  EngineDirectory engines{EjectionPolicy{}};
  engines.Replace({MakeRecord("e1"), MakeRecord("e2"), MakeRecord("e3")});
  engines.BeginWork(*engines.Find("e2"), 700);
  engines.RecordFailure("e3", "connection failed", kStart);
  const std::vector<EngineWork> work = engines.LocalWork(kStart);
  ASSERT_EQ(work.size(), 2U);
  EXPECT_EQ(work[0].engine, EngineKey("e2"));
  EXPECT_EQ(work[0].outstanding, 1);
  EXPECT_EQ(work[0].prompt_tokens, 700);
  EXPECT_EQ(work[1].failures, 1);
  engines.EndWork(*engines.Find("e2"), 700);
  EXPECT_TRUE(engines.LocalWork(kStart + 5s).empty());
}

TEST(EngineDirectoryTest, PeerWorkOfEnginesThatAreNoLongerListedIsCleared) {
  EngineDirectory engines{EjectionPolicy{}};
  engines.Replace({MakeRecord("e1"), MakeRecord("e2")});
  engines.SetPeerWork(
      {{EngineKey("e1"), {EngineKey("e1"), 3, 900}}, {EngineKey("unknown"), {EngineKey("unknown"), 1}}});
  EXPECT_EQ(engines.Find("e1")->peers_outstanding, 3);
  EXPECT_EQ(engines.Find("e1")->peers_prompt_tokens, 900);
  engines.SetPeerWork({{EngineKey("e2"), {EngineKey("e2"), 2, 50}}});
  EXPECT_EQ(engines.Find("e1")->peers_outstanding, 0);
  EXPECT_EQ(engines.Find("e1")->peers_prompt_tokens, 0);
  EXPECT_EQ(engines.Find("e2")->peers_outstanding, 2);
}

TEST(EngineDirectoryTest, ARemovedEngineIsKeptOnlyWhileItHasWork) {
  EngineDirectory engines{EjectionPolicy{}};
  engines.Replace({MakeRecord("e1"), MakeRecord("e2"), MakeRecord("e3")});
  engines.BeginWork(*engines.Find("e1"), 0);
  engines.Remove("e1");
  engines.Remove("e2");
  ASSERT_NE(engines.Find("e1"), nullptr);
  EXPECT_EQ(engines.FindPresent("e1"), nullptr);
  EXPECT_EQ(engines.Find("e2"), nullptr);
  engines.EndWork(*engines.Find("e1"), 0);
  engines.Remove("e3");
  EXPECT_EQ(engines.Find("e1"), nullptr);
}

TEST(EngineDirectoryTest, TheKeyOfAnEarlierIncarnationNamesNoEngine) {
  EngineDirectory engines{EjectionPolicy{}};
  engines.Update(MakeRecord("e1", 1000));
  const EngineKey earlier = engines.Find("e1")->key;
  engines.Update(MakeRecord("e1", 2000));
  EXPECT_EQ(engines.FindPresent(earlier), nullptr);
  EXPECT_EQ(engines.FindPresent(engines.Find("e1")->key), engines.Find("e1"));
}

// Applies a random change of the records or of the work in flight.
void ApplyRandomChange(EngineDirectory& engines) {
  const std::string id(1, *rc::gen::inRange('a', 'f'));
  EngineState* engine = engines.Find(id);
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      engines.Update(MakeRecord(id, *rc::gen::inRange(1, 4)));
      break;
    case 1:
      engines.Remove(id);
      break;
    case 2:
      engines.Replace({MakeRecord(id, *rc::gen::inRange(1, 4)), MakeRecord("a", 5)});
      break;
    case 3:
      if (engine != nullptr) engines.BeginWork(*engine, 10);
      break;
    default:
      if (engine != nullptr && engine->outstanding > 0) engines.EndWork(*engine, 10);
  }
}

RC_GTEST_PROP(EngineDirectoryProperty, IndexesAgreeWithTheRecords, ()) {
  EngineDirectory engines{EjectionPolicy{}};
  for (int step = 0; step < 60; ++step) {
    ApplyRandomChange(engines);
    std::size_t with_work = 0;
    for (const auto& [id, engine] : engines.all()) {
      RC_ASSERT(engines.FindPresent(engine.key) == (engine.gone ? nullptr : &engine));
      if (engine.outstanding > 0) ++with_work;
    }
    RC_ASSERT(engines.LocalWork(kStart).size() == with_work);
  }
}

}  // namespace
}  // namespace saltquay::serving
