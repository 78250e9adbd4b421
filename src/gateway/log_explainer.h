// Merges the logs of several nodes and selects the lines that concern one request, engine, request fingerprint or usage
// window.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace saltquay::gateway {

struct LogLine {
  std::int64_t time_ms = 0;
  std::string node;     // Name of the node that wrote the line; the log's key is "process".
  std::string name;     // Name of the event.
  std::string request;  // Request id; empty if the event concerns no request.
  std::string text;     // The complete JSON text.
};

struct UnparsedLine {
  std::string source;
  int number = 0;
};

class LogExplainer {
 public:
  // Adds the lines of one log. Lines that are not events are recorded in unparsed_lines() and skipped; text before the
  // first brace is dropped.
  void Read(std::istream& log, const std::string& source);

  // The lines of a request in chronological order. Also returns, for each node that logged such a line, its last
  // reports of the state of each engine involved, of the store and of the configuration up to its last line of the
  // request.
  std::vector<LogLine> Request(const std::string& id) const;
  // All lines that name the engine and belong to no request, i.e. that report its state as seen by a node.
  std::vector<LogLine> Engine(const std::string& id) const;

  // All lines of all nodes that contain the request fingerprint, including the lines that report that an engine crashed
  // while running such a request.
  std::vector<LogLine> Fingerprint(const std::string& fingerprint) const;

  // All lines about the usage report of that window, with the last change of the duty lease before the first of these
  // lines and all changes between them.
  std::vector<LogLine> UsageWindow(std::int64_t window) const;

  const std::vector<UnparsedLine>& unparsed_lines() const { return unparsed_lines_; }

 private:
  std::vector<LogLine> lines_;
  std::vector<UnparsedLine> unparsed_lines_;
};

// Returns "time node event: details".
std::string FormatLogLine(const LogLine& line);

}  // namespace saltquay::gateway
