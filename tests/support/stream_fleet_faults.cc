// Faults of fleets whose nodes watch the store: nodes that end, stand still or are cut off, and versions that come and
// go.
#include <algorithm>

#include "tests/support/stream_fleet.h"

namespace saltquay::serving {
namespace {

// As of RelayedStore and FreshnessTracker.
constexpr Duration kWatchTimeout = 800ms;
constexpr Duration kStalenessLimit = 1150ms;
constexpr Duration kRetryDelay = 300ms;
constexpr Duration kBatchDelay = 100ms;
constexpr Duration kForgottenAfterCut = 500ms;

}  // namespace

void StreamFleet::OnNode(int node, Source source, std::function<void()> step) {
  const auto backlog = suspended_.find(node);
  if (backlog == suspended_.end()) return step();
  backlog->second[source].push_back(std::move(step));
}

void StreamFleet::SuspendNode(int node, Time at, Time end) {
  At(at, [this, node] { suspended_.try_emplace(node); });
  At(end, [this, node] { Resume(node); });
}

void StreamFleet::Resume(int node) {
  const auto entry = suspended_.find(node);
  if (entry == suspended_.end()) return;
  Backlog backlog = std::move(entry->second);
  suspended_.erase(entry);
  while (!backlog.empty()) {
    auto source = backlog.begin();
    std::advance(source, random_.Below(backlog.size()));
    if (source->second.empty()) {
      backlog.erase(source);
      continue;
    }
    const std::function<void()> step = std::move(source->second.front());
    source->second.erase(source->second.begin());
    step();
  }
}

void StreamFleet::Isolate(int node, Time at, Time end, const Cut& cut) {
  At(at, [this, node, cut] {
    for (int peer = 0; peer < options_.nodes; ++peer) {
      if (random_.Chance(cut.peers)) cut_links_.insert({std::min(node, peer), std::max(node, peer)});
    }
    if (cut.store) cut_from_store_.insert(node);
  });
  if (at + cut.forgets < end) {
    At(at + cut.forgets, [this, node] { OnNode(node, Source::kTimers, [this, node] { Send(node, PeersListed{}); }); });
    At(end + kForgottenAfterCut, [this, node] { OnNode(node, Source::kTimers, [this, node] { ListPeers(node); }); });
  }
  At(end, [this, node] {
    std::erase_if(cut_links_, [&](const auto& link) { return link.first == node || link.second == node; });
    cut_from_store_.erase(node);
  });
}

void StreamFleet::EndNode(int node) {
  if (!ended_.insert(node).second) return;
  ++lives_[node];
  suspended_.erase(node);
  std::vector<NodeFlow> lost;
  for (const auto& [flow, request] : requests_) {
    if (flow.first == node) lost.push_back(flow);
  }
  std::erase_if(calls_, [&](const auto& entry) { return entry.first.first == node; });
  std::erase_if(kept_, [&](const auto& entry) { return entry.first.first == node; });
  for (const NodeFlow& flow : lost) EndRequest(flow, options_.clients.retry_delay.value_or(20ms));
}

void StreamFleet::KillNode(int node, Time at, Duration down) {
  At(at, [this, node, down] {
    EndNode(node);
    At(now_ + down, [this, node] {
      if (ended_.erase(node) > 0) StartNode(node);
    });
  });
}

void StreamFleet::KillAllNodes(Time at, Duration down) {
  for (int node = 0; node < options_.nodes; ++node) KillNode(node, at, down);
}

void StreamFleet::RemoveVersion(Time at, const std::string& version) {
  At(at, [this, version] {
    for (auto& [id, engine] : engines_) {
      if (engine.ended || engine.record.software_version != version) continue;
      engine.ended = true;
      store_.erase(id);
      ChangeStore(EngineRemoved{id});
      BreakCalls(id);
      std::erase_if(kept_, [&, name = id](const auto& entry) { return entry.first.second == name; });
    }
  });
}

void StreamFleet::AddEngines(Time at, int count, const std::string& version) {
  At(at, [this, count, version] {
    for (int i = 0; i < count; ++i) {
      const int number = static_cast<int>(engines_.size());
      EngineRecord record = engines_.begin()->second.record;
      record.id = "e" + std::to_string(number);
      record.address = "10.1.0." + std::to_string(number + 1) + ":80";
      record.started_ms = now_.time_since_epoch() / 1ms + 10000;
      record.software_version = version;
      engines_[record.id] = {record};
      store_[record.id] = record;
      ChangeStore(EngineChanged{record});
    }
  });
}

bool StreamFleet::Serves(const std::string& version) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    return !entry.second.ended && entry.second.record.software_version == version;
  });
}

