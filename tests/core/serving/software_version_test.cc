// A stream goes on only at engines of the software version that began it.
#include <algorithm>

#include <gtest/gtest.h>

#include "tests/support/software_version_fixture.h"

namespace saltquay::serving {
namespace {

// Guards against: a stream that breaks goes on at another software version within the same response.
TEST_F(SoftwareVersionTest, BrokenStreamGoesOnAtTheSameVersion) {
  for (int i = 0; i < 20; ++i) {
    const StartAttempt first = Begin();
    Fail(first, AttemptFailure::kBroken);
    const auto second = One<StartAttempt>();
    EXPECT_EQ(second.engine_id[0], first.engine_id[0]);
    Send(ClientDisconnected{second.flow});
    Pass(10s);
  }
}

TEST_F(SoftwareVersionTest, StreamWithoutAnEventMayGoOnAnywhere) {
  Arrive("chat");
  const auto first = One<StartAttempt>();
  Send(EngineRemoved{first.engine_id == "a1" ? "a2" : "a1"});
  Send(EngineRemoved{first.engine_id == "b1" ? "b2" : "b1"});
  Head(first, 200);
  Fail(first, AttemptFailure::kBroken);
  EXPECT_NE(One<StartAttempt>().engine_id[0], first.engine_id[0]);
}

TEST_F(SoftwareVersionTest, StreamWhoseVersionIsGoneIsBrokenOffAtOnce) {
  const StartAttempt first = Begin();
  Send(EngineRemoved{first.engine_id[0] == 'a' ? "a1" : "b1"});
  Send(EngineRemoved{first.engine_id[0] == 'a' ? "a2" : "b2"});
  Fail(first, AttemptFailure::kBroken);
  EXPECT_EQ(All<AbortResponse>().size(), 1U);
}

// Guards against: a client that takes its stream up at the same node gets another software version.
TEST_F(SoftwareVersionTest, ClientsResumptionGoesToTheVersionThatBegan) {
  for (int i = 0; i < 20; ++i) {
    const StartAttempt first = Begin();
    const std::string origin = "r" + std::to_string(last_flow_);
    Send(ClientDisconnected{first.flow});
    Resume(origin);
    const auto resumed = One<StartAttempt>();
    EXPECT_EQ(resumed.engine_id[0], first.engine_id[0]);
    Send(ClientDisconnected{resumed.flow});
    // A third attempt still names the first one.
    Resume(origin);
    EXPECT_EQ(One<StartAttempt>().engine_id[0], first.engine_id[0]);
    Send(ClientDisconnected{last_flow_});
  }
}

// Guards against: a node that does not know which version began a stream picks any.
TEST_F(SoftwareVersionTest, UnknownOriginIsAskedForAndThenRefused) {
  SetPeers();
  Resume("elsewhere");
  EXPECT_TRUE(All<StartAttempt>().empty());
  const auto sent = One<SendStreamMessages>();
  EXPECT_EQ(sent.messages.size(), 2U);
  EXPECT_EQ(std::get<StreamQuery>(sent.messages[0].message).stream, HashText("elsewhere"));
  Pass(200ms);
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_EQ(One<SendLocalReply>().status, 503);
  EXPECT_TRUE(One<SendLocalReply>().retry_after);
}

TEST_F(SoftwareVersionTest, PeersReplyDecides) {
  SetPeers();
  for (const std::string version : {"A", "B"}) {
    Resume("stream of " + version);
    Send(StreamMessageArrived{
        StreamReply{HashText("stream of " + version), StreamKnowledge::kOrigin, {version, 1}, "10.1.0.2:7"}});
    EXPECT_EQ(One<StartAttempt>().engine_id[0], version == "A" ? 'a' : 'b');
  }
}

TEST_F(SoftwareVersionTest, ResumptionWithoutOriginIsRefusedWhileSeveralVersionsServe) {
  Resume("");
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_EQ(One<SendLocalReply>().status, 503);
}

TEST_F(SoftwareVersionTest, OnlyVersionForLongEnoughNeedsNoOrigin) {
  RemoveVersionB();
  Resume("unknown");
  EXPECT_EQ(One<SendLocalReply>().status, 503);  // Engines of version B have served until now.
  PassLongEnough();
  Resume("unknown");
  EXPECT_EQ(One<StartAttempt>().engine_id[0], 'a');
}

// Guards against: while the store is away, a version that came meanwhile is not seen, and the known one is assumed.
TEST_F(SoftwareVersionTest, OnlyVersionIsNotAssumedWithoutTheStore) {
  RemoveVersionB();
  PassLongEnough();
  Send(StoreConnectivityChanged{false});
  Resume("unknown");
  EXPECT_EQ(One<SendLocalReply>().status, 503);
}

// Guards against: streams cannot be resumed while the store is away, since no node may assume the only version then.
TEST_F(SoftwareVersionTest, StreamsInFlightAreAnnouncedWhenTheStoreIsLost) {
  RemoveVersionB();
  PassLongEnough();
  SetPeers();
  BeginResponse();
  EXPECT_TRUE(All<SendStreamMessages>().empty());
  Send(StoreConnectivityChanged{false});
  ASSERT_EQ(One<SendStreamMessages>().messages.size(), 2U);
}

// Guards against: a version that came and went while the store was away is not counted.
TEST_F(SoftwareVersionTest, OnlyVersionIsAssumedTheWholeTimeAfterTheStoreHasReturned) {
  RemoveVersionB();
  PassLongEnough();
  Send(StoreConnectivityChanged{false});
  Pass(1s);
  Send(StoreConnectivityChanged{true});
  Confirm();
  Resume("unknown");
  EXPECT_EQ(One<SendLocalReply>().status, 503);
  PassLongEnough();
  Resume("unknown");
  EXPECT_EQ(One<StartAttempt>().engine_id[0], 'a');
}

// Guards against: clients' resumptions are refused for a while after the whole system has started for the first time.
TEST_F(SoftwareVersionTest, OnlyVersionIsKnownAtOnceAtTheFirstStartOfTheWholeSystem) {
  ServingCore fresh(ServingParameters{}, "a", 1);
  fresh.BeginFirstStart();
  std::vector<Action> actions;
  fresh.OnEvent(now_, ConfigurationChanged{*core_.config()}, actions);
  fresh.OnEvent(now_, EnginesReplaced{{Engine("a1", "A"), Engine("a2", "A")}}, actions);
  fresh.OnEvent(now_, StoreConnectivityChanged{true}, actions);
  fresh.OnEvent(now_, RecordsConfirmed{now_}, actions);
  actions.clear();
  RequestArrived arrived;
  arrived.flow = 1;
  arrived.metadata.host = "h.example";
  arrived.metadata.path = "/chat/x";
  arrived.metadata.last_event_id = "3";
  fresh.OnEvent(now_ + 1s, arrived, actions);
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(),
                          [](const Action& action) { return std::holds_alternative<StartAttempt>(action); }));
}

