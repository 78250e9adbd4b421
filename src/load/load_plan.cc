#include "src/load/load_plan.h"

#include <fmt/format.h>

namespace saltquay {
namespace {

constexpr int kSharedPrefixes = 8;

std::string Words(Random& random, std::uint32_t bytes) {
  std::string text;
  while (text.size() < bytes) text += fmt::format("{:07x} ", random.Bits() & 0xFFFFFFF);
  text.resize(bytes);
  return text;
}

const LoadClass& DrawClass(const LoadPlan& plan, Random& random, double progress) {
  double total = 0;
  for (const LoadClass& row : plan.classes) {
    total += row.share_at_start + (row.share_at_end - row.share_at_start) * progress;
  }
  double draw = random.Unit() * total;
  for (const LoadClass& row : plan.classes) {
    draw -= row.share_at_start + (row.share_at_end - row.share_at_start) * progress;
    if (draw < 0) return row;
  }
  return plan.classes.back();
}

}  // namespace

absl::StatusOr<LoadPlan> NamedLoadPlan(const std::string& name) {
  LoadPlan plan;
  if (name == "federation") {
    plan.classes = {{"ruling", "consulta-lm", 12'000, 8'192, 24, true, 0.2, 0.5},
                    {"permit", "ventanilla", 300, 0, 12, false, 0.4, 0.25},
                    {"tag-check", "ventanilla", 200, 0, 8, true, 0.4, 0.25}};
    return plan;
  }
  if (name == "ravinala") {
    plan.classes = {{"uncovered-visit", "roster-app", 300, 0, 12, true, 0.4, 0.3},
                    {"assignment", "roster-app", 300, 0, 8, false, 0.2, 0.2},
                    {"roster-check", "roster-llm", 12'000, 8'192, 24, true, 0.2, 0.1},
                    {"visit-list", "roster-llm", 400, 0, 120, true, 0.2, 0.4}};
    return plan;
  }
  return MakeError(ErrorKind::kInvalidSetting, "no workload '" + name + "'; use federation or ravinala");
}

std::vector<PlannedRequest> DrawRequests(const LoadPlan& plan) {
  Random random(plan.seed);
  std::vector<std::string> prefixes;
  prefixes.reserve(kSharedPrefixes);
  for (int i = 0; i < kSharedPrefixes; ++i) prefixes.push_back(Words(random, 16'384));
  std::vector<PlannedRequest> requests;
  double at = random.Exponential(1.0 / plan.requests_per_second);
  while (at < plan.duration_seconds && requests.size() < plan.max_requests) {
    const LoadClass& row = DrawClass(plan, random, at / plan.duration_seconds);
    PlannedRequest request;
    request.at_seconds = at;
    request.request_class = &row;
    const std::string& prefix = prefixes[random.Below(kSharedPrefixes)];
    request.prompt = prefix.substr(0, row.shared_prefix_bytes);
    request.prompt += Words(random, row.prompt_bytes - row.shared_prefix_bytes);
    request.idempotency_key = fmt::format("load-{:x}-{}", plan.seed, requests.size());
    request.stream = random.Chance(plan.stream_share);
    requests.push_back(std::move(request));
    at += random.Exponential(1.0 / plan.requests_per_second);
  }
  return requests;
}

}  // namespace saltquay
