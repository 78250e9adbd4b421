// Router, load table, prefix index, retry budget, tenant limits, role planner.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/admission/retry_budget.h"
#include "src/core/admission/tenant_limiter.h"
#include "src/core/roles/role_planner.h"
#include "src/core/routing/router.h"
#include "src/simulation/deployments.h"
#include "tests/support/core_fixture.h"

namespace saltquay {
namespace {

constexpr ModelVersionId kVersion{77};

class RouterTest : public testing::Test {
 protected:
  RouterTest() : context_(1), prefixes_(256) {
    bundle_ = *ParseBundle(MakeBundleText(Deployment::kFederation, BundlePlan{}), "b");
    for (std::uint32_t id = 1; id <= 6; ++id) {
      Machine machine;
      machine.id = id;
      machine.kind = MachineKind::kEngine;
      machine.zone = ZoneId{(id - 1) % 3 + 1};
      machine.pool = "consulta";
      machines_.push_back(machine);
    }
    table_.SetMachines(machines_);
    for (std::uint32_t id = 1; id <= 6; ++id) {
      Report(id, id <= 3 ? EngineRole::kPrefill : EngineRole::kDecode, 0, 0);
    }
  }

  void Report(std::uint32_t id, EngineRole role, std::uint16_t running, std::uint32_t queued) {
    EngineLoad load;
    load.engine = EngineId{id};
    load.boot = BootId{id};
    load.role = role;
    load.model_version = kVersion;
    load.running = running;
    load.queued_prefill_tokens = queued;
    table_.OnLoad(*context_, load);
  }
  RouteRequest Request(std::uint32_t prompt_tokens, std::uint32_t output_tokens = 50) {
    RouteRequest request;
    request.pool = bundle_.FindPool("consulta");
    request.versions = {kVersion};
    request.prompt_tokens = prompt_tokens;
    request.prompt_blocks = &blocks_;
    request.output_tokens = output_tokens;
    return request;
  }
  std::optional<Route> Choose(const RouteRequest& request) {
    return router_.Choose(*context_, table_, prefixes_, request);
  }

