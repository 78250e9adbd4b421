// Requests that a node hands to a peer, and those that peers hand to it.
#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

class ForwardingTest : public ServingFixture {
 protected:
  ForwardingTest() { ListPeers({"n1", "n2", "n3", "n4", "n5"}); }

  void ListPeers(const std::vector<std::string>& names) {
    PeersListed listed;
    for (const std::string& name : names) listed.nodes.push_back({name, "10.1.0.1:7", "a"});
    Send(listed);
  }
  void LoseEngines(const std::vector<std::string>& ids) {
    for (const std::string& id : ids) Send(EngineProbed{id, EngineProbeOutcome::kRefused});
  }
  // A request that arrives while no plain engine can be reached.
  ForwardRequest ForwardOne(const std::string& route) {
    LoseEngines({"u1", "u2"});
    Arrive(route);
    return One<ForwardRequest>();
  }
  void Reply(const ForwardRequest& forward, int status, PeerReply reply,
             std::optional<Duration> retry_after = std::nullopt) {
    EngineResponseHead head{status, false, reply == PeerReply::kNone, std::nullopt, reply, retry_after};
    Send(AttemptHeadReceived{forward.flow, forward.attempt, head});
    std::vector<Action> first = actions_;
    Send(AttemptCompleted{forward.flow, forward.attempt, ""});
    actions_.insert(actions_.begin(), first.begin(), first.end());
  }
  FlowId ArriveFromPeer(const std::string& route, const ForwardedRequest& state) {
    RequestArrived arrived;
    arrived.flow = ++last_flow_;
    arrived.metadata.host = "h.example";
    arrived.metadata.path = "/" + route + "/x";
    arrived.metadata.forwarded = state;
    Send(arrived);
    return last_flow_;
  }
  static ForwardedRequest State() {
    ForwardedRequest state;
    state.node = "n1";
    state.config_version = 1;
    return state;
  }
};

TEST_F(ForwardingTest, RequestGoesToAPeerAtOnceIfNoEngineCanBeReached) {
  const ForwardRequest forward = ForwardOne("once");
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_EQ(forward.state.config_version, 1U);
  Reply(forward, 200, PeerReply::kNone);
  EXPECT_EQ(One<RelayResponse>().attempt, forward.attempt);
}

TEST_F(ForwardingTest, RequestStaysHereWhileAnyEngineCanBeReached) {
  LoseEngines({"u1"});
  Arrive("once");
  EXPECT_EQ(One<StartAttempt>().engine_id, "u2");
  EXPECT_TRUE(All<ForwardRequest>().empty());
}

TEST_F(ForwardingTest, PromptGoesToAPeerIfAStageCannotBeReached) {
  for (const auto& stage : {std::vector<std::string>{"p1", "p2"}, std::vector<std::string>{"d1", "d2"}}) {
    LoseEngines(stage);
    Arrive("chat", LongPrompt());
    EXPECT_TRUE(One<ForwardRequest>().streams);
    for (const std::string& id : stage) Send(EngineProbed{id, EngineProbeOutcome::kAccepted});
  }
}

TEST_F(ForwardingTest, QueuedPromptGoesToAPeerWhenEnginesAreLost) {
  std::vector<StartAttempt> started;
  for (int i = 0; i < 40; ++i) {
    Arrive("chat", LongPrompt());
    for (const StartAttempt& start : All<StartAttempt>()) started.push_back(start);
  }
  LoseEngines({"p1"});
  EXPECT_TRUE(All<ForwardRequest>().empty());
  LoseEngines({"p2"});
  EXPECT_GE(All<ForwardRequest>().size(), 5U);
}

TEST_F(ForwardingTest, AfterTwoFailedConnectionsAPeerIsAsked) {
  EngineRecord third = MakeEngine("u3", "plain", EngineStage::kUniform);
  Send(EngineChanged{third});
  Arrive("once");
  Fail(One<StartAttempt>(), AttemptFailure::kNotSent);
  // No engine was heard lately, so one failed connection suffices.
  EXPECT_EQ(All<ForwardRequest>().size(), 1U);
}

TEST_F(ForwardingTest, AnotherPeerIsAskedOnlyIfTheFirstDidNotExecuteTheRequest) {
  ForwardRequest forward = ForwardOne("once");
  Reply(forward, 503, PeerReply::kElsewhere, 400ms);
  const auto second = One<ForwardRequest>();
  EXPECT_NE(second.peer.node, forward.peer.node);
  Send(AttemptFailed{second.flow, second.attempt, AttemptFailure::kNotSent});
  const auto third = One<ForwardRequest>();
  Send(AttemptFailed{third.flow, third.attempt, AttemptFailure::kBroken});
  EXPECT_TRUE(All<ForwardRequest>().empty());
  EXPECT_EQ(One<SendLocalReply>().status, 502);
}

