#include "src/models/token_text.h"

#include <fmt/format.h>

#include "src/base/hash.h"

namespace saltquay {
namespace {

constexpr std::uint64_t kTokenMask = 0xFFFF;

}  // namespace

std::string TokenText(std::uint64_t prompt_hash, std::uint32_t index) {
  return fmt::format("{:04x} ", HashPair(prompt_hash, index) & kTokenMask);
}

std::string TokenTexts(std::uint64_t prompt_hash, std::uint32_t first, std::uint32_t count) {
  std::string text;
  for (std::uint32_t i = 0; i < count; ++i) text += TokenText(prompt_hash, first + i);
  return text;
}

}  // namespace saltquay
