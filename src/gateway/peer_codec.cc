#include "src/gateway/peer_codec.h"

#include <chrono>

#include "src/gateway/peer_report_generated.h"

namespace saltquay::gateway {
namespace {

std::string Text(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

std::int32_t Milliseconds(Duration duration) {
  return static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

std::string EncodeReport(const serving::PeerReport& report) {
  flatbuffers::FlatBufferBuilder builder(512);
  std::vector<flatbuffers::Offset<wire::EngineWork>> work;
  for (const auto& item : report.work) {
    work.push_back(
        wire::CreateEngineWork(builder, builder.CreateString(item.engine_id), item.outstanding, item.prompt_tokens));
  }
  std::vector<flatbuffers::Offset<wire::ServiceDemand>> demand;
  for (const auto& item : report.demand) {
    demand.push_back(
        wire::CreateServiceDemand(builder, builder.CreateString(item.service), static_cast<float>(item.prefill_engines),
                                  static_cast<float>(item.decode_engines), static_cast<float>(item.reading_depth)));
  }
  std::vector<flatbuffers::Offset<wire::EngineHold>> holds;
  for (const auto& item : report.holds) {
    holds.push_back(wire::CreateEngineHold(builder, builder.CreateString(item.engine_id), Milliseconds(item.left)));
  }
  std::vector<flatbuffers::Offset<wire::KeptPart>> kept;
  for (const auto& item : report.kept) {
    kept.push_back(wire::CreateKeptPart(builder, builder.CreateSharedString(item.engine_id), item.part));
  }
  std::vector<flatbuffers::Offset<wire::PeerAddress>> peers;
  for (const auto& item : report.peers) {
    peers.push_back(
        wire::CreatePeerAddress(builder, builder.CreateString(item.node), builder.CreateString(item.address)));
  }
  std::vector<flatbuffers::Offset<wire::RecordMark>> records;
  for (const auto& item : report.records) {
    records.push_back(wire::CreateRecordMark(builder, builder.CreateString(item.kind), item.changed_at));
  }
  builder.Finish(
      wire::CreateReport(builder, builder.CreateString(report.node), builder.CreateString(report.address), report.boot,
                         report.sequence, report.stopping, builder.CreateVector(work), builder.CreateVector(demand),
                         builder.CreateVector(holds), builder.CreateVector(peers), builder.CreateVector(kept),
                         builder.CreateString(report.zone), report.link_mbps, builder.CreateVector(records)));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

std::optional<serving::PeerReport> DecodeReport(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!wire::VerifyReportBuffer(verifier)) return std::nullopt;
  const wire::Report* source = wire::GetReport(bytes.data());
  serving::PeerReport report;
  report.node = Text(source->node());
  report.address = Text(source->address());
  report.boot = source->boot();
  report.sequence = source->sequence();
  report.stopping = source->stopping();
  if (source->work() != nullptr) {
    for (const auto* item : *source->work()) {
      report.work.push_back({Text(item->engine()), item->outstanding(), item->prompt_tokens()});
    }
  }
  if (source->demand() != nullptr) {
    for (const auto* item : *source->demand()) {
      report.demand.push_back(
          {Text(item->service()), item->prefill_engines(), item->decode_engines(), item->reading_depth()});
    }
  }
  if (source->holds() != nullptr) {
    for (const auto* item : *source->holds()) {
      report.holds.push_back({Text(item->engine()), std::chrono::milliseconds(item->left_ms())});
    }
  }
  if (source->kept() != nullptr) {
    for (const auto* item : *source->kept()) report.kept.push_back({Text(item->engine()), item->part()});
  }
  report.zone = Text(source->zone());
  report.link_mbps = source->link_mbps();
  if (source->records() != nullptr) {
    for (const auto* item : *source->records()) report.records.push_back({Text(item->kind()), item->changed_at()});
  }
  if (source->peers() != nullptr) {
    for (const auto* item : *source->peers()) report.peers.push_back({Text(item->node()), Text(item->address())});
  }
  return report;
}

}  // namespace saltquay::gateway
