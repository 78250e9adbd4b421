#include "src/gateway/request_fingerprint.h"

#include <algorithm>
#include <array>

#include <sodium/core.h>
#include <sodium/crypto_generichash.h>

namespace saltquay::gateway {
namespace {

class KeyedHash {
 public:
  explicit KeyedHash(std::string_view key) {
    // Required by libsodium before any other call; selects the fastest implementation for the CPU.
    [[maybe_unused]] const int chosen = sodium_init();
    const std::size_t length = std::min<std::size_t>(key.size(), crypto_generichash_KEYBYTES_MAX);
    crypto_generichash_init(&state_, Bytes(key), length, crypto_generichash_BYTES_MIN);
  }
  // The length prefix keeps the boundaries between the added strings unambiguous.
  void Add(std::string_view text) {
    const std::uint64_t length = text.size();
    crypto_generichash_update(&state_, reinterpret_cast<const unsigned char*>(&length), sizeof(length));
    crypto_generichash_update(&state_, Bytes(text), text.size());
  }
  std::uint64_t Finish() {
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest{};
    crypto_generichash_final(&state_, digest.data(), digest.size());
    std::uint64_t value = 0;
    std::copy_n(digest.data(), sizeof(value), reinterpret_cast<unsigned char*>(&value));
    return value;
  }

 private:
  static const unsigned char* Bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
  }

  crypto_generichash_state state_{};
};

}  // namespace

std::uint64_t FingerprintRequest(const http::RequestHead& head, std::string_view body, std::string_view key) {
  KeyedHash hash(key);
  hash.Add(head.method);
  hash.Add(head.fields.Find("Host").value_or(""));
  hash.Add(head.target);
  hash.Add(body);
  return std::max<std::uint64_t>(1, hash.Finish());
}

void FingerprintPromptParts(std::span<serving::PromptPart> parts, std::string_view key) {
  for (serving::PromptPart& part : parts) {
    KeyedHash hash(key);
    hash.Add("prompt part");
    hash.Add(part.id);
    part.fingerprint = std::max<std::uint64_t>(1, hash.Finish());
  }
}

}  // namespace saltquay::gateway
