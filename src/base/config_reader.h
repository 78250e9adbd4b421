// Typed reading of TOML documents: settings files and bundles.
//
// Every error names the file, line and key, and the remedy. The first error
// of a document is kept; later reads return defaults, so that callers read
// straight through and check once at the end.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/status.h"

namespace saltquay {

struct ConfigDocument;  // Parsed text and the first error; see the .cc.

// One table of a document. Cheap to copy; the document lives as long as any
// reader of it. Not thread-safe.
class ConfigReader {
 public:
  // Parses `text`. `source` stands in messages for the file. `kind` is the
  // kind of every error found in this document.
  static absl::StatusOr<ConfigReader> Parse(const std::string& text, const std::string& source, ErrorKind kind);

  // A required key passes nullopt as default. Bounds are inclusive.
  std::string String(std::string_view key, const std::optional<std::string>& fallback);
  std::int64_t Integer(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                       std::optional<std::int64_t> fallback);
  double Number(std::string_view key, double minimum, double maximum, std::optional<double> fallback);
  bool Boolean(std::string_view key, bool fallback);
  std::vector<std::string> Strings(std::string_view key);
  std::vector<std::int64_t> Integers(std::string_view key, std::int64_t minimum, std::int64_t maximum);

  // The sub-table `key`; an empty table when absent.
  ConfigReader Table(std::string_view key);
  // The array of tables `key`; empty when absent.
  std::vector<ConfigReader> Tables(std::string_view key);

  bool Has(std::string_view key) const;

  // Records an error at `key`; `problem` says what is wrong, `remedy` what to do.
  void Fail(std::string_view key, const std::string& problem, const std::string& remedy);

  // Records an error for every key of this table that was not read.
  void RejectUnreadKeys();

  // The document's first error, or OK.
  absl::Status status() const;

 private:
  struct Position;
  explicit ConfigReader(std::shared_ptr<ConfigDocument> document) : document_(std::move(document)) {}
  const void* Lookup(std::string_view key);
  void FailMissing(std::string_view key);

  std::shared_ptr<ConfigDocument> document_;
  const void* table_ = nullptr;  // toml::table owned by the document; null: empty.
  std::string path_;             // "pool.roles." for messages.
  std::vector<std::string> read_keys_;
};

}  // namespace saltquay
