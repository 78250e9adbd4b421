// The store's objects for bundles: each published bundle with its approval,
// and the one object that says which generation is in force.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/status.h"

namespace saltquay {

inline constexpr char kRolledKey[] = "rolled";

// Store key of a published bundle.
std::string BundleKey(const std::string& bundle_name);

// A published bundle. Its text never changes; approval is added once.
struct BundleRecord {
  std::string name;
  std::string text;
  std::string publisher;
  std::string approver;  // Empty until approved.
  std::string nonce;     // Of the last writer.
};

// One roll that took place.
struct RollRecord {
  std::uint64_t generation = 0;
  std::string bundle_name;
  std::string rolled_by;
};

// A model's version in an earlier generation. Engines may still have it loaded
// while a roll is under way, so it may still serve.
struct EarlierVersion {
  std::string model;
  ModelVersionId version;
  bool operator==(const EarlierVersion&) const = default;
};

// The bundle in force.
struct RolledRecord {
  std::uint64_t generation = 0;
  std::string bundle_name;
  std::string text;
  std::string rolled_by;
  std::string nonce;
  std::vector<RollRecord> history;               // Oldest first; bounded.
  std::vector<EarlierVersion> earlier_versions;  // Oldest first; bounded.
};

inline constexpr std::size_t kRollHistoryLimit = 50;
inline constexpr std::size_t kEarlierVersionsLimit = 64;

std::string SerializeBundleRecord(const BundleRecord& record);
std::string SerializeRolledRecord(const RolledRecord& record);
// Errors are kCorrupt.
absl::StatusOr<BundleRecord> ParseBundleRecord(const std::string& text);
absl::StatusOr<RolledRecord> ParseRolledRecord(const std::string& text);

}  // namespace saltquay
