// Parses an event stream (text/event-stream; HTML standard, 9.2.6) as far as forwarding needs it: where events end, and
// their ids.
//
// A line ends with LF, CRLF or CR. An empty line ends a block of lines, which is an event unless it consists of
// comments. Only complete blocks are forwarded to the client, so that another engine can resume the stream after them.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace saltquay::gateway {

class EventStreamParser {
 public:
  // Appends received bytes, in any split; returns the bytes of all blocks that are now complete.
  std::string Feed(std::string_view bytes);
  // Returns the bytes after the last complete block and removes them.
  std::string TakeRest();
  std::size_t rest_bytes() const { return block_.size(); }
  // Whether a stream that ends now has been cut off: inside a line, or inside an event.
  bool inside_event() const { return !line_.empty() || block_has_field_; }
  // Complete events so far.
  std::size_t event_count() const { return event_count_; }
  // Whether the last complete event had an id.
  bool last_event_has_id() const { return last_event_has_id_; }
  // Id of the last complete event that had one; empty if there was none yet.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  // Processes the current line; returns whether it ended a block.
  bool EndLine();
  void ReadField(std::string_view line);

  std::string block_;          // Bytes of the current block, with the current line.
  std::string line_;           // The current line, without its end.
  bool after_return_ = false;  // The last byte was a CR: an LF belongs to the same line end.
  bool at_start_ = true;       // No line has ended yet.
  bool block_has_field_ = false;
  std::optional<std::string> block_id_;  // Of the current block.
  std::string last_event_id_;
  bool last_event_has_id_ = false;
  std::size_t event_count_ = 0;
};

}  // namespace saltquay::gateway
