#include "tests/support/stream_fleet.h"

#include <algorithm>

namespace saltquay::serving {
namespace {

constexpr int kEvents = 8;
constexpr Duration kPrefillTime = 20ms;
constexpr Duration kEventTime = 10ms;
constexpr Duration kRoundTrip = 1ms;
constexpr Duration kReturnDelay = 20ms;

ServingConfig MakeConfig() {
  ServingConfig config;
  config.version = 1;
  Route route;
  route.name = "chat";
  route.host = "h.example";
  route.path_prefix = "/chat/";
  route.services = {{"plain", 1.0}};
  route.kind = RouteKind::kStreaming;
  route.timeout = 4s;
  route.objective = 400ms;
  route.max_attempts = 3;
  route.resumable = true;
  config.routes = {route};
  config.services = {Service{"plain", "/health", 100, std::nullopt, std::nullopt}};
  return config;
}

}  // namespace

StreamFleet::StreamFleet(const StreamFleetOptions& options, std::uint64_t seed)
    : options_(options),
      random_(seed),
      config_(MakeConfig()),
      nodes_(options.nodes),
      lives_(options.nodes),
      watches_(options.nodes) {
  for (int i = 0; i < options.engines; ++i) {
    EngineRecord record;
    record.id = "e" + std::to_string(i);
    record.service = "plain";
    record.address = "10.1.0." + std::to_string(i + 1) + ":80";
    record.zone = "a";
    record.slots = 64;
    record.started_ms = 1000 + i;
    record.software_version = i % options.versions == 0 ? "v1" : "v1.1";
    engines_[record.id] = {record};
    store_[record.id] = record;
  }
  for (int node = 0; node < options.nodes; ++node) StartNode(node);
}

void StreamFleet::StartNode(int node) {
  nodes_[node] = std::make_unique<ServingCore>(ServingParameters{}, "a", random_.Bits());
  ++lives_[node];
  nodes_[node]->set_peer_address(Address(node));
  if (options_.first_start && lives_[node] == 1) nodes_[node]->BeginFirstStart();
  Send(node, ConfigurationChanged{config_});
  Send(node, EnginesReplaced{Records()});
  Send(node, StoreConnectivityChanged{true});
  Send(node, PeersChanged{});
  if (!options_.watches_store || lives_[node] == 1) ListPeers(node);
  if (!options_.watches_store) return;
  watches_[node] = {changes_.size(), 0, false, now_, true};
  Send(node, RecordsConfirmed{now_});
  WatchStore(node);
  const Duration until_peers_are_known = random_.DurationBelow(300ms);
  At(now_ + until_peers_are_known, [this, node, life = lives_[node]] {
    if (lives_[node] == life) OnNode(node, Source::kTimers, [this, node] { ListPeers(node); });
  });
}

std::vector<EngineRecord> StreamFleet::Records() const {
  std::vector<EngineRecord> records;
  for (const auto& [id, record] : store_) records.push_back(record);
  return records;
}

void StreamFleet::ListPeers(int node) {
  std::vector<PeerNode> peers;
  for (int other = 0; other < options_.nodes; ++other) {
    if (other != node) peers.push_back({"n" + std::to_string(other), Address(other), "a"});
  }
  Send(node, PeersListed{peers});
}

void StreamFleet::Send(int node, const Event& event) {
  std::vector<Action> actions;
  nodes_[node]->OnEvent(now_, event, actions);
  Perform(node, actions);
  Wake(node);
}

void StreamFleet::Wake(int node) {
  const std::optional<Time> due = nodes_[node]->next_deadline();
  if (!due) return;
  At(std::max(*due, now_), [this, node, life = lives_[node], due] {
    if (lives_[node] != life || nodes_[node]->next_deadline() != due) return;
    OnNode(node, Source::kTimers, [this, node] { Send(node, TimerFired{}); });
  });
}

void StreamFleet::Perform(int node, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) Connect(node, *start);
    if (const auto* cancel = std::get_if<CancelAttempt>(&action)) calls_.erase({node, cancel->attempt});
    if (const auto* messages = std::get_if<SendStreamMessages>(&action)) SendMessages(node, *messages);
    if (const auto* reply = std::get_if<SendLocalReply>(&action))
      EndRequest({node, reply->flow}, options_.clients.retry_delay.value_or(reply->retry_after.value_or(kReturnDelay)));
    if (const auto* abort = std::get_if<AbortResponse>(&action)) EndRequest({node, abort->flow}, kReturnDelay);
    if (const auto* end = std::get_if<EndRelay>(&action)) requests_.erase({node, end->flow});
    if (const auto* relay = std::get_if<BeginRelay>(&action)) {
      const auto request = requests_.find({node, relay->flow});
      if (request != requests_.end()) request->second.relayed = relay->attempt;
    }
  }
}

void StreamFleet::Offer(double per_second, Time end) {
  if (now_ >= end) return;
  Stream stream;
  stream.leaves = random_.Chance(0.5);
  stream.began = now_;
  streams_.push_back(stream);
  SendRequest(streams_.size() - 1);
  At(now_ + FromSeconds(1 / per_second), [this, per_second, end] { Offer(per_second, end); });
}