TEST_F(ForwardingTest, RefusalOfAPeerReachesTheClientWithItsRetryAfter) {
  Reply(ForwardOne("once"), 503, PeerReply::kRefused, 1700ms);
  EXPECT_EQ(One<SendLocalReply>().status, 503);
  EXPECT_EQ(One<SendLocalReply>().retry_after, 1700ms);
}

TEST_F(ForwardingTest, FailureAtAPeerIsNoPromise) {
  Reply(ForwardOne("safe"), 504, PeerReply::kFailed);
  EXPECT_EQ(One<SendLocalReply>().status, 504);
  EXPECT_FALSE(One<SendLocalReply>().retry_after);
}

TEST_F(ForwardingTest, AFewPeersAreAskedForOneRequest) {
  ForwardRequest forward = ForwardOne("once");
  int asked = 1;
  while (true) {
    Reply(forward, 503, PeerReply::kElsewhere, 400ms);
    const auto next = All<ForwardRequest>();
    if (next.empty()) break;
    forward = next.front();
    ++asked;
  }
  EXPECT_EQ(asked, ForwardingParameters{}.max_peers_per_request);
  Pass(500ms);
  EXPECT_EQ(One<SendLocalReply>().status, 503);
}

TEST_F(ForwardingTest, ClientThatLeavesEndsTheRequestAtThePeer) {
  const ForwardRequest forward = ForwardOne("once");
  Send(ClientDisconnected{forward.flow});
  EXPECT_EQ(One<CancelAttempt>().attempt, forward.attempt);
}

TEST_F(ForwardingTest, RequestOfAPeerIsServedLikeAClients) {
  ForwardedRequest state = State();
  state.tried_engines = {"u1"};
  ArriveFromPeer("once", state);
  const auto start = One<StartAttempt>();
  EXPECT_EQ(start.engine_id, "u2");
  Respond(start, 200);
  EXPECT_EQ(All<RelayResponse>().size(), 1U);
}

TEST_F(ForwardingTest, RequestOfAPeerIsNeverHandedOn) {
  LoseEngines({"u1", "u2"});
  ArriveFromPeer("once", State());
  EXPECT_TRUE(All<ForwardRequest>().empty());
  EXPECT_TRUE(One<SendLocalReply>().elsewhere);
  EXPECT_TRUE(One<SendLocalReply>().retry_after);
}

TEST_F(ForwardingTest, RequestOfAPeerWithANewerConfigurationIsRefused) {
  ForwardedRequest state = State();
  state.config_version = 2;
  ArriveFromPeer("once", state);
  EXPECT_TRUE(One<SendLocalReply>().elsewhere);
}

TEST_F(ForwardingTest, ExecutionsAtThePeerCountTowardsMaxAttempts) {
  ForwardedRequest state = State();
  state.executions = state.arrivals = 1;
  ArriveFromPeer("safe", state);
  EXPECT_EQ(All<ExtraArrivalCounted>().size(), 1U);
  Respond(One<StartAttempt>(), 500);
  EXPECT_TRUE(All<StartAttempt>().empty());  // Two are allowed.
}

TEST_F(ForwardingTest, ConnectionToAPeerThatBreaksIsNoCrashOfAnEngine) {
  const ForwardRequest forward = ForwardOne("once");
  Send(AttemptFailed{forward.flow, forward.attempt, AttemptFailure::kBroken});
  EXPECT_TRUE(All<ProbeEngine>().empty());
}

TEST(ForwardingPeersTest, PeersOfTheOwnZoneComeFirstUntilSeveralOfThemFail) {
  const Topology topology("a", {}, TopologyParameters{});
  Random random(5);
  ForwardingPeers peers{ForwardingParameters{}};
  peers.Set({{"a1", "x:1", "a"}, {"a2", "x:2", "a"}, {"a3", "x:3", "a"}, {"b1", "x:4", "b"}});
  const Time now{10s};
  EXPECT_EQ(peers.Choose(topology, {}, random, now)->zone, "a");
  peers.RecordRefusal("a1", now);
  EXPECT_EQ(peers.Choose(topology, {}, random, now)->zone, "a");
  peers.RecordRefusal("a2", now);
  EXPECT_EQ(peers.Choose(topology, {}, random, now)->node, "b1");
  EXPECT_EQ(peers.Choose(topology, {}, random, now + 1s)->zone, "a");
}

TEST(ForwardingPeersTest, TheLessBusyOfTwoIsChosen) {
  const Topology topology("a", {}, TopologyParameters{});
  Random random(5);
  ForwardingPeers peers{ForwardingParameters{}};
  peers.Set({{"a1", "x:1", "a"}, {"a2", "x:2", "a"}});
  for (int i = 0; i < 100; ++i) peers.RecordSent("a1");
  int chosen = 0;
  for (int i = 0; i < 100; ++i) chosen += peers.Choose(topology, {}, random, Time{1s})->node == "a1" ? 1 : 0;
  EXPECT_LT(chosen, 50);
}

}  // namespace
}  // namespace saltquay::serving
