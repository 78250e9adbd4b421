// The order in which prompts that wait at this node go to the engines.
//
// Engines take in many prompts at once and read them side by side, so what is
// sent to a full engine delays everything that is there. The node therefore
// bounds the reading under way (see reading_limit.h) and keeps the rest in an
// order of its own. Orders differ in what they do when more is asked for than
// can be read; each is a deterministic container without clock or threads.
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
    Time prefill_deadline {};   // Read later than this, its answer misses the objective.
    Time ends {};               // Nobody wants the answer after this.
    int route_priority = 5;     // Of its route; 0 is the most urgent.
    double worth = 1;           // Against the mean of its route.
    double prefill_cost_ms = 1; // Engine time to read it, in milliseconds.
};

// What the next prompt would gain.
enum class Lane {
    InTime, // It can still meet its objective.
    Late,   // It cannot, but an answer is still wanted.
};

struct PrefillCandidate {
    PromptId id = 0;
    Lane lane = Lane::InTime;
};

class PrefillQueue {
public:
    virtual ~PrefillQueue() = default;

    virtual void add(QueuedPrompt const& prompt) = 0;
    // Does nothing where there is no such prompt.
    virtual void remove(PromptId id) = 0;
    // From now on the prompt goes before all that are not committed, in the order of commitment.
    virtual void commit(PromptId id) = 0;
    virtual std::size_t committed() const = 0;
    // The prompts to try next, best first, at most `most` of a lane.
    virtual std::vector<PrefillCandidate> next(Time now, std::size_t most) = 0;
    virtual std::size_t size() const = 0;
};

enum class QueuePolicy {
    None,                 // Every prompt is sent at once; a baseline.
    FirstComeFirstServed, // By arrival; a baseline.
    ValuePerCost,         // What can meet its objective first, by worth for each millisecond of engine.
};

// Never null; QueuePolicy::None gives the order of arrival.
std::unique_ptr<PrefillQueue> make_prefill_queue(QueuePolicy policy);

}