void StreamFleet::SendRequest(std::size_t index) {
  Stream& stream = streams_[index];
  const int node = static_cast<int>(random_.Below(nodes_.size()));
  RequestArrived arrived;
  arrived.flow = ++last_flow_;
  arrived.metadata.request_id = "r" + std::to_string(last_flow_);
  arrived.metadata.host = "h.example";
  arrived.metadata.path = "/chat/x";
  if (stream.position > 0) {
    arrived.metadata.last_event_id = std::to_string(stream.position);
    arrived.metadata.resumes = stream.first_request;
  }
  ++(stream.position > 0 ? taken_up_ : begun_).sent;
  Request request{index, arrived.metadata.request_id};
  request.heard_at = now_;
  request.counts_as_served = stream.position > 0 && Serves(*stream.versions.begin());
  if (request.counts_as_served) ++taken_up_at_serving_version_.sent;
  const bool leaves = stream.leaves && stream.requests < 2;
  request.events_left = leaves ? 1 + static_cast<int>(random_.Below(3)) : kEvents;
  ++stream.requests;
  requests_[{node, arrived.flow}] = request;
  if (options_.clients.response_timeout) WatchResponse({node, arrived.flow});
  if (ended_.contains(node))
    return EndRequest({node, arrived.flow}, options_.clients.retry_delay.value_or(kReturnDelay));
  OnNode(node, Source::kClients, [this, node, arrived] { Send(node, arrived); });
}

void StreamFleet::EndRequest(const NodeFlow& flow, Duration delay) {
  const auto request = requests_.find(flow);
  if (request == requests_.end()) return;
  const std::size_t stream = request->second.stream;
  requests_.erase(request);
  ComeBack(stream, delay);
}

void StreamFleet::ComeBack(std::size_t stream, Duration delay) {
  if (streams_[stream].requests >= options_.clients.max_requests || streams_[stream].position >= kEvents) return;
  if (now_ > streams_[stream].began + options_.clients.patience) return;
  At(now_ + delay, [this, stream] { SendRequest(stream); });
}

bool StreamFleet::TakeConnection(int node, const StartAttempt& start, std::int64_t& started_ms) {
  std::vector<std::int64_t>& kept = kept_[{node, start.engine_id}];
  const std::int64_t running = engines_.at(start.engine_id).record.started_ms;
  std::erase_if(kept, [&](std::int64_t process) { return process != running; });
  if (start.on_new_connection || kept.empty()) return false;
  started_ms = kept.back();
  kept.pop_back();
  return true;
}

void StreamFleet::Connect(int node, const StartAttempt& start) {
  calls_[{node, start.attempt}] = {start, 0, ""};
  At(now_ + kRoundTrip, [this, node, life = lives_[node], start] {
    const auto call = calls_.find({node, start.attempt});
    if (lives_[node] != life || call == calls_.end()) return;
    if (engines_.at(start.engine_id).ended) {
      calls_.erase(call);
      return OnNode(node, Source::kEngines, [this, node, start] {
        Send(node, AttemptFailed{start.flow, start.attempt, AttemptFailure::kNotSent});
      });
    }
    const EngineRecord& running = engines_.at(start.engine_id).record;
    call->second.started_ms = running.started_ms;
    call->second.version = running.software_version;
    std::int64_t kept = 0;
    const bool is_kept = TakeConnection(node, start, kept);
    const bool expected = start.process_started_ms.value_or(running.started_ms) == running.started_ms;
    if (options_.checks_processes && !expected) {
      calls_.erase(call);
      return Send(node, AttemptAtOtherProcess{start.flow, start.attempt, running.started_ms});
    }
    const Duration asks = start.process_started_ms && !is_kept ? kRoundTrip : 0ms;
    At(now_ + asks + kPrefillTime, [this, node, life, attempt = start.attempt] {
      if (lives_[node] == life) OnNode(node, Source::kEngines, [this, node, attempt] { BringHead(node, attempt); });
    });
  });
}

void StreamFleet::BringHead(int node, AttemptId attempt) {
  const auto call = calls_.find({node, attempt});
  if (call == calls_.end()) return;
  const StartAttempt start = call->second.start;
  Send(node, AttemptHeadReceived{start.flow, attempt, EngineResponseHead{200, false, true, std::nullopt}});
  const int first = start.last_event_id.empty() ? 1 : std::stoi(start.last_event_id) + 1;
  BringEvent(node, attempt, first);
}

void StreamFleet::BringEvent(int node, AttemptId attempt, int number) {
  const auto entry = calls_.find({node, attempt});
  if (entry == calls_.end()) return;
  const Call call = entry->second;
  if (number > kEvents) {
    kept_[{node, call.start.engine_id}].push_back(call.started_ms);
    calls_.erase(entry);
    return Send(node, AttemptCompleted{call.start.flow, attempt, ""});
  }
  At(now_ + kEventTime, [this, node, life = lives_[node], attempt, number] {
    if (lives_[node] != life) return;
    OnNode(node, Source::kEngines, [this, node, attempt, number] { BringEvent(node, attempt, number + 1); });
  });
  Send(node, AttemptEventsReceived{call.start.flow, attempt, std::to_string(number)});
  DeliverEvent(node, call, number);
}

