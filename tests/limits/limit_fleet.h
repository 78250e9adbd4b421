// Simulates a fleet of limiters on virtual time. The network delays, drops, duplicates and reorders messages and can be
// partitioned.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "saltquay/limits/limiter.h"
#include "src/base/random.h"

namespace saltquay::limits {

// The tolerance that the tests check admissions against.
inline constexpr LimitTolerance test_tolerance { 8s, 0.1, 120'000 };

struct FleetOptions {
    int nodes = 12;
    std::uint64_t seed = 1;
    double loss = 0;
    double duplication = 0;
    Duration max_delay = 3ms; // Delays are uniformly distributed, so messages are reordered.
};

// The load of one tenant's clients.
struct Demand {
    double units_per_s = 0;
    int node = -1;                  // The node that receives all requests; -1: any node.
    double refunded_share = 0;      // Share of admitted requests that are refunded.
    double disconnecting_share = 0; // Share of clients that disconnect within 20 ms.
    std::int64_t cost = 0;          // Cost of each request; 0: random, 200 to 57,000, mostly about 9,200.
};

struct Outcome {
    double offered = 0; // Units.
    double admitted = 0;
    double refused = 0;
    double undecided = 0; // Refused because no owner was reached.
    double refused_share() const { return offered <= 0 ? 0 : (refused + undecided) / offered; }
};

class LimitFleet {
public:
    LimitFleet(FleetOptions const&, std::map<std::string, TenantLimit> limits);

    void set_demand(std::string const& tenant, Demand const& demand) { demands_[tenant] = demand; }
    void run_for(Duration);

    void kill(int node) { nodes_[at(node)].limiter.reset(); }
    void start(int node);
    int add_node();
    // Pauses the node's process; messages to it are queued.
    void suspend(int node, Duration span) { nodes_[at(node)].suspended_until = now_ + span; }
    void begin_stop(int node);
    // Partitions the network: nodes with different `side_of` cannot reach each other.
    void partition(std::function<int(int)> const& side_of);
    void block_link(int from, int to) { blocked_links_.insert({ from, to }); }
    void heal();
    void set_loss(double loss, double duplication);
    void set_limits(std::map<std::string, TenantLimit> const&);

    Time now() const { return now_; }
    int size() const { return static_cast<int>(nodes_.size()); }
    bool is_up(int node) const { return nodes_[at(node)].limiter != nullptr; }
    // The first node that owns the tenant; -1: none.
    int owner_of(std::string const& tenant) const;
    double level_of(std::string const& tenant) const;
    Outcome const& outcome(std::string const& tenant) const { return outcomes_.at(tenant); }
    void reset_outcomes();
    // Units by which admissions in the busiest window exceeded the tolerated amount; negative if they did not.
    double largest_excess(std::string const& tenant, TenantLimit const&) const;
    // Sends one request and runs until it is decided or `wait` has passed.
    std::optional<Decision> request_and_wait(
        int node, std::string const& tenant, std::int64_t cost, Duration wait = 400ms);

private:
    struct Node {
        LimiterNode id;
        std::unique_ptr<Limiter> limiter; // nullptr: killed or not started.
        bool stopping = false;
        Time started {};
        Time suspended_until {};
        std::vector<Time> last_reports; // Last report from each node.
        std::vector<LimitMessage> inbox;
    };
    struct Delivery {
        Time at {};
        std::uint64_t number = 0;
        int to = 0;
        LimitMessage message;
        bool operator<(Delivery const& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
    };
    struct Request {
        std::string tenant;
        std::int64_t cost = 0;
        int node = 0;
        Demand demand;
        std::optional<std::size_t> admission;
        std::optional<Decision> decision;
    };
    struct Admission {
        Time at {};
        std::int64_t cost = 0;
    };

    static std::size_t at(int index) { return static_cast<std::size_t>(index); }
    bool is_running(Node const& node) const { return node.limiter != nullptr && node.suspended_until <= now_; }
    bool is_connected(int from, int to) const;
    void tick();
    void update_membership(int node);
    Time last_report_through_others(int index, int node) const;
    void deliver();
    void flush_output(int node);
    void generate_requests(std::string const& tenant, Demand const&);
    std::uint64_t send_request(int node, std::string const& tenant, Demand const&, std::int64_t cost);
    void record_decision(std::uint64_t request, Decision const&);
    std::int64_t draw_cost();

    FleetOptions options_;
    std::map<std::string, TenantLimit> limits_;
    Random random_;
    Time now_ { 100s };
    std::vector<Node> nodes_;
    std::vector<int> sides_;
    std::set<std::pair<int, int>> blocked_links_;
    std::priority_queue<Delivery> network_;
    std::uint64_t last_number_ = 0;
    std::map<std::string, Demand> demands_;
    std::map<std::uint64_t, Request> requests_;
    std::multimap<Time, std::uint64_t> completions_; // Requests by the time that they end.
    std::map<std::string, std::vector<Admission>> admissions_;
    std::map<std::string, Outcome> outcomes_;
};

}
