#include "cactusward/engine_cost.h"

namespace cactusward {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kTokensPerContextUnit = 1000;
constexpr double kPairsPerUnit = 1e6;

}  // namespace

double PrefillMs(const engine_parameters& engine,
                 std::int64_t tokens,
                 int parts) {
  const auto count = static_cast<double>(tokens);
  const double linear =
      count / engine.prefill_tokens_per_second * kMillisecondsPerSecond;
  // Causal attention: each token attends to all tokens before it.
  const double pairs = count * count / 2;
  return (linear +
          pairs / kPairsPerUnit * engine.attention_ms_per_million_pairs) /
         parts;
}

double DecodePassMs(const engine_parameters& engine,
                    int sequences,
                    std::int64_t context) {
  const double step = engine.step_ms + engine.per_sequence_ms * sequences +
                      engine.context_ms_per_1k * static_cast<double>(context) /
                          kTokensPerContextUnit;
  return step * engine.steps_per_pass;
}

}  // namespace cactusward
