// What of a report or digest is worth sending: whether it says something new, how large it is, and which engines to
// list if there are too many.
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

}  // namespace saltquay::serving
