// What the load tool sends: classes of requests whose mix changes over time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/random.h"
#include "src/base/status.h"

namespace saltquay {

// One kind of request.
struct LoadClass {
  std::string name;  // The bundle's class.
  std::string model;
  std::uint32_t prompt_bytes = 400;
  std::uint32_t shared_prefix_bytes = 0;  // Of the prompt, one of a few common texts.
  std::uint32_t output_tokens = 16;
  bool repeatable = true;
  double share_at_start = 1;  // Of the requests; shares move in a line to the end.
  double share_at_end = 1;
};

struct LoadPlan {
  std::vector<LoadClass> classes;
  double requests_per_second = 50;
  double duration_seconds = 10;
  double stream_share = 0.5;
  std::uint64_t seed = 1;
  std::uint32_t max_requests = 1'000'000;
};

// One request of the plan.
struct PlannedRequest {
  double at_seconds = 0;
  const LoadClass* request_class = nullptr;
  std::string prompt;
  std::string idempotency_key;
  bool stream = false;
};

// The plans of both deployments: "federation" and "ravinala".
absl::StatusOr<LoadPlan> NamedLoadPlan(const std::string& name);

// Draws the requests of `plan`, in order of time. Same seed, same requests.
std::vector<PlannedRequest> DrawRequests(const LoadPlan& plan);

}  // namespace saltquay
