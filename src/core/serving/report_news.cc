#include "src/core/serving/report_news.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace saltquay::serving {
namespace {

// Encoded sizes in bytes; see peer_report.fbs.
constexpr std::size_t kBaseBytes = 200;
constexpr std::size_t kWorkBytes = 24;
constexpr std::size_t kKeptPartBytes = 16;
constexpr std::size_t kCrashBytes = 24;
constexpr std::size_t kPeerBytes = 30;
constexpr std::size_t kHoldBytes = 48;
constexpr std::size_t kDemandBytes = 64;
constexpr std::size_t kEngineLimitBytes = 16;

bool Differs(double sent, double value) {
  constexpr double kRelativeTolerance = 0.1;
  constexpr double kTolerance = 0.01;
  return std::abs(value - sent) > kTolerance + kRelativeTolerance * sent;
}

bool Differs(const ServiceDemand& sent, const ServiceDemand& demand) {
  return sent.service != demand.service || sent.region != demand.region ||
         Differs(sent.prefill_engines, demand.prefill_engines) || Differs(sent.decode_engines, demand.decode_engines) ||
         Differs(sent.unloaded_prefill_engines, demand.unloaded_prefill_engines) ||
         Differs(sent.prefill_depth, demand.prefill_depth);
}

bool Differs(const EngineWork& sent, const EngineWork& work) {
  const auto members = [](const EngineWork& item) {
    return std::tie(item.engine, item.outstanding, item.prompt_tokens, item.response_count, item.failures);
  };
  return members(sent) != members(work);
}

bool Differs(const EngineHold& sent, const EngineHold& hold) { return sent.engine_id != hold.engine_id; }

bool Differs(const RecordMark& sent, const RecordMark& mark) {
  return sent.kind != mark.kind || sent.changed_at != mark.changed_at;
}

bool Differs(const EngineLimitMark& sent, const EngineLimitMark& mark) {
  return sent.engine != mark.engine || sent.requests_per_s != mark.requests_per_s;
}

template <typename Item>
bool AnyDiffers(const std::vector<Item>& sent, const std::vector<Item>& items) {
  return !std::equal(sent.begin(), sent.end(), items.begin(), items.end(),
                     [](const Item& first, const Item& second) { return !Differs(first, second); });
}

}  // namespace

bool HasNews(const PeerReport& sent, const PeerReport& report) {
  if (sent.boot != report.boot || sent.stopping != report.stopping || sent.nodes != report.nodes) return true;
  if (!report.crashes.empty() || sent.lease.revision != report.lease.revision) return true;
  const auto is_known = [&](const KeptPart& kept) {
    return std::find(sent.kept.begin(), sent.kept.end(), kept) != sent.kept.end();
  };
  if (!std::all_of(report.kept.begin(), report.kept.end(), is_known)) return true;
  return AnyDiffers(sent.work, report.work) || AnyDiffers(sent.demand, report.demand) ||
         AnyDiffers(sent.holds, report.holds) || AnyDiffers(sent.records, report.records) ||
         AnyDiffers(sent.engine_limits, report.engine_limits) || sent.leaving_engines != report.leaving_engines;
}

std::size_t EstimateBytes(const PeerReport& report) {
  return kBaseBytes + kWorkBytes * report.work.size() + kKeptPartBytes * report.kept.size() +
         kCrashBytes * report.crashes.size() + kPeerBytes * report.peers.size() + kHoldBytes * report.holds.size() +
         kDemandBytes * report.demand.size() + kEngineLimitBytes * report.engine_limits.size() +
         sizeof(EngineKey) * report.leaving_engines.size();
}

void LimitWork(PeerReport& report, std::size_t max_engines) {
  if (report.work.size() <= max_engines) return;
  const auto last = report.work.begin() + static_cast<std::ptrdiff_t>(max_engines);
  std::nth_element(report.work.begin(), last, report.work.end(), [](const EngineWork& first, const EngineWork& second) {
    return std::tie(first.failures, first.outstanding, first.prompt_tokens, first.engine) >
           std::tie(second.failures, second.outstanding, second.prompt_tokens, second.engine);
  });
  report.work.erase(last, report.work.end());
  std::sort(report.work.begin(), report.work.end(),
            [](const EngineWork& first, const EngineWork& second) { return first.engine < second.engine; });
}

bool RepeatedMessage::IsDue(const PeerReport& report, Time now, Duration keepalive_interval) const {
  return sent_at_ == Time{} || repeats_ || now - sent_at_ >= keepalive_interval || HasNews(sent_, report);
}

void RepeatedMessage::RecordSent(const PeerReport& report, Time now) {
  const bool is_news = sent_at_ == Time{} || HasNews(sent_, report);
  sent_ = report;
  sent_at_ = now;
  repeats_ = is_news;
}

}  // namespace saltquay::serving
