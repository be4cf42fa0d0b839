// What a request costs an engine that batches continuously: the time to read
// a prompt, alone or shared out, and the time of one pass.
#ifndef CACTUSWARD_ENGINE_COST_H_
#define CACTUSWARD_ENGINE_COST_H_

#include <cstdint>

namespace cactusward {

// Parameters of the engines of one service, as the service states them.
struct engine_parameters {
  int slots = 1;                 // requests processed at once
  std::int64_t kv_capacity = 0;  // tokens
  int steps_per_pass = 1;        // token steps of a pass that writes
  double step_ms = 1;            // one token step
  double per_sequence_ms = 0;    // more for each request that writes
  double context_ms_per_1k = 0;  // more for each 1,000 tokens of its context
  double prefill_tokens_per_second = 1;       // tokens
  double attention_ms_per_million_pairs = 0;  // attention between prompt tokens

  friend bool operator==(const engine_parameters& a,
                         const engine_parameters& b) {
    return a.slots == b.slots && a.kv_capacity == b.kv_capacity &&
           a.steps_per_pass == b.steps_per_pass && a.step_ms == b.step_ms &&
           a.per_sequence_ms == b.per_sequence_ms &&
           a.context_ms_per_1k == b.context_ms_per_1k &&
           a.prefill_tokens_per_second == b.prefill_tokens_per_second &&
           a.attention_ms_per_million_pairs == b.attention_ms_per_million_pairs;
  }
};

// Milliseconds to read a prompt of `tokens` on one of `parts` engines that
// read it in equal parts. Precondition: `parts` >= 1. Thread-safe.
double PrefillMs(const engine_parameters& engine,
                 std::int64_t tokens,
                 int parts = 1);

// Milliseconds of a pass in which `writers` requests write, with `context`
// tokens between them, and nothing is read. Thread-safe.
double DecodePassMs(const engine_parameters& engine,
                    int sequences,
                    std::int64_t context);

}  // namespace cactusward

#endif  // CACTUSWARD_ENGINE_COST_H_
