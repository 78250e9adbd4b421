#include "src/base/json_escape.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include <utf8.h>

namespace saltquay {
namespace {

constexpr std::size_t kMaxUtf8Bytes = 4;

// Returns whether the character stands for itself in a JSON string.
bool IsPlain(char c) {
  constexpr char kFirstPrintable = 0x20;
  constexpr char kLastPrintable = 0x7e;
  return c >= kFirstPrintable && c <= kLastPrintable && c != '"' && c != '\\';
}

void AddCodeUnit(std::uint32_t unit, absl::FunctionRef<void(std::string_view)> add) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kDigitBits = 4;
  std::array<char, 6> escape{'\\', 'u'};
  for (std::size_t at = escape.size(); at-- > 2; unit >>= kDigitBits) escape[at] = kDigits[unit % kDigits.size()];
  add({escape.data(), escape.size()});
}

void AddEscaped(std::uint32_t code_point, absl::FunctionRef<void(std::string_view)> add) {
  constexpr std::uint32_t kFirstOfPairs = 0x10000;
  constexpr std::uint32_t kHighSurrogates = 0xd800;
  constexpr std::uint32_t kLowSurrogates = 0xdc00;
  constexpr std::uint32_t kSurrogates = 0x400;
  if (code_point == '"') return add("\\\"");
  if (code_point == '\\') return add("\\\\");
  if (code_point < kFirstOfPairs) return AddCodeUnit(code_point, add);
  AddCodeUnit(kHighSurrogates + (code_point - kFirstOfPairs) / kSurrogates, add);
  AddCodeUnit(kLowSurrogates + code_point % kSurrogates, add);
}

void AddValid(const char* at, const char* end, absl::FunctionRef<void(std::string_view)> add) {
  while (at != end) {
    const char* const plain_end = std::find_if_not(at, end, IsPlain);
    if (plain_end != at) add({at, static_cast<std::size_t>(plain_end - at)});
    at = plain_end;
    if (at != end) AddEscaped(utf8::unchecked::next(at), add);
  }
}

bool IsTrailByte(char c) {
  constexpr unsigned char kMarkMask = 0xc0;
  constexpr unsigned char kTrailMark = 0x80;
  return (static_cast<unsigned char>(c) & kMarkMask) == kTrailMark;
}

}  // namespace

void EscapeJsonTo(std::string_view text, absl::FunctionRef<void(std::string_view)> add) {
  const char* at = text.data();
  const char* const end = at + text.size();
  while (at != end) {
    const char* const invalid = utf8::find_invalid(at, end);
    AddValid(at, invalid, add);
    at = invalid;
    if (at == end) return;
    add("\\ufffd");
    ++at;
  }
}

std::string EscapeJson(std::string_view text) {
  std::string escaped;
  escaped.reserve(text.size());
  EscapeJsonTo(text, [&](std::string_view piece) { escaped += piece; });
  return escaped;
}

std::string EscapeJsonPrefix(std::string_view text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) return EscapeJson(text);
  std::size_t end = max_bytes;
  while (end > 0 && max_bytes - end < kMaxUtf8Bytes && IsTrailByte(text[end])) --end;
  return EscapeJson(text.substr(0, end)) + "...";
}

}  // namespace saltquay
