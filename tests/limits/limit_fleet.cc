#include "tests/limits/limit_fleet.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace saltquay::limits {

namespace {

constexpr Duration tick_length = 2ms;
constexpr Duration report_interval = 100ms;
// The gateway's time-outs: a node is dropped from the known nodes, and from the reachable ones.
constexpr Duration membership_timeout = 1700ms;
constexpr Duration reachability_timeout = 600ms;
// A started node discovers the others gradually within this period.
constexpr Duration discovery_period = 500ms;

}

LimitFleet::LimitFleet(FleetOptions const& options, std::map<std::string, TenantLimit> limits)
    : options_(options)
    , limits_(std::move(limits))
    , random_(options.seed)
{
    for (auto const& [tenant, limit] : limits_)
        outcomes_[tenant] = {};
    for (int node = 0; node < options.nodes; ++node)
        add_node();
}

int LimitFleet::add_node()
{
    auto const index = size();
    auto const name = "node-" + std::to_string(index);
    nodes_.emplace_back();
    nodes_.back().id = { name, std::to_string(index), "zone-" + std::to_string(index % 3) };
    sides_.push_back(0);
    start(index);
    return index;
}

void LimitFleet::start(int index)
{
    auto& node = nodes_[at(index)];
    auto const incarnation = static_cast<std::uint64_t>(now_.time_since_epoch().count());
    node.limiter = make_distributed_limiter(node.id, incarnation, options_.nodes == 1, test_tolerance, now_);
    node.limiter->set_limits(now_, limits_);
    node.stopping = false;
    node.started = now_;
    node.suspended_until = now_;
    node.last_reports.clear();
    node.inbox.clear();
}

void LimitFleet::begin_stop(int index)
{
    nodes_[at(index)].stopping = true;
    nodes_[at(index)].limiter->begin_stop(now_);
    flush_output(index);
}

void LimitFleet::partition(std::function<int(int)> const& side_of)
{
    for (int node = 0; node < size(); ++node)
        sides_[at(node)] = side_of(node);
}

void LimitFleet::heal()
{
    partition([](int) { return 0; });
    blocked_links_.clear();
}

void LimitFleet::set_loss(double loss, double duplication)
{
    options_.loss = loss;
    options_.duplication = duplication;
}

void LimitFleet::set_limits(std::map<std::string, TenantLimit> const& limits)
{
    limits_ = limits;
    for (auto const& [tenant, limit] : limits_)
        outcomes_.try_emplace(tenant);
    for (auto& node : nodes_) {
        if (node.limiter)
            node.limiter->set_limits(now_, limits);
    }
}

bool LimitFleet::is_connected(int from, int to) const
{
    return sides_[at(from)] == sides_[at(to)] && !blocked_links_.contains({ from, to });
}

// Simulates the gateway's reports: updates the known nodes and the number of reachable ones.
void LimitFleet::update_membership(int index)
{
    auto& node = nodes_[at(index)];
    node.last_reports.resize(nodes_.size());
    auto const is_new = now_ - node.started < discovery_period;
    std::vector<LimiterNode> known;
    int reach = 1;
    for (int other = 0; other < size(); ++other) {
        auto const& sender = nodes_[at(other)];
        if (other == index)
            continue;
        if (is_running(sender) && is_connected(other, index) && (!is_new || random_.Chance(0.4)))
            node.last_reports[at(other)] = now_;
        if (!blocked_links_.empty() && !is_new)
            node.last_reports[at(other)] =
                std::max(node.last_reports[at(other)], last_report_through_others(index, other));
        auto const age = now_ - node.last_reports[at(other)];
        if (age <= membership_timeout && !sender.stopping)
            known.push_back(sender.id);
        reach += age <= reachability_timeout ? 1 : 0;
    }
    node.limiter->set_reachable_nodes(now_, { reach, reachability_timeout });
    node.limiter->set_nodes(now_, known);
}

