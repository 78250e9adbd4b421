// Engine health and ejection, retry budget share, choice of prefill and decode engines, peer reports.
#include <cmath>
#include <functional>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/serving/engine_selector.h"
#include "src/core/serving/peer_table.h"
#include "src/core/serving/retry_budget_share.h"

namespace saltquay::serving {
namespace {

EngineRecord Record(const std::string& id, EngineStage stage, const std::string& zone = "a") {
  EngineRecord record;
  record.id = id;
  record.service = "s";
  record.zone = zone;
  record.stage = stage;
  return record;
}

TEST(ServingConfigTest, TheLongestPrefixOfTheHostWins) {
  ServingConfig config;
  for (const char* prefix : {"/a/", "/a/b/", "/c/"}) {
    Route route;
    route.host = "h";
    route.path_prefix = prefix;
    config.routes.push_back(route);
  }
  EXPECT_EQ(config.FindRoute("h", "/a/b/c")->path_prefix, "/a/b/");
  EXPECT_EQ(config.FindRoute("h", "/a/x")->path_prefix, "/a/");
  EXPECT_EQ(config.FindRoute("h", "/ab/"), nullptr);
  EXPECT_EQ(config.FindRoute("other", "/a/"), nullptr);
}

TEST(EngineDirectoryTest, ConsecutiveFailuresEjectAndOneFailureOnProbationEjectsAgain) {
  EngineDirectory engines{EjectionPolicy{}};
  engines.Update(Record("e", EngineStage::kUniform));
  Time now{1s};
  EXPECT_FALSE(engines.RecordFailure("e", "x", now));
  const auto first = engines.RecordFailure("e", "x", now);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->span, 1s);
  now += 1100ms;
  const auto second = engines.RecordFailure("e", "x", now);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->span, 2s);
}

TEST(EngineDirectoryTest, ErrorsEjectOnlyEnginesWorseThanTheOthers) {
  EngineDirectory engines{EjectionPolicy{}};
  for (const char* id : {"a", "b", "c"}) engines.Update(Record(id, EngineStage::kUniform));
  bool ejected = false;
  for (int i = 0; i < 40; ++i) {
    for (const char* id : {"a", "b", "c"})
      ejected = ejected || engines.RecordResponse(id, i % 2 == 0, Time{1s}).has_value();
  }
  EXPECT_FALSE(ejected);  // All engines fail equally: ejecting one would not help.
  for (int i = 0; i < 40 && !ejected; ++i) {
    engines.RecordResponse("a", false, Time{1s});
    engines.RecordResponse("b", false, Time{1s});
    ejected = engines.RecordResponse("c", true, Time{1s}).has_value();
  }
  EXPECT_TRUE(ejected);
}

std::map<EngineKey, EngineWork> OutcomesOf(const std::string& engine, int responses, int failures) {
  EngineWork work;
  work.engine = engine;
  work.response_count = responses;
  work.failures = failures;
  return {{work.engine, work}};
}

TEST(EngineDirectoryTest, OutcomesOfAllNodesEjectWithoutALocalFailure) {
  // On 295 nodes, each of 20 unresponsive engines would otherwise have to fail a request on every node.
  EngineDirectory engines{EjectionPolicy{}};
  for (const char* id : {"a", "b", "c", "d"}) engines.Update(Record(id, EngineStage::kDecode));
  EXPECT_TRUE(engines.EjectByFleetOutcomes(OutcomesOf("a", 0, 2), 0.5, Time{1s}).empty());
  EXPECT_TRUE(engines.EjectByFleetOutcomes(OutcomesOf("a", 1, 3), 0.5, Time{1s}).empty());  // It responds to some node.
  const auto changes = engines.EjectByFleetOutcomes(OutcomesOf("a", 0, 3), 0.5, Time{1s});
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].engine, "a");
  EXPECT_TRUE(engines.Find("a")->IsOutOfService(Time{3900ms}));
  EXPECT_FALSE(engines.Find("a")->IsOutOfService(Time{4100ms}));
  EXPECT_TRUE(engines.EjectByFleetOutcomes(OutcomesOf("a", 0, 9), 0.5, Time{2s}).empty());  // It is ejected already.
}

