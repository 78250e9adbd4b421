// What nodes, engines and stores of a hollow fleet do.
#include "src/simulation/hollow_world.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "src/base/hash.h"
#include "src/core/bundle/bundle_records.h"
#include "src/simulation/deployments.h"
#include "src/simulation/hollow_memory.h"
#include "src/wire/codec.h"

namespace saltquay {
namespace {

constexpr Duration kPeerDelay = 500us;
constexpr Duration kPlatformDelay = 2ms;
constexpr Duration kEngineDelay = 300us;
constexpr std::size_t kFramingBytes = 4;

const char* MessageName(std::size_t index) {
  static const char* const names[] = {"probe",         "indirect_probe", "object_announce", "object_push",
                                      "object_pull",   "load_delta",     "lease_request",   "lease_reply",
                                      "lease_release", "seal_request",   "seal_reply",      "claim_request",
                                      "claim_reply",   "claim_release",  "claim_outcome",   "transfer_request",
                                      "transfer",      "join_request",   "join_reply"};
  return names[index];
}

}  // namespace

void HollowFleet::BuildCell(std::size_t index, int nodes, int engines) {
  Cell& cell = cells_[index];
  for (int i = 0; i < nodes; ++i) {
    const std::string zone = fmt::format("zone-{}-{}", index, i % options_.zones_per_cell);
    const auto id = static_cast<std::uint32_t>(i + 1);
    HollowNode node;
    node.machine = Machine{id, MachineKind::kNode, MachineState::kLive, zone, MakeZoneId(zone), "10.0.0.1:7000", ""};
    node.cell = index;
    cell.store.PutMachine(node.machine);
    cell.nodes[NodeId{id}] = nodes_.size();
    nodes_.push_back(std::move(node));
  }
  for (int i = 0; i < engines; ++i) {
    const std::string zone = fmt::format("zone-{}-{}", index, i % options_.zones_per_cell);
    const auto id = static_cast<std::uint32_t>(i + 1);
    HollowEngine engine;
    engine.machine =
        Machine{id, MachineKind::kEngine, MachineState::kLive, zone, MakeZoneId(zone), "10.0.0.2:7000", "consulta"};
    engine.state.engine = EngineId{id};
    engine.state.boot = BootId{++last_boot_};
    engine.state.role = i % 9 < 4 ? EngineRole::kPrefill : EngineRole::kDecode;
    engine.state.model_version = MakeModelVersionId("consulta-lm", "1", {});
    cell.store.PutMachine(engine.machine);
    cell.engines[EngineId{id}] = engine;
  }
}

void HollowFleet::Build() {
  const int cells = std::max(1, options_.cells);
  cells_.resize(static_cast<std::size_t>(cells));
  nodes_.reserve(static_cast<std::size_t>(options_.nodes));
  for (int i = 0; i < cells; ++i) {
    BuildCell(static_cast<std::size_t>(i), options_.nodes / cells, options_.engines / cells);
  }
  memory_before_ = ResidentBytes();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    queue_.After(random_.DurationBelow(2s), [this, i] { StartNode(i); });
  }
}

void HollowFleet::StartNode(std::size_t index) {
  HollowNode& node = nodes_[index];
  ++node.life;
  const NodeIdentity identity{NodeIncarnation{NodeId{node.machine.id}, BootId{++last_boot_}}, node.machine.zone};
  node.node = std::make_unique<Node>(identity, options_.parameters, random_.Bits());
  node.generation = 0;
  Tick(index, node.life);
}

void HollowFleet::Tick(std::size_t index, std::uint64_t life) {
  if (nodes_[index].node == nullptr || nodes_[index].life != life) return;
  Handle(index, saltquay::Tick{});
  queue_.After(options_.parameters.tick_interval, [this, index, life] { Tick(index, life); });
}

void HollowFleet::Handle(std::size_t index, const Event& event) {
  HollowNode& node = nodes_[index];
  if (node.node == nullptr) return;
  ActionList actions;
  const auto begin = std::chrono::steady_clock::now();
  node.node->OnEvent(queue_.now(), event, &actions);
  node.busy_seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  for (const Action& action : actions) Execute(index, action);
  NoteGeneration(index);
}

void HollowFleet::Later(std::size_t index, Duration delay, Event event) {
  const std::uint64_t life = nodes_[index].life;
  queue_.After(delay, [this, index, life, event = std::move(event)] {
    if (nodes_[index].life == life) Handle(index, event);
  });
}

void HollowFleet::SendMessage(std::size_t from, const SendPeer& send) {
  HollowNode& sender = nodes_[from];
  const auto target = cells_[sender.cell].nodes.find(send.to);
  if (target == cells_[sender.cell].nodes.end()) return;
  const auto begin = std::chrono::steady_clock::now();
  const std::string bytes = EncodePeerMessage(send.message);
  sender.busy_seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  const auto size = static_cast<double>(bytes.size() + kFramingBytes);
  sender.bytes_out += size;
  bytes_by_message_[MessageName(send.message.body.index())] += size;
  HollowNode& receiver = nodes_[target->second];
  if (sender.cut || receiver.cut || receiver.node == nullptr) return;
  receiver.bytes_in += size;
  const auto decode_begin = std::chrono::steady_clock::now();
  absl::StatusOr<PeerMessage> message = DecodePeerMessage(bytes);
  receiver.busy_seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - decode_begin).count();
  if (message.ok()) Later(target->second, kPeerDelay, PeerMessageReceived{std::move(*message)});
}

