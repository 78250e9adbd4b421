// How many engines are ordered, and in which order engines are added and terminated.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "saltquay/duties/capacity_controller.h"

namespace saltquay::duties {

namespace {

serving::ScalingTraits scaling(std::optional<double> spot_price)
{
    return { 1, 94, 4s, spot_price, { { "a", 0.85 }, { "b", 1.2 }, { "c", 1.0 } } };
}

TEST(CapacityPlannerTest, MoreDemandAndSpotEnginesNeedMoreEngines)
{
    CapacityPlannerParameters const parameters;
    auto const base = target_engine_count(parameters, { "s", 30, 10 }, scaling(0.2), 3);
    EXPECT_GT(target_engine_count(parameters, { "s", 60, 10 }, scaling(0.2), 3), base);
    EXPECT_LT(target_engine_count(parameters, { "s", 30, 10 }, scaling(std::nullopt), 3), base);
    // The remainder suffices after the loss of one zone's spot engines and the failure of a fifth of the others.
    EXPECT_GE(base * (1 - 1.0 / 3 - parameters.failure_allowance), 40);
}

RC_GTEST_PROP(CapacityPlannerProperty, SharesStayWithinTheLimits, ())
{
    auto const limits = scaling(*rc::gen::element<std::optional<double>>(std::nullopt, 0.18));
    auto const wanted = *rc::gen::inRange(0, 400);
    auto sum = 0;
    for (auto const& [zone, engines] : distribute_over_zones(CapacityPlannerParameters {}, limits, wanted)) {
        RC_ASSERT(engines.all() >= limits.min);
        RC_ASSERT(engines.all() <= limits.max);
        RC_ASSERT(limits.spot_price || engines.spot == 0);
        sum += engines.all();
    }
    RC_ASSERT(sum >= std::min(wanted, 3 * limits.max));
}

// A platform with three zones that executes orders after the boot time.
class CapacityControllerTest : public ::testing::Test {
protected:
    CapacityControllerTest()
    {
        serving::Service service;
        service.name = "s";
        service.scaling = scaling(0.2);
        config_.services = { service };
        for (auto const* zone : { "a", "b", "c" }) {
            for (auto i = 0; i < 40; ++i)
                add(zone, false);
        }
    }
    void add(std::string const& zone, bool spot)
    {
        serving::EngineRecord record;
        record.id = "e" + std::to_string(++last_id_);
        record.service = "s";
        record.zone = zone;
        record.spot = spot;
        engines_.Update(record);
    }
    int count(std::string const& zone, bool spot) const
    {
        auto sum = 0;
        for (auto const& [id, engine] : engines_.all())
            sum += !engine.gone && engine.record.zone == zone && engine.record.spot == spot ? 1 : 0;
        return sum;
    }
    int on_demand_share_of(std::string const& zone) const
    {
        return static_cast<int>(
            std::ceil(CapacityPlannerParameters {}.on_demand_share * (count(zone, false) + count(zone, true))));
    }
    int total() const
    {
        auto sum = 0;
        for (auto const* zone : { "a", "b", "c" })
            sum += count(zone, false) + count(zone, true);
        return sum;
    }
    void keep_engines(std::string const& zone, bool spot, int to)
    {
        std::vector<std::string> gone;
        for (auto const& [id, engine] : engines_.all()) {
            if (engine.record.zone == zone && engine.record.spot == spot
                && count(zone, spot) - static_cast<int>(gone.size()) > to)
                gone.push_back(id);
        }
        for (auto const& id : gone)
            engines_.Remove(id);
    }
    void execute(ScalingOrder const& order)
    {
        ++orders_;
        on_demand_orders_ += order.spot ? 0 : 1;
        if (order.spot)
            min_spot_order_ = std::min(min_spot_order_, order.engines);
        if (order.spot && spot_unavailable_) {
            controller_.on_order_completed(now_, order, DutyOutcome::Refused);
            return;
        }
        controller_.on_order_completed(now_, order, DutyOutcome::Done);
        EXPECT_LE(order.engines, 94);
        if (order.engines < count(order.zone, order.spot))
            keep_engines(order.zone, order.spot, order.engines);
        for (auto i = count(order.zone, order.spot) + booting(order); i < order.engines; ++i)
            booting_.push_back({ now_ + 4s, order.zone, order.spot });
    }
    int booting(ScalingOrder const& order) const
    {
        return static_cast<int>(std::count_if(booting_.begin(), booting_.end(),
            [&](auto const& engine) { return engine.zone == order.zone && engine.spot == order.spot; }));
    }
    void run(Duration time, bool holds_lease = true)
    {
        auto const end = now_ + time;
        for (; now_ < end; now_ += 100ms) {
            std::erase_if(booting_, [&](auto const& engine) {
                if (engine.at > now_)
                    return false;
                add(engine.zone, engine.spot);
                return true;
            });
            std::vector<CapacityAction> actions;
            controller_.step(now_, holds_lease, 1, config_, demand_, engines_, actions);
            for (auto const& action : actions) {
                if (auto const* order = std::get_if<ScalingOrder>(&action))
                    execute(*order);
            }
            min_total_ = std::min(min_total_, total());
        }
    }

