#include "src/runtime/node_driver.h"

#include <chrono>
#include <random>
#include <utility>

#include "src/base/boot_clock.h"
#include "src/base/hash.h"
#include "src/base/logger.h"

namespace saltquay {
namespace {

// A boot identity begins with the start time, so that a later run of the same
// node compares higher, and ends in random bits.
BootId DrawBootId() {
  constexpr int kRandomBits = 20;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  std::random_device device;
  return BootId{(milliseconds << kRandomBits) | (device() & ((1U << kRandomBits) - 1))};
}

NodeIdentity MakeIdentity(const Settings& settings) {
  return NodeIdentity{NodeIncarnation{NodeId{settings.node_id}, DrawBootId()}, MakeZoneId(settings.zone)};
}

}  // namespace

NodeDriver::NodeDriver(const Settings& settings, const Parameters& parameters, AnswerSink& sink)
    : parameters_(parameters),
      sink_(sink),
      node_(MakeIdentity(settings), parameters, std::random_device{}()),
      engines_(http_, [this](Event event) { Post(std::move(event)); }),
      platform_(http_, settings.platform_url,
                std::chrono::duration_cast<std::chrono::milliseconds>(parameters.store_timeout),
                [this](Event event) { Post(std::move(event)); }) {}

absl::StatusOr<std::unique_ptr<NodeDriver>> NodeDriver::Start(const Settings& settings, const Parameters& parameters,
                                                              AnswerSink& sink) {
  std::unique_ptr<NodeDriver> driver(new NodeDriver(settings, parameters, sink));
  absl::StatusOr<std::vector<Machine>> seeds = ParseSeeds(settings.seeds);
  if (!seeds.ok()) return seeds.status();
  absl::StatusOr<std::unique_ptr<PeerTransport>> peers = PeerTransport::Start(
      settings.peer_listen,
      [raw = driver.get()](PeerMessage message) { raw->Post(PeerMessageReceived{std::move(message)}); });
  if (!peers.ok()) return peers.status();
  driver->peers_ = std::move(*peers);
  for (const Machine& seed : *seeds) {
    driver->peers_->SetAddress(NodeId{seed.id}, *ParseSocketAddress(seed.address));
  }
  driver->node_.SetSeeds(*seeds);
  driver->thread_ = std::thread([raw = driver.get()] { raw->Run(); });
  return driver;
}

NodeDriver::~NodeDriver() {
  {
    const std::lock_guard<std::mutex> lock(queue_mutex_);
    stopping_ = true;
  }
  queue_ready_.notify_all();
  if (thread_.joinable()) thread_.join();
  // Their threads post to the queue: they end before it does.
  peers_.reset();
  http_.Stop();
}

void NodeDriver::Post(Event event) {
  bool was_empty = false;
  {
    const std::lock_guard<std::mutex> lock(queue_mutex_);
    was_empty = queue_.empty();
    queue_.push_back(std::move(event));
  }
  if (was_empty) queue_ready_.notify_one();
}

void NodeDriver::Run() {
  ActionList actions;
  std::vector<Event> events;
  Time next_tick = BootNow();
  while (true) {
    {
      std::unique_lock<std::mutex> lock(queue_mutex_);
      const Duration until_tick = next_tick - BootNow();
      queue_ready_.wait_for(lock, until_tick, [this] { return stopping_ || !queue_.empty(); });
      if (stopping_) return;
      events.swap(queue_);
    }
    if (BootNow() >= next_tick) {
      events.emplace_back(Tick{});
      next_tick = BootNow() + parameters_.tick_interval;
    }
    const bool ticked = !events.empty() && std::holds_alternative<Tick>(events.back());
    for (const Event& event : events) {
      actions.clear();
      node_.OnEvent(BootNow(), event, &actions);
      for (const Action& action : actions) Execute(action);
    }
    events.clear();
    if (ticked) Publish();
  }
}

void NodeDriver::Execute(const Action& action) {
  std::visit([this](const auto& typed) { On(typed); }, action);
}

void NodeDriver::Publish() {
  NodeStatus status = node_.Status();
  const std::lock_guard<std::mutex> lock(status_mutex_);
  status_ = std::move(status);
  bundle_ = node_.bundle();
}

NodeStatus NodeDriver::Status() const {
  const std::lock_guard<std::mutex> lock(status_mutex_);
  return status_;
}

std::shared_ptr<const RolledBundle> NodeDriver::bundle() const {
  const std::lock_guard<std::mutex> lock(status_mutex_);
  return bundle_;
}

void NodeDriver::On(const UseMachineList& action) {
  engines_.SetMachines(action.list);
  for (const Machine& machine : action.list.machines) {
    const absl::StatusOr<SocketAddress> address = ParseSocketAddress(machine.address);
    if (machine.kind == MachineKind::kNode && address.ok()) peers_->SetAddress(NodeId{machine.id}, *address);
  }
}

void NodeDriver::On(const WriteLog& action) { LogEvent(action.event, action.details); }

void NodeDriver::On(const ExitProcess&) {
  const std::lock_guard<std::mutex> lock(exit_mutex_);
  exited_ = true;
  exit_ready_.notify_all();
}

void NodeDriver::WaitForExit() {
  std::unique_lock<std::mutex> lock(exit_mutex_);
  exit_ready_.wait(lock, [this] { return exited_; });
}

}  // namespace saltquay
