#include "tests/support/notice_fleet.h"

#include <algorithm>

namespace saltquay::serving {
namespace {

constexpr Duration kLinkDelay = 500us;
constexpr Duration kMaxJitter = 1ms;
constexpr Duration kPrefillTime = 60ms;
constexpr Duration kRunTime = 40ms;
constexpr Duration kReportInterval = 400ms;
constexpr Duration kTickInterval = 100ms;
constexpr Duration kMemberTimeout = 1700ms;
constexpr Duration kReachTimeout = 1s;
constexpr Duration kContactTime = 3s;  // From the first naming of a limit until it is enforced.
constexpr Duration kLimitWindow = 4s;
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;

Route MakeRoute(const std::string& name, RouteKind kind, const std::string& service) {
  Route route;
  route.name = name;
  route.host = "h.example";
  route.path_prefix = "/" + name + "/";
  route.services = {{service, 1.0}};
  route.kind = kind;
  route.timeout = 4s;
  route.objective = 500ms;
  route.max_attempts = 3;
  route.resumable = kind == RouteKind::kStreaming;
  return route;
}

ServingConfig MakeConfig() {
  ServingConfig config;
  config.version = 1;
  config.routes = {MakeRoute("safe", RouteKind::kRepeatable, "plain"),
                   MakeRoute("once", RouteKind::kAtMostOnce, "plain"),
                   MakeRoute("chat", RouteKind::kStreaming, "model")};
  Service model;
  model.name = "model";
  model.language = LanguageEngineTraits{64, 400000, 18432, 370000, 5s, 2300ms};
  config.services = {Service{"plain", "/health", 100, std::nullopt, std::nullopt}, model};
  return config;
}

ServingParameters MakeParameters() {
  ServingParameters parameters;
  parameters.retry_budget = RetryBudgetBounds{0.2, 10s, 50, 0.8};
  return parameters;
}

}  // namespace

NoticeFleet::NoticeFleet(const NoticeFleetOptions& options)
    : options_(options), random_(options.seed), config_(MakeConfig()) {}

void NoticeFleet::AddEngines(int plain, int prefill, int decode) {
  const auto add = [this](const std::string& id, const std::string& service, EngineStage stage) {
    EngineRecord record;
    record.id = id;
    record.service = service;
    record.address = "10.0.0.1:80";
    record.zone = "a";
    record.slots = 64;
    record.stage = stage;
    engines_[id].record = record;
  };
  for (int i = 0; i < plain; ++i) add("u" + std::to_string(i), "plain", EngineStage::kUniform);
  for (int i = 0; i < prefill; ++i) add("p" + std::to_string(i), "model", EngineStage::kPrefill);
  for (int i = 0; i < decode; ++i) add("d" + std::to_string(i), "model", EngineStage::kDecode);
}

std::vector<std::string> NoticeFleet::EngineIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, engine] : engines_) ids.push_back(id);
  return ids;
}

std::vector<EngineRecord> NoticeFleet::Records() const {
  std::vector<EngineRecord> records;
  for (const auto& [id, engine] : engines_) records.push_back(engine.record);
  return records;
}

void NoticeFleet::Begin() {
  for (int node = 0; node < options_.nodes; ++node) AddNode();
  At(now_ + 2s, [this] { SendRequest(); });
  RunFor(2s);
}

int NoticeFleet::AddNode() {
  nodes_.emplace_back();
  Start(size() - 1);
  return size() - 1;
}

void NoticeFleet::Start(int node) {
  ++nodes_[node].life;
  nodes_[node].suspended_until = now_;
  nodes_[node].cancelled.clear();
  nodes_[node].heard.clear();
  nodes_[node].core = std::make_unique<ServingCore>(MakeParameters(), "a", random_.Below(1'000'000));
  const limits::LimiterNode self{NameOf(node), std::to_string(node), "a", 0};
  nodes_[node].core->set_engine_permits(
      std::make_unique<limits::EnginePermits>(self, nodes_[node].life, options_.nodes == 1, now_));
  Send(node, ConfigurationChanged{config_});
  Send(node, EnginesReplaced{Records()});
  Send(node, StoreConnectivityChanged{true});
  AtNode(node, now_ + random_.DurationBelow(kTickInterval), [this, node] { ReportPeriodically(node); });
  AtNode(node, now_ + random_.DurationBelow(kTickInterval), [this, node] { UpdateNodes(node); });
}