// Reports name other nodes, so a node whose reports reach only others is known as well.
Time LimitFleet::last_report_through_others(int index, int node) const
{
    Time last {};
    for (int other = 0; other < size(); ++other) {
        auto const& last_reports = nodes_[at(other)].last_reports;
        if (other != index && is_running(nodes_[at(other)]) && is_connected(other, index)
            && last_reports.size() > at(node))
            last = std::max(last, last_reports[at(node)]);
    }
    return last;
}

void LimitFleet::deliver()
{
    while (!network_.empty() && network_.top().at <= now_) {
        auto const delivery = network_.top();
        network_.pop();
        auto& node = nodes_[at(delivery.to)];
        if (node.limiter && !is_running(node))
            node.inbox.push_back(delivery.message);
        else if (node.limiter)
            node.limiter->on_message(now_, delivery.message);
    }
}

void LimitFleet::flush_output(int index)
{
    auto output = nodes_[at(index)].limiter->take_output();
    for (auto const& decided : output.decisions)
        record_decision(decided.request, decided.decision);
    for (auto const& [address, message] : output.messages) {
        auto const to = std::stoi(address);
        if (!is_connected(index, to))
            continue;
        auto const copies = random_.Chance(options_.loss) ? 0 : random_.Chance(options_.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            auto const delay = 200us + random_.DurationBelow(options_.max_delay);
            network_.push({ now_ + delay, ++last_number_, to, message });
        }
    }
}

void LimitFleet::tick()
{
    now_ += tick_length;
    deliver();
    auto const tick_number = now_.time_since_epoch() / tick_length;
    for (int index = 0; index < size(); ++index) {
        auto& node = nodes_[at(index)];
        if (!is_running(node))
            continue;
        for (auto const& message : std::exchange(node.inbox, {}))
            node.limiter->on_message(now_, message);
        if ((tick_number + index) % (report_interval / tick_length) == 0)
            update_membership(index);
        if (auto const due = node.limiter->next_deadline(); due && *due <= now_)
            node.limiter->step(now_);
        flush_output(index);
    }
    for (auto const& [tenant, demand] : demands_)
        generate_requests(tenant, demand);
    while (!completions_.empty() && completions_.begin()->first <= now_) {
        auto const number = completions_.begin()->second;
        completions_.erase(completions_.begin());
        auto const request = requests_.extract(number).mapped();
        auto& limiter = nodes_[at(request.node)].limiter;
        if (!limiter || !is_running(nodes_[at(request.node)]))
            continue;
        auto const is_admitted = request.decision && request.decision->verdict == Verdict::Admitted;
        if (is_admitted && !random_.Chance(request.demand.refunded_share)) {
            limiter->settle(number);
            continue;
        }
        limiter->refund(now_, number); // Also if the client disconnected before the decision.
        if (is_admitted) {
            outcomes_[request.tenant].admitted -= static_cast<double>(request.cost);
            admissions_[request.tenant][*request.admission].cost = 0;
        }
    }
}

void LimitFleet::run_for(Duration span)
{
    for (auto const end = now_ + span; now_ < end;)
        tick();
}

std::int64_t LimitFleet::draw_cost()
{
    if (random_.Chance(0.85))
        return 8'000 + static_cast<std::int64_t>(random_.Below(2'400));
    return random_.Chance(0.8) ? 200 + static_cast<std::int64_t>(random_.Below(5'000))
                               : 20'000 + static_cast<std::int64_t>(random_.Below(37'001));
}

