// Keeps the duties' lease in the store for the state machine that decides about it (core/serving/duty_lease.h).
#pragma once

#include <string>

#include "src/core/serving/duty_lease.h"
#include "src/gateway/gateway.h"
#include "src/gateway/object_store.h"

namespace saltquay::gateway {

class LeaseClient {
 public:
  LeaseClient(Gateway& gateway, ObjectStore& store, serving::DutyLease& lease)
      : gateway_(gateway), store_(store), lease_(lease) {}

  // Takes the next step, so that this node may act for `needed`. `rank`: see DutyLease::Next.
  void Step(Duration needed, int rank);
  // This node stops: others need not wait for its lease to run out. `done` runs once it is known, also at once.
  void Resign(const std::function<void()>& done);

 private:
  void Read();
  void Write();

  Gateway& gateway_;
  ObjectStore& store_;
  serving::DutyLease& lease_;
};

}  // namespace saltquay::gateway
