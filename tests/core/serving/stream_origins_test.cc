// Which software version began a stream: what nodes tell and ask each other.
#include "src/core/serving/stream_origins.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/base/random.h"
#include "src/core/serving/software_version_history.h"

namespace saltquay::serving {
namespace {

constexpr StreamKey kStream = 77;
constexpr Duration kLifetime = 15s;

constexpr Time At(Duration since_start) { return Time{since_start}; }

// Nodes that exchange messages without delay; messages to nodes that are down are lost.
class OriginFleet {
 public:
  explicit OriginFleet(int nodes) {
    for (int i = 0; i < nodes; ++i) {
      nodes_.emplace_back(StreamOriginParameters{});
      peers_.push_back({"n" + std::to_string(i), Address(i), "zone-" + std::to_string(i % 3)});
      nodes_.back().set_address(Address(i));
    }
    for (int i = 0; i < nodes; ++i) SetPeers(i, {});
  }
  static std::string Address(int node) { return "10.0.0.1:" + std::to_string(node); }
  StreamOrigins& at(int node) { return nodes_[node]; }
  void SetPeers(int node, const std::set<int>& without, Time now = At(0s)) {
    std::vector<PeerNode> peers;
    for (int i = 0; i < static_cast<int>(peers_.size()); ++i) {
      if (i != node && !without.contains(i)) peers.push_back(peers_[i]);
    }
    nodes_[node].set_peers(peers, now);
  }
  void Kill(int node) { down_.insert(node); }
  void set_only_version(const std::string& version) { only_version_ = version; }
  void set_several_versions() { several_versions_ = true; }

  void Deliver(Time now) {
    for (bool delivered = true; delivered;) {
      delivered = false;
      for (int from = 0; from < static_cast<int>(nodes_.size()); ++from) {
        for (const AddressedStreamMessage& message : nodes_[from].TakeMessages()) {
          delivered = true;
          if (!down_.contains(from)) DeliverOne(message, now);
        }
      }
    }
  }
  // Lets the node ask and returns the answer, or nullopt if there is none in time.
  std::optional<StreamAnswer> Ask(int node, StreamKey stream, Time now) {
    nodes_[node].Ask(stream, "s", kLifetime, now);
    for (const Time end = now + 1s; now < end; now += 10ms) {
      Deliver(now);
      nodes_[node].Step(now);
      std::vector<StreamAnswer> answers = nodes_[node].TakeAnswers();
      if (!answers.empty()) return answers.front();
    }
    return std::nullopt;
  }

 private:
  void DeliverOne(const AddressedStreamMessage& message, Time now) {
    for (int to = 0; to < static_cast<int>(nodes_.size()); ++to) {
      if (message.address != Address(to) || down_.contains(to)) continue;
      if (const auto* notice = std::get_if<StreamNotice>(&message.message)) nodes_[to].OnNotice(*notice, now);
      if (const auto* reply = std::get_if<StreamReply>(&message.message)) nodes_[to].OnReply(*reply);
      const auto* query = std::get_if<StreamQuery>(&message.message);
      if (query != nullptr) nodes_[to].Respond(*query, only_version_, several_versions_, now);
    }
  }

  std::vector<StreamOrigins> nodes_;
  std::vector<PeerNode> peers_;
  std::set<int> down_;
  std::optional<std::string> only_version_;
  bool several_versions_ = false;
};

// Guards against: a stream cannot be resumed once the node that began it is gone.
RC_GTEST_PROP(StreamOriginsProperty, AnyNodeFindsTheOriginAlthoughTheNodeThatBeganItIsGone, ()) {
  const int nodes = *rc::gen::element(3, 7, 77, 300);
  OriginFleet fleet(nodes);
  const auto stream = *rc::gen::arbitrary<StreamKey>();
  const int began = *rc::gen::inRange(0, nodes);
  const int asks = (began + *rc::gen::inRange(1, nodes)) % nodes;
  fleet.at(began).Record(stream, {"v2", 1}, kLifetime, At(1s));
  fleet.at(began).Announce(stream, At(1s));
  fleet.Deliver(At(1s));
  fleet.Kill(began);
  // The node that asks may or may not know that the other one is gone.
  if (*rc::gen::arbitrary<bool>()) fleet.SetPeers(asks, {began});
  if (const auto known = fleet.at(asks).Find(stream, At(2s))) {
    RC_ASSERT(known->software_version == "v2");
    return;
  }
  const auto answer = fleet.Ask(asks, stream, At(2s));
  RC_ASSERT(answer && answer->origin);
  RC_ASSERT(answer->origin->software_version == "v2");
}

TEST(StreamOriginsTest, LaterAttemptReplacesAnEarlierOneInAnyOrder) {
  OriginFleet fleet(7);
  for (const std::vector<int>& order : {std::vector{1, 2}, std::vector{2, 1}}) {
    StreamOrigins origins{StreamOriginParameters{}};
    for (const int attempt : order)
      origins.OnNotice({kStream, {"v" + std::to_string(attempt), attempt}, kLifetime}, At(1s));
    EXPECT_EQ(origins.Find(kStream, At(2s))->software_version, "v2");
  }
}

TEST(StreamOriginsTest, NobodyKnowsAStreamThatWasNotAnnounced) {
  OriginFleet fleet(7);
  fleet.set_several_versions();
  const auto answer = fleet.Ask(0, kStream, At(1s));
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->origin);
  EXPECT_TRUE(answer->several_versions);
}

TEST(StreamOriginsTest, AnswersInTimeAlthoughAllPeersAreGone) {
  OriginFleet fleet(3);
  fleet.Kill(1);
  fleet.Kill(2);
  const auto answer = fleet.Ask(0, kStream, At(1s));
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->origin || answer->only_version);
  EXPECT_TRUE(OriginFleet(1).Ask(0, kStream, At(1s)));
}

