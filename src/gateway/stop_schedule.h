// The schedule of a graceful stop.
//
// From the stop signal on, the node reports itself as not ready, and the load balancer moves clients to other nodes
// within two or three seconds; until then requests are served as before. Then, for a short time, new requests are
// refused with Retry-After: a stream that starts this late may outlast the process and would be cut off. Then the
// listener and idle connections are closed and requests in progress are finished. Shortly before the end, requests that
// still wait for an engine are refused, and at last those in progress get a response of the node's own. The process
// exits a margin before it would be killed.
#pragma once

#include <algorithm>
#include <chrono>

namespace saltquay::gateway {

class StopSchedule {
 public:
  using Milliseconds = std::chrono::milliseconds;

  // `grace`: time from the stop signal to the kill.
  explicit StopSchedule(Milliseconds grace) : grace_(grace) {}

  // Whether a request that arrives `elapsed` after the signal is served; otherwise it is refused.
  bool ServesRequests(Milliseconds elapsed) const { return elapsed < DrainTime() - kRefusalTime; }
  bool AcceptsConnections(Milliseconds elapsed) const { return elapsed < DrainTime(); }
  // Whether requests that wait may still be sent to engines; otherwise they are refused.
  bool Dispatches(Milliseconds elapsed) const { return elapsed < grace_ - kStopMargin - kCompletionTime; }
  // Whether requests in progress get a response of the node's own.
  bool AnswersRequests(Milliseconds elapsed) const { return elapsed >= grace_ - kStopMargin - kAnswerTime; }
  // Whether the process exits even if requests are still in progress.
  bool MustExit(Milliseconds elapsed) const { return elapsed >= grace_ - kStopMargin; }

 private:
  // Time in which the load balancer moves clients away: it polls /ready every second and takes a node out after two
  // consecutive failures.
  static constexpr Milliseconds kDrainTime{3200};
  // Requests in the last part of that time are refused; callers answer for what they send within 3 s of a stop.
  static constexpr Milliseconds kRefusalTime{300};
  static constexpr Milliseconds kStopMargin{600};
  // For the last responses to be written.
  static constexpr Milliseconds kAnswerTime{100};
  // For engines to complete what was sent to them last.
  static constexpr Milliseconds kCompletionTime{700};

  Milliseconds DrainTime() const { return std::min(kDrainTime, grace_ / 2); }

  Milliseconds grace_;
};

}  // namespace saltquay::gateway
