// Cost model of an engine with continuous batching: prefill time of a prompt,
// on one engine or split over several, and duration of a decode pass.
#ifndef CACTUSWARD_ENGINE_COST_H_
#define CACTUSWARD_ENGINE_COST_H_

#include <cstdint>

namespace cactusward {

// Cost parameters of the engines of one service, from its configuration.
struct engine_parameters {
  int slots = 1;                 // maximum batch size, in requests
  std::int64_t kv_capacity = 0;  // tokens
  int steps_per_pass = 1;        // token steps of a decode pass
  double step_ms = 1;            // base duration of a token step
  double per_sequence_ms = 0;    // added to a step per decoding request
  double context_ms_per_1k = 0;  // added to a step per 1,000 context tokens
  double prefill_tokens_per_second = 1;  // without attention
  // Attention cost of a prefill, per million pairs of prompt tokens.
  double attention_ms_per_million_pairs = 0;

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

// Milliseconds of prefill on each engine for a prompt of `tokens` that is split
// evenly over `parts` engines. Precondition: `parts` >= 1. Thread-safe.
double PrefillMs(const engine_parameters& engine,
                 std::int64_t tokens,
                 int parts = 1);

// Milliseconds of a pass without prefill that decodes `sequences` requests with
// `context` tokens in total. Thread-safe.
double DecodePassMs(const engine_parameters& engine,
                    int sequences,
                    std::int64_t context);

}  // namespace cactusward

#endif  // CACTUSWARD_ENGINE_COST_H_
