// A node never takes its copy of the store's objects for newer than it is, whatever delays the responses that it reads,
// and what it takes for current is in force within two seconds. Runs in real time, with many fleets on one event loop.
#include <gtest/gtest.h>

#include <cstdlib>

#include "src/base/boot_clock.h"
#include "tests/replica/replica_fleet.h"

namespace saltquay::replica {
namespace {

// Scheduling delay that a busy machine may add to a check.
constexpr Duration measuring_margin = 150ms;

// The first seed; set SALTQUAY_FIRST_SEED to run other seeds manually.
std::uint64_t first_seed()
{
    auto const* text = std::getenv("SALTQUAY_FIRST_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

// One step of a schedule: `begin` at `from`, `end` at `to`.
struct Fault {
    Duration from;
    Duration to;
    std::function<void()> begin;
    std::function<void()> end;
    enum class State { Pending, Active, Over } state = State::Pending;

    void step(Duration now)
    {
        if (state == State::Pending && now >= from) {
            begin();
            state = State::Active;
        }
        if (state == State::Active && now >= to) {
            end();
            state = State::Over;
        }
    }
};

// A fleet under continuous changes and random faults of a few kinds, several at a time.
class FaultyFleet {
public:
    FaultyFleet(boost::asio::io_context& loop, std::uint64_t seed)
        : random_(seed)
        , fleet_(loop, zones(random_), parameters(random_))
        , change_interval_(random_time(100, 500))
    {
        // Changes of large objects leave a short history, so that followers list again.
        if (random_.Below(3) == 0)
            fleet_.table().content = std::string(300 * 1024, 'c');
        for (auto faults = 2 + random_.Below(4); faults > 0; --faults)
            add_fault();
    }
    void start() { fleet_.start(); }
    void step(Duration now)
    {
        for (auto& fault : faults_)
            fault.step(now);
        while (now >= next_change_) {
            next_change_ += change_interval_;
            random_.Below(4) == 0 ? fleet_.table().put_other() : fleet_.table().put(BootNow());
        }
        fleet_.step();
    }
    ReplicaFleet const& fleet() const { return fleet_; }

private:
    static std::vector<std::string> zones(Random& random)
    {
        std::vector<std::string> zones;
        for (auto nodes = 3 + random.Below(6); nodes > 0; --nodes)
            zones.push_back(random.Below(2) == 0 ? "a" : "b");
        return zones;
    }
    static UpstreamParameters parameters(Random& random)
    {
        UpstreamParameters parameters;
        if (random.Below(2) == 0)
            return parameters;
        // Two nodes read the store, one node of each zone follows them, and the others follow these relays.
        parameters.small_fleet_limit = 2;
        parameters.readers_per_zone = 1;
        return parameters;
    }
    Duration random_time(std::uint64_t from_ms, std::uint64_t span_ms)
    {
        return std::chrono::milliseconds(from_ms + random_.Below(span_ms));
    }
    void add_fault()
    {
        auto const from = random_time(3500, 6000);
        auto const node = random_.Below(fleet_.size());
        auto const to = from + random_time(300, 4000);
        switch (random_.Below(6)) {
        case 0:
        case 1: {
            auto const delay = random_time(50, 2000);
            return add(
                from, to, [=, this] { fleet_.set_response_delay(node, delay); },
                [=, this] { fleet_.set_response_delay(node, 0s); });
        }
        case 2:
            return add(
                from, to, [=, this] { fleet_.suspend(node, true); }, [=, this] { fleet_.suspend(node, false); });
        case 3:
            return add(
                from, to, [=, this] { fleet_.set_fault(node, NodeStore::Fault::Unresponsive); },
                [=, this] { fleet_.set_fault(node, NodeStore::Fault::None); });
        case 4:
            return add(
                from, from + 1s, [this] { fleet_.begin_silence(); }, [this] { fleet_.end_silence(); });
        default:
            return add(
                from, to, [this] { fleet_.set_reports_arrive(false); }, [this] { fleet_.set_reports_arrive(true); });
        }
    }
    void add(Duration from, Duration to, std::function<void()> begin, std::function<void()> end)
    {
        faults_.push_back({ from, to, std::move(begin), std::move(end) });
    }

    Random random_;
    ReplicaFleet fleet_;
    Duration change_interval_;
    Duration next_change_ {};
    std::vector<Fault> faults_;
};

class RecordAgeTest : public ::testing::Test {
protected:
    template<typename Step> void run(Duration length, Step const& step)
    {
        auto const began = BootNow();
        while (BootNow() < began + length) {
            loop_.run_for(std::chrono::milliseconds(20));
            step(BootNow() - began);
        }
    }

    boost::asio::io_context loop_;
};

// Guards against a node that dates its copy by the arrival of a response that was sent long before.
TEST_F(RecordAgeTest, CopyIsNeverOlderThanItsClaimedAgeUnderRandomFaults)
{
    constexpr std::uint64_t fleets = 24;
    std::vector<std::unique_ptr<FaultyFleet>> owned;
    for (std::uint64_t seed = first_seed(); seed < first_seed() + fleets; ++seed) {
        owned.push_back(std::make_unique<FaultyFleet>(loop_, seed));
        owned.back()->start();
    }
    run(14s, [&](Duration now) {
        for (auto& fleet : owned)
            fleet->step(now);
    });
    for (std::size_t i = 0; i < owned.size(); ++i) {
        auto const& fleet = owned[i]->fleet();
        EXPECT_EQ(fleet.worst_overstatement().count(), 0) << "seed " << first_seed() + i;
        EXPECT_LE(fleet.worst_delay(), measuring_margin) << "seed " << first_seed() + i << " " << fleet.worst_node();
    }
}

}
}
