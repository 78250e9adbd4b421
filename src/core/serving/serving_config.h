// The configuration of a gateway: routes, services, tenants and ingress limits.
//
// Operators publish it as numbered versions. A node process never goes back to an older version.
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
  kRepeatable,  // May be executed more than once.
  kAtMostOnce,
  kStreaming,  // The response is an event stream; executed at most once unless the route is resumable.
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
  Duration objective = 1s;              // A response, or a stream's first event, has its full value within it.
  Duration inter_event_objective = 0s;  // Latency objective between two events of a stream; zero if none is set.
  int max_attempts = 1;
  int priority = 5;            // 0 is the most urgent.
  bool prefix_affine = false;  // Requests declare the parts of their prompts.
  bool resumable = false;
  bool allows_anonymous = false;  // No API key needed even if the configuration requires keys.

  bool repeatable() const { return kind == RouteKind::kRepeatable || (kind == RouteKind::kStreaming && resumable); }
};

// Properties shared by all engines of a language-model service.
struct LanguageEngineTraits {
  int slots = 0;
  std::int64_t kv_capacity_tokens = 0;
  std::int64_t kv_token_bytes = 0;
  double link_mbps = 0;
  Duration kv_handle_lifetime = 5s;  // How long a prefill engine keeps a KV cache handle.
  Duration role_change = 2s;         // How long an engine is unavailable while its stage changes.
};

// How many engines of a service may be provisioned, and at what price.
struct ScalingTraits {
  int min = 0;  // Per zone, on-demand and spot engines together.
  int max = 0;
  Duration boot = 0s;                // From the provisioning order until the engine serves.
  std::optional<double> spot_price;  // As a share of an on-demand engine's price; unset if there are no spot engines.
  std::map<std::string, double> zone_prices;  // Price of an on-demand engine per second, by zone.
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // Per engine, over all clients; 0: no limit.
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
  bool requires_keys = false;  // Clients authenticate with an API key, which identifies their tenant.
  std::vector<Tenant> tenants;

  // Returns the host's route with the longest prefix of the path, or nullptr if no route matches.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(std::string_view name) const;
};

}  // namespace saltquay::serving
