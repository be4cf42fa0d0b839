// Places prompts of very unlike lengths on engines that batch continuously, so
// that long reading and short writing do not meet. Pure functions of a view.
#ifndef CACTUSWARD_ENGINE_PLACEMENT_H_
#define CACTUSWARD_ENGINE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "cactusward/engine_cost.h"
#include "cactusward/load_tracker.h"

namespace cactusward {

// One engine at one moment. All instances hold engines in the same order.
struct engine_view {
  bool usable = true;   // listed, not leaving, not avoided
  double slowdown = 1;  // times as slow as stated
  upstream_load load;

  friend bool operator==(const engine_view& a, const engine_view& b) {
    return a.usable == b.usable && a.slowdown == b.slowdown && a.load == b.load;
  }
};

struct prompt_request {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;  // longest
  double objective_ms = 0;             // left until the first event is late
  double caller_timeout_ms = 0;        // left until its caller is gone
  double max_event_gap_ms = 0;         // longest pause between events
  // The objective cannot be met any more: the prompt takes only what others
  // leave, before its caller is gone.
  bool best_effort = false;

  friend bool operator==(const prompt_request& a, const prompt_request& b) {
    return a.prompt_tokens == b.prompt_tokens &&
           a.max_output_tokens == b.max_output_tokens &&
           a.objective_ms == b.objective_ms &&
           a.caller_timeout_ms == b.caller_timeout_ms &&
           a.max_event_gap_ms == b.max_event_gap_ms &&
           a.best_effort == b.best_effort;
  }
};

// An engine that reads a part of a prompt for another, and may hold a part of
// its memory.
struct prefill_helper {
  std::size_t engine = 0;
  std::int64_t reserved_kv_tokens = 0;  // 0: none

  friend bool operator==(const prefill_helper& a, const prefill_helper& b) {
    return a.engine == b.engine && a.reserved_kv_tokens == b.reserved_kv_tokens;
  }
};

struct engine_placement {
  std::size_t engine = 0;  // index in the view
  std::vector<prefill_helper> helpers;
  double prefill_ms = 0;      // of each part
  double first_event_ms = 0;  // expected

  friend bool operator==(const engine_placement& a, const engine_placement& b) {
    return a.engine == b.engine && a.helpers == b.helpers &&
           a.prefill_ms == b.prefill_ms && a.first_event_ms == b.first_event_ms;
  }
};

struct placement_settings {
  // Shortest pause that any route of the service allows.
  double strictest_event_gap_ms = 250;
  int max_helpers = 16;
  // This instance has just started and has not heard of its peers: what they
  // send is in no load.
  bool peers_unknown = false;

  friend bool operator==(const placement_settings& a,
                         const placement_settings& b) {
    return a.strictest_event_gap_ms == b.strictest_event_gap_ms &&
           a.max_helpers == b.max_helpers && a.peers_unknown == b.peers_unknown;
  }
};

// Whether a prompt is read quickly enough to share engines with interactive
// requests. Thread-safe.
bool IsInteractive(const engine_parameters& parameters,
                   const placement_settings& settings,
                   std::int64_t prompt_tokens);

// Number of engines, from the front of the view, that interactive requests are
// gathered on. Thread-safe.
std::size_t InteractiveEngineCount(const engine_parameters& parameters,
                                   const std::vector<engine_view>& engines);

// Chooses engines for a prompt: interactive ones at the front of the view, the
// others at its back, alone or read by several.
// @param random fresh random bits.
// @return nothing when no choice would meet the objective now. Thread-safe.
std::optional<engine_placement> PlacePrompt(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::uint64_t random);

// Places a prompt within its objective. One that is interactive, or cannot be
// in time any more, may be late, as long as its caller waits.
// @param random fresh random bits.
// @return nothing when it has to wait. Thread-safe.
std::optional<engine_placement> PlaceWithBestEffortFallback(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::uint64_t random);

// Whether the engines could ever hold and read the prompt within its
// objective, were they idle. Thread-safe.
bool IsServable(const engine_parameters& parameters,
                const placement_settings& settings,
                const prompt_request& request,
                std::size_t usable_engines);

}  // namespace cactusward

#endif  // CACTUSWARD_ENGINE_PLACEMENT_H_
