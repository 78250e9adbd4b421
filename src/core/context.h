// What every component of a node gets: who it is, what time it is, where its
// actions go. Not thread-safe; owned by Node, valid for one event.
#pragma once

#include <string>
#include <utility>

#include "src/base/random.h"
#include "src/core/actions.h"
#include "src/core/parameters.h"

namespace saltquay {

// Identity of the node itself.
struct NodeIdentity {
  NodeIncarnation incarnation;
  ZoneId zone;
};

class NodeContext {
 public:
  NodeContext(const NodeIdentity& self, const Parameters& parameters, std::uint64_t seed)
      : self_(self), parameters_(parameters), random_(seed) {}

  const NodeIdentity& self() const { return self_; }
  const Parameters& parameters() const { return parameters_; }
  Random& random() { return random_; }
  Time now() const { return now_; }

  // Called by Node before it hands an event on.
  void BeginEvent(Time now, ActionList* actions) {
    now_ = now;
    actions_ = actions;
  }

  void Emit(Action action) { actions_->push_back(std::move(action)); }

  void Log(EventId event, std::string details) { Emit(WriteLog{event, std::move(details)}); }

  // Sends `body` to whichever incarnation of `to` gets it.
  void Send(NodeId to, MessageBody body) { SendTo(NodeIncarnation{to, BootId{}}, std::move(body)); }

  // Sends `body` to one incarnation; another run of that node drops it.
  void SendTo(const NodeIncarnation& to, MessageBody body) {
    Emit(SendPeer{to.node, PeerMessage{self_.incarnation, self_.zone, to, std::move(body)}});
  }

  StoreOperationId NextStoreOperation() { return StoreOperationId{++last_store_operation_}; }

 private:
  NodeIdentity self_;
  Parameters parameters_;
  Random random_;
  Time now_{};
  ActionList* actions_ = nullptr;
  std::uint64_t last_store_operation_ = 0;
};

}  // namespace saltquay
