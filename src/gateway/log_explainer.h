// Reads the logs of several nodes and tells one request's life, or what nodes
// believed of one engine.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace saltquay::gateway {

struct LogLine {
  std::int64_t time_ms = 0;
  std::string process;
  std::string name;     // Of the event.
  std::string request;  // Empty where none is concerned.
  std::string text;     // The whole line.
};

struct UnparsedLine {
  std::string source;
  int number = 0;
};

class LogExplainer {
 public:
  // Adds the lines of one log. What is no event line is counted and skipped;
  // text before the first brace is dropped.
  void Read(std::istream& log, const std::string& source);

  // The request's lines in order of time, with what the same node had last
  // noted of each engine that they name, of the store and of the configuration.
  std::vector<LogLine> Request(const std::string& id) const;
  // All lines that name the engine and change what a node believes of it.
  std::vector<LogLine> Engine(const std::string& id) const;

  // All lines of the requests with that fingerprint, and of engines that ended under one, on all nodes.
  std::vector<LogLine> Fingerprint(const std::string& fingerprint) const;

  // What became of the usage report of that window, and who held the duties' lease before it.
  std::vector<LogLine> UsageWindow(std::int64_t window) const;

  const std::vector<UnparsedLine>& unparsed_lines() const { return unparsed_lines_; }

 private:
  std::vector<LogLine> lines_;
  std::vector<UnparsedLine> unparsed_lines_;
};

// "time process event: details", for people.
std::string FormatLogLine(const LogLine& line);

}  // namespace saltquay::gateway
