// The users' two deployments: zones, pools, bundles and kinds of requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/bundle/bundle.h"
#include "src/simulation/options.h"

namespace saltquay {

struct PoolNames {
  std::string main;
  std::string quick;
};

// One kind of request.
struct RequestKind {
  std::string request_class;
  std::string model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t shared_tokens = 0;  // Of the prompt, one of a few common prefixes.
  std::uint32_t output_tokens = 0;
  bool repeatable = true;
  double weight = 1;       // Of one answer, as its users weigh it.
  double share_quiet = 1;  // Of the requests while the mix is quiet.
  double share_surge = 1;  // And at the height of a shift.
};

std::vector<std::string> ZoneNames(Deployment deployment, int count);
PoolNames PoolNamesOf(Deployment deployment);
std::string MainModelOf(Deployment deployment);
EngineProfile DefaultEngineProfile();
std::vector<RequestKind> RequestKindsOf(Deployment deployment);

// How many engines of the main pool start as prefill engines.
struct BundlePlan {
  std::string name = "first";
  std::string main_version = "1";
  int main_engines = 9;
  int quick_engines = 3;
  int prefill_engines = 4;
};

// A bundle's text for the deployment.
std::string MakeBundleText(Deployment deployment, const BundlePlan& plan);

}  // namespace saltquay