  TestContext context_;
  Bundle bundle_;
  std::vector<Machine> machines_;
  LoadTable table_;
  PrefixIndex prefixes_;
  Router router_;
  std::vector<BlockHash> blocks_;
};

TEST_F(RouterTest, LongPromptsGoToPrefillEnginesAndShortOnesRunWhole) {
  EXPECT_EQ(Choose(Request(8000))->mode, AttemptMode::kPrefill);
  const std::optional<Route> brief = Choose(Request(60));
  EXPECT_EQ(brief->mode, AttemptMode::kWhole);
  EXPECT_GE(brief->engine.value, 4U);
  RouteRequest unsplit = Request(8000);
  unsplit.allow_split = false;
  EXPECT_EQ(Choose(unsplit)->mode, AttemptMode::kWhole);
}

TEST_F(RouterTest, BusyAvoidedDrainingLeavingEjectedAndStaleEnginesGetNothing) {
  Report(1, EngineRole::kPrefill, 3, 60'000);
  EXPECT_NE(Choose(Request(8000))->engine, EngineId{1});
  RouteRequest avoiding = Request(8000);
  avoiding.avoid = {EngineId{2}};
  Report(1, EngineRole::kPrefill, 0, 0);
  table_.SetDraining({EngineId{3}});
  EXPECT_EQ(Choose(avoiding)->engine, EngineId{1});
  machines_[0].state = MachineState::kLeaving;
  table_.SetMachines(machines_);
  EXPECT_NE(Choose(avoiding)->mode, AttemptMode::kPrefill);
  for (int i = 0; i < 3; ++i) table_.RecordFailure(*context_, EngineId{4});
  RouteRequest decode = Request(8000);
  decode.decode_in_zone = ZoneId{1};
  EXPECT_FALSE(Choose(decode).has_value());
  context_.Advance(10s);
  EXPECT_FALSE(Choose(Request(60)).has_value());
}

TEST_F(RouterTest, PrefillNeedsADecodeEngineInItsZone) {
  table_.SetDraining({EngineId{4}, EngineId{5}});
  for (int i = 0; i < 20; ++i) {
    const std::optional<Route> route = Choose(Request(8000));
    if (route->mode == AttemptMode::kPrefill) {
      EXPECT_EQ(route->engine, EngineId{3});
    }
  }
}

TEST_F(RouterTest, CachedPrefixDrawsTheRequest) {
  for (std::uint64_t i = 1; i <= 24; ++i) blocks_.push_back(BlockHash{i});
  prefixes_.NoteServed(EngineId{2}, blocks_);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Choose(Request(6500))->engine, EngineId{2});
  EXPECT_EQ(Choose(Request(6500))->cached_tokens, 24 * kBlockTokens);
}

TEST_F(RouterTest, OwnSendsCountUntilAReportShowsThem) {
  for (int i = 0; i < 3; ++i) {
    const Route route = *Choose(Request(8000));
    table_.OnSent(*context_, route.engine, AttemptId{"k" + std::to_string(i), 1}, 8000, false);
  }
  // Three prefill engines, three prompts: none got two.
  for (const auto& [id, entry] : table_.engines()) EXPECT_LE(entry.own_work.size(), 1U);
}

TEST(PrefixIndexTest, BoundedCorrectedAndDistrustedOverGaps) {
  PrefixIndex index(4);
  const std::vector<BlockHash> blocks = {BlockHash{1}, BlockHash{2}, BlockHash{3}};
  index.NoteServed(EngineId{1}, blocks);
  EXPECT_EQ(index.CachedTokens(EngineId{1}, blocks), 3 * kBlockTokens);
  index.Correct(EngineId{1}, blocks, kBlockTokens);
  EXPECT_EQ(index.CachedTokens(EngineId{1}, blocks), kBlockTokens);
  index.NoteServed(EngineId{1}, {BlockHash{7}, BlockHash{8}, BlockHash{9}, BlockHash{10}});
  EXPECT_EQ(index.CachedTokens(EngineId{1}, blocks), 0U);
  index.OnEvents(EngineId{2}, BootId{1}, {{1, true, BlockHash{1}}, {2, true, BlockHash{2}}});
  EXPECT_EQ(index.CachedTokens(EngineId{2}, blocks), 2 * kBlockTokens);
  index.OnEvents(EngineId{2}, BootId{1}, {{9, true, BlockHash{3}}});
  EXPECT_EQ(index.CachedTokens(EngineId{2}, blocks), 0U);
}

RC_GTEST_PROP(RetryBudgetProperty, RetriesNeverExceedTheReservePlusAShareOfSuccesses, ()) {
  RetryBudget budget(0.1, 10);
  const auto steps = *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>());
  double successes = 0;
  double retries = 0;
  for (const bool success : steps) {
    if (success) {
      budget.NoteSuccess();
      ++successes;
    } else if (budget.TryTake()) {
      ++retries;
    }
    RC_ASSERT(retries <= 10 + 0.1 * successes + 1e-9);
  }
}

TEST(TenantLimiterTest, RateAndTokensAreLimitedAndReturned) {
  TestContext context;
  TenantLimiter limiter;
  const TenantLimit limit{"t", 4, 1000};
  for (int i = 0; i < 4; ++i) EXPECT_FALSE(limiter.Admit(*context, limit, "t", 10, 1).has_value());
  const std::optional<Duration> wait = limiter.Admit(*context, limit, "t", 10, 1);
  ASSERT_TRUE(wait.has_value());
  EXPECT_LE(*wait, Duration(250ms));
  EXPECT_FALSE(limiter.Admit(*context, limit, "other", 10, 1).has_value());
  context.Advance(1s);
  EXPECT_TRUE(limiter.Admit(*context, limit, "t", 2000, 1).has_value());
  limiter.Release("t", 40);
  EXPECT_FALSE(limiter.Admit(*context, limit, "t", 2000, 1).has_value());
  context.Advance(60s);
  limiter.Release("t", 2000);
  limiter.Release("other", 10);
  limiter.OnTick(*context);
  EXPECT_EQ(limiter.tenant_count(), 0U);
}

class RolePlannerTest : public testing::Test {
 protected:
  RolePlannerTest() {
    bundle_ = *ParseBundle(MakeBundleText(Deployment::kFederation, BundlePlan{}), "b");
    for (std::uint32_t id = 1; id <= 9; ++id) {
      engines_.push_back(
          {EngineId{id}, ZoneId{(id - 1) % 3}, id <= 4 ? EngineRole::kPrefill : EngineRole::kDecode, 0, false});
    }
  }
  std::optional<RoleChange> Plan(double prefill, double decode) {
    return planner_.Plan(*context_, *bundle_.FindPool("consulta"), PoolDemand{prefill, decode}, engines_);
  }

