// Helpers shared by tests of core components.
#pragma once

#include <utility>
#include <vector>

#include "src/core/context.h"

namespace saltquay {

inline NodeIncarnation Incarnation(std::uint32_t node, std::uint64_t boot = 1) {
  return NodeIncarnation{NodeId{node}, BootId{boot}};
}

// A context with a settable clock that collects the actions that components emit.
class TestContext {
 public:
  explicit TestContext(std::uint32_t node = 1, const Parameters& parameters = Parameters{}, std::uint64_t seed = 7)
      : context_(NodeIdentity{Incarnation(node), ZoneId{node}}, parameters, seed) {
    Advance(Duration{1'000'000});
  }

  NodeContext& operator*() { return context_; }
  void Advance(Duration duration) {
    now_ += duration;
    context_.BeginEvent(now_, &actions_);
  }
  Time now() const { return now_; }

  // The actions of type `Kind` emitted so far, oldest first.
  template <typename Kind>
  std::vector<Kind> Emitted() const {
    std::vector<Kind> found;
    for (const Action& action : actions_) {
      if (const Kind* typed = std::get_if<Kind>(&action)) found.push_back(*typed);
    }
    return found;
  }
  // The messages with body `Body` sent so far.
  template <typename Body>
  std::vector<Body> Sent() const {
    std::vector<Body> found;
    for (const SendPeer& send : Emitted<SendPeer>()) {
      if (const Body* typed = std::get_if<Body>(&send.message.body)) found.push_back(*typed);
    }
    return found;
  }
  void Clear() { actions_.clear(); }

 private:
  NodeContext context_;
  ActionList actions_;
  Time now_{};
};

}  // namespace saltquay