    struct Booting {
        Time at {};
        std::string zone;
        bool spot = false;
    };

    Time now_ { 10s };
    serving::ServingConfig config_;
    serving::EngineDirectory engines_ { serving::EjectionPolicy {} };
    std::map<std::string, serving::ServiceDemand> demand_;
    CapacityController controller_ { CapacityControllerParameters {} };
    std::vector<Booting> booting_;
    bool spot_unavailable_ = false;
    int last_id_ = 0;
    int orders_ = 0;
    int on_demand_orders_ = 0;
    int min_spot_order_ = 1000;
    int min_total_ = 1000;
};

TEST_F(CapacityControllerTest, BeforeTrafficOnDemandEnginesAreReplacedOnceSpotEnginesServe)
{
    run(20s);
    EXPECT_EQ(total(), static_cast<int>(std::ceil(120 * CapacityPlannerParameters {}.cold_start_factor)));
    EXPECT_GE(min_total_, 120); // Never fewer during the replacement.
    for (auto const* zone : { "a", "b", "c" })
        EXPECT_EQ(count(zone, false), on_demand_share_of(zone));
    auto const before = orders_;
    run(60s);
    EXPECT_EQ(orders_, before); // The target is stable.
}

TEST_F(CapacityControllerTest, WithoutRoomOnDemandEnginesAreTerminatedFirst)
{
    for (auto const* zone : { "a", "b", "c" }) {
        for (auto i = 0; i < 20; ++i)
            add(zone, false);
    }
    CapacityControllerParameters parameters;
    parameters.planner.cold_start_factor = 2;
    controller_ = CapacityController(parameters);
    run(30s);
    EXPECT_EQ(total(), 3 * 94);
    EXPECT_GE(min_total_, 180);
    EXPECT_EQ(count("a", false), on_demand_share_of("a"));
}

TEST_F(CapacityControllerTest, EnginesThatRegisterLateCountAndNoneIsTerminatedBeforeAllAreKnown)
{
    // If engines register over three seconds, an order based on the first two would terminate all others.
    for (auto const* zone : { "a", "b", "c" })
        keep_engines(zone, false, 0);
    add("a", false);
    run(2s);
    EXPECT_EQ(on_demand_orders_, 0);
    keep_engines("a", false, 0);
    for (auto const* zone : { "a", "b", "c" }) {
        for (auto i = 0; i < 40; ++i)
            add(zone, false);
    }
    run(2s);
    EXPECT_EQ(count("a", false), 40);
    run(20s);
    EXPECT_GE(total(), 120);
}

TEST_F(CapacityControllerTest, UnderLoadEnginesAreReplacedInSmallSteps)
{
    demand_["s"] = { "s", 25, 5 };
    run(8s);                                  // Settling, boot, and the first step.
    EXPECT_GE(count("a", false), 40 - 2 * 7); // Two steps of 8% of the engines.
    run(60s);
    EXPECT_EQ(count("a", false), on_demand_share_of("a"));
    EXPECT_GE(min_total_, 120);
}

TEST_F(CapacityControllerTest, GrowingDemandAddsEnginesWithinABootTime)
{
    run(20s);
    demand_["s"] = { "s", 70, 10 };
    run(5s);
    EXPECT_GE(total(), 200);
}

TEST_F(CapacityControllerTest, ShortLullsTerminateNoEngines)
{
    demand_["s"] = { "s", 40, 10 };
    run(30s);
    auto const before = total();
    for (auto i = 0; i < 10; ++i) {
        demand_["s"] = { "s", 5, 1 };
        run(20s);
        demand_["s"] = { "s", 40, 10 };
        run(5s);
    }
    EXPECT_EQ(total(), before);
    demand_["s"] = { "s", 5, 1 };
    run(300s);
    EXPECT_LT(total(), before / 2);
}

TEST_F(CapacityControllerTest, WithoutSpotEnginesOnDemandEnginesCoverTheDemand)
{
    run(20s);
    demand_["s"] = { "s", 55, 5 };
    run(6s);
    spot_unavailable_ = true;
    for (auto const* zone : { "a", "b" })
        keep_engines(zone, true, 0);
    run(12s);
    EXPECT_GE(total(), 120); // As many as there were initially.
    EXPECT_LT(total(), 135);
    EXPECT_GT(count("a", false) + count("b", false), 12);
    spot_unavailable_ = false;
    run(120s);
    EXPECT_EQ(count("a", false), on_demand_share_of("a"));
}

TEST_F(CapacityControllerTest, NewLeaseHolderOrdersNoOnDemandEnginesWhileEnoughAreLeftAndTerminatesThemLater)
{
    // Seen in a run with three zones: after a change of the lease holder, the new holder took all engines that it
    // observed for the minimum that must serve, ordered 94 on-demand engines when a zone was lost, and kept them.
    run(20s);
    demand_["s"] = { "s", 55, 5 };
    controller_ = CapacityController(CapacityControllerParameters {});
    run(10s);
    spot_unavailable_ = true;
    keep_engines("a", true, 0);
    on_demand_orders_ = 0;
    run(8s);
    EXPECT_EQ(on_demand_orders_, 0);
    for (auto i = 0; i < 60; ++i)
        add("a", false);
    spot_unavailable_ = false;
    run(60s);
    EXPECT_LE(count("a", false), on_demand_share_of("a") + 1);
}

TEST_F(CapacityControllerTest, EnginesAreTerminatedInSmallStepsAfterALongLull)
{
    demand_["s"] = { "s", 40, 10 };
    run(60s);
    auto const before = total();
    demand_["s"] = { "s", 5, 1 };
    run(118s);
    EXPECT_EQ(total(), before);
    auto last = before;
    for (auto i = 0; i < 6; ++i) {
        run(10s);
        EXPECT_GE(total(), last - before / 8) << i; // Their KV caches are not lost all at once.
        last = total();
    }
    EXPECT_LT(total(), before);
}

TEST_F(CapacityControllerTest, TargetStaysWithinTheLimits)
{
    run(20s);
    demand_["s"] = { "s", 300, 50 };
    run(20s);
    EXPECT_EQ(total(), 3 * 94);
    demand_["s"] = { "s", 5, 1 };
    run(130s);
    EXPECT_LT(total(), 3 * 94); // Relative to the engines present, not to the demand.
}

TEST_F(CapacityControllerTest, OnDemandEnginesAtTheLimitDoNotCancelSpotEngines)
{
    run(20s);
    demand_["s"] = { "s", 150, 20 };
    run(6s);
    spot_unavailable_ = true;
    for (auto const* zone : { "a", "b" })
        keep_engines(zone, true, 0);
    min_spot_order_ = 1000;
    run(20s);
    EXPECT_GT(min_spot_order_, 0);
    EXPECT_GE(total(), 200);
}

TEST_F(CapacityControllerTest, NothingIsOrderedWithoutTheLease)
{
    run(30s, false);
    EXPECT_EQ(orders_, 0);
}

}
}