void LimitFleet::generate_requests(std::string const& tenant, Demand const& demand)
{
    constexpr double typical_cost = 9'200; // Approximate mean of `draw_cost`.
    auto const mean = demand.cost > 0 ? static_cast<double>(demand.cost) : typical_cost;
    auto left = demand.units_per_s * ToSeconds(tick_length) / mean;
    for (; left > 0 && random_.Chance(std::min(1.0, left)); left -= 1) {
        auto const node = demand.node >= 0 ? demand.node : static_cast<int>(random_.Below(nodes_.size()));
        auto const& target = nodes_[at(node)];
        // Clients are routed to ready nodes only, which have discovered other nodes by then.
        auto const is_ready = is_running(target) && (options_.nodes == 1 || now_ - target.started >= discovery_period);
        if (is_ready && !target.stopping)
            send_request(node, tenant, demand, demand.cost > 0 ? demand.cost : draw_cost());
    }
}

std::uint64_t LimitFleet::send_request(int node, std::string const& tenant, Demand const& demand, std::int64_t cost)
{
    constexpr Duration run_time = 100ms;
    constexpr Duration decision_time = 400ms;
    auto const number = ++last_number_;
    requests_[number] = { tenant, cost, node, demand, std::nullopt, std::nullopt };
    outcomes_[tenant].offered += static_cast<double>(cost);
    auto const decision = nodes_[at(node)].limiter->admit(now_, number, tenant, cost);
    if (decision.verdict != Verdict::Pending)
        record_decision(number, decision);
    flush_output(node);
    auto const disconnects = random_.Chance(demand.disconnecting_share);
    completions_.emplace(now_ + (disconnects ? random_.DurationBelow(20ms) : run_time + decision_time), number);
    return number;
}

void LimitFleet::record_decision(std::uint64_t number, Decision const& decision)
{
    auto const found = requests_.find(number);
    if (found == requests_.end())
        return;
    auto& request = found->second;
    request.decision = decision;
    auto& outcome = outcomes_[request.tenant];
    auto const cost = static_cast<double>(request.cost);
    if (decision.verdict != Verdict::Admitted) {
        (decision.over_limit ? outcome.refused : outcome.undecided) += cost;
        return;
    }
    outcome.admitted += cost;
    auto& admissions = admissions_[request.tenant];
    request.admission = admissions.size();
    admissions.push_back({ now_, request.cost });
}

std::optional<Decision> LimitFleet::request_and_wait(
    int node, std::string const& tenant, std::int64_t cost, Duration wait)
{
    auto const number = send_request(node, tenant, {}, cost);
    for (auto const end = now_ + wait; now_ < end && !requests_.at(number).decision;)
        tick();
    return requests_.at(number).decision;
}

int LimitFleet::owner_of(std::string const& tenant) const
{
    for (int node = 0; node < size(); ++node) {
        if (!is_up(node))
            continue;
        for (auto const& status : nodes_[at(node)].limiter->status(now_)) {
            if (status.tenant == tenant && status.is_owner)
                return node;
        }
    }
    return -1;
}

double LimitFleet::level_of(std::string const& tenant) const
{
    double level = 0;
    for (auto const& node : nodes_) {
        if (!node.limiter)
            continue;
        for (auto const& status : node.limiter->status(now_))
            level += status.tenant == tenant && status.is_owner ? status.level : 0;
    }
    return level;
}

void LimitFleet::reset_outcomes()
{
    for (auto& [tenant, outcome] : outcomes_)
        outcome = {};
}

double LimitFleet::largest_excess(std::string const& tenant, TenantLimit const& limit) const
{
    auto const per_window = static_cast<double>(limit.rate_per_s) * ToSeconds(test_tolerance.window);
    auto const allowed = (per_window + static_cast<double>(limit.burst)) * (1 + test_tolerance.overage)
        + static_cast<double>(test_tolerance.slack);
    double largest = -allowed;
    auto const found = admissions_.find(tenant);
    if (found == admissions_.end())
        return largest;
    double in_window = 0;
    auto first = found->second.begin();
    for (auto const& admission : found->second) {
        in_window += static_cast<double>(admission.cost);
        for (; first->at <= admission.at - test_tolerance.window; ++first)
            in_window -= static_cast<double>(first->cost);
        largest = std::max(largest, in_window - allowed);
    }
    return largest;
}

}
