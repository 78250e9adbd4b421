// Reads the platform on behalf of the cell: the rolled generation, the view
// and the machine list.
//
// Protocol: every node reads once when it starts; after that only the two
// nodes of each zone that rank highest go on polling. All others learn from
// peers. The store thus bears few readers whatever the size of the cell.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <optional>

#include "src/core/context.h"
#include "src/core/events.h"
#include "src/core/membership/membership.h"

namespace saltquay {

// A polled object as the store holds it.
struct WatchedObject {
  ObjectKind kind = ObjectKind::kRolledBundle;
  StoredObject object;
};

class StoreWatcher {
 public:
  void OnTick(NodeContext& context, const Membership& membership);
  // Returns true when the answer was for a poll; `object` is what was read.
  bool OnStoreAnswer(NodeContext& context, const StoreAnswered& answer, std::optional<WatchedObject>* object);
  void OnMachineListRead(NodeContext& context, const MachineListRead& read);

  // True once this run has read the rolled generation from the store.
  bool has_read_rolled() const { return has_read_rolled_; }
  bool is_watcher() const { return is_watcher_; }
  bool store_available() const { return store_available_; }

 private:
  struct Poll {
    std::optional<StoreOperationId> operation;
    Time sent_at{};
    Time next_at{};
  };

  bool RanksAsWatcher(const NodeContext& context, const Membership& membership) const;
  void PollObject(NodeContext& context, Poll& poll, const char* key, bool wanted);
  void NoteAvailability(NodeContext& context, bool available);

  Poll rolled_;
  Poll view_;
  bool machines_pending_ = false;
  Time machines_sent_at_{};
  Time machines_next_at_{};
  bool has_read_rolled_ = false;
  bool has_read_view_ = false;
  bool has_read_machines_ = false;
  bool is_watcher_ = false;
  bool store_available_ = true;
};

}  // namespace saltquay
