// Keeps a consumer up to date with one kind of store object: one list, then long-poll watches.
//
// Every watch resumes from the last revision seen, also after a watch that failed or was cut off. The collection is
// listed again only when the store no longer has the history since that revision, or when the response to a watch from
// there cannot be used. Errors are retried with jittered exponential backoff.
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
  std::function<void()> on_events_applied{};  // Called after the events that arrived together; may be empty.
  // Called when the store becomes connected or disconnected, with the reason.
  std::function<void(bool, const std::string&)> on_connectivity_changed;
};

struct WatcherTimings {
  std::chrono::milliseconds watch_timeout{4000};
  // Pause after changes before the next watch, so that a burst of changes arrives in one response.
  std::chrono::milliseconds batch_delay{100};
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{400};
};

class CollectionWatcher {
 public:
  CollectionWatcher(boost::asio::io_context& loop, ObjectStore& store, std::string kind, const WatcherTimings& timings,
                    std::uint64_t seed, WatcherHandlers handlers);

  void Start() { List(); }
  bool connected() const { return connected_; }

 private:
  void List();
  void Watch();
  void WatchAfter(std::chrono::milliseconds delay);
  void OnError(const absl::Status& status);
  void SetConnected(bool connected, const std::string& cause);

  ObjectStore& store_;
  std::string kind_;
  WatcherTimings timings_;
  WatcherHandlers handlers_;
  Random random_;
  BootTimer timer_;
  std::chrono::milliseconds backoff_;
  // Before a list that follows a response that cannot be used. The list does not end it, only a watch does: a store
  // whose watches all fail must not be listed without a pause.
  std::chrono::milliseconds list_backoff_;
  std::int64_t revision_ = 0;
  bool listed_ = false;  // Whether to watch from revision_.
  bool connected_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace saltquay::gateway