TEST(EngineDirectoryTest, ErrorsOnAllNodesEjectOnlyEnginesWorseThanTheOthers) {
  EngineDirectory engines{EjectionPolicy{}};
  std::map<EngineKey, EngineWork> equal_outcomes;
  for (const char* id : {"a", "b", "c", "d"}) {
    engines.Update(Record(id, EngineStage::kDecode));
    equal_outcomes.merge(OutcomesOf(id, 10, 10));
  }
  EXPECT_TRUE(engines.EjectByFleetOutcomes(equal_outcomes, 0, Time{1s}).empty());
  equal_outcomes["b"].response_count = equal_outcomes["c"].response_count = equal_outcomes["d"].response_count = 60;
  const auto changes = engines.EjectByFleetOutcomes(equal_outcomes, 0, Time{1s});
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].engine, "a");
}

TEST(EngineDirectoryTest, OutcomesExpireAfterTwoSeconds) {
  RecentOutcomes outcomes;
  outcomes.RecordOutcome(true, Time{10s});
  outcomes.RecordOutcome(false, Time{10s});
  EXPECT_EQ(outcomes.Counts(Time{10900ms}).failures, 1);
  EXPECT_EQ(outcomes.Counts(Time{11500ms}).response_count, 1);
  EXPECT_EQ(outcomes.Counts(Time{12600ms}).failures, 0);
}

TEST(RetryBudgetShareTest, ANodeWithoutKnownPeersGetsNoShareOfTheSlack) {
  RetryBudgetShare budget_share(RetryBudgetBounds{0.2, 10s, 630, 0.8});
  EXPECT_FALSE(budget_share.TryTake("s", Time{1s}));
  budget_share.set_nodes(295, Time{1s});
  EXPECT_TRUE(budget_share.TryTake("s", Time{1s}));
  EXPECT_FALSE(budget_share.TryTake("s", Time{1s}));
}

// The share of a lost node is not redistributed while the node may only be disconnected and still spend it.
TEST(RetryBudgetShareTest, LostNodesKeepTheirShareForTheRetainedWindows) {
  RetryBudgetShare budget_share(RetryBudgetBounds{0, 10s, 630, 0.8, 3});
  budget_share.set_nodes(295, Time{1s});
  budget_share.set_nodes(100, Time{3s});
  EXPECT_LT(budget_share.Remaining("s", Time{9s}), 2);
  budget_share.set_nodes(100, Time{30s});
  EXPECT_LT(budget_share.Remaining("s", Time{30s}), 2);
  budget_share.set_nodes(100, Time{32s});
  EXPECT_GT(budget_share.Remaining("s", Time{32s}), 4);
}

TEST(RetryBudgetShareTest, ARestartedProcessGetsNoShareOfTheSlackForAWindow) {
  RetryBudgetShare budget_share(RetryBudgetBounds{0.5, 10s, 54, 1.0});
  budget_share.BeginAfterRestart(Time{1s});
  budget_share.set_nodes(1, Time{1s});
  EXPECT_FALSE(budget_share.TryTake("s", Time{2s}));
  for (int i = 0; i < 2; ++i) budget_share.RecordRequest("s", Time{2s});
  EXPECT_TRUE(budget_share.TryTake("s", Time{2s}));
  EXPECT_FALSE(budget_share.TryTake("s", Time{10s}));
  EXPECT_TRUE(budget_share.TryTake("s", Time{11s}));
}

RC_GTEST_PROP(RetryBudgetShareProperty, AllNodesTogetherStayWithinTheBudget, ()) {
  const int nodes = *rc::gen::inRange(1, 12);
  const RetryBudgetBounds bounds{0.2, 10s, 54, 0.8};
  std::vector<RetryBudgetShare> budget_shares(static_cast<std::size_t>(nodes), RetryBudgetShare(bounds));
  for (RetryBudgetShare& budget_share : budget_shares) budget_share.set_nodes(nodes, Time{1s});
  int requests = 0;
  int extra_arrivals = 0;
  const int events = *rc::gen::inRange(0, 400);
  for (int i = 0; i < events; ++i) {
    RetryBudgetShare& budget_share = budget_shares[static_cast<std::size_t>(*rc::gen::inRange(0, nodes))];
    if (*rc::gen::inRange(0, 3) == 0) {
      budget_share.RecordRequest("s", Time{1s});
      ++requests;
    } else if (budget_share.TryTake("s", Time{1s})) {
      ++extra_arrivals;
    }
  }
  RC_ASSERT(extra_arrivals <= bounds.ratio * requests + bounds.slack);
}

