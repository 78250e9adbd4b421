#include "src/gateway/collection_watcher.h"

#include <algorithm>

#include "src/base/status.h"

namespace saltquay::gateway {

CollectionWatcher::CollectionWatcher(boost::asio::io_context& loop, ObjectStore& store, std::string kind,
                                     const WatcherTimings& times, std::uint64_t seed, WatcherHandlers handlers)
    : store_(store),
      kind_(std::move(kind)),
      times_(times),
      handlers_(std::move(handlers)),
      random_(seed),
      timer_(loop),
      backoff_(times.first_backoff) {}

void CollectionWatcher::List() {
  store_.List(kind_, [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<ObjectList>& list) {
    if (alive.expired()) return;
    if (!list.ok()) return OnError(list.status());
    revision_ = list->at;
    listed_ = true;
    backoff_ = times_.first_backoff;
    handlers_.on_list(*list);
    SetConnected(true, "listed");
    Watch();
  });
}

void CollectionWatcher::Watch() {
  store_.Watch(kind_, revision_, times_.watch,
               [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<ObjectEvents>& events) {
                 if (alive.expired()) return;
                 if (!events.ok()) return OnError(events.status());
                 revision_ = events->at;
                 backoff_ = times_.first_backoff;
                 for (const ObjectEvent& event : events->events) handlers_.on_event(event);
                 SetConnected(true, "watched");
                 if (events->events.empty()) return Watch();
                 WatchAfter(times_.gather);
               });
}

void CollectionWatcher::WatchAfter(std::chrono::milliseconds pause) {
  timer_.expires_after(pause);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](boost::system::error_code error) {
    if (!error && !alive.expired()) Watch();
  });
}

void CollectionWatcher::OnError(const absl::Status& status) {
  SetConnected(false, MessageOf(status));
  if (status.code() == absl::StatusCode::kOutOfRange) return List();
  const auto jitter = std::chrono::milliseconds(random_.Below(static_cast<std::uint64_t>(backoff_.count()) + 1));
  timer_.expires_after(backoff_ / 2 + jitter);
  backoff_ = std::min(backoff_ * 2, times_.longest_backoff);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](boost::system::error_code error) {
    if (error || alive.expired()) return;
    if (listed_) {
      Watch();
    } else {
      List();
    }
  });
}

void CollectionWatcher::SetConnected(bool in_contact, const std::string& cause) {
  if (in_contact_ == in_contact) return;
  in_contact_ = in_contact;
  handlers_.on_connectivity_changed(in_contact, cause);
}

}  // namespace saltquay::gateway
