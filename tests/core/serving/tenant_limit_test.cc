// Tenant limits: which requests are admitted, and when their charges are confirmed or refunded.
#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Returns the decisions that the test sets and records the calls of the core.
class ScriptedLimiter final : public limits::Limiter {
 public:
  void set_limits(Time, const std::map<std::string, limits::TenantLimit>& limits) override { limits_ = limits; }
  void set_nodes(Time, const std::vector<limits::LimiterNode>&) override {}
  void set_reachable_nodes(Time, const limits::Reach&) override {}
  limits::Decision admit(Time, std::uint64_t request, std::string_view, std::int64_t cost) override {
    requested_costs_[request] = cost;
    return next_decision_;
  }
  void settle(std::uint64_t request) override { settled_.push_back(request); }
  void refund(Time, std::uint64_t request) override { refunded_.push_back(request); }
  void on_message(Time, const limits::LimitMessage&) override {}
  void step(Time) override {}
  std::optional<Time> next_deadline() const override { return std::nullopt; }
  void begin_stop(Time) override {}
  limits::LimiterOutput take_output() override { return std::exchange(output_, {}); }
  std::vector<limits::LimitStatus> status(Time) const override { return {}; }

  limits::Decision next_decision_;
  limits::LimiterOutput output_;
  std::map<std::string, limits::TenantLimit> limits_;
  std::map<std::uint64_t, std::int64_t> requested_costs_;  // Cost by request.
  std::vector<std::uint64_t> settled_;
  std::vector<std::uint64_t> refunded_;
};

class TenantLimitTest : public ServingFixture {
 protected:
  TenantLimitTest() {
    auto limiter = std::make_unique<ScriptedLimiter>();
    limiter_ = limiter.get();
    core_.set_limiter(std::move(limiter));
    Configure(WithLimit(2, {1000, 500, limits::LimitUnit::Tokens, 40}));
  }
  static ServingConfig WithLimit(std::uint64_t version, const limits::TenantLimit& limit) {
    ServingConfig config = MakeConfig();
    config.version = version;
    config.requires_keys = true;
    config.tenants = {{"t1", {"key-a"}, std::nullopt, limit}, {"free", {"key-b"}, std::nullopt, std::nullopt}};
    config.routes.push_back(MakeRoute("open", RouteKind::kRepeatable, "plain", 2));
    config.routes.back().allows_anonymous = true;
    return config;
  }
  FlowId ArriveWithKey(const std::string& route, const std::string& key,
                       std::optional<PromptMetadata> prompt = std::nullopt) {
    RequestArrived arrived;
    arrived.flow = ++last_flow_;
    arrived.metadata.request_id = "r" + std::to_string(last_flow_);
    arrived.metadata.host = "h.example";
    arrived.metadata.path = "/" + route + "/x";
    arrived.metadata.api_key = key;
    arrived.metadata.prompt = std::move(prompt);
    Send(arrived);
    return last_flow_;
  }
  void Decide(FlowId flow, const limits::Decision& decision) {
    limiter_->output_.decisions.push_back({flow, decision});
    Send(LimitMessageArrived{});
  }

  static limits::Decision Pending() { return {limits::Verdict::Pending, 0s, false, {}}; }
  static limits::Decision OverLimit(Duration retry_after) {
    return {limits::Verdict::Refused, retry_after, true, "owner"};
  }

  ScriptedLimiter* limiter_ = nullptr;
};

TEST_F(TenantLimitTest, RequestCostsItsTokensOrThePlainCost) {
  const FlowId with_prompt = ArriveWithKey("chat", "key-a", LongPrompt());
  const FlowId plain = ArriveWithKey("safe", "key-a");
  EXPECT_EQ(limiter_->requested_costs_, (std::map<std::uint64_t, std::int64_t>{{with_prompt, 17100}, {plain, 40}}));
}

TEST_F(TenantLimitTest, RequestCostsOneIfTheUnitIsRequests) {
  Send(ConfigurationChanged{WithLimit(3, {10, 5, limits::LimitUnit::Requests, 40})});
  const FlowId flow = ArriveWithKey("chat", "key-a", LongPrompt());
  EXPECT_EQ(limiter_->requested_costs_[flow], 1);
}

