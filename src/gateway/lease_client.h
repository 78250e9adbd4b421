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
  // Logs a record that does not decode, once for each of its revisions.
  serving::LeaseRecord Decode(const StoredObject& object);

  Gateway& gateway_;
  ObjectStore& store_;
  serving::DutyLease& lease_;
  std::int64_t refused_revision_ = 0;  // Of the last record that did not decode.
};

}  // namespace saltquay::gateway
