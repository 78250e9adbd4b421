#include "src/gateway/peer_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <type_traits>

#include "src/base/status.h"
#include "src/gateway/limit_codec.h"
#include "src/gateway/member_list_codec.h"
#include "src/gateway/peer_report_generated.h"
#include "src/gateway/permit_codec.h"
#include "src/gateway/stream_codec.h"

namespace saltquay::gateway {
namespace {

constexpr std::uint8_t kFormat = 3;

std::string Text(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

std::int32_t Milliseconds(Duration duration) {
  return static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Saturates counts that exceed the range of the wire type; their exact value does not matter then.
template <typename Wire, typename Value>
Wire Clamped(Value value) {
  return static_cast<Wire>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<Wire>::max()));
}

wire::EngineWork ToWire(const serving::EngineWork& work) {
  return {work.engine.hash, Clamped<std::uint32_t>(work.prompt_tokens), Clamped<std::uint16_t>(work.outstanding),
          Clamped<std::uint16_t>(work.response_count), Clamped<std::uint16_t>(work.failures)};
}

serving::EngineWork FromWire(const wire::EngineWork& work) {
  return {serving::EngineKey(work.engine()), work.outstanding(), work.prompt_tokens(), work.answers(), work.failures()};
}

flatbuffers::Offset<flatbuffers::Vector<const wire::CrashMark*>> CrashesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<serving::CrashMark>& marks) {
  std::vector<wire::CrashMark> crashes;
  crashes.reserve(marks.size());
  for (const auto& item : marks) {
    crashes.emplace_back(item.subject.fingerprint, item.engine.hash, Clamped<std::uint32_t>(Milliseconds(item.age)),
                         static_cast<std::uint8_t>(item.subject.kind), item.completion);
  }
  return builder.CreateVectorOfStructs(crashes);
}

// Returns nullopt for a kind of subject that this version does not know.
std::optional<serving::CrashMark> CrashFromWire(const wire::CrashMark& mark) {
  if (mark.subject_kind() > static_cast<std::uint8_t>(serving::CrashSubjectKind::kPromptPart)) return std::nullopt;
  const auto kind = static_cast<serving::CrashSubjectKind>(mark.subject_kind());
  return serving::CrashMark{{kind, mark.subject()},
                            serving::EngineKey(mark.engine()),
                            std::chrono::milliseconds(mark.age_ms()),
                            mark.completion()};
}

flatbuffers::Offset<wire::LeaseMark> LeaseToWire(flatbuffers::FlatBufferBuilder& builder,
                                                 const serving::LeaseMark& lease) {
  if (lease.revision == 0) return 0;  // The lease is unknown: the table is omitted.
  return wire::CreateLeaseMark(builder, builder.CreateString(lease.holder), builder.CreateString(lease.address),
                               lease.revision);
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::UsageCount>>> UsageToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<serving::UsageCount>& counts) {
  std::vector<flatbuffers::Offset<wire::UsageCount>> usage;
  usage.reserve(counts.size());
  for (const auto& item : counts) {
    usage.push_back(
        wire::CreateUsageCount(builder, item.window, builder.CreateSharedString(item.tenant), item.requests));
  }
  return builder.CreateVector(usage);
}

std::vector<flatbuffers::Offset<wire::PeerNode>> PeersToWire(flatbuffers::FlatBufferBuilder& builder,
                                                             const std::vector<serving::PeerNode>& nodes) {
  std::vector<flatbuffers::Offset<wire::PeerNode>> peers;
  peers.reserve(nodes.size());
  for (const auto& item : nodes) {
    peers.push_back(wire::CreatePeerNode(builder, builder.CreateString(item.node), builder.CreateString(item.address),
                                         builder.CreateSharedString(item.zone), item.link_mbps,
                                         Milliseconds(item.age)));
  }
  return peers;
}

std::vector<flatbuffers::Offset<wire::ServiceDemand>> DemandToWire(flatbuffers::FlatBufferBuilder& builder,
                                                                   const std::vector<serving::ServiceDemand>& items) {
  std::vector<flatbuffers::Offset<wire::ServiceDemand>> demand;
  demand.reserve(items.size());
  for (const auto& item : items) {
    demand.push_back(
        wire::CreateServiceDemand(builder, builder.CreateString(item.service), static_cast<float>(item.prefill_engines),
                                  static_cast<float>(item.decode_engines), static_cast<float>(item.prefill_depth),
                                  item.depth_nodes, item.region.empty() ? 0 : builder.CreateSharedString(item.region),
                                  static_cast<float>(item.unloaded_prefill_engines)));
  }
  return demand;
}

flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> LeavingEnginesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<serving::EngineKey>& engines) {
  if (engines.empty()) return 0;
  std::vector<std::uint64_t> hashes;
  hashes.reserve(engines.size());
  for (const serving::EngineKey& engine : engines) hashes.push_back(engine.hash);
  return builder.CreateVector(hashes);
}

