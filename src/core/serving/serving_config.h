// The configuration that a gateway serves under: routes, services, limits.
// Published by operators as numbered versions; a node never goes back to an
// older one in one life of its process.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/tenant_directory.h"

namespace saltquay::serving {

enum class RouteKind {
  kRepeatable,  // May run more than once.
  kAtMostOnce,
  kStreaming,  // Answers with events; at most once unless resumable.
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<WeightedService> services;
  RouteKind kind = RouteKind::kAtMostOnce;
  Duration timeout = 10s;
  Duration objective = 1s;              // Within it an answer (or its first event) has its full worth.
  Duration inter_event_objective = 0s;  // Longest pause between events; zero where none is set.
  int max_attempts = 1;
  int priority = 5;            // 0 is the most urgent.
  bool prefix_affine = false;  // Requests name the parts of their prompts.
  bool resumable = false;
  bool allows_anonymous = false;  // Callers need no key, where the configuration asks for keys at all.

  bool repeatable() const { return kind == RouteKind::kRepeatable || (kind == RouteKind::kStreaming && resumable); }
};

// What the engines of a language-model service have in common.
struct LanguageEngineTraits {
  int slots = 0;
  std::int64_t kv_capacity_tokens = 0;
  std::int64_t kv_token_bytes = 0;
  double link_mbps = 0;
  Duration kv_handle_lifetime = 5s;  // How long a prompt that was read waits to be taken.
  Duration role_change = 2s;         // How long an engine is away when its stage changes.
};

// How many engines of a service may be ordered, and what they cost.
struct ScalingTraits {
  int min = 0;  // In each zone, of both kinds together.
  int max = 0;
  Duration boot = 0s;                         // From an order until the engine serves.
  std::optional<double> spot_price;           // As a share of an ordinary engine's; nothing: there are none.
  std::map<std::string, double> zone_prices;  // Of an ordinary engine for a second, by zone.
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // Per engine, of all callers together; 0: no limit.
  std::optional<LanguageEngineTraits> language;
  std::optional<ScalingTraits> scaling;
};

struct IngressLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration head_timeout = 3s;
  Duration idle_timeout = 15s;
};

struct ServingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  IngressLimits limits;
  bool requires_keys = false;  // Callers name their tenant by a key.
  std::vector<Tenant> tenants;

  // Returns the route for the host and path: of those for the host, the one
  // with the longest prefix that begins the path; nullptr where there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(std::string_view name) const;
};

}  // namespace saltquay::serving