void StreamFleet::DeliverEvent(int node, const Call& call, int number) {
  const NodeFlow flow{node, call.start.flow};
  const auto request = requests_.find(flow);
  if (request == requests_.end() || request->second.relayed != call.start.attempt) return;
  Stream& stream = streams_[request->second.stream];
  if (!request->second.answered) {
    ++(stream.position > 0 ? taken_up_ : begun_).answered;
    taken_up_at_serving_version_.answered += request->second.counts_as_served;
  }
  request->second.answered = true;
  request->second.heard_at = now_;
  if (stream.first_request.empty()) stream.first_request = request->second.id;
  stream.position = number;
  stream.versions.insert(call.version);
  if (--request->second.events_left > 0 || number == kEvents) return;
  const bool pauses = options_.clients.max_pause > 0s;
  EndRequest(flow, kReturnDelay + (pauses ? random_.DurationBelow(options_.clients.max_pause) : 0s));
  Send(node, ClientDisconnected{call.start.flow});
}

void StreamFleet::RestartEngine(Time at) {
  At(at, [this] {
    auto engine = engines_.begin();
    std::advance(engine, random_.Below(engines_.size()));
    Restart(engine->second);
  });
}

void StreamFleet::Restart(Engine& engine) {
  EngineRecord& record = engine.record;
  // Two starts of one engine are at least a millisecond apart.
  record.started_ms = std::max<std::int64_t>(record.started_ms + 1, now_.time_since_epoch() / 1ms + 10000);
  record.software_version = record.software_version == "v1" ? "v1.1" : "v1";
  BreakCalls(record.id);
  At(now_ + random_.DurationBelow(options_.max_record_lag), [this, record] {
    if (store_[record.id].started_ms > record.started_ms) return;
    store_[record.id] = record;
    for (int node = 0; node < options_.nodes; ++node) {
      At(now_ + random_.DurationBelow(20ms), [this, node, record] {
        Send(node, EngineChanged{record});
        Send(node, EngineChangesApplied{});
      });
    }
  });
}

void StreamFleet::BreakCalls(const std::string& engine_id) {
  std::vector<std::pair<NodeAttempt, FlowId>> broken;
  for (const auto& [key, call] : calls_) {
    if (call.start.engine_id == engine_id && call.started_ms != 0) broken.emplace_back(key, call.start.flow);
  }
  for (const auto& [key, flow] : broken) {
    calls_.erase(key);
    if (random_.Chance(options_.silent_connections)) continue;
    OnNode(key.first, Source::kEngines, [this, key = key, flow = flow] {
      Send(key.first, AttemptFailed{flow, key.second, AttemptFailure::kBroken});
    });
  }
}

void StreamFleet::RestartNode(Time at) {
  At(at, [this] {
    const int node = static_cast<int>(random_.Below(nodes_.size()));
    std::vector<NodeFlow> lost;
    for (const auto& [flow, request] : requests_) {
      if (flow.first == node) lost.push_back(flow);
    }
    std::erase_if(calls_, [&](const auto& entry) { return entry.first.first == node; });
    std::erase_if(kept_, [&](const auto& entry) { return entry.first.first == node; });
    StartNode(node);
    for (const NodeFlow& flow : lost) EndRequest(flow, kReturnDelay);
  });
}

void StreamFleet::CutNode(Time at, Time end) {
  const int node = static_cast<int>(random_.Below(nodes_.size()));
  At(at, [this, node] { cut_.insert(node); });
  At(end, [this, node] { cut_.erase(node); });
}

void StreamFleet::SendMessages(int node, const SendStreamMessages& action) {
  for (const AddressedStreamMessage& message : action.messages) {
    for (int to = 0; to < options_.nodes; ++to) {
      if (message.address != Address(to) || cut_.contains(node) || cut_.contains(to)) continue;
      if (cut_links_.contains({std::min(node, to), std::max(node, to)})) continue;
      if (random_.Chance(options_.message_loss)) continue;
      const Duration delay = random_.DurationBelow(random_.Chance(0.05) ? 100ms : 3ms);
      At(now_ + delay, [this, to, life = lives_[to], message = message.message] {
        if (lives_[to] != life || ended_.contains(to)) return;
        OnNode(to, Source::kPeers, [this, to, message] { Send(to, StreamMessageArrived{message}); });
      });
    }
  }
}

void StreamFleet::RunUntil(Time end) {
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
  now_ = end;
}

int StreamFleet::mixed_streams() const {
  return static_cast<int>(
      std::count_if(streams_.begin(), streams_.end(), [](const Stream& stream) { return stream.versions.size() > 1; }));
}

}  // namespace saltquay::serving