void NoticeFleet::Transmit(int from, int to, const Event& event) {
  if ((is_cut_ && is_cut_(from, to)) || random_.Chance(options_.loss) || nodes_[to].core == nullptr) return;
  AtNode(to, now_ + kLinkDelay + random_.DurationBelow(kMaxJitter), [this, to, event] { Send(to, event); });
}

void NoticeFleet::ReportPeriodically(int from) {
  AtNode(from, now_ + kReportInterval, [this, from] { ReportPeriodically(from); });
  Report(from);
}

void NoticeFleet::Report(int from) {
  const PeerEngineLimitsReported reported{nodes_[from].core->EngineLimitMarks(now_)};
  const PeerLeavingEnginesReported leaving{nodes_[from].core->LeavingEngines()};
  for (int to = 0; to < size(); ++to) {
    const bool is_lost = (is_cut_ && is_cut_(from, to)) || random_.Chance(options_.loss);
    if (to == from || is_lost || nodes_[to].core == nullptr) continue;
    AtNode(to, now_ + kLinkDelay, [this, from, to, reported, leaving] {
      nodes_[to].heard[from] = now_;
      if (!reported.marks.empty()) Send(to, reported);
      if (!leaving.engines.empty()) Send(to, leaving);
    });
  }
}

void NoticeFleet::UpdateNodes(int node) {
  AtNode(node, now_ + kTickInterval, [this, node] { UpdateNodes(node); });
  if (!nodes_[node].core->needs_nodes()) return;
  NodesChanged changed;
  changed.reach.liveness_timeout = kReachTimeout;
  for (const auto& [other, heard_at] : nodes_[node].heard) {
    if (now_ - heard_at <= kMemberTimeout) changed.nodes.push_back({NameOf(other), std::to_string(other), "a", 0});
    if (now_ - heard_at <= kReachTimeout) ++changed.reach.nodes;
  }
  Send(node, changed);
}

void NoticeFleet::Kill(int node) {
  nodes_[node].core.reset();
  ++nodes_[node].life;
  Excuse(node);
}

void NoticeFleet::Suspend(int node, Duration time) {
  nodes_[node].suspended_until = now_ + time;
  Excuse(node);
}

void NoticeFleet::Excuse(int node) {
  for (auto& [id, engine] : engines_) {
    engine.told_at.erase(node);
    engine.told_leaving_at.erase(node);
    for (Engine::Rest& rest : engine.rests) {
      if (rest.node == node) rest.until = std::min(rest.until, now_);
    }
  }
}

void NoticeFleet::Partition(const std::function<int(int node)>& side_of, bool one_way) {
  std::vector<int> sides;
  sides.reserve(nodes_.size());
  for (int node = 0; node < size(); ++node) sides.push_back(side_of(node));
  is_cut_ = [sides, one_way](int from, int to) {
    const auto side = [&](int node) { return node < static_cast<int>(sides.size()) ? sides[node] : 0; };
    return one_way ? side(from) < side(to) : side(from) != side(to);
  };
  for (int node = 0; node < size(); ++node) {
    if (sides[node] != 0) Excuse(node);
  }
}

void NoticeFleet::Heal() { is_cut_ = nullptr; }

void NoticeFleet::RunFor(Duration time) {
  const Time end = now_ + time;
  while (!events_.empty() && events_.begin()->first <= end) {
    now_ = std::max(now_, events_.begin()->first);
    const std::function<void()> step = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    step();
  }
  now_ = end;
}

void NoticeFleet::AtNode(int node, Time at, std::function<void()> step) {
  if (nodes_[node].core == nullptr) return;
  At(at, [this, node, life = nodes_[node].life, step = std::move(step)] {
    if (nodes_[node].life != life || nodes_[node].core == nullptr) return;
    if (now_ < nodes_[node].suspended_until) return AtNode(node, nodes_[node].suspended_until, step);
    step();
  });
}

