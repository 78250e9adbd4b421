// Cost of one request's decisions in the serving core, from its arrival to its answer, by the number of engines; and of
// a node that has no requests.
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "src/core/serving/peer_table.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr int kSharedParts = 2000;

// A serving core before `engines` engines, in six zones of three regions; half of them read, half answer.
class ServingBench {
 public:
  explicit ServingBench(int engines) : core_(MakeParameters(), "zone0", 1) {
    Send(ConfigurationChanged{MakeConfig()});
    std::vector<EngineRecord> records;
    records.reserve(static_cast<std::size_t>(engines));
    for (int i = 0; i < engines; ++i) records.push_back(MakeEngine(i));
    Send(EnginesReplaced{records});
    Send(StoreConnectivityChanged{true});
    PeersChanged peers;
    peers.nodes = 2;
    Send(peers);
    for (int i = 0; i < kSharedParts; ++i) ServeOne();  // So that parts are kept somewhere.
  }

  // One prompt is read, handed over and answered.
  void ServeOne() {
    now_ += 1ms;
    RequestArrived arrived;
    arrived.flow = ++flow_;
    arrived.metadata.host = "h.example";
    arrived.metadata.path = "/chat/x";
    PromptMetadata prompt;
    prompt.tokens = 9190;
    prompt.output_tokens = 2;
    prompt.parts = {{fmt::format("shared-{}", flow_ * 7919 % kSharedParts), 6300}, {"own", 2890}};
    arrived.metadata.prompt = prompt;
    Send(arrived);
    Respond(Started(), "handle");
    Respond(Started(), "");
  }

  void ReportAndReceiveDigest() {
    constexpr int kBusyEngines = 200;
    now_ += 100ms;
    benchmark::DoNotOptimize(core_.LocalWork(now_));
    PeersChanged digest;
    digest.nodes = 985;
    for (int i = 0; i < kBusyEngines; ++i) {
      const EngineKey key(fmt::format("engine-{}", i));
      digest.work[key] = {key, 1, 9000, 1, 0};
    }
    Send(digest);
  }

 private:
  static ServingParameters MakeParameters() {
    ServingParameters parameters;
    for (int zone = 0; zone < 6; ++zone)
      parameters.regions[fmt::format("zone{}", zone)] = fmt::format("region{}", zone / 2);
    return parameters;
  }
  static ServingConfig MakeConfig() {
    ServingConfig config;
    config.version = 1;
    Route route;
    route.name = "chat";
    route.host = "h.example";
    route.path_prefix = "/chat/";
    route.services = {{"model", 1.0}};
    route.kind = RouteKind::kStreaming;
    route.timeout = 4s;
    route.objective = 300ms;
    route.max_attempts = 2;
    config.routes = {route};
    Service model;
    model.name = "model";
    model.language = LanguageEngineTraits{64, 400000, 18432, 370000, 5s, 2300ms};
    config.services = {model};
    return config;
  }
  static EngineRecord MakeEngine(int index) {
    EngineRecord record;
    record.id = fmt::format("engine-{}", index);
    record.service = "model";
    record.address = "10.0.0.1:80";
    record.zone = fmt::format("zone{}", index / 2 % 6);
    record.slots = 8;
    record.stage = index % 2 == 0 ? EngineStage::kPrefill : EngineStage::kDecode;
    return record;
  }
  void Send(const Event& event) {
    actions_.clear();
    core_.OnEvent(now_, event, actions_);
  }
  StartAttempt Started() const {
    for (const Action& action : actions_) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) return *start;
    }
    return {};
  }
  void Respond(const StartAttempt& start, const std::string& handle) {
    constexpr int kOk = 200;
    Send(AttemptHeadReceived{start.flow, start.attempt, EngineResponseHead{kOk, false, true, std::nullopt}});
    Send(AttemptCompleted{start.flow, start.attempt, handle});
  }

  ServingCore core_;
  Time now_{1s};
  std::vector<Action> actions_;
  FlowId flow_ = 0;
};

void ChooseAndServe(benchmark::State& state) {
  ServingBench bench(static_cast<int>(state.range(0)));
  for (auto _ : state) bench.ServeOne();
}
BENCHMARK(ChooseAndServe)->Arg(12)->Arg(45)->Arg(300)->Arg(3000)->Unit(benchmark::kMicrosecond);

// What a node without requests does in each interval: its own report and the newest digest.
void IdleInterval(benchmark::State& state) {
  ServingBench bench(static_cast<int>(state.range(0)));
  for (auto _ : state) bench.ReportAndReceiveDigest();
}
BENCHMARK(IdleInterval)->Arg(300)->Arg(1000)->Arg(3000)->Arg(10000)->Arg(20000)->Unit(benchmark::kMicrosecond);

// What a node does with the list of members in each interval, by the number of nodes.
void ReadMembers(benchmark::State& state) {
  PeerTable peers("self");
  PeerReport report;
  report.node = "sender";
  for (int i = 0; i < state.range(0); ++i) {
    report.peers.push_back({fmt::format("front-{}", i), fmt::format("10.10.{}.{}:7100", i / 250, i % 250), "zone", 20});
  }
  peers.RecordReport(report, Time{1s});
  std::size_t total = 0;
  for (auto _ : state) {
    peers.Expire(Time{1s});
    for (int reader = 0; reader < 5; ++reader) total += peers.Nodes().size();
    total += peers.NextPeersToMention(24, Time{1s}).size();
  }
  benchmark::DoNotOptimize(total);
}
BENCHMARK(ReadMembers)->Arg(100)->Arg(300)->Arg(1000)->Arg(2000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace saltquay::serving
