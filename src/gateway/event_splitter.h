// Splits an event stream (text/event-stream) into whole events.
//
// An engine may stop in the middle of an event; only whole events go to the
// client, so that another engine can go on after the last one.
#pragma once

#include <string>
#include <string_view>

namespace saltquay::gateway {

class EventSplitter {
 public:
  // Adds bytes; returns those of all events that are whole now.
  std::string Feed(std::string_view bytes);
  // Returns and forgets the bytes of an event that is not whole.
  std::string TakeIncompleteEvent();
  // The id of the last whole event; empty before the first that has one.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  void RecordEventIds(std::string_view events);

  std::string rest_;
  std::string last_event_id_;
};

}  // namespace saltquay::gateway