TEST_F(TenantLimitTest, LimiterGetsOnlyTheTenantsWithALimit) {
  EXPECT_EQ(limiter_->limits_.size(), 1U);
  EXPECT_EQ(limiter_->limits_.at("t1").rate_per_s, 1000);
  EXPECT_TRUE(core_.has_limits());
  Send(ConfigurationChanged{WithLimit(3, {})});
  EXPECT_TRUE(limiter_->limits_.empty());
  EXPECT_FALSE(core_.has_limits());
}

TEST_F(TenantLimitTest, RequestOverTheLimitIsRejectedWithRetryAfter) {
  limiter_->next_decision_ = OverLimit(1700ms);
  ArriveWithKey("safe", "key-a");
  EXPECT_EQ(One<SendLocalReply>().status, kTooManyRequests);
  EXPECT_EQ(One<SendLocalReply>().retry_after, Duration(1700ms));
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_EQ(core_.flows(), 0U);
  EXPECT_TRUE(limiter_->settled_.empty());
}

TEST_F(TenantLimitTest, RequestIsUnavailableIfTheLimitCannotBeChecked) {
  limiter_->next_decision_ = {limits::Verdict::Refused, 300ms, false, ""};
  ArriveWithKey("safe", "key-a");
  EXPECT_EQ(One<SendLocalReply>().status, kUnavailable);
  EXPECT_EQ(One<SendLocalReply>().retry_after, Duration(300ms));
}

TEST_F(TenantLimitTest, NothingIsSentToAnEngineBeforeTheDecision) {
  limiter_->next_decision_ = Pending();
  const FlowId flow = ArriveWithKey("chat", "key-a", LongPrompt());
  EXPECT_TRUE(All<StartAttempt>().empty());
  Pass(200ms);
  EXPECT_TRUE(All<StartAttempt>().empty());
  Send(EngineChanged{MakeEngine("p3", "model", EngineStage::kPrefill)});
  EXPECT_TRUE(All<StartAttempt>().empty());
  Decide(flow, {});
  EXPECT_EQ(One<StartAttempt>().flow, flow);
}

TEST_F(TenantLimitTest, PendingRequestMayBeRefused) {
  limiter_->next_decision_ = Pending();
  const FlowId flow = ArriveWithKey("safe", "key-a");
  Decide(flow, OverLimit(2s));
  EXPECT_EQ(One<SendLocalReply>().status, kTooManyRequests);
  EXPECT_EQ(core_.flows(), 0U);
}

TEST_F(TenantLimitTest, ClientDisconnectBeforeTheDecisionIsRefundedAndNotServed) {
  limiter_->next_decision_ = Pending();
  const FlowId flow = ArriveWithKey("safe", "key-a");
  Send(ClientDisconnected{flow});
  EXPECT_EQ(limiter_->refunded_, std::vector<std::uint64_t>{flow});
  Decide(flow, {});
  EXPECT_TRUE(All<StartAttempt>().empty());
}

TEST_F(TenantLimitTest, PendingRequestIsRefundedAtItsDeadline) {
  limiter_->next_decision_ = Pending();
  const FlowId flow = ArriveWithKey("safe", "key-a");
  Pass(5s);
  EXPECT_EQ(One<SendLocalReply>().status, kUnavailable);
  EXPECT_EQ(limiter_->refunded_, std::vector<std::uint64_t>{flow});
}

TEST_F(TenantLimitTest, RequestThatNoEngineAcceptedIsRefunded) {
  const FlowId flow = ArriveWithKey("once", "key-a");
  for (int tries = 0; tries < 20 && core_.flows() > 0; ++tries) {
    const auto starts = All<StartAttempt>();
    if (starts.empty()) {
      Pass(50ms);
    } else {
      Fail(starts.front(), AttemptFailure::kNotSent);
    }
  }
  Pass(5s);
  EXPECT_EQ(core_.flows(), 0U);
  EXPECT_EQ(limiter_->refunded_, std::vector<std::uint64_t>{flow});
  EXPECT_TRUE(limiter_->settled_.empty());
}