// Guards against: half of the peers settle a question although the one that was told has not replied yet.
TEST(StreamOriginsTest, AnswerIsCompleteOnlyIfAllPeersReplied) {
  OriginFleet fleet(7);
  fleet.set_only_version("v1");
  fleet.at(0).Ask(kStream, "s", kLifetime, At(1s));
  fleet.Deliver(At(1s));
  const std::vector<StreamAnswer> at_once = fleet.at(0).TakeAnswers();
  ASSERT_EQ(at_once.size(), 1U);
  EXPECT_TRUE(at_once.front().complete);
  fleet.Kill(1);
  fleet.at(0).Ask(kStream, "s", kLifetime, At(1s));
  fleet.Deliver(At(1s));
  EXPECT_TRUE(fleet.at(0).TakeAnswers().empty());
  const auto answer = fleet.Ask(0, kStream, At(1s));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->only_version, "v1");
  EXPECT_EQ(answer->peers_answered, 5U);
  EXPECT_FALSE(answer->complete);
}

// Guards against: a node that has lost its peers from its list takes the few that are left, or none, for all of them.
TEST(StreamOriginsTest, AnswerOfFewerPeersThanUsualIsNotComplete) {
  OriginFleet fleet(7);
  fleet.set_only_version("v1");
  EXPECT_TRUE(fleet.Ask(0, kStream, At(1s))->complete);
  for (const std::set<int>& lost : {std::set{1, 2, 3}, std::set{1, 2, 3, 4, 5, 6}}) {
    fleet.SetPeers(0, lost, At(2s));
    EXPECT_FALSE(fleet.Ask(0, kStream, At(3s))->complete);
    EXPECT_FALSE(fleet.Ask(0, kStream, At(2s) + kLifetime)->complete);
    EXPECT_TRUE(fleet.Ask(0, kStream, At(3s) + kLifetime)->complete);
    fleet.SetPeers(0, {}, At(30s));
  }
}

// Guards against: the version of a stream whose client is refused for long is inferred once its origin has expired.
TEST(StreamOriginsTest, UnknownOriginIsRememberedUntilAKnownOneTurnsUp) {
  OriginFleet fleet(7);
  fleet.set_only_version("v1");
  EXPECT_TRUE(fleet.at(0).Renew(kStream, kUnknownOrigin, kLifetime, At(1s)));
  fleet.at(0).Announce(kStream, At(1s));
  fleet.Deliver(At(1s));
  for (int node = 1; node < 7; ++node) EXPECT_FALSE(fleet.at(node).Find(kStream, At(2s))->known());
  EXPECT_TRUE(fleet.Ask(1, kStream, At(2s))->origin_unknown);
  // Each attempt renews it, but not more often than necessary.
  EXPECT_FALSE(fleet.at(0).Renew(kStream, kUnknownOrigin, kLifetime, At(3s)));
  EXPECT_TRUE(fleet.at(0).Renew(kStream, kUnknownOrigin, kLifetime, At(10s)));
  EXPECT_TRUE(fleet.at(0).Find(kStream, At(24s)));
  fleet.at(2).OnNotice({kStream, {"v2", 1}, kLifetime}, At(3s));
  EXPECT_EQ(fleet.Ask(1, kStream, At(3s))->origin->software_version, "v2");
  EXPECT_TRUE(fleet.at(2).Renew(kStream, kUnknownOrigin, kLifetime, At(4s)));
  EXPECT_EQ(fleet.at(2).Find(kStream, At(4s))->software_version, "v2");
}

