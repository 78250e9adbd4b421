// Fixture of the tests of engines' software versions.
#pragma once

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"

namespace saltquay::serving {

// Longer than clients may be silent before they come back to a stream.
inline constexpr Duration kLongEnough = 90s;

// Plain stream route "chat" before uniform engines: a1 and a2 of version A, b1 and b2 of version B.
class SoftwareVersionTest : public ServingFixture {
 protected:
  SoftwareVersionTest() {
    ServingConfig config = MakeConfig();
    config.version = 2;
    config.routes[2] = MakeRoute("chat", RouteKind::kStreaming, "plain", 3);
    config.routes[2].resumable = true;
    Send(ConfigurationChanged{config});
    Send(EnginesReplaced{{Engine("a1", "A"), Engine("a2", "A"), Engine("b1", "B"), Engine("b2", "B")}});
  }
  static EngineRecord Engine(const std::string& id, const std::string& version) {
    EngineRecord record = MakeEngine(id, "plain", EngineStage::kUniform);
    record.software_version = version;
    return record;
  }
  void Resume(const std::string& origin) {
    RequestArrived arrived;
    arrived.flow = ++last_flow_;
    arrived.metadata.request_id = "r" + std::to_string(last_flow_);
    arrived.metadata.host = "h.example";
    arrived.metadata.path = "/chat/x";
    arrived.metadata.last_event_id = "3";
    arrived.metadata.resumes = origin;
    Send(arrived);
  }
  void SetPeers() { Send(PeersListed{{{"n1", "10.1.0.1:7", "a"}, {"n2", "10.1.0.2:7", "b"}}}); }
  // The store confirms the records.
  void Confirm() { Send(RecordsConfirmed{now_}); }
  void PassLongEnough() {
    Pass(kLongEnough);
    Confirm();
    Pass(100ms);
  }
  void RemoveVersionB() {
    Send(EngineRemoved{"b1"});
    Send(EngineRemoved{"b2"});
    Send(EngineChangesApplied{});
  }
  // Begins a stream's response; returns the attempt.
  StartAttempt BeginResponse() {
    Arrive("chat");
    auto start = One<StartAttempt>();
    Head(start, 200);
    return start;
  }
  // The same, and brings three events.
  StartAttempt Begin() {
    auto start = BeginResponse();
    Send(AttemptEventsReceived{start.flow, start.attempt, "3"});
    return start;
  }
};

}  // namespace saltquay::serving
