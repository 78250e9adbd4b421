// Measures the work that callers offer to this node, refused work included,
// as smoothed rates for the role planner. Not thread-safe; owned by Dispatcher.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/core/context.h"

namespace saltquay {

// Work of one request.
struct OfferedWork {
  double prefill_tokens = 0;        // On prefill or whole engines.
  double whole_prefill_tokens = 0;  // On decode engines.
  double output_tokens = 0;
};

class DemandMeter {
 public:
  void Note(const std::string& model, const OfferedWork& work);
  // Folds what was noted into the rates.
  void OnTick(const NodeContext& context);
  std::vector<ModelDemand> Demands() const;

 private:
  struct ModelState {
    OfferedWork since_fold;
    OfferedWork per_second;
  };

  std::map<std::uint32_t, ModelState> models_;  // By hash of the model's name.
  Time folded_at_{};
};

// Identity of a model in ModelDemand.
std::uint32_t DemandModelId(const std::string& model);

}  // namespace saltquay
