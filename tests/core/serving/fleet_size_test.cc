// What a node sends, receives and lists does not grow with the fleet: reports and digests at 100 to 2,000 nodes.
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/serving/digest_tree.h"
#include "src/core/serving/report_news.h"
#include "src/core/serving/serving_core.h"
#include "tests/support/fake_exchange_fleet.h"

namespace saltquay::serving {
namespace {

PeerReport ReportOf(int engines) {
  PeerReport report;
  report.node = "n1";
  for (int i = 0; i < engines; ++i) report.work.push_back({EngineKey(static_cast<std::uint64_t>(i) + 1), i % 7, 100});
  return report;
}

TEST(ReportNewsTest, WorkAndFailuresAreNewsAndTheDemandsNoiseIsNot) {
  PeerReport sent = ReportOf(2);
  sent.demand = {{"model", 2.0, 1.0}};
  sent.holds = {{"e1", 900ms}};
  PeerReport report = sent;
  ++report.sequence;
  report.demand[0].prefill_engines = 2.1;
  report.holds[0].left = 500ms;
  EXPECT_FALSE(HasNews(sent, report));
  report.demand[0].prefill_engines = 2.5;
  EXPECT_TRUE(HasNews(sent, report));
  report = sent;
  ++report.work[1].failures;
  EXPECT_TRUE(HasNews(sent, report));
  report = sent;
  report.kept = {{"e1", 5}};
  EXPECT_TRUE(HasNews(sent, report));
  EXPECT_FALSE(HasNews(report, sent));  // A cache update that is no longer repeated is not news.
  report = sent;
  report.stopping = true;
  EXPECT_TRUE(HasNews(sent, report));
}

TEST(ReportNewsTest, ALimitedDigestKeepsFailuresAndTheBusiestEngines) {
  PeerReport digest = ReportOf(1000);
  digest.work[3].failures = 2;
  LimitWork(digest, 200);
  ASSERT_EQ(digest.work.size(), 200U);
  std::set<EngineKey> kept;
  int least = 1000;
  for (const EngineWork& work : digest.work) {
    kept.insert(work.engine);
    if (work.failures == 0) least = std::min(least, work.outstanding);
  }
  EXPECT_TRUE(kept.contains(EngineKey(4)));
  EXPECT_GE(least, 5);
  EXPECT_LE(EstimateBytes(digest), 6'000U);
}

// Every receiver gets the digest once, and nobody sends more copies than allowed.
RC_GTEST_PROP(DigestTreeProperty, EachReceiverGetsOneCopy, ()) {
  const auto count = *rc::gen::inRange(0, 270);
  std::vector<PeerNode> receivers;
  for (int i = 0; i < count; ++i) {
    const std::string name = "n" + std::to_string(i);
    receivers.push_back({name, name, "a", *rc::gen::element(20, 200), false});
  }
  constexpr std::size_t kMaxCopies = 16;
  std::map<std::string, int> copies;
  std::size_t direct = 0;
  for (const FleetMessage& message : DistributeDigest(PeerReport{}, receivers, kMaxCopies, 7)) {
    for (const std::string& address : message.addresses) ++copies[address];
    direct += message.addresses.size();
    for (const std::string& address : message.report.forward_to) ++copies[address];
    RC_ASSERT(message.report.forward_to.size() <= kMaxCopies);
  }
  RC_ASSERT(direct <= kMaxCopies);
  RC_ASSERT(copies.size() == receivers.size());
  for (const auto& [address, received] : copies) RC_ASSERT(received == 1);
}

TEST(DigestTreeTest, NodesWithFastLinksForwardAndSendersDiffer) {
  std::vector<PeerNode> receivers;
  for (int i = 0; i < 100; ++i) {
    const std::string name = "n" + std::to_string(i);
    receivers.push_back({name, name, "a", i < 3 ? 200 : 20, false});
  }
  const auto first = DistributeDigest(PeerReport{}, receivers, 16, 1);
  const auto second = DistributeDigest(PeerReport{}, receivers, 16, 2);
  std::set<std::string> forwarders;
  for (const FleetMessage& message : first) forwarders.insert(message.addresses[0]);
  EXPECT_TRUE(forwarders.contains("n0") && forwarders.contains("n1") && forwarders.contains("n2"));
  std::size_t shared = 0;
  for (const FleetMessage& message : second) shared += forwarders.count(message.addresses[0]);
  EXPECT_LT(shared, forwarders.size());
}

TEST(FleetSizeTest, EnginesThatAreAddedTogetherTakeOneLogLine) {
  ServingCore core(ServingParameters{}, "a", 1);
  std::vector<Action> actions;
  for (int i = 0; i < 500; ++i) {
    EngineRecord record;
    record.id = "e" + std::to_string(i);
    core.OnEvent(Time{1s}, EngineChanged{record}, actions);
  }
  core.OnEvent(Time{1s}, EngineChangesApplied{}, actions);
  core.OnEvent(Time{1s}, EngineChangesApplied{}, actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<LogDecision>(actions[0]).details, R"("engines":500,"cause":"added")");
  EXPECT_EQ(core.engines().all().size(), 500U);
}

// The messages that the busiest node sends, and a node in the middle, in ten seconds without news.
std::pair<int, int> MessagesInTenSeconds(int nodes_per_zone) {
  FakeExchangeFleet fleet(5, nodes_per_zone, 1);
  fleet.Run(2s);
  std::vector<int> before(fleet.size());
  for (std::size_t node = 0; node < fleet.size(); ++node) before[node] = fleet.sent(node);
  fleet.Run(10s);
  std::vector<int> sent(fleet.size());
  for (std::size_t node = 0; node < fleet.size(); ++node) sent[node] = fleet.sent(node) - before[node];
  std::sort(sent.begin(), sent.end());
  return {sent.back(), sent[sent.size() / 2]};
}

TEST(FleetSizeTest, NobodysMessagesGrowWithTheFleet) {
  const auto [busiest_at_100, middle_at_100] = MessagesInTenSeconds(20);
  const auto [busiest_at_1000, middle_at_1000] = MessagesInTenSeconds(200);
  EXPECT_LE(busiest_at_1000, 2 * busiest_at_100);
  EXPECT_LE(middle_at_1000, 2 * middle_at_100);
}

TEST(FleetSizeTest, NewsIsAsFastAtTenTimesTheSize) {
  for (const int per_zone : {20, 200}) {
    FakeExchangeFleet fleet(5, per_zone, 1);
    fleet.Run(2s);
    fleet.set_work(fleet.size() - 1, 5);
    fleet.Run(820ms);
    for (std::size_t node = 0; node + 1 < fleet.size(); ++node) ASSERT_EQ(fleet.VisibleWork(node), 5) << per_zone;
  }
}

}  // namespace
}  // namespace saltquay::serving