TEST(RetryBudgetShareTest, RetriesOlderThanTheWindowExpire) {
  RetryBudgetShare budget_share(RetryBudgetBounds{0, 10s, 10, 1.0});
  budget_share.set_nodes(1, Time{1s});
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(budget_share.TryTake("s", Time{1s}));
  EXPECT_FALSE(budget_share.TryTake("s", Time{5s}));
  EXPECT_TRUE(budget_share.TryTake("s", Time{12s}));
}

class SelectorTest : public ::testing::Test {
 protected:
  static PromptMetadata Prompt(const std::string& part) {
    PromptMetadata prompt;
    prompt.tokens = 17000;
    prompt.parts = {{part, 13000}, {"own", 4000}};
    return prompt;
  }
  EngineDirectory engines_{EjectionPolicy{}};
  EngineSelector selector_{ServingParameters{}, "a", 1};
  EngineSelector other_node_{ServingParameters{}, "a", 99};
};

TEST_F(SelectorTest, NodesAgreeOnHomesAndRemovingAnEngineMovesOnlyItsParts) {
  for (int i = 0; i < 5; ++i) engines_.Update(Record("p" + std::to_string(i), EngineStage::kPrefill));
  std::map<std::string, std::string> homes;
  for (int part = 0; part < 60; ++part) {
    const std::string name = "part" + std::to_string(part);
    EngineState* home = selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt(name), {}, Time{1s});
    EXPECT_EQ(home, other_node_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt(name), {}, Time{1s}));
    homes[name] = home->record.id;
  }
  engines_.Remove("p3");
  for (const auto& [part, home] : homes) {
    if (home == "p3") continue;
    EXPECT_EQ(
        selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt(part), {}, Time{1s})->record.id,
        home);
  }
}

TEST_F(SelectorTest, ABacklogThatCostsMoreThanRecomputingMovesThePrompt) {
  for (int i = 0; i < 3; ++i) engines_.Update(Record("p" + std::to_string(i), EngineStage::kPrefill));
  EngineState* home = selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt("x"), {}, Time{1s});
  selector_.RecordPrefill(home->record.id, Prompt("x"), Time{1s});
  home->outstanding_prompt_tokens = 10000;
  EXPECT_EQ(selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt("x"), {}, Time{1s}), home);
  home->outstanding_prompt_tokens = 60000;
  EXPECT_NE(selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt("x"), {}, Time{1s}), home);
}

TEST_F(SelectorTest, CacheUpdatesFromPeersTellWhichEngineCachesAPart) {
  for (int i = 0; i < 3; ++i) engines_.Update(Record("p" + std::to_string(i), EngineStage::kPrefill));
  const EngineState* home =
      selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt("x"), {}, Time{1s});
  const std::string caching_engine = home->record.id == "p0" ? "p1" : "p0";
  other_node_.RecordPrefill(caching_engine, Prompt("x"), Time{1s});
  const std::vector<KeptPart> updates = other_node_.CacheUpdatesSince(Time{0s});
  ASSERT_EQ(updates.size(), 1U);
  selector_.RecordCachedPart(updates[0], Time{1s});
  EXPECT_EQ(selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt("x"), {}, Time{2s})->record.id,
            caching_engine);
  EXPECT_EQ(selector_.TokensToPrefill(caching_engine, Prompt("x"), Time{2s}), 4000);
  // Expired: no longer assumed to be cached.
  EXPECT_EQ(selector_.TokensToPrefill(caching_engine, Prompt("x"), Time{60s}), 17000);
  EXPECT_TRUE(other_node_.CacheUpdatesSince(Time{5s}).empty());
}

