// Tuning parameters of the rate limiter.
#pragma once

#include "src/base/time.h"

namespace saltquay::limits {

struct LimiterParameters {
    // A charge request without a response is resent after this time: several round trips between zones.
    Duration request_resend_interval = 30ms;
    // An owner that does not respond to this many requests in a row is suspected and skipped.
    int max_unanswered_requests = 2;
    // If this many owner candidates in a row are skipped, the node treats no owner as reachable.
    int max_owner_candidates = 4;
    // The longest time that a request waits for a response; leaves half of a short latency objective.
    Duration max_wait = 250ms;
    // Interval of probes to a suspected node until it responds or leaves the fleet.
    Duration probe_interval = 30ms;
    Duration failed_probe_interval = 300ms; // Of probes and surveys after the suspect was declared failed.
    // Another node takes over from an owner that responded to no probe for this long. Longer than the 100 ms pause of a
    // machine that has used up its CPU quota, and long enough for several probes to be dropped.
    Duration failover_timeout = 130ms;
    // A suspect that responded is not suspected again for this long, even if other nodes report it as unresponsive:
    // otherwise a node that relays to it would survey the fleet for each charge request.
    Duration suspicion_cooldown = 100ms;
    // The number of nodes surveyed about an unresponsive owner, and the interval of surveys: enough nodes to
    // distinguish a small part of the fleet from most of it.
    std::size_t survey_size = 12;
    Duration survey_interval = 60ms;
    // A gap of this length between calls means that the process was paused and may have been replaced as owner: a
    // running node calls the limiter more often.
    Duration pause_threshold = 400ms;
    // An owner that other nodes report as failed for `step_down_after`, although it responds to their probes, releases
    // its tenants until `step_down_duration` after the last such report. Reports end with the first response received.
    Duration step_down_after = 500ms;
    Duration step_down_duration = 1s;
    // A node owns no tenants for this long after its start: it learns the fleet from reports within 500 ms.
    Duration warm_up = 700ms;
    // For this long, a new owner may coexist with another one across a network partition that its number of reachable
    // nodes does not show yet. Meanwhile it fills its buckets at the share of the rate that a survey of the fleet
    // returned, or at a third of the rate without a survey.
    Duration probation = 1500ms;
    double probation_rate_share = 1.0 / 3;
    // Initial level of a new owner's bucket as a share of its depth: one request of typical size at the smallest
    // limits.
    double initial_level_share = 0.15;
    // The share of the tolerance's slack that a bucket holds in addition to the burst. Requests have large costs:
    // without it, a tenant with a few requests per second would be refused while within its limit. The rest of the
    // slack covers owners that overlap in time.
    double slack_share = 0.4;
    // For this long, a resent request gets the same response and refunds are accepted. Requests end sooner.
    Duration response_retention = 4s;
    // Upper bound of the retry delay of a refused request.
    Duration max_retry_after = 10s;
    // For this long, a refusal is repeated without a request to the owner, so that a tenant far above its limit does
    // not overload its owner.
    Duration refusal_ttl = 100ms;
    // The fleet size is the largest number of nodes reachable within this period, so that in a partition of up to this
    // length both sides keep to their shares.
    Duration fleet_size_memory = 120s;
    // The local bucket fills while it decides on requests at least this often; after a longer gap, an owner has decided
    // in the meantime.
    Duration local_bucket_idle_timeout = 1s;
    // Retry delay of a request that was refused because no owner could be reached.
    Duration undecided_retry_after = 300ms;
};

}