void NoticeFleet::Send(int node, const Event& event) {
  std::vector<Action> actions;
  nodes_[node].core->OnEvent(now_, event, actions);
  Perform(node, actions);
  Wake(node);
}

void NoticeFleet::Wake(int node) {
  const std::optional<Time> deadline = nodes_[node].core->next_deadline();
  if (!deadline) return;
  AtNode(node, std::max(now_ + 1us, *deadline), [this, node] {
    const std::optional<Time> due = nodes_[node].core->next_deadline();
    if (due && *due <= now_) Send(node, TimerFired{});
  });
}

void NoticeFleet::Perform(int node, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      // The request is on its way even if the node stops now.
      At(now_ + kLinkDelay + random_.DurationBelow(kMaxJitter),
         [this, node, start = *start, sent_at = now_] { Arrive(node, start, sent_at); });
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      nodes_[node].cancelled.insert(cancel->attempt);
    } else if (const auto* permits = std::get_if<SendPermitMessages>(&action)) {
      for (const limits::AddressedPermitMessage& message : permits->messages)
        Transmit(node, std::stoi(message.address), PermitMessageArrived{message.message});
    } else if (const auto* reply = std::get_if<SendLocalReply>(&action)) {
      ++refused_;
      longest_refusal_ = std::max(longest_refusal_, now_ - arrived_at_[reply->flow]);
      retry_after_sum_ += reply->retry_after.value_or(0s);
    } else if (std::holds_alternative<ReportEngineStatements>(action)) {
      AtNode(node, now_, [this, node] { Report(node); });
    } else if (std::holds_alternative<ReleaseKvCache>(action)) {
      ++released_;
    } else if (std::holds_alternative<EndRelay>(action) || std::holds_alternative<RelayResponse>(action)) {
      ++served_;
    }
  }
}

void NoticeFleet::SendRequest() {
  At(now_ + random_.DurationBelow(FromSeconds(2 / options_.requests_per_s)), [this] { SendRequest(); });
  const int node = static_cast<int>(random_.Below(nodes_.size()));
  if (nodes_[node].core == nullptr || now_ < nodes_[node].suspended_until) return;
  RequestArrived arrived;
  arrived.flow = ++last_flow_;
  arrived_at_[arrived.flow] = now_;
  arrived.metadata.request_id = "r" + std::to_string(last_flow_);
  arrived.metadata.host = "h.example";
  const double kind = random_.Unit();
  arrived.metadata.path = kind < 0.2 ? "/safe/x" : kind < 0.4 ? "/once/x" : "/chat/x";
  if (kind >= 0.4) {
    PromptMetadata prompt;
    prompt.model = "m";
    prompt.tokens = kind < 0.8 ? 9000 : 600;
    prompt.output_tokens = 20;
    prompt.parts = {{"s" + std::to_string(random_.Below(5)), prompt.tokens / 2},
                    {arrived.metadata.request_id, prompt.tokens / 2}};
    arrived.metadata.prompt = prompt;
  }
  Send(node, arrived);
}

void NoticeFleet::Arrive(int node, const StartAttempt& start, Time sent_at) {
  Engine& engine = engines_.at(start.engine_id);
  const auto told = engine.told_at.find(node);
  const bool node_was_told = told != engine.told_at.end() && now_ - told->second >= kToldDelay;
  engine.arrivals.push_back({now_, node, node_was_told, arrived_at_[start.flow]});
  const bool decodes = engine.record.stage == EngineStage::kDecode;
  if (decodes && options_.decode_slots > 0 && engine.running >= options_.decode_slots)
    return AtNode(node, now_ + kLinkDelay,
                  [this, node, start, sent_at] { Respond(node, start, sent_at, Outcome::kFull); });
  if (random_.Chance(engine.rejected_share))
    return AtNode(node, now_ + kLinkDelay,
                  [this, node, start, sent_at] { Respond(node, start, sent_at, Outcome::kAsksForRest); });
  const Duration time = start.mode == AttemptMode::kPrefill ? kPrefillTime : kRunTime;
  ++engine.running;
  At(now_ + time, [&engine] { --engine.running; });
  AtNode(node, now_ + time + kLinkDelay,
         [this, node, start, sent_at] { Respond(node, start, sent_at, Outcome::kRun); });
}

