// Bundle text to Bundle, with every check that can be made offline.
#include <algorithm>
#include <cctype>
#include <set>

#include <fmt/format.h>

#include "src/base/config_reader.h"
#include "src/core/bundle/bundle.h"

namespace saltquay {
namespace {

constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxEngines = 20'000;
constexpr std::int64_t kMaxMilliseconds = 3'600'000;
constexpr int kMaxPriority = 100;

Duration Milliseconds(double value) { return FromSeconds(value / 1000.0); }

std::string ReadName(ConfigReader& table) {
  std::string name = table.String("name", std::nullopt);
  if (name.empty()) table.Fail("name", "is empty", "give a name");
  return name;
}

ModelDeclaration ReadModel(ConfigReader table) {
  ModelDeclaration model;
  model.name = ReadName(table);
  model.version = table.String("version", std::nullopt);
  model.adapters = table.Strings("adapters");
  model.pool = table.String("pool", std::nullopt);
  model.max_prompt_tokens = static_cast<std::uint32_t>(table.Integer("max_prompt_tokens", 1, kMaxTokens, 32'768));
  model.max_output_tokens = static_cast<std::uint32_t>(table.Integer("max_output_tokens", 1, kMaxTokens, 4'096));
  table.RejectUnreadKeys();
  return model;
}

EngineProfile ReadProfile(ConfigReader table) {
  EngineProfile profile;
  profile.prefill_tokens_per_second = table.Number("prefill_tokens_per_second", 1, 1e9, 12'000);
  profile.decode_step = Milliseconds(table.Number("decode_step_ms", 0.001, kMaxMilliseconds, 18));
  profile.decode_per_stream = Milliseconds(table.Number("decode_ms_per_stream", 0, kMaxMilliseconds, 0.4));
  profile.max_streams = static_cast<std::uint32_t>(table.Integer("max_streams", 1, 100'000, 48));
  profile.decode_chunk_tokens = static_cast<std::uint32_t>(table.Integer("decode_chunk_tokens", 1, kMaxTokens, 128));
  profile.kv_bytes_per_token = table.Number("kv_bytes_per_token", 0, 1e9, 131'072);
  profile.kv_bytes_per_second = table.Number("kv_bytes_per_second", 1, 1e15, 2.5e10);
  table.RejectUnreadKeys();
  return profile;
}

RoleBounds ReadRole(ConfigReader& roles, ConfigReader& bounds, const char* key, int engines) {
  RoleBounds role;
  role.start = static_cast<int>(roles.Integer(key, 0, engines, 0));
  role.minimum = role.start > 0 ? 1 : 0;
  role.maximum = role.start > 0 ? engines : 0;
  const std::vector<std::int64_t> limits = bounds.Integers(key, 0, engines);
  if (!bounds.Has(key)) return role;
  if (limits.size() != 2 || limits[0] > role.start || limits[1] < role.start) {
    bounds.Fail(key, "does not hold the starting number", "write [least, most] with the starting number between them");
    return role;
  }
  role.minimum = static_cast<int>(limits[0]);
  role.maximum = static_cast<int>(limits[1]);
  return role;
}

void CheckRoles(const PoolDeclaration& pool, ConfigReader& table) {
  int started = 0;
  for (const RoleBounds& role : pool.roles) started += role.start;
  if (started != pool.engines) {
    table.Fail("roles", fmt::format("starts {} engines, but the pool has {}", started, pool.engines),
               "make the starting roles add up to 'engines'");
  }
  const bool whole = pool.bounds(EngineRole::kWhole).start > 0;
  const bool prefill = pool.bounds(EngineRole::kPrefill).start > 0;
  const bool decode = pool.bounds(EngineRole::kDecode).start > 0;
  if ((whole && (prefill || decode)) || prefill != decode) {
    table.Fail("roles", "mixes roles that do not work together",
               "start either only 'whole' engines, or both 'prefill' and 'decode' engines");
  }
}

PoolDeclaration ReadPool(ConfigReader table) {
  PoolDeclaration pool;
  pool.name = ReadName(table);
  pool.engines = static_cast<int>(table.Integer("engines", 1, kMaxEngines, std::nullopt));
  ConfigReader roles = table.Table("roles");
  ConfigReader bounds = table.Table("bounds");
  pool.roles[static_cast<std::size_t>(EngineRole::kWhole)] = ReadRole(roles, bounds, "whole", pool.engines);
  pool.roles[static_cast<std::size_t>(EngineRole::kPrefill)] = ReadRole(roles, bounds, "prefill", pool.engines);
  pool.roles[static_cast<std::size_t>(EngineRole::kDecode)] = ReadRole(roles, bounds, "decode", pool.engines);
  roles.RejectUnreadKeys();
  bounds.RejectUnreadKeys();
  pool.profile = ReadProfile(table.Table("profile"));
  CheckRoles(pool, table);
  table.RejectUnreadKeys();
  return pool;
}

ClassDeclaration ReadClass(ConfigReader table) {
  ClassDeclaration request_class;
  request_class.name = ReadName(table);
  request_class.first_token = Milliseconds(table.Number("first_token_ms", 1, kMaxMilliseconds, std::nullopt));
  request_class.between_tokens = Milliseconds(table.Number("between_tokens_ms", 1, kMaxMilliseconds, 60));
  request_class.deadline = Milliseconds(table.Number("deadline_ms", 1, kMaxMilliseconds, std::nullopt));
  request_class.weight = table.Number("weight", 0, 1e6, 1.0);
  request_class.priority = static_cast<int>(table.Integer("priority", 0, kMaxPriority, 0));
  if (request_class.first_token > request_class.deadline) {
    table.Fail("first_token_ms", "is past the whole answer's deadline", "make it at most deadline_ms");
  }
  table.RejectUnreadKeys();
  return request_class;
}

TenantLimit ReadLimit(ConfigReader& table) {
  TenantLimit limit;
  limit.requests_per_second = table.Number("requests_per_second", 0.001, 1e9, 1e6);
  limit.outstanding_tokens =
      static_cast<std::uint64_t>(table.Integer("outstanding_tokens", 1, 1'000'000'000'000, 1'000'000'000));
  return limit;
}

template <typename Row>
void CheckUnique(const std::vector<Row>& rows, ConfigReader& root, const char* key) {
  std::set<std::string> names;
  for (const Row& row : rows) {
    if (!names.insert(row.name).second) {
      root.Fail(key, fmt::format("names '{}' twice", row.name), "give each its own name");
    }
  }
}

void CheckReferences(const Bundle& bundle, ConfigReader& root) {
  if (bundle.models.empty()) root.Fail("model", "is missing", "declare at least one [[model]]");
  if (bundle.classes.empty()) root.Fail("class", "is missing", "declare at least one [[class]]");
  std::set<std::string> used_pools;
  for (const ModelDeclaration& model : bundle.models) {
    if (bundle.FindPool(model.pool) == nullptr) {
      root.Fail("model", fmt::format("'{}' names the unknown pool '{}'", model.name, model.pool),
                "declare that [[pool]]");
    }
    if (!used_pools.insert(model.pool).second) {
      root.Fail("model", fmt::format("'{}' shares the pool '{}' with another model", model.name, model.pool),
                "give each model its own pool");
    }
  }
}

}  // namespace

absl::StatusOr<Bundle> ParseBundle(const std::string& text, const std::string& source) {
  absl::StatusOr<ConfigReader> parsed = ConfigReader::Parse(text, source, ErrorKind::kInvalidBundle);
  if (!parsed.ok()) return parsed.status();
  ConfigReader root = *parsed;
  Bundle bundle;
  bundle.name = ReadName(root);
  const bool plain = std::all_of(bundle.name.begin(), bundle.name.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  });
  if (!plain) root.Fail("name", "has other characters", "use letters, digits, '.', '_' and '-'");
  root.String("description", "");
  for (ConfigReader& table : root.Tables("model")) bundle.models.push_back(ReadModel(table));
  for (ConfigReader& table : root.Tables("pool")) bundle.pools.push_back(ReadPool(table));
  for (ConfigReader& table : root.Tables("class")) bundle.classes.push_back(ReadClass(table));
  ConfigReader limits = root.Table("limits");
  bundle.default_limit = ReadLimit(limits);
  limits.RejectUnreadKeys();
  for (ConfigReader& table : root.Tables("tenant")) {
    TenantLimit limit = ReadLimit(table);
    limit.tenant = ReadName(table);
    table.RejectUnreadKeys();
    bundle.tenant_limits.push_back(limit);
  }
  std::sort(bundle.tenant_limits.begin(), bundle.tenant_limits.end(),
            [](const TenantLimit& left, const TenantLimit& right) { return left.tenant < right.tenant; });
  CheckUnique(bundle.models, root, "model");
  CheckUnique(bundle.pools, root, "pool");
  CheckUnique(bundle.classes, root, "class");
  CheckReferences(bundle, root);
  root.RejectUnreadKeys();
  if (!root.status().ok()) return root.status();
  return bundle;
}

}  // namespace saltquay
