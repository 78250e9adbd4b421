// Bounds this node's part of a fleet-wide retry budget without any talk.
//
// The budget: within every window, arrivals at a service's engines beyond the
// first of each request stay under ratio x requests + slack, summed over all
// nodes. Each node spends its own ratio and an equal share of the slack. It has
// no share of the slack in the first window of its process, whose predecessor may have
// spent it, and shares it with all nodes that it knew for a long time: those that it hears no
// more may be cut off and spend theirs.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "src/base/sliding_maximum.h"
#include "src/base/time.h"

namespace saltquay::serving {

// Why an arrival counts against the budget.
enum class ExtraArrival {
  kExecutionRetried,  // A run after the first.
  kPrefillRetried,    // A reading of the prompt after the first.
  kPrefillRefused,    // The first reading, which the engine did not take up.
};

inline std::string_view NameOf(ExtraArrival cause) {
  if (cause == ExtraArrival::kExecutionRetried) return "run repeated";
  return cause == ExtraArrival::kPrefillRetried ? "reading repeated" : "reading refused";
}

struct RetryBudgetBounds {
  double ratio = 0.2;
  Duration window = 10s;
  double slack = 0;
  double safety = 0.8;
  // Nodes that were there so long ago still have their share of the slack, in windows. A cut that lasts longer lets
  // each side take the whole.
  int node_count_windows = 12;
};

class RetryBudgetShare {
 public:
  explicit RetryBudgetShare(const RetryBudgetBounds& bounds)
      : bounds_(bounds), counts_(bounds.node_count_windows * bounds.window) {}

  // This process may not be the node's first: what an earlier one spent in this window is not known.
  void BeginAfterRestart(Time now) { slack_available_from_ = now + bounds_.window; }

  // `nodes`: how many share the slack now. The most of the remembered windows count.
  void set_nodes(int nodes, Time now) {
    counts_.Note(std::max(1, nodes), now);
    nodes_ = counts_.Get();
  }

  void NoteRequest(const std::string& service, Time now) { PrunedUsage(service, now).requests.push_back(now); }
  // An extra arrival that was not asked for beforehand.
  void RecordExtraArrival(const std::string& service, Time now) { PrunedUsage(service, now).extras.push_back(now); }

  // Takes one extra arrival beside what `unsettled_calls` calls may cost; returns false
  // when the window's share is spent.
  bool TryTake(const std::string& service, Time now, int unsettled_calls = 0) {
    if (!MayTake(service, now, unsettled_calls)) return false;
    RecordExtraArrival(service, now);
    return true;
  }
  // The same, without taking it.
  bool MayTake(const std::string& service, Time now, int unsettled_calls) {
    return Left(service, now) >= 1 + usage_[service].refused_share * unsettled_calls;
  }

  // Whether one more call may be sent that costs an extra arrival only if it is
  // refused, with `unsettled_calls` such calls under way: as long as what they will
  // cost by the share of late that was refused is left.
  bool MayStartUnsettled(const std::string& service, Time now, int unsettled_calls) {
    const double expected = usage_[service].refused_share * (unsettled_calls + 1);
    return Left(service, now) >= expected;
  }
  // The outcome of a call at risk. The share follows refusals at once and
  // forgets them slowly.
  void RecordSettledCall(const std::string& service, bool refused) {
    constexpr double kUp = 0.4;
    constexpr double kDown = 0.03;
    double& share = usage_[service].refused_share;
    share += refused ? kUp * (1 - share) : -kDown * share;
  }

  // How many share the slack, by the most of the remembered windows.
  int sharers() const { return nodes_; }

  // Extra arrivals that are left now.
  double Left(const std::string& service, Time now) {
    const Usage& usage = PrunedUsage(service, now);
    const double earned = bounds_.ratio * static_cast<double>(usage.requests.size());
    const double slack = now < slack_available_from_ ? 0 : bounds_.slack / (nodes_ + kUnseenNodes);
    const double allowed = bounds_.safety * (earned + slack);
    return allowed - static_cast<double>(usage.extras.size());
  }

 private:
  // Nodes that may be added before they are heard of.
  static constexpr int kUnseenNodes = 1;

  struct Usage {
    std::deque<Time> requests;
    std::deque<Time> extras;
    double refused_share = 0;  // Of the calls at risk, lately.
  };

  Usage& PrunedUsage(const std::string& service, Time now) {
    Usage& usage = usage_[service];
    const Time start = now - bounds_.window;
    while (!usage.requests.empty() && usage.requests.front() < start) usage.requests.pop_front();
    while (!usage.extras.empty() && usage.extras.front() < start) usage.extras.pop_front();
    return usage;
  }

  RetryBudgetBounds bounds_;
  Time slack_available_from_{};
  // Until the peers are known a node has no part of the slack: with many nodes, all of them started again at once,
  // a guess would be spent many times over.
  int nodes_ = 1000000;
  SlidingMaximum counts_;
  std::map<std::string, Usage> usage_;
};

}  // namespace saltquay::serving
