// Engine parameters of the users' services.
#ifndef CACTUSWARD_TESTS_SUPPORT_ENGINES_H_
#define CACTUSWARD_TESTS_SUPPORT_ENGINES_H_

#include "cactusward/engine_cost.h"

namespace cactusward::testing {

inline engine_parameters Engine() {
  engine_parameters engine;
  engine.slots = 16;
  engine.kv_capacity = 315'000;
  engine.steps_per_pass = 51;
  engine.step_ms = 0.85;
  engine.per_sequence_ms = 0.00425;
  engine.context_ms_per_1k = 0.00285;
  engine.prefill_tokens_per_second = 177'000;
  engine.attention_ms_per_million_pairs = 0.184;
  return engine;
}

// Engines of the larger deployments: fewer slots, more steps per pass.
inline engine_parameters LargeFleetEngine() {
  engine_parameters engine = Engine();
  engine.slots = 12;
  engine.kv_capacity = 267'750;
  engine.steps_per_pass = 57;
  return engine;
}

// Engines of a deployment of hundreds of instances.
inline engine_parameters HundredsFleetEngine() {
  engine_parameters engine = Engine();
  engine.slots = 10;
  engine.steps_per_pass = 80;
  return engine;
}

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_ENGINES_H_
