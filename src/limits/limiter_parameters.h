// Every tunable number of tenants' limits, in one place.
#pragma once

#include "src/base/time.h"

namespace saltquay::limits {

struct LimiterParameters {
    // An ask without an answer is sent again: several round trips between zones.
    Duration ask_again = 30ms;
    // A owner that left so many asks in a row unanswered is passed over.
    int asks_before_silent = 2;
    // Nodes that are asked in turn, before this one takes itself for cut off.
    int homes_tried = 4;
    // A request waits no longer for an answer: half of a short latency objective is left then.
    Duration longest_wait = 250ms;
    // Suspected nodes are probed at this interval until they answer or leave the fleet.
    Duration probe_interval = 30ms;
    Duration absent_probe_interval = 300ms; // Once it is absent.
    // A node stands in for a owner that answered no probe for so long: more than the tenth of a second for which a
    // machine pauses that has spent its share of a processor, and several probes may be lost.
    Duration stand_in_after = 130ms;
    // A suspect that was heard is not suspected again for so long, whatever others say: who relays to it would survey
    // the fleet for each ask.
    Duration cleared_for = 100ms;
    // So many other nodes are asked about a silent owner, at this interval: enough to tell a small part of the fleet
    // from most of it.
    std::size_t surveyed_nodes = 12;
    Duration survey_interval = 60ms;
    // A node that stood still for so long may have been replaced as a owner: nothing else calls the limiter so rarely.
    Duration stood_still = 400ms;
    // A owner that others go on taking for silent for so long, though it answers, ceases to be one until they stop.
    // They stop with the first answer that they hear.
    Duration replaced_after = 500ms;
    Duration replaced_for = 1s;
    // A node that has just started is no owner: reports name the fleet to it within half a second.
    Duration joining = 700ms;
    // A new owner may have a rival for so long, on the other side of a cut that shows in its reach only then. Of the
    // rate it has the part that a survey told, or a third where there was none.
    Duration settling = 1500ms;
    double settling_share = 1.0 / 3;
    // A new owner begins with this share of the bucket: one request of the usual size, where limits are smallest.
    double first_level = 0.15;
    // The part of the tolerance's slack that a bucket holds beyond the burst. Requests are lumps: without it, a tenant
    // of a few requests a second is refused inside its limit. The rest is for homes that overlap.
    double slack_share = 0.4;
    // Repeated asks get the same answer, and refunds are taken, for so long; a request is over by then.
    Duration answers_kept = 4s;
    // What a request that does not fit is told at most.
    Duration longest_retry_after = 10s;
    // A refusal is repeated without asking for so long: a tenant far above its limit must not load its owner.
    Duration refusal_kept = 100ms;
    // The largest reach of so long ago still counts: a cut of up to that length leaves both sides their shares.
    Duration reach_memory = 120s;
    // A node's own bucket fills while requests come to it at least so often; a longer pause means that a owner decided.
    Duration alone_pause = 1s;
    // Tells a caller when to come back whose request nobody could decide on.
    Duration undecided_retry_after = 300ms;
};

}
