// Which process of an engine begins a stream, and where the stream may go on; see engine_process_steps.cc.
#include <algorithm>

#include <gtest/gtest.h>

#include "tests/support/software_version_fixture.h"

namespace saltquay::serving {
namespace {

// Engines as in SoftwareVersionTest, whose records tell when their processes started.
class EngineProcessTest : public SoftwareVersionTest {
 protected:
  static constexpr std::int64_t kFirst = 1000;
  static constexpr std::int64_t kSecond = 2000;

  EngineProcessTest() { Send(EnginesReplaced{{Engine("a1", "A"), Engine("a2", "A"), Engine("b1", "B")}}); }
  static EngineRecord Engine(const std::string& id, const std::string& version, std::int64_t started_ms = kFirst) {
    EngineRecord record = SoftwareVersionTest::Engine(id, version);
    record.started_ms = started_ms;
    return record;
  }
  void FindOtherProcess(const StartAttempt& start, std::int64_t started_ms = kSecond) {
    Send(AttemptAtOtherProcess{start.flow, start.attempt, started_ms});
  }
  // All other engines leave, and a1 is found to run another process. Returns the attempt at that process.
  StartAttempt BeginAtUnrecordedProcess() {
    Send(EnginesReplaced{{Engine("a1", "A")}});
    Arrive("chat");
    FindOtherProcess(One<StartAttempt>());
    return One<StartAttempt>();
  }
  void BringEvents(const StartAttempt& start) {
    Head(start, 200);
    Send(AttemptEventsReceived{start.flow, start.attempt, "3"});
  }
};

TEST_F(EngineProcessTest, OnlyStreamsThatMayBeResumedNeedTheProcessOfTheRecord) {
  Arrive("chat");
  EXPECT_EQ(One<StartAttempt>().process_started_ms, kFirst);
  Arrive("safe");
  EXPECT_EQ(One<StartAttempt>().process_started_ms, std::nullopt);
  Send(EnginesReplaced{{Engine("a3", "A", 0)}});
  Arrive("chat");
  EXPECT_EQ(One<StartAttempt>().process_started_ms, std::nullopt);  // The id alone identifies the engine.
}

// Guards against: a stream begins or goes on at an engine that has started again with another version, which its record
// does not tell yet.
TEST_F(EngineProcessTest, EngineThatRunsAnotherProcessIsAvoided) {
  for (int i = 0; i < 10; ++i) {
    const StartAttempt first = Begin();
    const std::string origin = "r" + std::to_string(last_flow_);
    Send(ClientDisconnected{first.flow});
    Resume(origin);
    const auto resumed = One<StartAttempt>();
    FindOtherProcess(resumed);
    if (first.engine_id == "b1") {
      EXPECT_EQ(One<SendLocalReply>().status, 503);  // No other engine has the stream's version.
    } else {
      EXPECT_EQ(One<StartAttempt>().engine_id, resumed.engine_id == "a1" ? "a2" : "a1");
      Send(ClientDisconnected{last_flow_});
    }
    for (int j = 0; j < 10; ++j) {
      Arrive("chat");
      EXPECT_NE(One<StartAttempt>().engine_id, resumed.engine_id);
      Send(ClientDisconnected{last_flow_});
    }
    Send(EnginesReplaced{{}});
    Send(EnginesReplaced{{Engine("a1", "A"), Engine("a2", "A"), Engine("b1", "B")}});
  }
}

// Guards against: a stream that began at such an engine goes on at the version that its old record named.
TEST_F(EngineProcessTest, StreamBegunAtAnUnrecordedProcessGoesOnAtTheVersionOfItsRecord) {
  const StartAttempt first = BeginAtUnrecordedProcess();
  EXPECT_EQ(first.process_started_ms, kSecond);
  const std::string origin = "r" + std::to_string(last_flow_);
  BringEvents(first);
  Send(ClientDisconnected{first.flow});
  Send(EngineChanged{Engine("a2", "A")});
  Resume(origin);
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_TRUE(One<SendLocalReply>().retry_after);
  Send(EngineChanged{Engine("a1", "B", kSecond)});
  // The stream's engine starts once more before the client comes back.
  Send(EngineChanged{Engine("a1", "C", kSecond + 1)});
  Send(EngineChanged{Engine("b2", "B")});
  Resume(origin);
  EXPECT_EQ(One<StartAttempt>().engine_id, "b2");
}

// Guards against: the same within one response.
TEST_F(EngineProcessTest, BrokenStreamOfAnUnrecordedProcessGoesOnOnlyOnceItsVersionIsKnown) {
  const StartAttempt first = BeginAtUnrecordedProcess();
  BringEvents(first);
  Send(EngineChanged{Engine("a2", "A")});
  Fail(first, AttemptFailure::kBroken);
  EXPECT_EQ(All<AbortResponse>().size(), 1U);

  const StartAttempt second = BeginAtUnrecordedProcess();
  BringEvents(second);
  Send(EngineChanged{Engine("a1", "B", kSecond)});
  Send(EngineChanged{Engine("a2", "A")});
  Send(EngineChanged{Engine("b2", "B")});
  Fail(second, AttemptFailure::kBroken);
  EXPECT_EQ(One<StartAttempt>().engine_id, "b2");
}

// Guards against: peers that are not told take the only version of the records for that of such a stream.
TEST_F(EngineProcessTest, StreamAtAnUnrecordedProcessIsAnnouncedAlthoughOneVersionServes) {
  Send(EnginesReplaced{{Engine("a1", "A")}});
  PassLongEnough();
  SetPeers();
  Arrive("chat");
  FindOtherProcess(One<StartAttempt>());
  Head(One<StartAttempt>(), 200);
  const auto sent = One<SendStreamMessages>();
  ASSERT_EQ(sent.messages.size(), 2U);
  EXPECT_EQ(std::get<StreamNotice>(sent.messages[0].message).origin.process, (EngineProcess{"a1", kSecond}));
}

// Guards against: an engine that does not say which process it is gets no streams at all, or is asked for each.
TEST_F(EngineProcessTest, EngineThatNeverIdentifiesItselfServesStreamsAsTheLastChoice) {
  Send(EnginesReplaced{{Engine("a1", "A")}});
  for (int i = 0; i < 2; ++i) {
    Arrive("chat");
    const auto start = One<StartAttempt>();
    EXPECT_EQ(start.process_started_ms, kFirst);
    Fail(start, AttemptFailure::kUnidentified);
    Send(ClientDisconnected{last_flow_});
  }
  Arrive("chat");
  EXPECT_EQ(One<StartAttempt>().process_started_ms, std::nullopt);
  Send(ClientDisconnected{last_flow_});
  Pass(3s);
  Arrive("chat");
  EXPECT_EQ(One<StartAttempt>().process_started_ms, kFirst);
}

// Guards against: a request counts as run although it was only asked which process would serve it.
TEST_F(EngineProcessTest, RequestThatWasNotSentHasNotRun) {
  Send(EnginesReplaced{{Engine("a1", "A")}});
  Arrive("chat");
  Fail(One<StartAttempt>(), AttemptFailure::kUnidentified);
  Pass(5s);
  EXPECT_EQ(One<SendLocalReply>().status, 503);
}

}  // namespace
}  // namespace saltquay::serving