TEST_F(TenantLimitTest, RequestThatMayHaveBeenExecutedStaysCharged) {
  const FlowId flow = ArriveWithKey("once", "key-a");
  Fail(One<StartAttempt>(), AttemptFailure::kBroken);
  EXPECT_EQ(core_.flows(), 0U);
  EXPECT_EQ(limiter_->settled_, std::vector<std::uint64_t>{flow});
  EXPECT_TRUE(limiter_->refunded_.empty());
}

TEST_F(TenantLimitTest, ExecutedRequestStaysCharged) {
  const FlowId flow = ArriveWithKey("safe", "key-a");
  Respond(One<StartAttempt>(), 200);
  EXPECT_EQ(limiter_->settled_, std::vector<std::uint64_t>{flow});
  EXPECT_TRUE(limiter_->refunded_.empty());
}

TEST_F(TenantLimitTest, PromptThatWasOnlyPrefilledIsRefunded) {
  const FlowId flow = ArriveWithKey("chat", "key-a", LongPrompt());
  int prefills = 0;
  for (int tries = 0; tries < 40 && core_.flows() > 0; ++tries) {
    const auto starts = All<StartAttempt>();
    if (starts.empty()) {
      Pass(50ms);
    } else if (starts.front().mode == AttemptMode::kPrefill) {
      ++prefills;
      Respond(starts.front(), 200, false, "handle");
    } else {
      Respond(starts.front(), 503, true);
    }
  }
  Pass(5s);
  EXPECT_GT(prefills, 0);
  EXPECT_EQ(core_.flows(), 0U);
  EXPECT_EQ(limiter_->refunded_, std::vector<std::uint64_t>{flow});
  EXPECT_TRUE(limiter_->settled_.empty());
}

TEST_F(TenantLimitTest, PromptIsRefundedDuringPrefill) {
  const FlowId flow = ArriveWithKey("chat", "key-a", LongPrompt());
  ASSERT_EQ(One<StartAttempt>().mode, AttemptMode::kPrefill);
  Send(ClientDisconnected{flow});
  EXPECT_EQ(limiter_->refunded_, std::vector<std::uint64_t>{flow});
  EXPECT_TRUE(limiter_->settled_.empty());
}

TEST_F(TenantLimitTest, PromptStaysChargedOnceDecodeWasRequested) {
  const FlowId flow = ArriveWithKey("chat", "key-a", LongPrompt());
  Respond(One<StartAttempt>(), 200, false, "handle");
  ASSERT_EQ(One<StartAttempt>().mode, AttemptMode::kContinue);
  Send(ClientDisconnected{flow});
  EXPECT_EQ(limiter_->settled_, std::vector<std::uint64_t>{flow});
  EXPECT_TRUE(limiter_->refunded_.empty());
}

TEST_F(TenantLimitTest, PromptWhosePrefillWasRefusedIsRefunded) {
  const FlowId flow = ArriveWithKey("chat", "key-a", LongPrompt());
  for (int tries = 0; tries < 20 && core_.flows() > 0; ++tries) {
    const auto starts = All<StartAttempt>();
    if (starts.empty()) {
      Pass(50ms);
    } else {
      Respond(starts.front(), 503, true);
    }
  }
  Pass(5s);
  EXPECT_EQ(core_.flows(), 0U);
  EXPECT_EQ(limiter_->refunded_, std::vector<std::uint64_t>{flow});
}

TEST_F(TenantLimitTest, RetriedRequestIsChargedOnce) {
  ArriveWithKey("safe", "key-a");
  Fail(One<StartAttempt>(), AttemptFailure::kNotSent);
  Respond(One<StartAttempt>(), 200);
  EXPECT_EQ(limiter_->requested_costs_.size(), 1U);
  EXPECT_EQ(limiter_->settled_.size(), 1U);
}

TEST_F(TenantLimitTest, TenantsWithoutALimitAndAnonymousClientsSkipTheLimiter) {
  limiter_->next_decision_ = OverLimit(1s);
  ArriveWithKey("safe", "key-b");
  EXPECT_EQ(One<StartAttempt>().tenant, "free");
  ArriveWithKey("open", "");
  EXPECT_EQ(One<StartAttempt>().tenant, "");
  EXPECT_TRUE(limiter_->requested_costs_.empty());
}

}  // namespace
}  // namespace saltquay::serving