// Guards against: a client leaves after the first event, and the peers are not told of the stream yet.
TEST_F(SoftwareVersionTest, StreamsAreAnnouncedBeforeTheirFirstEvent) {
  SetPeers();
  const StartAttempt start = BeginResponse();
  const auto sent = One<SendStreamMessages>();
  ASSERT_EQ(sent.messages.size(), 2U);
  const auto notice = std::get<StreamNotice>(sent.messages[0].message);
  EXPECT_EQ(notice.stream, HashText("r" + std::to_string(last_flow_)));
  EXPECT_EQ(notice.origin.software_version, std::string(1, start.engine_id[0] - 'a' + 'A'));
}

// Guards against: a peer goes by the origin of an attempt that failed, since the later one's correction comes late.
TEST_F(SoftwareVersionTest, AttemptWithoutAResponseIsNotAnnounced) {
  SetPeers();
  Arrive("chat");
  EXPECT_TRUE(All<SendStreamMessages>().empty());
  Fail(One<StartAttempt>(), AttemptFailure::kBroken);
  EXPECT_TRUE(All<SendStreamMessages>().empty());
}

// Guards against: streams that began before a second version came are unknown to the peers.
TEST_F(SoftwareVersionTest, StreamsInFlightAreAnnouncedWhenASecondVersionComes) {
  RemoveVersionB();
  PassLongEnough();
  SetPeers();
  BeginResponse();
  EXPECT_TRUE(All<SendStreamMessages>().empty());
  Send(EngineChanged{Engine("c1", "C")});
  Send(EngineChangesApplied{});
  const auto sent = One<SendStreamMessages>();
  ASSERT_EQ(sent.messages.size(), 2U);
  EXPECT_EQ(std::get<StreamNotice>(sent.messages[0].message).origin.software_version, "A");
}

