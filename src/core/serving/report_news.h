// When a report or digest is worth sending: whether it says something new, how large it is, and which engines to list
// if there are too many.
#pragma once

#include <cstddef>

#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

// Whether `report` says something that `sent`, an earlier report of the same node, does not. The remaining time of
// holds and small changes of the demand are not news.
bool HasNews(const PeerReport& sent, const PeerReport& report);

// The approximate encoded size in bytes.
std::size_t EstimateBytes(const PeerReport& report);

// Keeps the work of at most `max_engines` engines: first those with failures, then those with the most requests in
// flight. The receivers assume that engines that are not listed have no work.
void LimitWork(PeerReport& report, std::size_t max_engines);

// Decides when a message is sent that is repeated at intervals: at once if it has news, otherwise as a keep-alive.
class RepeatedMessage {
 public:
  // Whether to send `report` now. News is sent twice, since datagrams may be lost.
  bool IsDue(const PeerReport& report, Time now, Duration keepalive_interval) const;
  void RecordSent(const PeerReport& report, Time now);
  const PeerReport& sent() const { return sent_; }
  Time sent_at() const { return sent_at_; }
  void Reset() { sent_at_ = Time{}; }

 private:
  PeerReport sent_;
  Time sent_at_{};
  bool repeats_ = false;  // The last one had news.
};

}  // namespace saltquay::serving