TEST_F(SelectorTest, PartsAreCopiedFromTheEngineThatCachesMostOrElseTheHome) {
  // Found on fcl-norte-grown: non-home engines recomputed 13,300 shared tokens.
  for (int i = 0; i < 3; ++i) engines_.Update(Record("p" + std::to_string(i), EngineStage::kPrefill));
  EngineState* home = selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt("x"), {}, Time{1s});
  EXPECT_EQ(selector_.FindCopySource(engines_, *home, Prompt("x"), Time{1s}), nullptr);
  home->outstanding_prompt_tokens = 60000;
  EngineState* other = selector_.ChoosePrefillEngine(engines_, "s", EngineStage::kPrefill, Prompt("x"), {}, Time{1s});
  ASSERT_NE(other, home);
  EXPECT_EQ(selector_.FindCopySource(engines_, *other, Prompt("x"), Time{1s}), home);
  engines_.Update(Record("d", EngineStage::kDecode));
  selector_.RecordPrefill("d", Prompt("x"), Time{1s});
  EXPECT_EQ(selector_.FindCopySource(engines_, *other, Prompt("x"), Time{1s}), engines_.Find("d"));
  selector_.RecordPrefill(other->record.id, Prompt("x"), Time{1s});
  EXPECT_EQ(selector_.FindCopySource(engines_, *other, Prompt("x"), Time{1s}), nullptr);
}

TEST_F(SelectorTest, EjectedEnginesAreNoCopySource) {
  for (int i = 0; i < 2; ++i) engines_.Update(Record("p" + std::to_string(i), EngineStage::kPrefill));
  selector_.RecordPrefill("p0", Prompt("x"), Time{1s});
  EXPECT_EQ(selector_.FindCopySource(engines_, *engines_.Find("p1"), Prompt("x"), Time{1s}), engines_.Find("p0"));
  engines_.Find("p0")->ejected_until = Time{9s};
  EXPECT_EQ(selector_.FindCopySource(engines_, *engines_.Find("p1"), Prompt("x"), Time{1s}), nullptr);
}

TEST_F(SelectorTest, PartsCachedOnlyByALeavingEngineAreCopiedUntilItIsRemoved) {
  for (int i = 0; i < 3; ++i) engines_.Update(Record("p" + std::to_string(i), EngineStage::kPrefill));
  selector_.RecordPrefill("p0", Prompt("x"), Time{1s});
  EngineRecord leaving = engines_.Find("p0")->record;
  leaving.leaving = true;
  engines_.Update(leaving);
  engines_.Find("p0")->leaving_since = Time{1s};
  EXPECT_EQ(selector_.FindCopySource(engines_, *engines_.Find("p1"), Prompt("x"), Time{1s}), engines_.Find("p0"));
  EXPECT_NE(selector_.FindCopySource(engines_, *engines_.Find("p1"), Prompt("x"), Time{3s}), engines_.Find("p0"));
  selector_.RecordPrefill("p2", Prompt("x"), Time{1s});
  EXPECT_EQ(selector_.FindCopySource(engines_, *engines_.Find("p1"), Prompt("x"), Time{1s}), engines_.Find("p2"));
  engines_.Remove("p0");
  EXPECT_NE(selector_.FindCopySource(engines_, *engines_.Find("p1"), Prompt("x"), Time{1s}), engines_.Find("p0"));
}

TEST_F(SelectorTest, EjectedEnginesAreTheLastResort) {
  engines_.Update(Record("d1", EngineStage::kDecode));
  engines_.Update(Record("d2", EngineStage::kDecode));
  engines_.Find("d1")->ejected_until = Time{9s};
  engines_.Find("d2")->outstanding = 50;
  EXPECT_EQ(selector_.ChooseDecodeEngine(engines_, "s", "", {}, Time{1s})->record.id, "d2");
  engines_.Remove("d2");
  engines_.Find("d2")->gone = true;
  EXPECT_EQ(selector_.ChooseDecodeEngine(engines_, "s", "", {}, Time{1s})->record.id, "d1");
}

