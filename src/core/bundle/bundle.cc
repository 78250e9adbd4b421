#include "src/core/bundle/bundle.h"

#include <algorithm>

#include "src/base/hash.h"

namespace saltquay {
namespace {

template <typename Row>
const Row* FindByName(const std::vector<Row>& rows, const std::string& name) {
  for (const Row& row : rows) {
    if (row.name == name) return &row;
  }
  return nullptr;
}

}  // namespace

ModelVersionId ModelDeclaration::version_id() const { return MakeModelVersionId(name, version, adapters); }

std::vector<ModelVersionId> RolledBundle::ServingVersions(const ModelDeclaration& model) const {
  std::vector<ModelVersionId> versions = {model.version_id()};
  for (const EarlierVersion& row : earlier_versions) {
    if (row.model == model.name) versions.push_back(row.version);
  }
  return versions;
}

const ModelDeclaration* Bundle::FindModel(const std::string& model) const { return FindByName(models, model); }

const ModelDeclaration* Bundle::FindModelOfPool(const std::string& pool) const {
  for (const ModelDeclaration& model : models) {
    if (model.pool == pool) return &model;
  }
  return nullptr;
}

const PoolDeclaration* Bundle::FindPool(const std::string& pool) const { return FindByName(pools, pool); }

const ClassDeclaration* Bundle::FindClass(const std::string& request_class) const {
  return FindByName(classes, request_class);
}

const TenantLimit& Bundle::LimitOf(const std::string& tenant) const {
  const auto row =
      std::lower_bound(tenant_limits.begin(), tenant_limits.end(), tenant,
                       [](const TenantLimit& limit, const std::string& name) { return limit.tenant < name; });
  if (row != tenant_limits.end() && row->tenant == tenant) return *row;
  return default_limit;
}

}  // namespace saltquay
