#include "src/gateway/collection_watcher.h"

#include <algorithm>

#include "src/base/status.h"

namespace saltquay::gateway {

CollectionWatcher::CollectionWatcher(boost::asio::io_context& loop, ObjectStore& store, std::string kind,
                                     const WatcherTimings& timings, std::uint64_t seed, WatcherHandlers handlers)
    : store_(store),
      kind_(std::move(kind)),
      timings_(timings),
      handlers_(std::move(handlers)),
      random_(seed),
      timer_(loop),
      backoff_(timings.initial_backoff),
      list_backoff_(timings.initial_backoff) {}

void CollectionWatcher::List() {
  store_.List(kind_, [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<ObjectList>& list) {
    if (alive.expired()) return;
    if (!list.ok()) return OnError(list.status());
    revision_ = list->at;
    listed_ = true;
    backoff_ = timings_.initial_backoff;
    handlers_.on_list(*list);
    SetConnected(true, "listed");
    Watch();
  });
}

void CollectionWatcher::Watch() {
  store_.Watch(kind_, revision_, timings_.watch_timeout,
               [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<ObjectEvents>& events) {
                 if (alive.expired()) return;
                 if (!events.ok()) return OnError(events.status());
                 revision_ = events->at;
                 backoff_ = timings_.initial_backoff;
                 list_backoff_ = timings_.initial_backoff;
                 for (const ObjectEvent& event : events->events) handlers_.on_event(event);
                 if (!events->events.empty() && handlers_.on_events_applied) handlers_.on_events_applied();
                 SetConnected(true, "watched");
                 if (events->events.empty()) return Watch();
                 WatchAfter(timings_.batch_delay);
               });
}

void CollectionWatcher::WatchAfter(std::chrono::milliseconds delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](boost::system::error_code error) {
    if (!error && !alive.expired()) Watch();
  });
}

void CollectionWatcher::OnError(const absl::Status& status) {
  SetConnected(false, MessageOf(status));
  if (status.code() == absl::StatusCode::kOutOfRange) return List();
  const bool unusable = absl::IsDataLoss(status);
  if (unusable) listed_ = false;
  std::chrono::milliseconds& backoff = unusable ? list_backoff_ : backoff_;
  const auto jitter = std::chrono::milliseconds(random_.Below(static_cast<std::uint64_t>(backoff.count()) + 1));
  timer_.expires_after(backoff / 2 + jitter);
  backoff = std::min(backoff * 2, timings_.max_backoff);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](boost::system::error_code error) {
    if (error || alive.expired()) return;
    if (listed_) {
      Watch();
    } else {
      List();
    }
  });
}

void CollectionWatcher::SetConnected(bool connected, const std::string& cause) {
  if (connected_ == connected) return;
  connected_ = connected;
  handlers_.on_connectivity_changed(connected, cause);
}

}  // namespace saltquay::gateway
