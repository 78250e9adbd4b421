#include "src/simulation/deployments.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay {
namespace {

struct DeploymentNames {
  std::vector<std::string> zones;
  PoolNames pools;
  std::string main_model;
  std::string quick_model;
};

DeploymentNames NamesOf(Deployment deployment) {
  if (deployment == Deployment::kFederation) {
    return {{"oviedo-a", "santander-b", "bilbao-c"}, {"consulta", "ventanilla"}, "consulta-lm", "ventanilla"};
  }
  return {{"pamp-a", "pamp-b", "grand-baie"}, {"roster", "app"}, "roster-llm", "roster-app"};
}

std::string ClassText(const RequestKind& kind) {
  // Deadlines follow from the size of the work; the quick services are urgent.
  const bool quick = kind.prompt_tokens < 1000 && kind.output_tokens < 100;
  const int first_token_ms = quick ? 800 : 2500;
  const int deadline_ms = first_token_ms + 2000 + static_cast<int>(kind.output_tokens) * 80;
  return fmt::format(
      "[[class]]\nname = \"{}\"\nfirst_token_ms = {}\nbetween_tokens_ms = 80\ndeadline_ms = {}\nweight = {}\n"
      "priority = {}\n\n",
      kind.request_class, first_token_ms, deadline_ms, kind.weight, quick ? 10 : 0);
}

}  // namespace

std::vector<std::string> ZoneNames(Deployment deployment, int count) {
  std::vector<std::string> names = NamesOf(deployment).zones;
  for (int i = static_cast<int>(names.size()); i < count; ++i) names.push_back(fmt::format("zone-{}", i + 1));
  names.resize(static_cast<std::size_t>(count));
  return names;
}

PoolNames PoolNamesOf(Deployment deployment) { return NamesOf(deployment).pools; }

std::string MainModelOf(Deployment deployment) { return NamesOf(deployment).main_model; }

EngineProfile DefaultEngineProfile() {
  EngineProfile profile;
  profile.prefill_tokens_per_second = 12'000;
  profile.decode_step = 18ms;
  profile.decode_per_stream = 400us;
  profile.max_streams = 48;
  profile.decode_chunk_tokens = 128;
  profile.kv_bytes_per_token = 131'072;
  profile.kv_bytes_per_second = 2.5e10;
  return profile;
}

std::vector<RequestKind> RequestKindsOf(Deployment deployment) {
  const DeploymentNames names = NamesOf(deployment);
  if (deployment == Deployment::kFederation) {
    return {{"ruling", names.main_model, 7000, 4096, 90, true, 1, 0.25, 0.45},
            {"explanation", names.main_model, 400, 256, 260, true, 1, 0.30, 0.08},
            {"permit", names.quick_model, 120, 0, 24, false, 2, 0.20, 0.25},
            {"tag-check", names.quick_model, 60, 0, 12, true, 1, 0.25, 0.22}};
  }
  return {{"uncovered-visit", names.quick_model, 150, 0, 24, true, 3, 0.25, 0.30},
          {"assignment", names.quick_model, 120, 0, 16, false, 3, 0.15, 0.20},
          {"roster-check", names.main_model, 7000, 4096, 90, true, 1, 0.35, 0.10},
          {"visit-list", names.main_model, 400, 256, 300, true, 1.5, 0.25, 0.40}};
}

std::string MakeBundleText(Deployment deployment, const BundlePlan& plan) {
  const DeploymentNames names = NamesOf(deployment);
  std::string text = fmt::format("name = \"{}\"\n\n", plan.name);
  text += fmt::format("[[model]]\nname = \"{}\"\nversion = \"{}\"\npool = \"{}\"\n\n", names.main_model,
                      plan.main_version, names.pools.main);
  text +=
      fmt::format("[[model]]\nname = \"{}\"\nversion = \"1\"\npool = \"{}\"\n\n", names.quick_model, names.pools.quick);
  const int most = std::max(1, plan.main_engines - 1);
  const int prefill = std::clamp(plan.prefill_engines, 1, most);
  text += fmt::format(
      "[[pool]]\nname = \"{}\"\nengines = {}\nroles = {{ prefill = {}, decode = {} }}\n"
      "bounds = {{ prefill = [1, {}], decode = [1, {}] }}\n\n",
      names.pools.main, plan.main_engines, prefill, plan.main_engines - prefill, most, most);
  text += fmt::format("[[pool]]\nname = \"{}\"\nengines = {}\nroles = {{ whole = {} }}\n\n", names.pools.quick,
                      plan.quick_engines, plan.quick_engines);
  for (const RequestKind& kind : RequestKindsOf(deployment)) text += ClassText(kind);
  return text;
}

}  // namespace saltquay
