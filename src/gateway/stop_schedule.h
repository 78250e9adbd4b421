// When a process that was told to stop takes, accepts and ends what.
//
// Protocol. From the stop signal on the node is not ready, and the entry moves
// callers away within two or three seconds; until then requests are served as before.
// Then, for a moment, new requests are refused with a time to come back: a stream that
// begins so late may outlast the process, and would be cut. Then the listener and idle
// connections close; what runs is finished; the process ends a margin before it
// would be killed.
#pragma once

#include <algorithm>
#include <chrono>

namespace saltquay::gateway {

class StopSchedule {
 public:
  using Milliseconds = std::chrono::milliseconds;

  // `grace`: from the signal to the kill.
  explicit StopSchedule(Milliseconds grace) : grace_(grace) {}

  // Whether a request that comes so long after the signal is served; else it is refused.
  bool Serves(Milliseconds elapsed) const { return elapsed < MoveAwayTime() - kLastMoment; }
  // Whether connections are accepted.
  bool Accepts(Milliseconds elapsed) const { return elapsed < MoveAwayTime(); }
  // Whether the process ends whatever still runs.
  bool Ends(Milliseconds elapsed) const { return elapsed >= grace_ - kStopMargin; }

 private:
  // Callers are moved away by the entry within this time: it asks each second, and two misses in a row take a node out.
  static constexpr Milliseconds kMoveAwayTime{3200};
  // What comes in the last of that time is refused; callers answer for what they send within 3 s of a stop.
  static constexpr Milliseconds kLastMoment{300};
  static constexpr Milliseconds kStopMargin{600};

  Milliseconds MoveAwayTime() const { return std::min(kMoveAwayTime, grace_ / 2); }

  Milliseconds grace_;
};

}  // namespace saltquay::gateway
