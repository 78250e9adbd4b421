// What became of a call that is the duty of one node at a time.
#pragma once

namespace saltquay::duties {

enum class DutyOutcome {
    Done,
    Fenced,  // The platform has seen a higher fencing token.
    Refused, // Not now: too many calls, or not available. Nothing was done.
    Unknown, // No answer: it may have been done, or may yet be.
};

}