  TestContext context_;
  Bundle bundle_;
  std::vector<PlannedEngine> engines_;
  RolePlanner planner_;
};

TEST_F(RolePlannerTest, ChangesTowardsTheScarceRoleOnly) {
  EXPECT_FALSE(Plan(2, 2).has_value());
  const std::optional<RoleChange> change = Plan(6, 1);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->role, EngineRole::kPrefill);
  EXPECT_GT(change->gain, change->cost);
  EXPECT_EQ(Plan(0.5, 7)->role, EngineRole::kDecode);
}

TEST_F(RolePlannerTest, CooldownStopsASecondChange) {
  planner_.NoteChange(*context_, "consulta", EngineId{9}, EngineRole::kPrefill);
  EXPECT_FALSE(Plan(6, 1).has_value());
  context_.Advance(5s);
  const std::optional<RoleChange> change = Plan(6, 1);
  ASSERT_TRUE(change.has_value());
  EXPECT_NE(change->engine, EngineId{9});
}

TEST_F(RolePlannerTest, TurningBackSoonNeedsMoreGain) {
  const auto gain_over_cost = [](const std::optional<RoleChange>& change) { return change->gain / change->cost; };
  const std::optional<RoleChange> first = Plan(4.6, 1.5);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->role, EngineRole::kPrefill);
  planner_.NoteChange(*context_, "consulta", EngineId{1}, EngineRole::kDecode);
  context_.Advance(10s);
  const std::optional<RoleChange> soon = Plan(4.6, 1.5);
  const double needed = (*context_).parameters().role_gain_threshold * (*context_).parameters().role_reversal_factor;
  EXPECT_EQ(soon.has_value(), gain_over_cost(first) >= needed);
  context_.Advance((*context_).parameters().role_reversal_window);
  EXPECT_TRUE(Plan(4.6, 1.5).has_value());
}

TEST_F(RolePlannerTest, FrozenWhenRoleControlIsOff) {
  Parameters parameters;
  parameters.role_control = false;
  TestContext frozen(1, parameters);
  EXPECT_FALSE(planner_.Plan(*frozen, *bundle_.FindPool("consulta"), PoolDemand{8, 0.1}, engines_).has_value());
}

RC_GTEST_PROP(RolePlannerProperty, KeepsBoundsAndADecodeEngineInEachZone, ()) {
  Bundle bundle = *ParseBundle(MakeBundleText(Deployment::kFederation, BundlePlan{}), "b");
  TestContext context;
  std::vector<PlannedEngine> engines;
  for (std::uint32_t id = 1; id <= 9; ++id) {
    engines.push_back(
        {EngineId{id}, ZoneId{(id - 1) % 3}, id <= 4 ? EngineRole::kPrefill : EngineRole::kDecode, 0, false});
  }
  RolePlanner planner;
  for (int step = 0; step < 20; ++step) {
    const PoolDemand demand{*rc::gen::inRange(0, 100) / 10.0, *rc::gen::inRange(0, 100) / 10.0};
    const std::optional<RoleChange> change = planner.Plan(*context, *bundle.FindPool("consulta"), demand, engines);
    if (change.has_value()) {
      for (PlannedEngine& engine : engines) {
        if (engine.engine == change->engine) engine.role = change->role;
      }
      planner.NoteChange(*context, "consulta", change->engine, change->role);
    }
    for (std::uint32_t zone = 0; zone < 3; ++zone) {
      int prefill = 0;
      for (const PlannedEngine& engine : engines) {
        prefill += engine.zone == ZoneId{zone} && engine.role == EngineRole::kPrefill ? 1 : 0;
      }
      RC_ASSERT(prefill <= 2);
    }
    context.Advance(10s);
  }
}

}  // namespace
}  // namespace saltquay
