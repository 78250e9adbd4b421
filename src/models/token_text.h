// The stand-in model's output: a function of the prompt, so that any answer
// can be checked to be whole and its own.
#pragma once

#include <cstdint>
#include <string>

namespace saltquay {

// Text of the output token at `index` for a prompt with this hash.
std::string TokenText(std::uint64_t prompt_hash, std::uint32_t index);

// Text of `count` tokens from `first`.
std::string TokenTexts(std::uint64_t prompt_hash, std::uint32_t first, std::uint32_t count);

}  // namespace saltquay
