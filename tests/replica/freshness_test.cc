// Every connected node receives each change of the store within two seconds, whatever faults occur on the paths by
// which changes arrive. Runs in real time, with many fleets in parallel on one event loop.
#include <gtest/gtest.h>

#include <cstdlib>
#include <set>

#include "src/base/boot_clock.h"
#include "tests/replica/replica_fleet.h"

namespace saltquay::replica {
namespace {

constexpr Duration change_interval = 300ms;
// Scheduling delay that a busy machine may add to a check.
constexpr Duration measuring_margin = 150ms;

class FreshnessTest : public ::testing::Test {
protected:
    using Fleets = std::vector<ReplicaFleet*>;

    // Three nodes of one zone, two of which read the store while the third follows them, and two nodes of another zone.
    std::unique_ptr<ReplicaFleet> make_small_fleet()
    {
        return std::make_unique<ReplicaFleet>(
            loop_, std::vector<std::string> { "a", "a", "a", "b", "b" }, UpstreamParameters {});
    }
    // Two nodes read the store, one node of each zone follows them, and the others follow these relays.
    std::unique_ptr<ReplicaFleet> make_relayed_fleet()
    {
        UpstreamParameters parameters;
        parameters.small_fleet_limit = 3;
        parameters.readers_per_zone = 1;
        return std::make_unique<ReplicaFleet>(
            loop_, std::vector<std::string> { "a", "b", "a", "b", "a", "b", "a" }, parameters);
    }
    // Runs the fleets under continuous changes; `on_step` receives the time since the start.
    void run(Fleets const& fleets, Duration length, std::function<void(Duration)> const& on_step)
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

// Runs `step` once when `at` has passed.
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

// Guards against a follower that trusts readers which the store no longer serves, and so keeps an outdated
// configuration.
TEST_F(FreshnessTest, FollowerIsFreshWithinTheLimitWhenTheStoreStopsServingItsReaders)
{
    auto fleet = make_small_fleet();
    Once fault { 4s, [&] {
                    for (std::size_t node : { 0, 1, 3, 4 })
                        fleet->set_fault(node, NodeStore::Fault::Unresponsive);
                } };
    run({ fleet.get() }, 10s, fault);
    EXPECT_LE(fleet->worst_delay(), measuring_margin) << fleet->worst_node();
}

// Guards against watches on blackholed connections that leave every node with an outdated configuration.
TEST_F(FreshnessTest, NodesAreFreshWithinTheLimitWhenKeepAliveConnectionsAreBlackholed)
{
    auto fleet = make_small_fleet();
    Once fault { 4s, [&] { fleet->blackhole_connections(); } };
    run({ fleet.get() }, 10s, fault);
    EXPECT_LE(fleet->worst_delay(), measuring_margin) << fleet->worst_node();
}

// Guards against a follower that the store tells to list again and that is not allowed the list.
TEST_F(FreshnessTest, FollowersAreFreshWithinTheLimitAfterTheStoreLosesItsHistory)
{
    std::vector<std::unique_ptr<ReplicaFleet>> owned;
    Fleets fleets;
    std::vector<Once> faults;
    for (auto silence_start = 4000ms; silence_start < 4800ms; silence_start += 100ms) {
        owned.push_back(owned.size() % 2 == 0 ? make_small_fleet() : make_relayed_fleet());
        auto* fleet = owned.back().get();
        fleets.push_back(fleet);
        faults.push_back({ silence_start, [=] { fleet->begin_silence(); } });
        faults.push_back({ silence_start + 1s, [=] { fleet->end_silence(); } });
    }
    run(fleets, 10s, [&](Duration now) {
        for (auto& fault : faults)
            fault(now);
    });
    for (auto* fleet : fleets)
        EXPECT_LE(fleet->worst_delay(), measuring_margin) << fleet->size() << " nodes, " << fleet->worst_node();
}

// Guards against a node that has to list again and waits for suspended peers until its copy is beyond the limit.
TEST_F(FreshnessTest, NodeWithACopyDoesNotWaitLongForAListOfSuspendedPeers)
{
    constexpr Duration limit = 1s; // Half of the limit for changes: the copy may be half as old when the list begins.
    auto fleet = make_small_fleet();
    Time listing_since {};
    Duration took {};
    Once begin_list { 4s, [&] {
                         fleet->suspend(0, true);
                         fleet->suspend(1, true);
                         listing_since = BootNow();
                         fleet->node(2).store.List("config", [&](absl::StatusOr<gateway::ObjectList> const& list) {
                             EXPECT_TRUE(list.ok()) << list.status();
                             took = BootNow() - listing_since;
                         });
                     } };
    run({ fleet.get() }, 7s, begin_list);
    EXPECT_GT(took, 0s);
    EXPECT_LE(took, limit);
}

// The paths of `nodes` to the store have a fault from `from` to `to`.
struct RandomFault {
    Duration from;
    Duration to;
    std::set<std::size_t> nodes;
    NodeStore::Fault kind = NodeStore::Fault::Unresponsive;
};

// Random faults of some nodes' paths to the store, and times at which all keep-alive connections are blackholed.
class RandomFaultSchedule {
public:
    RandomFaultSchedule(ReplicaFleet& fleet, std::uint64_t seed)
        : fleet_(fleet)
        , random_(seed)
    {
        auto const faults = 1 + random_.Below(3);
        for (std::uint64_t i = 0; i < faults; ++i)
            faults_.push_back(random_fault());
        if (random_.Below(2) == 0)
            blackholings_.insert(random_time(4000, 6000));
    }
    void step(Duration now)
    {
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            auto fault = NodeStore::Fault::None;
            for (auto const& scheduled : faults_) {
                if (now >= scheduled.from && now < scheduled.to && scheduled.nodes.contains(node))
                    fault = scheduled.kind;
            }
            if (fleet_.node(node).origin.fault() != fault)
                fleet_.set_fault(node, fault);
        }
        while (!blackholings_.empty() && *blackholings_.begin() <= now) {
            blackholings_.erase(blackholings_.begin());
            fleet_.blackhole_connections();
        }
    }

private:
    Duration random_time(std::uint64_t from_ms, std::uint64_t span_ms)
    {
        return std::chrono::milliseconds(from_ms + random_.Below(span_ms));
    }
    RandomFault random_fault()
    {
        RandomFault fault;
        fault.from = random_time(3500, 6000);
        fault.to = fault.from + random_time(300, 5000);
        fault.kind = random_.Below(2) == 0 ? NodeStore::Fault::Unresponsive : NodeStore::Fault::Rejects;
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            if (random_.Below(3) > 0)
                fault.nodes.insert(node);
        }
        return fault;
    }