void NoticeFleet::Respond(int node, const StartAttempt& start, Time sent_at, Outcome outcome) {
  if (nodes_[node].cancelled.contains(start.attempt)) return;
  Engine& engine = engines_.at(start.engine_id);
  EngineNotice notice;
  notice.requests_per_s = engine.limit();
  if (engine.limit()) engine.told_at.emplace(node, now_);
  notice.leaving = engine.leaving;
  if (engine.leaving) engine.told_leaving_at.emplace(node, now_);
  if (outcome == Outcome::kAsksForRest) {
    notice.rest = engine.rest;
    engine.rests.push_back({node, now_, now_ + engine.rest});
  }
  Send(node, EngineNoticeReceived{start.engine_id, EngineKey(start.engine_id), notice, sent_at});
  EngineResponseHead head{200, false, true, std::nullopt};
  if (outcome == Outcome::kFull) head = {503, true, false, EngineLoad{options_.decode_slots, 0, options_.decode_slots}};
  if (outcome == Outcome::kAsksForRest) head = {503, true, false, std::nullopt};
  Send(node, AttemptHeadReceived{start.flow, start.attempt, head});
  Send(node, AttemptCompleted{start.flow, start.attempt, start.mode == AttemptMode::kPrefill ? "h" : ""});
}

void NoticeFleet::NameLimit(const std::string& id, std::optional<double> requests_per_s) {
  Engine& engine = engines_.at(id);
  if (!requests_per_s) engine.told_at.clear();
  engine.limits.push_back({now_, requests_per_s});
}

void NoticeFleet::AskForRest(const std::string& id, double share, Duration rest) {
  engines_.at(id).rejected_share = share;
  engines_.at(id).rest = rest;
}

void NoticeFleet::Leave(const std::string& id) { engines_.at(id).leaving = true; }

Duration NoticeFleet::LatestAfterLeaving(const std::string& id) const {
  const Engine& engine = engines_.at(id);
  Duration latest = 0s;
  for (const EngineArrival& arrival : engine.arrivals) {
    const auto told = engine.told_leaving_at.find(arrival.node);
    if (told != engine.told_leaving_at.end()) latest = std::max(latest, arrival.client_sent_at - told->second);
  }
  return latest;
}

int NoticeFleet::MostDuringRest(const std::string& id) const {
  const Engine& engine = engines_.at(id);
  int most = 0;
  for (const Engine::Rest& rest : engine.rests) {
    const auto count = std::count_if(engine.arrivals.begin(), engine.arrivals.end(), [&](const EngineArrival& arrival) {
      return arrival.node == rest.node && arrival.at > rest.from + kToldDelay && arrival.at <= rest.until;
    });
    most = std::max(most, static_cast<int>(count));
  }
  return most;
}

double NoticeFleet::AllowedIn(const Engine& engine, Time from, Time to) const {
  double limit = 0;  // The largest that was in force.
  for (std::size_t i = 0; i < engine.limits.size(); ++i) {
    const Time ends = i + 1 < engine.limits.size() ? engine.limits[i + 1].from : Time::max();
    if (engine.limits[i].from <= to && ends > from)
      limit = std::max(limit, engine.limits[i].requests_per_s.value_or(0));
  }
  return kLimitFactor * ToSeconds(kLimitWindow) * limit + kLimitSlack;
}

double NoticeFleet::LimitExcess(const std::string& id) const {
  const Engine& engine = engines_.at(id);
  double worst = -kLimitSlack;
  if (engine.limits.empty()) return worst;
  std::vector<Time> counted;
  for (const EngineArrival& arrival : engine.arrivals) {
    if (arrival.node_was_told) counted.push_back(arrival.at);
  }
  std::size_t first = 0;
  for (std::size_t last = 0; last < counted.size(); ++last) {
    while (counted[last] - counted[first] > kLimitWindow) ++first;
    if (counted[last] < engine.limits.front().from + kContactTime) continue;
    const double allowed = AllowedIn(engine, counted[last] - kLimitWindow, counted[last]);
    worst = std::max(worst, static_cast<double>(last - first + 1) - allowed);
  }
  return worst;
}

}  // namespace saltquay::serving
