// Every node in touch has each change of the store within two seconds, whatever becomes of the ways by which it learns.
// In real time; many fleets side by side on one loop.
#include <gtest/gtest.h>

#include <cstdlib>
#include <set>

#include "src/base/boot_clock.h"
#include "tests/replica/replica_fleet.h"

namespace saltquay::replica {
namespace {

constexpr Duration change_interval = 300ms;
// What a busy machine may add to a check.
constexpr Duration measuring_slack = 150ms;

class FreshnessTest : public ::testing::Test {
protected:
    using Fleets = std::vector<ReplicaFleet*>;

    // Three nodes of a zone, of which two read the store and the last follows, and two of another.
    std::unique_ptr<ReplicaFleet> make_small()
    {
        return std::make_unique<ReplicaFleet>(
            loop_, std::vector<std::string> { "a", "a", "a", "b", "b" }, UpstreamParameters {});
    }
    // Two nodes read the store, one of each zone follows them, the others follow these.
    std::unique_ptr<ReplicaFleet> make_relayed()
    {
        UpstreamParameters parameters;
        parameters.small_fleet_limit = 3;
        parameters.readers_per_zone = 1;
        return std::make_unique<ReplicaFleet>(
            loop_, std::vector<std::string> { "a", "b", "a", "b", "a", "b", "a" }, parameters);
    }
    // Changes go on all the time; `on_step` is told the time since the start.
    void play(Fleets const& fleets, Duration length, std::function<void(Duration)> const& on_step)
    {
        auto const began = BootNow();
        auto next_change = began + change_interval;
        for (auto* fleet : fleets)
            fleet->start();
        while (BootNow() < began + length) {
            loop_.run_for(std::chrono::milliseconds(20));
            on_step(BootNow() - began);
            auto const changes = BootNow() >= next_change;
            if (changes)
                next_change += change_interval;
            for (auto* fleet : fleets) {
                if (changes)
                    fleet->table().put(BootNow());
                fleet->step();
            }
        }
    }

    boost::asio::io_context loop_;
};

// Runs `step` once, when the time has come.
struct Once {
    Duration at;
    std::function<void()> step;
    bool done = false;

    void operator()(Duration now)
    {
        if (done || now < at)
            return;
        done = true;
        step();
    }
};

// Guards against: a follower trusts readers that the store serves no more, and serves an old configuration.
TEST_F(FreshnessTest, AFollowerWhoseReadersAreNoLongerServedIsFreshWithinTheLimit)
{
    auto fleet = make_small();
    Once fault { 4s, [&] {
                    for (std::size_t node : { 0, 1, 3, 4 })
                        fleet->set_fault(node, NodeStore::Fault::Silent);
                } };
    play({ fleet.get() }, 10s, fault);
    EXPECT_LE(fleet->worst_delay(), measuring_slack) << fleet->worst_node();
}

// Guards against: watches on connections that fell silent hold every node under an old configuration.
TEST_F(FreshnessTest, NodesWhoseKeptConnectionsFallSilentAreFreshWithinTheLimit)
{
    auto fleet = make_small();
    Once fault { 4s, [&] { fleet->blackhole_connections(); } };
    play({ fleet.get() }, 10s, fault);
    EXPECT_LE(fleet->worst_delay(), measuring_slack) << fleet->worst_node();
}

// A node's way to the store is in a fault from `from` to `to`.
struct DrawnFault {
    Duration from;
    Duration to;
    std::set<std::size_t> nodes;
    NodeStore::Fault kind = NodeStore::Fault::Silent;
};

// Faults of some nodes' ways to the store, and moments at which all kept connections fall silent.
class DrawnSchedule {
public:
    DrawnSchedule(ReplicaFleet& fleet, std::uint64_t seed)
        : fleet_(fleet)
        , random_(seed)
    {
        auto const faults = 1 + random_.Below(3);
        for (std::uint64_t i = 0; i < faults; ++i)
            faults_.push_back(draw_fault());
        if (random_.Below(2) == 0)
            silences_.insert(draw_time(4000, 6000));
    }
    void step(Duration now)
    {
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            auto fault = NodeStore::Fault::None;
            for (auto const& drawn : faults_) {
                if (now >= drawn.from && now < drawn.to && drawn.nodes.contains(node))
                    fault = drawn.kind;
            }
            if (fleet_.node(node).origin.fault() != fault)
                fleet_.set_fault(node, fault);
        }
        while (!silences_.empty() && *silences_.begin() <= now) {
            silences_.erase(silences_.begin());
            fleet_.blackhole_connections();
        }
    }

private:
    Duration draw_time(std::uint64_t from_ms, std::uint64_t span_ms)
    {
        return std::chrono::milliseconds(from_ms + random_.Below(span_ms));
    }
    DrawnFault draw_fault()
    {
        DrawnFault fault;
        fault.from = draw_time(3500, 6000);
        fault.to = fault.from + draw_time(300, 5000);
        fault.kind = random_.Below(2) == 0 ? NodeStore::Fault::Silent : NodeStore::Fault::Refuses;
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            if (random_.Below(3) > 0)
                fault.nodes.insert(node);
        }
        return fault;
    }

    ReplicaFleet& fleet_;
    Random random_;
    std::vector<DrawnFault> faults_;
    std::set<Duration> silences_;
};

// The first seed; other ones are played by hand with SALTQUAY_FIRST_SEED.
std::uint64_t first_seed()
{
    auto const* text = std::getenv("SALTQUAY_FIRST_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

// Guards against: any sum of long polls, time-outs and avoidance along the way from the store that passes the limit.
TEST_F(FreshnessTest, RandomFaultsOfTheWaysToTheStoreNeverHoldANodeInTouchBeyondTheLimit)
{
    constexpr std::uint64_t fleets_of_each_kind = 12;
    std::vector<std::unique_ptr<ReplicaFleet>> owned;
    Fleets fleets;
    std::vector<DrawnSchedule> schedules;
    for (std::uint64_t seed = first_seed(); seed < first_seed() + 2 * fleets_of_each_kind; ++seed) {
        owned.push_back(seed % 2 == 0 ? make_small() : make_relayed());
        fleets.push_back(owned.back().get());
        schedules.emplace_back(*fleets.back(), seed);
    }
    play(fleets, 14s, [&](Duration now) {
        for (auto& schedule : schedules)
            schedule.step(now);
    });
    for (std::size_t i = 0; i < fleets.size(); ++i)
        EXPECT_LE(fleets[i]->worst_delay(), measuring_slack)
            << "seed " << first_seed() + i << " " << fleets[i]->worst_node();
}

}
}