    ReplicaFleet& fleet_;
    Random random_;
    std::vector<RandomFault> faults_;
    std::set<Duration> blackholings_;
};

// The first seed; set SALTQUAY_FIRST_SEED to run other seeds manually.
std::uint64_t first_seed()
{
    auto const* text = std::getenv("SALTQUAY_FIRST_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

// Guards against any combination of long polls, timeouts and avoidance periods along the path from the store that
// exceeds the limit.
TEST_F(FreshnessTest, RandomStoreFaultsNeverDelayAConnectedNodeBeyondTheLimit)
{
    constexpr std::uint64_t fleets_per_topology = 12;
    std::vector<std::unique_ptr<ReplicaFleet>> owned;
    Fleets fleets;
    std::vector<RandomFaultSchedule> schedules;
    for (std::uint64_t seed = first_seed(); seed < first_seed() + 2 * fleets_per_topology; ++seed) {
        owned.push_back(seed % 2 == 0 ? make_small_fleet() : make_relayed_fleet());
        fleets.push_back(owned.back().get());
        schedules.emplace_back(*fleets.back(), seed);
    }
    run(fleets, 14s, [&](Duration now) {
        for (auto& schedule : schedules)
            schedule.step(now);
    });
    for (std::size_t i = 0; i < fleets.size(); ++i)
        EXPECT_LE(fleets[i]->worst_delay(), measuring_margin)
            << "seed " << first_seed() + i << " " << fleets[i]->worst_node();
}

}
}
