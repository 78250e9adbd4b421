// Drives a ServingCore directly: events in, actions out, with a clock controlled by the test.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {

class ServingFixture : public ::testing::Test {
 protected:
  ServingFixture() { Configure(MakeConfig()); }

  static Route MakeRoute(const std::string& name, RouteKind kind, const std::string& service, int attempts) {
    Route route;
    route.name = name;
    route.host = "h.example";
    route.path_prefix = "/" + name + "/";
    route.services = {{service, 1.0}};
    route.kind = kind;
    route.timeout = 4s;
    route.objective = 400ms;
    route.max_attempts = attempts;
    return route;
  }
  static ServingConfig MakeConfig() {
    ServingConfig config;
    config.version = 1;
    config.routes = {
        MakeRoute("safe", RouteKind::kRepeatable, "plain", 2), MakeRoute("once", RouteKind::kAtMostOnce, "plain", 1),
        MakeRoute("chat", RouteKind::kStreaming, "model", 2), MakeRoute("lone", RouteKind::kStreaming, "model", 1)};
    config.routes[2].resumable = true;
    Service model;
    model.name = "model";
    model.language = LanguageEngineTraits{64, 400000, 18432, 370000, 5s, 2300ms};
    config.services = {Service{"plain", "/health", 100, std::nullopt, std::nullopt}, model};
    return config;
  }
  static EngineRecord MakeEngine(const std::string& id, const std::string& service, EngineStage stage) {
    EngineRecord record;
    record.id = id;
    record.service = service;
    record.address = "10.0.0.1:80";
    record.zone = "a";
    record.slots = 8;
    record.stage = stage;
    return record;
  }
  void Configure(const ServingConfig& config) {
    Send(ConfigurationChanged{config});
    Send(EnginesReplaced{
        {MakeEngine("u1", "plain", EngineStage::kUniform), MakeEngine("u2", "plain", EngineStage::kUniform),
         MakeEngine("p1", "model", EngineStage::kPrefill), MakeEngine("p2", "model", EngineStage::kPrefill),
         MakeEngine("d1", "model", EngineStage::kDecode), MakeEngine("d2", "model", EngineStage::kDecode)}});
    Send(StoreConnectivityChanged{true});
    Send(PeersChanged{});
  }

  void Send(const Event& event) {
    actions_.clear();
    core_.OnEvent(now_, event, actions_);
  }
  void Pass(Duration duration) {
    const Time end = now_ + duration;
    std::vector<Action> all;
    while (core_.next_deadline() && *core_.next_deadline() <= end) {
      now_ = std::max(now_, *core_.next_deadline());
      Send(TimerFired{});
      all.insert(all.end(), actions_.begin(), actions_.end());
    }
    now_ = end;
    actions_ = std::move(all);
  }
  FlowId Arrive(const std::string& route, std::optional<PromptMetadata> prompt = std::nullopt) {
    RequestArrived arrived;
    arrived.flow = ++last_flow_;
    arrived.metadata.request_id = "r" + std::to_string(last_flow_);
    arrived.metadata.host = "h.example";
    arrived.metadata.path = "/" + route + "/x";
    arrived.metadata.prompt = std::move(prompt);
    Send(arrived);
    return last_flow_;
  }
  static PromptMetadata LongPrompt(const std::string& shared = "s1") {
    PromptMetadata prompt;
    prompt.model = "m";
    prompt.tokens = 17000;
    prompt.output_tokens = 100;
    prompt.parts = {{shared, 13000}, {"own", 4000}};
    return prompt;
  }

  template <typename T>
  std::vector<T> All() const {
    std::vector<T> found;
    for (const Action& action : actions_) {
      if (const T* typed = std::get_if<T>(&action)) found.push_back(*typed);
    }
    return found;
  }
  // The only action of that type; fails the test otherwise.
  template <typename T>
  T One() const {
    const std::vector<T> found = All<T>();
    EXPECT_EQ(found.size(), 1U);
    return found.empty() ? T{} : found.front();
  }

  void Head(const StartAttempt& start, int status, bool not_executed = false) {
    Send(AttemptHeadReceived{start.flow, start.attempt,
                             EngineResponseHead{status, not_executed, !not_executed, std::nullopt}});
  }
  // Sends the complete response to an attempt.
  void Respond(const StartAttempt& start, int status, bool not_executed = false, const std::string& handle = "") {
    Head(start, status, not_executed);
    std::vector<Action> first = actions_;
    Send(AttemptCompleted{start.flow, start.attempt, handle});
    actions_.insert(actions_.begin(), first.begin(), first.end());
  }
  void Fail(const StartAttempt& start, AttemptFailure failure) {
    Send(AttemptFailed{start.flow, start.attempt, failure});
  }

  Time now_{1s};
  ServingCore core_{MakeParameters(), "a", 7};
  std::vector<Action> actions_;
  FlowId last_flow_ = 0;

 private:
  static ServingParameters MakeParameters() {
    ServingParameters parameters;
    parameters.retry_budget = RetryBudgetBounds{0.2, 10s, 50, 0.8};
    return parameters;
  }
};

}  // namespace saltquay::serving
