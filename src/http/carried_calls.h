// The calls that one connection has carried, by their ids; internal to the client.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace saltquay::http {

// Keeps a 32-bit hash of each id. Two ids may collide: MayContain() can be true for an id that was not added, never
// false for one that was.
class CarriedCalls {
 public:
  // Bounds the memory of a connection to 4 KB.
  static constexpr std::size_t kMaxCalls = 1024;

  void Add(std::string_view id);
  bool MayContain(std::string_view id) const;
  // Returns whether no further call may be added.
  bool full() const { return hashes_.size() >= kMaxCalls; }

 private:
  std::vector<std::uint32_t> hashes_;
};

}  // namespace saltquay::http
