// The outcome of a platform call that is a duty: a task that one node, the lease holder, runs at a time.
#pragma once

namespace saltquay::duties {

enum class DutyOutcome {
    Done,
    Fenced,  // The platform has seen a higher fencing token.
    Refused, // Rejected for now: too many calls, or not available. Nothing was done.
    Unknown, // No response: the call may have been executed, or may still be.
};

}
