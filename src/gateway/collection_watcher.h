// Keeps up with one kind of object in the store: lists, then watches.
//
// Protocol: after a list, watches go on from the revision last seen. A watch
// that is cut or fails is begun again from there; only forgotten history leads to
// a list. Errors back off with jitter.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>

#include "src/base/random.h"
#include "src/gateway/object_store.h"
#include "src/http/boot_timer.h"

namespace saltquay::gateway {

struct WatcherHandlers {
  std::function<void(const ObjectList&)> on_list;
  std::function<void(const ObjectEvent&)> on_event;
  // Whether the store is heard; the cause where it is not.
  std::function<void(bool, const std::string&)> on_connectivity_changed;
};

struct WatcherTimings {
  std::chrono::milliseconds watch{4000};
  std::chrono::milliseconds gather{
      100};  // After changes, before the next watch: what comes in a row comes in one answer.
  std::chrono::milliseconds first_backoff{50};
  std::chrono::milliseconds longest_backoff{400};
};

class CollectionWatcher {
 public:
  CollectionWatcher(boost::asio::io_context& loop, ObjectStore& store, std::string kind, const WatcherTimings& times,
                    std::uint64_t seed, WatcherHandlers handlers);

  void Start() { List(); }
  bool in_contact() const { return in_contact_; }

 private:
  void List();
  void Watch();
  void WatchAfter(std::chrono::milliseconds pause);
  void OnError(const absl::Status& status);
  void SetConnected(bool in_contact, const std::string& cause);

  ObjectStore& store_;
  std::string kind_;
  WatcherTimings times_;
  WatcherHandlers handlers_;
  Random random_;
  BootTimer timer_;
  std::chrono::milliseconds backoff_;
  std::int64_t revision_ = 0;
  bool listed_ = false;
  bool in_contact_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace saltquay::gateway
