// This node's share of the fleet-wide retry budget, computed without coordination.
//
// The budget: within every window, arrivals at a service's engines beyond the first of each request, and refused first
// prefills ("extra arrivals"), stay below ratio x requests + slack, summed over all nodes. Each node spends the ratio
// of its own requests and an equal share of the slack. A process that may have a predecessor gets no slack in its
// first window, since the predecessor may have spent it. The slack is divided among all nodes known over a long time: a
// node whose reports no longer arrive may be partitioned and still spend its share.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "src/base/sliding_maximum.h"
#include "src/base/time.h"

namespace saltquay::serving {

// Why an arrival is charged to the budget.
enum class ExtraArrival {
  kExecutionRetried,  // An execution after the first.
  kPrefillRetried,    // A prefill of the prompt after the first.
  kPrefillRefused,    // The first prefill, which the engine did not accept.
};

// Names in logs and metrics, kept as operators know them: "run" is an execution, "reading" a prefill.
inline std::string_view NameOf(ExtraArrival cause) {
  if (cause == ExtraArrival::kExecutionRetried) return "run repeated";
  return cause == ExtraArrival::kPrefillRetried ? "reading repeated" : "reading refused";
}

struct RetryBudgetBounds {
  double ratio = 0.2;
  Duration window = 10s;
  double slack = 0;
  double safety = 0.8;  // The share of the allowance (ratio and slack) that is spent.
  // For how many windows a node that has disappeared keeps its share of the slack. In a network partition that lasts
  // longer, each side spends the whole slack.
  int node_count_windows = 12;
};

class RetryBudgetShare {
 public:
  explicit RetryBudgetShare(const RetryBudgetBounds& bounds)
      : bounds_(bounds), counts_(bounds.node_count_windows * bounds.window) {}

  // Call if this may not be the node's first process: the spending of the earlier one in this window is not known.
  void BeginAfterRestart(Time now) { slack_available_from_ = now + bounds_.window; }

  // `nodes`: how many nodes share the slack now, including this one. The maximum over the last `node_count_windows` is
  // used.
  void set_nodes(int nodes, Time now) {
    counts_.RecordValue(std::max(1, nodes), now);
    nodes_ = counts_.Get();
  }

  void RecordRequest(const std::string& service, Time now) { PrunedUsage(service, now).requests.push_back(now); }
  // Charges an extra arrival without checking the budget.
  void RecordExtraArrival(const std::string& service, Time now) {
    PrunedUsage(service, now).extra_arrivals.push_back(now);
  }

  // Takes back one charge: that call never reached an engine.
  void RefundExtraArrival(const std::string& service, Time now) {
    std::deque<Time>& charged = PrunedUsage(service, now).extra_arrivals;
    if (!charged.empty()) charged.pop_back();
  }

  // Charges one extra arrival; returns false if the share of this window, less the expected charges of
  // `unsettled_calls` calls, is spent. Unsettled calls are in flight and will be charged only if they are refused.
  bool TryTake(const std::string& service, Time now, int unsettled_calls = 0) {
    if (!MayTake(service, now, unsettled_calls)) return false;
    RecordExtraArrival(service, now);
    return true;
  }
  // The same check without the charge.
  bool MayTake(const std::string& service, Time now, int unsettled_calls) {
    return Remaining(service, now) >= 1 + usage_[service].refusal_rate * unsettled_calls;
  }

  // Whether one more call may be sent that is charged only if it is refused, with `unsettled_calls` such calls in
  // flight: the expected charges, by the recent refusal rate, must be covered.
  bool MayStartUnsettled(const std::string& service, Time now, int unsettled_calls) {
    const double expected = usage_[service].refusal_rate * (unsettled_calls + 1);
    return Remaining(service, now) >= expected;
  }
  // Records the outcome of such a call. The average rises quickly with refusals and decays slowly.
  void RecordSettledCall(const std::string& service, bool refused) {
    constexpr double kUp = 0.4;
    constexpr double kDown = 0.03;
    double& rate = usage_[service].refusal_rate;
    rate += refused ? kUp * (1 - rate) : -kDown * rate;
  }

  // How many nodes share the slack: the maximum over the last `node_count_windows`.
  int sharing_nodes() const { return nodes_; }

  // Extra arrivals that may still be spent now.
  double Remaining(const std::string& service, Time now) {
    const Usage& usage = PrunedUsage(service, now);
    const double earned = bounds_.ratio * static_cast<double>(usage.requests.size());
    const double slack = now < slack_available_from_ ? 0 : bounds_.slack / (nodes_ + kUnknownNodes);
    const double allowed = bounds_.safety * (earned + slack);
    return allowed - static_cast<double>(usage.extra_arrivals.size());
  }

 private:
  // Allows for nodes that have joined but are not known yet.
  static constexpr int kUnknownNodes = 1;

  struct Usage {
    std::deque<Time> requests;
    std::deque<Time> extra_arrivals;
    double refusal_rate = 0;  // Recent share of unsettled calls that were refused.
  };

  Usage& PrunedUsage(const std::string& service, Time now) {
    Usage& usage = usage_[service];
    const Time start = now - bounds_.window;
    while (!usage.requests.empty() && usage.requests.front() < start) usage.requests.pop_front();
    while (!usage.extra_arrivals.empty() && usage.extra_arrivals.front() < start) usage.extra_arrivals.pop_front();
    return usage;
  }

  RetryBudgetBounds bounds_;
  Time slack_available_from_{};
  // Until the peers are known, a node gets practically no slack. If many nodes restarted at once and each assumed too
  // small a node count, the slack would be spent many times over.
  int nodes_ = 1000000;
  SlidingMaximum counts_;
  std::map<std::string, Usage> usage_;
};

}  // namespace saltquay::serving
