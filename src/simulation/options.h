// Sizes, rates and faults of one simulated run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/status.h"
#include "src/base/time.h"
#include "src/core/parameters.h"

namespace saltquay {

enum class Deployment : std::uint8_t { kFederation, kRavinala };

// What the fault injector may do in a run. Each is a mean count over the
// faulty part of the run; 0 turns it off.
struct FaultRates {
  double node_kills = 0;
  double node_pauses = 0;
  double node_stops = 0;  // Planned.
  double zone_cuts = 0;   // Both ways or one way.
  double node_cuts = 0;
  double store_outages = 0;
  double store_slowness = 0;
  double store_lost_answers = 0;  // Periods in which answers are lost after effect.
  double store_stale_reads = 0;   // Periods in which reads give old data.
  double engine_crashes = 0;
  double engine_pauses = 0;
  double engine_leaves = 0;
  double leader_kills = 0;
  double leader_pauses = 0;
  double operator_races = 0;  // Two operators roll at once.
  double rolls = 0;
};

// Production parameters, but for a shorter record window, so that a run outlasts it.
inline Parameters SimulationParameters() {
  Parameters parameters;
  parameters.record_window = 10s;
  return parameters;
}

struct SimulationOptions {
  Deployment deployment = Deployment::kFederation;
  int zones = 3;
  int nodes_per_zone = 2;
  int main_engines = 9;      // consulta-lm or roster-llm.
  int quick_engines = 3;     // ventanilla or roster-app.
  Duration zone_delay{300};  // One way, between zones.
  Duration local_delay{80};  // Within a zone.
  Duration client_delay{3'000};
  Duration jitter{100};
  double message_loss = 0;
  double message_duplicates = 0;
  double late_frames = 0;       // Engine frames delivered a second time, late.
  double crossed_frames = 0;    // Engine frames delivered to another node as well.
  double clock_rate_error = 0;  // Each process's clock runs up to this much fast or slow.

  double requests_per_second = 15;
  bool mix_shift = true;  // The prompt-to-output mix swings over the run.
  int caller_retries = 2;
  Duration warmup{12'000'000};
  Duration faulty{40'000'000};
  Duration recovery{15'000'000};     // After the last fault heals, before liveness is judged.
  Duration settled{10'000'000};      // In which liveness is judged.
  Duration pause_length{6'000'000};  // Longest.
  Duration outage_length{15'000'000};
  Duration engine_load_time{2'000'000};
  Duration engine_role_change_time{3'000'000};
  FaultRates faults;
  double goodput_floor = 0;  // Least share of requests completed in the faulty part.
  bool trace = false;
  Parameters parameters = SimulationParameters();
};

// Sets one option by name from text, as `--set key=value` does.
// Errors are kInvalidSetting and list the names.
absl::Status SetOption(SimulationOptions* options, const std::string& key, const std::string& value);

// Names that SetOption takes.
std::vector<std::string> OptionNames();

}  // namespace saltquay
