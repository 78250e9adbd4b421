#include "src/core/admission/demand_meter.h"

#include <cmath>

#include "src/base/hash.h"

namespace saltquay {
namespace {

constexpr Duration kFoldInterval = 500ms;

double Smooth(double present, double measured, double weight) { return present + (measured - present) * weight; }

}  // namespace

std::uint32_t DemandModelId(const std::string& model) { return static_cast<std::uint32_t>(HashText(model)); }

void DemandMeter::Note(const std::string& model, const OfferedWork& work) {
  OfferedWork& sum = models_[DemandModelId(model)].since_fold;
  sum.prefill_tokens += work.prefill_tokens;
  sum.whole_prefill_tokens += work.whole_prefill_tokens;
  sum.output_tokens += work.output_tokens;
}

void DemandMeter::OnTick(const NodeContext& context) {
  const Duration elapsed = context.now() - folded_at_;
  if (elapsed < kFoldInterval) return;
  folded_at_ = context.now();
  const double seconds = ToSeconds(elapsed);
  const double weight = 1.0 - std::exp(-seconds / ToSeconds(context.parameters().demand_smoothing));
  for (auto& [model, state] : models_) {
    OfferedWork& rate = state.per_second;
    rate.prefill_tokens = Smooth(rate.prefill_tokens, state.since_fold.prefill_tokens / seconds, weight);
    rate.whole_prefill_tokens =
        Smooth(rate.whole_prefill_tokens, state.since_fold.whole_prefill_tokens / seconds, weight);
    rate.output_tokens = Smooth(rate.output_tokens, state.since_fold.output_tokens / seconds, weight);
    state.since_fold = OfferedWork{};
  }
}

std::vector<ModelDemand> DemandMeter::Demands() const {
  std::vector<ModelDemand> demands;
  for (const auto& [model, state] : models_) {
    demands.push_back(ModelDemand{model, static_cast<float>(state.per_second.prefill_tokens),
                                  static_cast<float>(state.per_second.whole_prefill_tokens),
                                  static_cast<float>(state.per_second.output_tokens)});
  }
  return demands;
}

}  // namespace saltquay