// The verifier checks the alignment of a vector's length only, which is that of its elements up to four bytes.
template <typename Element, typename Vector>
bool HasAlignedElements(const Vector& source) {
  return reinterpret_cast<std::uintptr_t>(source.Data()) % alignof(Element) == 0;
}

// Calls `read` for each element of `source`, which may be null. A vector that is not aligned is left out.
template <typename Vector, typename Read>
void ForEach(const Vector* source, Read read) {
  using Element = std::remove_pointer_t<typename Vector::return_type>;
  if (source == nullptr || !HasAlignedElements<Element>(*source)) return;
  for (const auto* item : *source) read(*item);
}

}  // namespace

std::string EncodeReport(const serving::PeerReport& report) {
  flatbuffers::FlatBufferBuilder builder(512);
  std::vector<wire::EngineWork> work;
  work.reserve(report.work.size());
  for (const auto& item : report.work) work.push_back(ToWire(item));
  std::vector<wire::KeptPart> kept;
  kept.reserve(report.kept.size());
  for (const auto& item : report.kept) kept.emplace_back(item.engine.hash, item.part);
  const std::vector<flatbuffers::Offset<wire::ServiceDemand>> demand = DemandToWire(builder, report.demand);
  std::vector<flatbuffers::Offset<wire::EngineHold>> holds;
  for (const auto& item : report.holds) {
    holds.push_back(wire::CreateEngineHold(builder, builder.CreateString(item.engine_id), Milliseconds(item.left)));
  }
  const MemberList members = PackMembers(report.peers);
  const std::vector<flatbuffers::Offset<wire::PeerNode>> peers = PeersToWire(builder, members.others);
  std::vector<flatbuffers::Offset<wire::RecordMark>> records;
  for (const auto& item : report.records) {
    records.push_back(wire::CreateRecordMark(builder, builder.CreateString(item.kind), item.changed_at));
  }
  builder.Finish(wire::CreateReport(
      builder, kFormat, builder.CreateString(report.node), builder.CreateString(report.address), report.boot,
      report.sequence, report.stopping, report.aggregate, static_cast<std::uint8_t>(report.scope), report.nodes,
      Milliseconds(report.age), builder.CreateVectorOfStructs(work), builder.CreateVector(demand),
      builder.CreateVector(holds), builder.CreateVector(peers), builder.CreateVectorOfStructs(kept),
      builder.CreateString(report.zone), report.link_mbps, builder.CreateVector(records),
      LeaseToWire(builder, report.lease), report.wall_ms, report.closed_through, UsageToWire(builder, report.usage),
      CrashesToWire(builder, report.crashes), LimitMessagesToWire(builder, report.limits),
      report.forward_to.empty() ? 0 : builder.CreateVectorOfStrings(report.forward_to),
      members.nodes.empty() ? 0 : builder.CreateVectorOfStructs(members.nodes),
      members.nodes.empty() ? 0 : builder.CreateString(members.names),
      members.nodes.empty() ? 0 : builder.CreateVectorOfStrings(members.zones),
      EngineLimitsToWire(builder, report.engine_limits), PermitMessagesToWire(builder, report.permits),
      LeavingEnginesToWire(builder, report.leaving_engines), StreamMessagesToWire(builder, report.streams)));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

namespace {

bool HasValidNumbers(const wire::ServiceDemand& demand) {
  const auto numbers = {demand.prefill_engines(), demand.decode_engines(), demand.reading_depth(),
                        demand.reading_engines()};
  return std::all_of(numbers.begin(), numbers.end(), [](float number) { return std::isfinite(number) && number >= 0; });
}

// Reads the fields about the sender and the duties; the other lists are read by DecodeReport.
void ReadSender(const wire::Report& source, serving::PeerReport& report) {
  report.node = Text(source.node());
  report.address = Text(source.address());
  report.boot = source.boot();
  report.sequence = source.sequence();
  report.stopping = source.stopping();
  report.aggregate = source.aggregate();
  report.scope = static_cast<serving::ReportScope>(source.scope());
  report.nodes = std::max(0, source.nodes());
  report.age = std::chrono::milliseconds(std::max(0, source.age_ms()));
  report.zone = Text(source.zone());
  report.link_mbps = source.link_mbps();
  if (const wire::LeaseMark* lease = source.lease()) {
    report.lease = {Text(lease->holder()), Text(lease->address()), lease->revision()};
  }
  report.wall_ms = source.wall_ms();
  report.closed_through = source.closed_through();
  ForEach(source.forward_to(), [&](const flatbuffers::String& address) { report.forward_to.push_back(address.str()); });
  ForEach(source.usage(), [&](const wire::UsageCount& item) {
    report.usage.push_back({item.window(), Text(item.tenant()), item.requests()});
  });
}

void ReadMessages(const wire::Report& source, serving::PeerReport& report) {
  ForEach(source.permits(), [&](const wire::PermitMessage& item) {
    if (auto message = PermitMessageFromWire(item)) report.permits.push_back(std::move(*message));
  });
  ForEach(source.streams(), [&](const wire::StreamMessage& item) {
    if (auto message = StreamMessageFromWire(item)) report.streams.push_back(std::move(*message));
  });
  ForEach(source.engine_limits(), [&](const wire::EngineLimit& item) {
    if (const auto mark = EngineLimitFromWire(item)) report.engine_limits.push_back(*mark);
  });
  if (source.leaving_engines() != nullptr && HasAlignedElements<std::uint64_t>(*source.leaving_engines())) {
    for (const std::uint64_t hash : *source.leaving_engines()) report.leaving_engines.emplace_back(hash);
  }
}

}  // namespace

absl::StatusOr<serving::PeerReport> DecodeReport(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!wire::VerifyReportBuffer(verifier)) return absl::UnavailableError("datagram is not a valid peer report");
  const wire::Report* source = wire::GetReport(bytes.data());
  if (source->format() != kFormat ||
      source->scope() > static_cast<std::uint8_t>(serving::ReportScope::kRegionForwarded)) {
    return absl::FailedPreconditionError("peer report has another format version; run the same version on all nodes");
  }
  serving::PeerReport report;
  ReadSender(*source, report);
  if (!UnpackMembers(*source, report.peers)) return absl::UnavailableError("a peer report's list of nodes is damaged");
  ForEach(source->work(), [&](const wire::EngineWork& item) { report.work.push_back(FromWire(item)); });
  ForEach(source->kept(), [&](const wire::KeptPart& item) {
    report.kept.push_back({serving::EngineKey(item.engine()), item.part()});
  });
  ForEach(source->crashes(), [&](const wire::CrashMark& item) {
    if (const auto mark = CrashFromWire(item)) report.crashes.push_back(*mark);
  });
  ForEach(source->demand(), [&](const wire::ServiceDemand& item) {
    if (!HasValidNumbers(item)) return;
    report.demand.push_back({Text(item.service()), item.prefill_engines(), item.decode_engines(), item.reading_depth(),
                             item.depth_nodes(), Text(item.region()), item.reading_engines()});
  });
  ForEach(source->holds(), [&](const wire::EngineHold& item) {
    report.holds.push_back({Text(item.engine()), std::chrono::milliseconds(item.left_ms())});
  });
  ForEach(source->peers(), [&](const wire::PeerNode& item) {
    report.peers.push_back({Text(item.node()), Text(item.address()), Text(item.zone()), item.link_mbps(), false,
                            std::max(Duration(0s), Duration(std::chrono::milliseconds(item.age_ms())))});
  });
  ForEach(source->limits(), [&](const wire::LimitMessage& item) {
    if (auto message = LimitMessageFromWire(item)) report.limits.push_back(std::move(*message));
  });
  ReadMessages(*source, report);
  ForEach(source->records(), [&](const wire::RecordMark& item) {
    report.records.push_back({Text(item.kind()), item.changed_at()});
  });
  return report;
}

}  // namespace saltquay::gateway
