// Reads and writes the duty lease in the store on behalf of its state machine (src/core/serving/duty_lease.h).
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

  // Performs the next step to acquire or renew the lease, so that it stays valid for at least `needed`.
  // `rank`: see DutyLease::Next.
  void Step(Duration needed, int rank);
  // Resigns the lease when this node stops, so that others need not wait until it expires. `done` is called when the
  // store has responded; not at all if this node does not hold the lease.
  void Resign(const std::function<void()>& done);

 private:
  void Read();
  void Write();

  Gateway& gateway_;
  ObjectStore& store_;
  serving::DutyLease& lease_;
};

}  // namespace saltquay::gateway