// Guards against: a peer that is silent, or not asked, counts as one that knows of no other version.
TEST_F(SoftwareVersionTest, SilenceOfAPeerIsNoEvidence) {
  RemoveVersionB();
  PassLongEnough();
  SetPeers();
  const StreamReply agrees{HashText("unknown"), StreamKnowledge::kOnlyVersion, {"A"}, "10.1.0.1:7"};
  Resume("unknown");
  const Time arrived = now_;
  Send(StreamMessageArrived{agrees});
  Pass(200ms);
  Send(RecordsConfirmed{arrived - 1ms});
  EXPECT_TRUE(All<StartAttempt>().empty() && All<SendLocalReply>().empty());
  Send(RecordsConfirmed{arrived});
  EXPECT_EQ(One<StartAttempt>().engine_id[0], 'a');
  // Both peers reply.
  Resume("another unknown");
  StreamReply other{HashText("another unknown"), StreamKnowledge::kOnlyVersion, {"A"}, "10.1.0.1:7"};
  Send(StreamMessageArrived{other});
  EXPECT_TRUE(All<StartAttempt>().empty());
  other.from = "10.1.0.2:7";
  Send(StreamMessageArrived{other});
  EXPECT_EQ(One<StartAttempt>().engine_id[0], 'a');
}

// Guards against: a version that joined while this node was cut off or suspended is not known to it.
TEST_F(SoftwareVersionTest, SilentPeersLeaveItToRecordsConfirmedSinceTheArrival) {
  RemoveVersionB();
  PassLongEnough();
  SetPeers();
  Resume("another version's");
  Pass(200ms);
  EXPECT_TRUE(All<StartAttempt>().empty() && All<SendLocalReply>().empty());
  Send(EngineChanged{Engine("c1", "C")});
  Send(EngineChangesApplied{});
  Confirm();
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_EQ(One<SendLocalReply>().status, 503);
}

// Guards against: a version whose join and leave arrive together, after a suspension, is never counted.
TEST_F(SoftwareVersionTest, VersionThatJoinsAndLeavesWithinOneBatchIsCounted) {
  RemoveVersionB();
  PassLongEnough();
  Send(EngineChanged{Engine("c1", "C")});
  Send(EngineRemoved{"c1"});
  Send(EngineChangesApplied{});
  Confirm();
  Resume("another version's");
  Pass(2s);
  EXPECT_TRUE(All<StartAttempt>().empty());
}

TEST_F(SoftwareVersionTest, ResumptionDoesNotWaitForRecordsForLong) {
  RemoveVersionB();
  PassLongEnough();
  SetPeers();
  Resume("unknown");
  Pass(2s);
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_TRUE(One<SendLocalReply>().retry_after);
}

// Guards against: a stream whose records were confirmed too late once is refused however often its client comes back.
TEST_F(SoftwareVersionTest, ResumptionRefusedForLateRecordsGoesOnLater) {
  RemoveVersionB();
  PassLongEnough();
  SetPeers();
  Resume("unknown");
  Pass(2s);
  EXPECT_EQ(One<SendLocalReply>().status, 503);
  Resume("unknown");
  Pass(200ms);
  Confirm();
  EXPECT_EQ(One<StartAttempt>().engine_id[0], 'a');
}

// Guards against: a node that was suspended goes by, and tells others, what it knew before.
TEST_F(SoftwareVersionTest, OldRecordsSayNothingAboutTheOnlyVersion) {
  RemoveVersionB();
  PassLongEnough();
  Pass(3s);
  Resume("unknown");
  EXPECT_TRUE(All<StartAttempt>().empty());
  Send(StreamMessageArrived{StreamQuery{7, "plain", "10.1.0.1:7"}});
  EXPECT_EQ(std::get<StreamReply>(One<SendStreamMessages>().messages[0].message).knowledge, StreamKnowledge::kNone);
  Confirm();
  EXPECT_EQ(One<StartAttempt>().engine_id[0], 'a');
  Send(StreamMessageArrived{StreamQuery{7, "plain", "10.1.0.1:7"}});
  EXPECT_EQ(std::get<StreamReply>(One<SendStreamMessages>().messages[0].message).knowledge,
            StreamKnowledge::kOnlyVersion);
}

// Guards against: a stream goes on at another version once its client has been refused for long enough.
TEST_F(SoftwareVersionTest, StreamsOfRefusedClientsAreRememberedWhileTheyComeBack) {
  const StartAttempt first = Begin();
  const std::string origin = "r" + std::to_string(last_flow_);
  Send(ClientDisconnected{first.flow});
  const bool began_at_a = first.engine_id[0] == 'a';
  for (const std::string engine : {"1", "2"}) Send(EngineRemoved{(began_at_a ? "a" : "b") + engine});
  Send(EngineChangesApplied{});
  for (int i = 0; i < 20; ++i) {
    Pass(30s);
    Confirm();
    for (const std::string& stream : {origin, std::string("of unknown origin")}) {
      Resume(stream);
      EXPECT_TRUE(All<StartAttempt>().empty());
      EXPECT_EQ(One<SendLocalReply>().status, 503);
    }
  }
  Resume("silent until now");
  EXPECT_EQ(All<StartAttempt>().size(), 1U);
}

}  // namespace
}  // namespace saltquay::serving