void HollowFleet::ReadState(std::size_t index, const ReadEngineState& read) {
  HollowNode& node = nodes_[index];
  node.state_reads += 1;
  auto& engines = cells_[node.cell].engines;
  const auto entry = engines.find(read.engine);
  if (entry == engines.end() || node.cut) return Later(index, 1s, EngineStateRead{read.engine, std::nullopt});
  HollowEngine& engine = entry->second;
  if (read.raise_fence.has_value()) engine.state.fence = std::max(engine.state.fence, *read.raise_fence);
  if (engine.state.order_in_progress && queue_.now() >= engine.changing_until) {
    engine.state.order_in_progress = false;
    engine.state.role = engine.order.role;
    engine.state.model_version = MakeModelVersionId(engine.order.model, engine.order.version, engine.order.adapters);
  }
  engine.state.clock_stamp_us = static_cast<std::uint64_t>(queue_.now().time_since_epoch().count());
  // Busy engines: their load differs at each read. Idle enough to be changed.
  EngineState state = engine.state;
  state.queued_prefill_tokens = random_.Below(20'000);
  Later(index, kEngineDelay, EngineStateRead{read.engine, state});
}

void HollowFleet::TakeOrder(std::size_t index, const SendOrder& send) {
  HollowNode& node = nodes_[index];
  const auto entry = cells_[node.cell].engines.find(send.engine);
  if (entry == cells_[node.cell].engines.end() || node.cut) return;
  HollowEngine& engine = entry->second;
  OrderVerdict verdict = OrderVerdict::kRefusedFence;
  if (send.order.token > engine.state.fence) {
    verdict = OrderVerdict::kAccepted;
    engine.state.fence = send.order.token;
    engine.state.last_order = send.order.token;
    engine.state.order_in_progress = true;
    engine.order = send.order;
    engine.changing_until = queue_.now() + 3s;
  }
  Later(index, kEngineDelay, OrderAnswered{send.engine, send.order.token, verdict});
}

void HollowFleet::AccessStore(std::size_t index, const StoreRead* read, const StoreWrite* write) {
  HollowNode& node = nodes_[index];
  Cell& cell = cells_[node.cell];
  store_operations_ += 1;
  const StoreOperationId operation = read != nullptr ? read->operation : write->operation;
  if (node.cut || cell.platform_cut) {
    return Later(index, 2s, StoreAnswered{operation, StoreResult::kUnavailable, {}});
  }
  if (read != nullptr) {
    return Later(index, kPlatformDelay, StoreAnswered{operation, StoreResult::kDone, cell.store.Read(read->key)});
  }
  Later(index, kPlatformDelay, cell.store.Write(operation, write->key, write->expected_version, write->value));
}

void HollowFleet::Execute(std::size_t index, const Action& action) {
  if (const auto* send = std::get_if<SendPeer>(&action)) return SendMessage(index, *send);
  if (const auto* read = std::get_if<ReadEngineState>(&action)) return ReadState(index, *read);
  if (const auto* order = std::get_if<SendOrder>(&action)) return TakeOrder(index, *order);
  if (const auto* read = std::get_if<StoreRead>(&action)) return AccessStore(index, read, nullptr);
  if (const auto* write = std::get_if<StoreWrite>(&action)) return AccessStore(index, nullptr, write);
  if (std::holds_alternative<ReadMachineList>(action)) {
    store_operations_ += 1;
    const Cell& cell = cells_[nodes_[index].cell];
    MachineListRead read;
    if (!nodes_[index].cut && !cell.platform_cut) read.list = cell.store.machines();
    Later(index, kPlatformDelay, std::move(read));
  }
}

std::string HollowFleet::BundleText(std::uint64_t generation) const {
  BundlePlan plan;
  plan.name = fmt::format("g{}", generation);
  const int engines = options_.engines / std::max(1, options_.cells);
  plan.main_engines = engines;
  plan.quick_engines = 3;
  plan.prefill_engines = engines * 4 / 9;
  std::string text = MakeBundleText(Deployment::kFederation, plan);
  for (int i = 0; i < options_.tenants; ++i) {
    text += fmt::format("[[tenant]]\nname = \"tenant-{}\"\nrequests_per_second = {}\n", i, 10 + i % 7);
  }
  return text;
}

// The platform carries a roll to every region's store at the same moment.
void HollowFleet::Roll() {
  ++generation_;
  RolledRecord record;
  record.generation = generation_;
  record.bundle_name = fmt::format("g{}", generation_);
  record.text = BundleText(generation_);
  record.rolled_by = "ana";
  record.nonce = "n";
  const std::string value = SerializeRolledRecord(record);
  for (Cell& cell : cells_) cell.store.Write({}, kRolledKey, cell.store.Read(kRolledKey).version, value);
  rolls_.push_back({generation_, queue_.now(), false});
}

void HollowFleet::NoteGeneration(std::size_t index) {
  HollowNode& node = nodes_[index];
  const std::shared_ptr<const RolledBundle> bundle = node.node->bundle();
  if (bundle != nullptr) node.generation = bundle->generation;
}

}  // namespace saltquay
