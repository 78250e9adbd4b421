// The bundle: an operator's declaration of what the fleet serves.
//
// A Bundle is immutable once parsed and shared by pointer: each request keeps
// the one under which it was admitted. Thread-safe because it never changes.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/base/status.h"
#include "src/core/bundle/bundle_records.h"
#include "src/core/types.h"

namespace saltquay {

// One model at one version.
struct ModelDeclaration {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
  std::string pool;  // The engine pool that serves it.
  std::uint32_t max_prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;

  ModelVersionId version_id() const;
};

// Speed of a pool's engines, as its operators measured it.
struct EngineProfile {
  double prefill_tokens_per_second = 0;
  Duration decode_step{0};        // One decode step with no streams.
  Duration decode_per_stream{0};  // Added to a step by each stream.
  std::uint32_t max_streams = 0;
  std::uint32_t decode_chunk_tokens = 0;  // Prompt tokens a decode engine takes in one step.
  double kv_bytes_per_token = 0;
  double kv_bytes_per_second = 0;  // Between two engines.
  bool operator==(const EngineProfile&) const = default;
};

// How many engines of a pool may take a role.
struct RoleBounds {
  int start = 0;
  int minimum = 0;
  int maximum = 0;
};

struct PoolDeclaration {
  std::string name;
  int engines = 0;
  std::array<RoleBounds, kEngineRoleCount> roles;  // Indexed by EngineRole.
  EngineProfile profile;

  const RoleBounds& bounds(EngineRole role) const { return roles[static_cast<std::size_t>(role)]; }
  // True when the pool splits prompts from output.
  bool is_split() const { return bounds(EngineRole::kPrefill).maximum > 0; }
};

// A class of requests with its deadlines.
struct ClassDeclaration {
  std::string name;
  Duration first_token{0};
  Duration between_tokens{0};
  Duration deadline{0};  // Of the whole answer.
  double weight = 1.0;   // In the measured service.
  int priority = 0;      // Higher goes first.
};

// What one tenant may have at a time, over the whole cell.
struct TenantLimit {
  std::string tenant;  // Empty: every tenant without a row of its own.
  double requests_per_second = 0;
  std::uint64_t outstanding_tokens = 0;  // Prompt and output tokens in flight.
};

struct Bundle {
  std::string name;
  std::vector<ModelDeclaration> models;
  std::vector<PoolDeclaration> pools;
  std::vector<ClassDeclaration> classes;
  TenantLimit default_limit;
  std::vector<TenantLimit> tenant_limits;  // Sorted by tenant.

  // Each returns nullptr when there is none.
  const ModelDeclaration* FindModel(const std::string& model) const;
  const ModelDeclaration* FindModelOfPool(const std::string& pool) const;
  const PoolDeclaration* FindPool(const std::string& pool) const;
  const ClassDeclaration* FindClass(const std::string& request_class) const;
  // The tenant's own row, or the default.
  const TenantLimit& LimitOf(const std::string& tenant) const;
};

// A bundle that was rolled, under its generation number.
struct RolledBundle {
  std::uint64_t generation = 0;
  std::string text;
  std::string rolled_by;
  std::vector<EarlierVersion> earlier_versions;
  std::shared_ptr<const Bundle> bundle;

  // Versions of `model` that may serve it: the bundle's own and, while a roll
  // is under way, those of earlier generations.
  std::vector<ModelVersionId> ServingVersions(const ModelDeclaration& model) const;
};

// Parses and checks a bundle's TOML text. Errors are kInvalidBundle and name
// `source`, line, key and remedy.
absl::StatusOr<Bundle> ParseBundle(const std::string& text, const std::string& source);

}  // namespace saltquay
