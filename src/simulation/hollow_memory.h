// Resident memory of this process.
#pragma once

namespace saltquay {

// Bytes.
double ResidentBytes();

}  // namespace saltquay