void StreamFleet::ChangeStore(const Event& change) {
  changes_.push_back(change);
  for (int node = 0; node < options_.nodes; ++node) {
    if (watches_[node].waits) AnswerWatch(node);
  }
}

void StreamFleet::WatchStore(int node) {
  Watch& watch = watches_[node];
  ++watch.number;
  watch.waits = true;
  if (watch.changes < changes_.size()) return AnswerWatch(node);
  At(now_ + kWatchTimeout, [this, node, life = lives_[node], number = watch.number] {
    const Watch& current = watches_[node];
    if (lives_[node] == life && current.number == number && current.waits) AnswerWatch(node);
  });
}

void StreamFleet::AnswerWatch(int node) {
  Watch& watch = watches_[node];
  watch.waits = false;
  const bool lost = cut_from_store_.contains(node);
  const Duration delay = lost ? kRetryDelay : random_.DurationBelow(random_.Chance(0.05) ? 300ms : 20ms);
  At(now_ + delay, [this, node, lost, life = lives_[node], end = changes_.size(), as_of = now_] {
    if (lives_[node] != life) return;
    OnNode(node, Source::kStore, [this, node, lost, life, end, as_of] {
      if (lives_[node] != life) return;
      const bool changed = !lost && watches_[node].changes < end;
      if (!lost) ApplyChanges(node, end, as_of);
      At(now_ + (changed ? kBatchDelay : 0s), [this, node, life] {
        if (lives_[node] == life) OnNode(node, Source::kStore, [this, node] { WatchStore(node); });
      });
    });
  });
}

void StreamFleet::ApplyChanges(int node, std::size_t end, Time as_of) {
  Watch& watch = watches_[node];
  watch.as_of = as_of;
  const bool fresh = now_ < as_of + kStalenessLimit;
  if (std::exchange(watch.fresh, fresh) != fresh) Send(node, StoreConnectivityChanged{fresh});
  const bool changed = watch.changes < end;
  for (; watch.changes < end; ++watch.changes) Send(node, changes_[watch.changes]);
  if (changed) Send(node, EngineChangesApplied{});
  Send(node, RecordsConfirmed{as_of});
  At(as_of + kStalenessLimit, [this, node, life = lives_[node]] {
    if (lives_[node] == life) OnNode(node, Source::kTimers, [this, node] { CheckFreshness(node); });
  });
}

void StreamFleet::CheckFreshness(int node) {
  Watch& watch = watches_[node];
  if (!watch.fresh || now_ < watch.as_of + kStalenessLimit) return;
  watch.fresh = false;
  Send(node, StoreConnectivityChanged{false});
}

void StreamFleet::WatchResponse(const NodeFlow& flow) {
  const auto request = requests_.find(flow);
  if (request == requests_.end()) return;
  const Time at = request->second.heard_at + *options_.clients.response_timeout;
  if (at > now_) {
    At(at, [this, flow] { WatchResponse(flow); });
    return;
  }
  EndRequest(flow, 20ms);
  OnNode(flow.first, Source::kClients, [this, flow] { Send(flow.first, ClientDisconnected{flow.second}); });
}

}  // namespace saltquay::serving
