// Every tunable number of the serving core, in one place.
#pragma once

#include "src/base/time.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/retry_allowance.h"

namespace saltquay::serving {

// How the engine of a request is chosen. All but kCost are baselines.
enum class SelectionPolicy { kCost, kRoundRobin, kLeastOutstanding };

struct ServingKnobs {
  SelectionPolicy policy = SelectionPolicy::kCost;
  EjectionPolicy ejection;
  RetryBudgetBounds retry_budget;

  // Prompts up to this size are read by the engine that answers them.
  int whole_prompt_tokens = 1024;
  // Before any answer was timed: prompt tokens that a prefill engine reads in a millisecond.
  double first_read_rate = 30;
  // A load that an engine told counts for less and less, until this age.
  Duration load_memory = 2s;
  // A prompt part stays in an engine's memory about this long after its last use.
  Duration part_memory = 30s;

  // Requests under way that a remote engine must be better by to be chosen.
  double own_zone_bonus = 1.5;
  // Same, for an engine in the zone of the prompt's memory.
  double memory_zone_bonus = 5;
  // Milliseconds that sending a prompt to another zone's prefill engine is worth.
  double remote_prefill_ms = 15;
  // Milliseconds by which each request under way delays another at an engine that reads and answers.
  double answering_ms = 10;
  // Milliseconds of queueing that reading a shared part again is worth, for each millisecond it takes.
  double reread_weight = 1.3;
  // Under load that time is taken from others: the weight grows by one for each so many
  // milliseconds of reading that wait at an engine on average.
  double pressure_ms = 250;
  // A part is spread to engines beyond its first two homes only for this much more.
  double stranger_weight = 2;

  // Whether engines are told to copy shared parts of a prompt from one that keeps them.
  bool copies_parts = true;
  // Fewer tokens are not worth a copy.
  int least_copied_tokens = 256;

  // Over this time demand is averaged for role changes.
  Duration demand_memory = 3s;
  // Slots and memory of an engine that answers well are filled to this share.
  double comfortable_fill = 0.5;

  // The share of the objective that a request may wait for any engine.
  double wait_share = 0.2;
  Duration longest_wait = 400ms;
  // A repeatable request unanswered for this share of its objective goes to a second engine.
  double hedge_share = 0.8;
  // An engine that said nothing for so long, with work under way, is taken out.
  Duration silence = 1500ms;
  // A prompt whose reading takes so many times what it should is read elsewhere.
  double prefill_patience = 3;
  // Connections come up within this share of the objective, and these bounds.
  double connect_share = 0.4;
  Duration shortest_connect = 60ms;
  Duration longest_connect = 400ms;
  // A final answer is sent this much before the time runs out.
  Duration answer_margin = 15ms;
  Duration retry_after = 400ms;
  int most_tries = 5;
};

}  // namespace saltquay::serving
