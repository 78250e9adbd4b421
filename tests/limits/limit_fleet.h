// A fleet of limiters on virtual time, with a network that delays, loses, doubles, reorders and cuts.
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

// The tolerance that every test's bound is checked against.
inline constexpr LimitTolerance test_tolerance { 8s, 0.1, 120'000 };

struct FleetOptions {
    int nodes = 12;
    std::uint64_t seed = 1;
    double lost = 0;
    double doubled = 0;
    Duration longest_way = 3ms; // Shorter ways are as likely: messages overtake each other.
};

// What callers of one tenant send.
struct Demand {
    double units_per_s = 0;
    int node = -1;         // The node that they all come to; -1: any.
    double given_back = 0; // This share of what is admitted turns out not to have run.
    double leaving = 0;    // This share of callers is gone before an answer.
    std::int64_t cost = 0; // Of each request; 0: mostly about 9,200, 200 to 57,000.
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

    void demand(std::string const& tenant, Demand const& demand) { demands_[tenant] = demand; }
    void run_for(Duration);

    void kill(int node) { nodes_[at(node)].limiter.reset(); }
    void start(int node);
    int add_node();
    // The node's process stands still; what is sent to it waits.
    void suspend(int node, Duration span) { nodes_[at(node)].asleep_until = now_ + span; }
    void begin_stop(int node);
    // Nodes of different sides do not reach each other.
    void cut(std::function<int(int)> const& side_of);
    void cut_link(int from, int to) { cut_links_.insert({ from, to }); }
    void heal();
    void set_loss(double lost, double doubled);
    void set_limits(std::map<std::string, TenantLimit> const&);

    Time now() const { return now_; }
    int size() const { return static_cast<int>(nodes_.size()); }
    bool is_up(int node) const { return nodes_[at(node)].limiter != nullptr; }
    // The first node that holds the tenant's bucket; -1: none.
    int home_of(std::string const& tenant) const;
    double level_of(std::string const& tenant) const;
    Outcome const& outcome(std::string const& tenant) const { return outcomes_.at(tenant); }
    void forget_outcomes();
    // By how many units the busiest window passed what the tolerance allows of the limit; below 0: it holds.
    double most_over(std::string const& tenant, TenantLimit const&) const;
    // Asks by hand.
    std::optional<Decision> ask(int node, std::string const& tenant, std::int64_t cost, Duration wait = 400ms);

private:
    struct Node {
        LimiterNode id;
        std::unique_ptr<Limiter> limiter; // nullptr: killed, or not started yet.
        bool stopping = false;
        Time started {};
        Time asleep_until {};
        std::vector<Time> heard; // By node.
        std::vector<LimitMessage> waiting;
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
    bool awake(Node const& node) const { return node.limiter != nullptr && node.asleep_until <= now_; }
    bool linked(int from, int to) const;
    void tick();
    void hear(int node);
    Time heard_by_others(int index, int node) const;
    void deliver();
    void drain(int node);
    void offer(std::string const& tenant, Demand const&);
    std::uint64_t send_request(int node, std::string const& tenant, Demand const&, std::int64_t cost);
    void conclude(std::uint64_t request, Decision const&);
    std::int64_t draw_cost();

    FleetOptions options_;
    std::map<std::string, TenantLimit> limits_;
    Random random_;
    Time now_ { 100s };
    std::vector<Node> nodes_;
    std::vector<int> sides_;
    std::set<std::pair<int, int>> cut_links_;
    std::priority_queue<Delivery> network_;
    std::uint64_t last_number_ = 0;
    std::map<std::string, Demand> demands_;
    std::map<std::uint64_t, Request> requests_;
    std::multimap<Time, std::uint64_t> over_; // When requests end.
    std::map<std::string, std::vector<Admission>> admissions_;
    std::map<std::string, Outcome> outcomes_;
};

}