// One hundred nodes with the same information choose before they receive each other's reports.
std::map<std::string, int> ChooseConcurrently(
    const UnreportedWork& unreported, const std::function<EngineState*(EngineSelector&, EngineDirectory&)>& choose) {
  std::map<std::string, int> chosen;
  for (std::uint64_t node = 0; node < 100; ++node) {
    EngineDirectory engines{EjectionPolicy{}};
    for (int i = 0; i < 10; ++i) {
      const std::string id = std::to_string(i);
      engines.Update(Record("d" + id, EngineStage::kDecode));
      engines.Find("d" + id)->peers_outstanding = i == 3 ? 0 : 2;
      engines.Update(Record("p" + id, EngineStage::kPrefill));
      engines.Find("p" + id)->peers_prompt_tokens = i == 3 ? 0 : 200000;
    }
    EngineSelector selector(ServingParameters{}, "a", node);
    selector.set_has_peer_reports(true);
    selector.set_unreported_work(unreported);
    ++chosen[choose(selector, engines)->record.id];
  }
  return chosen;
}

TEST(SelectorHerdTest, UnreportedWorkSpreadsNodesOverTheEngines) {
  const auto choose_decode = [](EngineSelector& selector, EngineDirectory& engines) {
    return selector.ChooseDecodeEngine(engines, "s", "", {}, Time{1s});
  };
  EXPECT_EQ(ChooseConcurrently({}, choose_decode)["d3"], 100);  // All choose the idle engine.
  const auto chosen_engines = ChooseConcurrently({0, 100}, choose_decode);
  for (const auto& [engine, count] : chosen_engines) EXPECT_LE(count, 45) << engine;
  EXPECT_GE(chosen_engines.size(), 8U);
  EXPECT_GT(chosen_engines.at("d3"), 10);  // Still the most likely choice.
}

TEST(SelectorHerdTest, PromptsThatLeaveTheirHomesAreSpreadOverEngines) {
  const auto choose_prefill = [](EngineSelector& selector, EngineDirectory& engines) {
    PromptMetadata prompt;
    prompt.tokens = 17000;
    prompt.parts = {{"part", 500}, {"own", 16500}};  // Little to recompute elsewhere.
    return selector.ChoosePrefillEngine(engines, "s", EngineStage::kPrefill, prompt, {}, Time{1s});
  };
  EXPECT_EQ(ChooseConcurrently({}, choose_prefill)["p3"], 100);
  const auto chosen_engines = ChooseConcurrently({4000000, 0}, choose_prefill);
  for (const auto& [engine, count] : chosen_engines) EXPECT_LE(count, 60) << engine;
  EXPECT_GE(chosen_engines.size(), 3U);
}

TEST(PeerTableTest, AReportMentionsABoundedNumberOfPeersRoundRobin) {
  // At 300 nodes, reports that mention all peers would be 20 kB each, over links of 10 Mbit/s.
  PeerTable peers("me");
  for (int i = 0; i < 100; ++i) {
    PeerReport report;
    report.node = "n" + std::to_string(i);
    report.sequence = 1;
    peers.RecordReport(report, Time{1s});
  }
  std::set<std::string> named;
  for (int i = 0; i < 5; ++i) {
    const std::vector<PeerNode> next = peers.NextPeersToMention(24, Time{1s});
    EXPECT_EQ(next.size(), 24U);
    for (const PeerNode& peer : next) named.insert(peer.node);
  }
  EXPECT_EQ(named.size(), 100U);
  EXPECT_EQ(peers.NextPeersToMention(200, Time{1s}).size(), 100U);
}

TEST(PeerTableTest, NewerReportsReplaceOlderOnesAndUnresponsiveNodesExpire) {
  PeerTable peers("me");
  PeerReport report;
  report.node = "other";
  report.boot = 1;
  report.sequence = 5;
  report.work = {{"e", 3, 1000}};
  report.peers = {{"third", "1.2.3.4:5", "a", 0, false}};
  EXPECT_TRUE(peers.RecordReport(report, Time{1s}));
  report.sequence = 4;
  EXPECT_FALSE(peers.RecordReport(report, Time{1s}));
  report.boot = 2;
  report.sequence = 1;
  report.work = {{"e", 1, 10}};
  EXPECT_TRUE(peers.RecordReport(report, Time{2s}));
  EXPECT_EQ(peers.WorkByEngine()["e"].outstanding, 1);
  EXPECT_EQ(peers.Nodes().size(), 2U);
  EXPECT_EQ(peers.Count(), 2);
  peers.Expire(Time{20s});
  EXPECT_EQ(peers.Count(), 1);
  EXPECT_TRUE(peers.Nodes().empty());
}

}  // namespace
}  // namespace saltquay::serving