TEST(StreamOriginsTest, StreamsBegunWithoutAnnouncementAreAnnouncedLater) {
  OriginFleet fleet(7);
  fleet.at(0).Record(kStream, {"v1", 1}, kLifetime, At(1s));
  fleet.at(0).AnnounceAll(At(2s));
  fleet.Deliver(At(2s));
  fleet.Kill(0);
  const auto known = fleet.at(1).Find(kStream, At(3s));
  const auto answer = known ? std::nullopt : fleet.Ask(1, kStream, At(3s));
  EXPECT_EQ(known ? known->software_version : answer->origin->software_version, "v1");
  fleet.at(0).AnnounceAll(At(3s));
  EXPECT_TRUE(fleet.at(0).TakeMessages().empty());
}

TEST(StreamOriginsTest, ForgetsStreamsThatNoClientComesBackTo) {
  StreamOriginParameters parameters;
  parameters.max_streams = 10;
  StreamOrigins origins(parameters);
  origins.Record(kStream, {"v1", 1}, kLifetime, At(1s));
  EXPECT_TRUE(origins.Find(kStream, At(15s)));
  EXPECT_FALSE(origins.Find(kStream, At(16s)));
  for (StreamKey stream = 1000; stream < 2000; ++stream) origins.Record(stream, {"v1", 1}, kLifetime, At(20s));
  EXPECT_EQ(origins.size(), 10U);
}

// Guards against: the bound on recorded streams drops those that clients still come back to, or does not hold.
TEST(StreamOriginsTest, StreamsThatEndFirstAreDroppedFirst) {
  StreamOriginParameters parameters;
  parameters.max_streams = 3;
  StreamOrigins origins(parameters);
  origins.Record(1, {"v1", 1}, 10s, At(1s));
  origins.Record(1, {"v1", 1}, 100s, At(1s));
  for (StreamKey stream = 2; stream < 5; ++stream) origins.Record(stream, {"v1", 1}, 20s, At(1s));
  EXPECT_TRUE(origins.Find(1, At(2s)));
  for (StreamKey stream = 100; stream < 1000; ++stream) {
    origins.Record(stream, {"v1", 1}, 20s, At(2s));
    origins.Forget(stream);
  }
  for (StreamKey stream = 1000; stream < 2000; ++stream) origins.Record(stream, {"v1", 1}, 20s, At(2s));
  EXPECT_EQ(origins.size(), 3U);
  EXPECT_TRUE(origins.Find(1, At(2s)));
}

// Guards against: requests that name any number of streams that nobody knows push out the origins of real ones, or the
// records that keep streams from being taken for another version's.
TEST(StreamOriginsTest, StreamsOfUnknownOriginDoNotPushOutOthers) {
  StreamOriginParameters parameters;
  parameters.max_streams = 10;
  parameters.max_unknown_streams = 5;
  StreamOrigins origins(parameters);
  origins.Record(1, {"v1", 1}, kLifetime, At(1s));
  origins.Renew(2, kUnknownOrigin, kLifetime, At(1s));
  EXPECT_FALSE(origins.Find(3, At(1s)));
  for (StreamKey stream = 1000; stream < 2000; ++stream) origins.Renew(stream, kUnknownOrigin, kLifetime, At(2s));
  EXPECT_EQ(origins.Find(1, At(3s))->software_version, "v1");
  EXPECT_EQ(origins.size(), 6U);
  ASSERT_TRUE(origins.Find(2, At(3s)));
  EXPECT_FALSE(origins.Find(2, At(3s))->known());
  EXPECT_FALSE(origins.Find(3, At(2s) + kLifetime));
}

EngineRecord RecordOf(const std::string& id, const std::string& version) {
  EngineRecord record;
  record.id = id;
  record.service = "s";
  record.address = "10.0.0.1:80";
  record.software_version = version;
  return record;
}

TEST(SoftwareVersionHistoryTest, OneVersionIsKnownOnlyAfterTheWholeTime) {
  EngineDirectory engines{EjectionPolicy{}};
  engines.Replace({RecordOf("e1", "v1")});
  SoftwareVersionHistory history;
  history.Begin(At(10s));
  history.Refresh(engines, At(10s));
  EXPECT_FALSE(history.OnlyVersionWithin("s", 5s, At(14s)));
  EXPECT_EQ(history.OnlyVersionWithin("s", 5s, At(15s)), "v1");
}

// Guards against: the last streams of a version whose engines have left are taken for those of the other one.
TEST(SoftwareVersionHistoryTest, VersionCountsUntilTheWholeTimeAfterItsLastEngineLeft) {
  EngineDirectory engines{EjectionPolicy{}};
  engines.Replace({RecordOf("e1", "v1"), RecordOf("e2", "v2")});
  SoftwareVersionHistory history;
  history.Begin(At(10s));
  history.Refresh(engines, At(10s));
  engines.Remove("e1");
  history.Refresh(engines, At(30s));
  EXPECT_EQ(history.SeenWithin("s", 5s, At(34s)).size(), 2U);
  history.Refresh(engines, At(36s));
  EXPECT_EQ(history.OnlyVersionWithin("s", 5s, At(36s)), "v2");
}

}  // namespace
}  // namespace saltquay::serving
