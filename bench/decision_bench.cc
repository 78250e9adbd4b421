// Cost of single decisions, codec work and the simulator, by Google Benchmark.
#include <benchmark/benchmark.h>

#include "src/core/dispatch/dispatcher.h"
#include "src/models/token_text.h"
#include "src/simulation/deployments.h"
#include "src/simulation/run.h"
#include "src/simulation/scenarios.h"
#include "src/wire/codec.h"

namespace saltquay {
namespace {

// A dispatcher before `engines` engines of one split pool.
class DispatchBench {
 public:
  explicit DispatchBench(int engines)
      : context_(NodeIdentity{{NodeId{1}, BootId{1}}, ZoneId{1}}, Parameters{}, 1),
        prefixes_(4096),
        dispatcher_(Parameters{}, table_, prefixes_) {
    BundlePlan plan;
    plan.main_engines = engines;
    plan.prefill_engines = engines / 2;
    auto rolled = std::make_shared<RolledBundle>();
    rolled->bundle =
        std::make_shared<const Bundle>(*ParseBundle(MakeBundleText(Deployment::kFederation, plan), "bench"));
    const ModelVersionId version = rolled->bundle->FindModel("consulta-lm")->version_id();
    state_.bundle = rolled;
    state_.ready = true;
    state_.view = &view_;
    std::vector<Machine> machines;
    for (int i = 1; i <= engines; ++i) {
      Machine machine;
      machine.id = static_cast<std::uint32_t>(i);
      machine.kind = MachineKind::kEngine;
      machine.zone = ZoneId{static_cast<std::uint32_t>(i % 3)};
      machine.pool = "consulta";
      machines.push_back(machine);
    }
    context_.BeginEvent(now_, &actions_);
    table_.SetMachines(machines);
    for (int i = 1; i <= engines; ++i) {
      EngineLoad load;
      load.engine = EngineId{static_cast<std::uint32_t>(i)};
      load.boot = BootId{1};
      load.role = i % 2 == 0 ? EngineRole::kPrefill : EngineRole::kDecode;
      load.model_version = version;
      table_.OnLoad(context_, load);
    }
  }

  // Submits one request and answers it at once.
  void ServeOne() {
    actions_.clear();
    context_.BeginEvent(now_, &actions_);
    CallerRequest request;
    request.handle = RequestHandle{++handle_};
    request.spec.tenant = "t";
    request.spec.model = "consulta-lm";
    request.spec.request_class = "explanation";
    request.spec.prompt_tokens = 200;
    request.spec.max_output_tokens = 4;
    dispatcher_.OnRequest(context_, state_, request);
    const StartAttempt* start = nullptr;
    for (const Action& action : actions_) {
      if (const auto* typed = std::get_if<StartAttempt>(&action)) start = typed;
    }
    EngineFrame frame;
    frame.attempt = start->attempt.id;
    frame.boot = start->attempt.boot;
    frame.token_count = 4;
    frame.text = "aaaa bbbb cccc dddd ";
    frame.finish = FinishReason::kLength;
    frame.total_tokens = 4;
    const EngineId engine = start->engine;
    dispatcher_.OnFrame(context_, state_, EngineFrameReceived{engine, frame});
  }

 private:
  NodeContext context_;
  ActionList actions_;
  Time now_{Duration{1'000'000}};
  LoadTable table_;
  PrefixIndex prefixes_;
  Dispatcher dispatcher_;
  View view_;
  ServingState state_;
  std::uint64_t handle_ = 0;
};

void RouteAndServe(benchmark::State& state) {
  DispatchBench bench(static_cast<int>(state.range(0)));
  for (auto _ : state) bench.ServeOne();
}
BENCHMARK(RouteAndServe)->Arg(9)->Arg(110)->Arg(1100);

void EncodeAndDecode(benchmark::State& state) {
  PeerMessage message;
  LoadDelta delta;
  delta.loads.resize(static_cast<std::size_t>(state.range(0)));
  message.body = delta;
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string encoded = EncodePeerMessage(message);
    bytes = encoded.size();
    benchmark::DoNotOptimize(DecodePeerMessage(encoded));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeAndDecode)->Arg(1)->Arg(14)->Arg(100);

void ClaimMessages(benchmark::State& state) {
  PeerMessage message;
  ClaimRequest claim;
  claim.claim.key = "tenant-17/permit-2026-000123456";
  message.body = claim;
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string encoded = EncodePeerMessage(message);
    bytes = encoded.size();
    benchmark::DoNotOptimize(DecodePeerMessage(encoded));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ClaimMessages);

// Virtual seconds and requests that the simulator gets through in a second.
void SimulateChaos(benchmark::State& state) {
  std::uint64_t seed = 0;
  double virtual_seconds = 0;
  double requests = 0;
  for (auto _ : state) {
    const RunResult run = RunSimulation(FindScenario("chaos")->options, ++seed);
    virtual_seconds += run.virtual_seconds;
    requests += static_cast<double>(run.counts.submitted);
  }
  state.counters["virtual_seconds"] = benchmark::Counter(virtual_seconds, benchmark::Counter::kIsRate);
  state.counters["requests"] = benchmark::Counter(requests, benchmark::Counter::kIsRate);
}
BENCHMARK(SimulateChaos)->Unit(benchmark::kMillisecond)->Iterations(8);

}  // namespace
}  // namespace saltquay
