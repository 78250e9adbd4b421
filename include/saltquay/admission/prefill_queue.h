// Queues of prompts that wait at this node for prefill.
//
// Engines accept many prompts and prefill them concurrently, so a prompt sent to a full engine delays all others there.
// The node therefore limits the prefills in flight (see concurrency_window.h) and queues the rest. Under
// overload, queue policies differ in which prompt they send next. Each queue is a deterministic container without a
// clock or threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "src/base/time.h"

namespace saltquay::admission {

using PromptId = std::uint64_t;

struct QueuedPrompt {
    PromptId id = 0;
    Time arrived {};
    Time prefill_deadline {};   // If its prefill starts later, the response misses its latency objective.
    Time ends {};               // Deadline of the request. Queues ignore it: the caller removes the prompt then.
    int route_priority = 5;     // 0 is the most urgent.
    double prompt_value = 1;    // Relative to the mean of its route.
    double prefill_cost_ms = 1; // Engine time of its prefill.
};

// Whether a prompt can still meet its latency objective.
enum class Lane {
    InTime, // It can meet its objective, or it is committed.
    Late,   // Its prefill deadline has passed.
};

struct PrefillCandidate {
    PromptId id = 0;
    Lane lane = Lane::InTime;
};

class PrefillQueue {
public:
    virtual ~PrefillQueue() = default;

    virtual void add(QueuedPrompt const& prompt) = 0;
    // Does nothing if the prompt is not queued.
    virtual void remove(PromptId id) = 0;
    // Moves the prompt ahead of all that are not committed. Committed prompts keep the order of their commitment. The
    // caller commits a prompt that has waited long but can still be prefilled in time, so that none overtakes it; other
    // prompts are refused then. Does nothing if the prompt is late or not queued, or if the order is by arrival.
    virtual void commit(PromptId id) = 0;
    virtual std::size_t committed() const = 0;
    // Returns the prompts to try next, best first: all committed ones, then at most `max_per_lane` of each lane. A
    // queue in order of arrival has no committed prompts and returns at most `max_per_lane` in total.
    virtual std::vector<PrefillCandidate> next(Time now, std::size_t max_per_lane) = 0;
    virtual std::size_t size() const = 0;
};

enum class QueuePolicy {
    None,                 // The caller bypasses the queue and sends every prompt immediately; a baseline.
    FirstComeFirstServed, // In order of arrival; a baseline.
    ValuePerCost,         // Prompts that can meet their objective first, by value per millisecond of engine time.
};

// Never returns null. QueuePolicy::None gives a queue in order of arrival, which the caller leaves unused.
std::unique_ptr<PrefillQueue> make_prefill_queue(QueuePolicy policy);

}
