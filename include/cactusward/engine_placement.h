// Places prompts on engines with continuous batching. Long prefills are kept
// away from engines that decode interactive requests, since a prefill delays
// every decode in its batch. Pure functions of a view.
#ifndef CACTUSWARD_ENGINE_PLACEMENT_H_
#define CACTUSWARD_ENGINE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "cactusward/composed_request.h"
#include "cactusward/engine_cost.h"
#include "cactusward/load_tracker.h"

namespace cactusward {

// Snapshot of one engine. All instances list engines in the same order.
struct engine_view {
  bool usable = true;   // listed, not leaving, not avoided
  double slowdown = 1;  // actual duration / duration by engine_parameters
  upstream_load load;
  int max_running = 0;    // requests of all instances; 0: the slots
  bool same_zone = true;  // in this instance's availability zone

  friend bool operator==(const engine_view& a, const engine_view& b) {
    return a.usable == b.usable && a.slowdown == b.slowdown &&
           a.load == b.load && a.max_running == b.max_running &&
           a.same_zone == b.same_zone;
  }
};

struct prompt_request {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  double objective_ms = 0;       // remaining time for the first event
  double caller_timeout_ms = 0;  // remaining time until the caller gives up
  double max_event_gap_ms = 0;   // longest time allowed between two events
  // The objective cannot be met: the prompt uses spare capacity only, and its
  // first event has to come within `caller_timeout_ms`.
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

// An engine that prefills a part of a prompt for another engine and may hold a
// part of its KV cache.
struct prefill_helper {
  std::size_t engine = 0;
  std::int64_t reserved_kv_tokens = 0;  // 0: holds no KV cache

  friend bool operator==(const prefill_helper& a, const prefill_helper& b) {
    return a.engine == b.engine && a.reserved_kv_tokens == b.reserved_kv_tokens;
  }
};

struct engine_placement {
  std::size_t engine = 0;  // index in the view
  std::vector<prefill_helper> helpers;
  double prefill_ms = 0;      // on each engine
  double first_event_ms = 0;  // expected time from now to the first event

  friend bool operator==(const engine_placement& a, const engine_placement& b) {
    return a.engine == b.engine && a.helpers == b.helpers &&
           a.prefill_ms == b.prefill_ms && a.first_event_ms == b.first_event_ms;
  }
};

struct placement_settings {
  // Smallest max_event_gap of the routes of the service.
  double strictest_event_gap_ms = 250;
  // Most engines in a request's list of helpers. With a reservation on it, the
  // engine that decodes is in the list as well.
  int max_helper_entries = composed_request_bound::kMaxHelperEntries;
  // By how much the expected first event must be earlier at an engine of
  // another availability zone; 0: zones do not matter.
  double zone_preference_ms = 0;
  // This instance has just started and has no load reports of its peers yet.
  bool peers_unknown = false;

  friend bool operator==(const placement_settings& a,
                         const placement_settings& b) {
    return a.strictest_event_gap_ms == b.strictest_event_gap_ms &&
           a.max_helper_entries == b.max_helper_entries &&
           a.zone_preference_ms == b.zone_preference_ms &&
           a.peers_unknown == b.peers_unknown;
  }
};

// Whether the prefill of a prompt is short enough to share an engine with
// decoding requests, so that the request counts as interactive. Thread-safe.
bool IsInteractive(const engine_parameters& parameters,
                   const placement_settings& settings,
                   std::int64_t prompt_tokens);

// Number of engines, from the front of the view, that the interactive requests
// in progress need. Thread-safe.
std::size_t InteractiveEngineCount(const engine_parameters& parameters,
                                   const std::vector<engine_view>& engines);

// Chooses engines for a prompt. Interactive prompts go to one engine,
// preferably at the front of the view. Others go to one or more engines, and to
// the front only if the prefill on each engine is short.
// @param random fresh random bits.
// @return nothing when no placement meets the objective now. Thread-safe.
std::optional<engine_placement> PlacePrompt(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::uint64_t random);

// Places a prompt within its objective. Falls back to a best-effort placement
// if the prompt is interactive or even idle engines could not meet the
// objective.
// @param random fresh random bits.
// @return nothing when the prompt has to wait. Thread-safe.
std::optional<engine_placement> PlaceWithBestEffortFallback(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::uint64_t random);

// Whether `usable_engines` idle engines could hold the prompt and meet its
// objective. Thread-safe.
bool IsServable(const engine_parameters& parameters,
                const placement_settings& settings,
                const prompt_request& request,
                std::size_t usable_engines);

}  // namespace cactusward

#endif  // CACTUSWARD_ENGINE_PLACEMENT_H_
