#include "cactusward/engine_placement.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace cactusward {
namespace {

// Share of the strictest event gap that the prefill of one interactive prompt
// may take; the rest is left for other prompts in the same pass.
constexpr double kInteractivePrefillShare = 0.8;
// Share of an event gap that a pass is planned to take: load reports lag.
constexpr double kEventGapShare = 0.9;
// Share of an engine's slots that interactive requests fill before they spread
// to another engine: each decoding request slows down the whole batch.
constexpr double kSlotFillShare = 0.8;
// Allowance for requests in progress that no load includes yet: one of this
// instance and one of another.
constexpr int kUnreportedRequests = 2;
// Interactive requests choose from the larger of two numbers of engines: this
// multiple of InteractiveEngineCount, and this share of the engines without
// long prompts. The rest stay free for long prompts. With lower values more
// than one in ten prompts of surge_test.cc miss their objective.
constexpr double kFrontHeadroom = 1.25;
constexpr double kFrontFreeShare = 0.25;
// The prefill is split until the first event is expected within this share of
// the objective, if there are enough engines.
constexpr double kPreferredObjectiveShare = 0.5;
// Share of an objective that the expected time to the first event may take.
constexpr double kMaxObjectiveShare = 0.88;
// Share of the strictest event gap that a part of a long prefill may take on an
// engine that decodes interactive requests.
constexpr double kSharedPrefillShare = 0.45;
// Pending prefill beyond which an engine gets no long prompt: engines prefill
// the parts of split prompts first, which would delay it.
constexpr std::int64_t kMaxQueuedPrefillMs = 100;
// Share of the engines that best-effort prompts leave idle.
constexpr double kBestEffortIdleShare = 0.05;
// Share of an engine's KV capacity that placement fills.
constexpr double kKvCapacityShare = 0.96;

// Number of random engines, for each that is needed, that an interactive prompt
// chooses the quickest from.
constexpr std::size_t kChoices = 2;

struct candidate {
  std::size_t index = 0;
  const engine_view* view = nullptr;
};

std::int64_t FreeKvTokens(const engine_parameters& parameters,
                          const engine_view& engine) {
  return static_cast<std::int64_t>(static_cast<double>(parameters.kv_capacity) *
                                   kKvCapacityShare) -
         engine.load.kv_tokens;
}

// Most requests that may run on the engine.
int MaxRunning(const engine_parameters& parameters, const engine_view& engine) {
  return engine.max_running > 0 ? std::min(engine.max_running, parameters.slots)
                                : parameters.slots;
}

double CurrentPassMs(const engine_parameters& parameters,
                     const engine_view& engine) {
  if (engine.load.running == 0)
    return 0;
  return DecodePassMs(parameters, engine.load.running, engine.load.kv_tokens) *
         engine.slowdown;
}

// Whether a prefill of `prefill_ms` keeps within the maximum event gaps of the
// requests that decode on the engine. The own gap matters only if other prefill
// is pending there.
bool KeepsEventGaps(const engine_parameters& parameters,
                    const engine_view& engine,
                    double prefill_ms,
                    double own_max_event_gap_ms) {
  double max_event_gap_ms = static_cast<double>(engine.load.max_event_gap_ms);
  if (own_max_event_gap_ms > 0 && engine.load.prefill_ms > 0)
    max_event_gap_ms = max_event_gap_ms > 0
                           ? std::min(max_event_gap_ms, own_max_event_gap_ms)
                           : own_max_event_gap_ms;
  if (max_event_gap_ms <= 0)
    return true;
  return static_cast<double>(engine.load.prefill_ms) +
             prefill_ms * engine.slowdown + CurrentPassMs(parameters, engine) <=
         max_event_gap_ms * kEventGapShare;
}

double FirstEventMs(const engine_parameters& parameters,
                    const engine_view& engine,
                    double prefill_ms) {
  // On average half of the current pass remains. The first event comes at the
  // end of the request's first decode pass.
  return static_cast<double>(engine.load.prefill_ms) +
         prefill_ms * engine.slowdown + CurrentPassMs(parameters, engine) / 2 +
         DecodePassMs(parameters, engine.load.running + 1,
                      engine.load.kv_tokens) *
             engine.slowdown;
}

// By how much an engine is ranked behind others because of its zone.
double ZonePenaltyMs(const placement_settings& settings,
                     const engine_view& engine) {
  return engine.same_zone ? 0 : settings.zone_preference_ms;
}

// Number of front engines that an interactive request chooses from: more than
// InteractiveEngineCount, since load reports lag behind a surge.
std::size_t FrontEngineCount(const std::vector<engine_view>& engines,
                             std::size_t interactive_engines) {
  const auto free = std::count_if(
      engines.begin(), engines.end(), [](const engine_view& engine) {
        return engine.usable && engine.load.running == engine.load.interactive;
      });
  const double front =
      std::max(static_cast<double>(interactive_engines) * kFrontHeadroom,
               static_cast<double>(free) * kFrontFreeShare);
  return static_cast<std::size_t>(std::ceil(front));
}

// Time within which the first event has to come.
double TimeLimitMs(const prompt_request& request) {
  return request.best_effort ? request.caller_timeout_ms : request.objective_ms;
}

std::optional<engine_placement> PlaceInteractive(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::uint64_t random) {
  const double prefill_ms = PrefillMs(parameters, request.prompt_tokens);
  const std::size_t interactive_engines =
      InteractiveEngineCount(parameters, engines);
  std::vector<candidate> front;
  std::vector<candidate> others;
  std::optional<candidate> fallback;
  std::size_t usable_seen = 0;
  // Without the loads of its peers an instance cannot tell which engines are
  // full, so that all of them are candidates.
  const std::size_t front_engines =
      settings.peers_unknown ? engines.size()
                             : FrontEngineCount(engines, interactive_engines);
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const engine_view& engine = engines[i];
    if (!engine.usable)
      continue;
    ++usable_seen;
    if (engine.load.running >= MaxRunning(parameters, engine) ||
        FreeKvTokens(parameters, engine) <
            request.prompt_tokens + request.max_output_tokens)
      continue;
    if (!fallback || FirstEventMs(parameters, engine, prefill_ms) <
                         FirstEventMs(parameters, *fallback->view, prefill_ms))
      fallback = candidate{i, &engine};
    if (!KeepsEventGaps(parameters, engine, prefill_ms,
                        request.max_event_gap_ms))
      continue;
    if (usable_seen <= front_engines)
      front.push_back({i, &engine});
    else
      others.push_back({i, &engine});
  }
  const auto first_event = [&](const candidate& each) {
    return FirstEventMs(parameters, *each.view, prefill_ms);
  };
  std::mt19937_64 generator(random);
  // The quicker of two random engines among the first `count` (power of two
  // choices). Load reports lag, so that instances that all choose the quickest
  // engine would overload it.
  const auto quicker_of_two = [&](const std::vector<candidate>& from,
                                  std::size_t count) {
    const candidate& a = from[generator() % std::min(count, from.size())];
    const candidate& b = from[generator() % std::min(count, from.size())];
    return first_event(a) + ZonePenaltyMs(settings, *a.view) <=
                   first_event(b) + ZonePenaltyMs(settings, *b.view)
               ? a
               : b;
  };
  const double limit = TimeLimitMs(request) * kMaxObjectiveShare;
  const auto is_full = [&](const candidate& each) {
    return first_event(each) > limit ||
           each.view->load.running >
               parameters.slots * (1 + kSlotFillShare) / 2;
  };
  std::optional<candidate> chosen;
  if (!front.empty())
    chosen = quicker_of_two(front, front.size());
  if ((!chosen || is_full(*chosen)) && !others.empty())
    chosen = quicker_of_two(others, interactive_engines);
  if (!chosen)
    chosen = fallback;
  if (!chosen)
    return std::nullopt;
  const double first = first_event(*chosen);
  if (!request.best_effort && first > request.objective_ms && fallback)
    chosen = fallback;
  const double expected = first_event(*chosen);
  if (!request.best_effort && expected > request.objective_ms)
    return std::nullopt;
  return engine_placement{chosen->index, {}, prefill_ms, expected};
}

// Selects `parts` engines, best first. Empty if there are too few.
std::vector<candidate> SelectEngines(const engine_parameters& parameters,
                                     const placement_settings& settings,
                                     const prompt_request& request,
                                     const std::vector<engine_view>& engines,
                                     std::size_t interactive_engines,
                                     int parts,
                                     double prefill_ms,
                                     std::uint64_t random) {
  std::vector<candidate> eligible;
  std::size_t usable_seen = 0;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const engine_view& engine = engines[i];
    if (!engine.usable)
      continue;
    const bool front = ++usable_seen <= interactive_engines;
    if (engine.load.prefill_ms > kMaxQueuedPrefillMs)
      continue;
    // Best-effort prompts get only engines that have neither pending prefill
    // nor interactive requests.
    if (request.best_effort &&
        (engine.load.prefill_ms > 0 || engine.load.interactive > 0))
      continue;
    const bool shared = front || engine.load.interactive > 0;
    if (shared &&
        prefill_ms > settings.strictest_event_gap_ms * kSharedPrefillShare)
      continue;
    if (engine.load.running >= MaxRunning(parameters, engine) ||
        !KeepsEventGaps(parameters, engine, prefill_ms,
                        request.max_event_gap_ms))
      continue;
    eligible.push_back({i, &engine});
  }
  const auto idle_reserve =
      request.best_effort
          ? static_cast<std::size_t>(std::ceil(
                kBestEffortIdleShare * static_cast<double>(engines.size())))
          : 0;
  if (eligible.size() < static_cast<std::size_t>(parts) + idle_reserve)
    return {};
  // Ranks engines by expected first event. Ties of less than a millisecond are
  // broken by the position after a random rotation, so that instances seldom
  // choose the same engine.
  const std::size_t offset = random % eligible.size();
  std::vector<std::pair<double, candidate>> ranked;
  for (std::size_t i = 0; i < eligible.size(); ++i) {
    const engine_view& engine = *eligible[i].view;
    const std::size_t rotated_index = (i + offset) % eligible.size();
    ranked.emplace_back(FirstEventMs(parameters, engine, prefill_ms) +
                            ZonePenaltyMs(settings, engine) +
                            static_cast<double>(rotated_index) /
                                static_cast<double>(eligible.size()),
                        eligible[i]);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<candidate> chosen;
  chosen.reserve(static_cast<std::size_t>(parts));
  for (int i = 0; i < parts; ++i)
    chosen.push_back(ranked[static_cast<std::size_t>(i)].second);
  return chosen;
}

// Distributes the KV tokens that do not fit on the decoding engine over the
// helpers. @return whether all of them fit.
bool DistributeKvTokens(const engine_parameters& parameters,
                        const prompt_request& request,
                        const std::vector<engine_view>& engines,
                        engine_placement* placement) {
  const std::int64_t needed = request.prompt_tokens + request.max_output_tokens;
  const std::int64_t first =
      FreeKvTokens(parameters, engines[placement->engine]);
  if (needed <= first)
    return true;
  std::int64_t left = needed - first;
  for (prefill_helper& helper : placement->helpers) {
    const std::int64_t free = FreeKvTokens(parameters, engines[helper.engine]);
    if (free <= 0 || left <= 0)
      continue;
    helper.reserved_kv_tokens = std::min(free, left);
    left -= helper.reserved_kv_tokens;
  }
  // Engines fill the KV memory of helpers in list order.
  std::stable_sort(placement->helpers.begin(), placement->helpers.end(),
                   [](const prefill_helper& a, const prefill_helper& b) {
                     return (a.reserved_kv_tokens > 0) >
                            (b.reserved_kv_tokens > 0);
                   });
  return left <= 0;
}

// Number of entries of the list of helpers. Engines fill the memory of the
// entries in order, so that a reservation on a helper needs one on the engine
// that decodes, which is then in the list as well.
std::size_t HelperEntries(const engine_placement& placement) {
  const bool reserved = std::any_of(
      placement.helpers.begin(), placement.helpers.end(),
      [](const auto& helper) { return helper.reserved_kv_tokens > 0; });
  return placement.helpers.size() + (reserved ? 1 : 0);
}

std::optional<engine_placement> PlaceInParts(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::size_t interactive_engines,
    int parts,
    std::uint64_t random) {
  const double prefill_ms = PrefillMs(parameters, request.prompt_tokens, parts);
  const auto chosen =
      SelectEngines(parameters, settings, request, engines, interactive_engines,
                    parts, prefill_ms, random);
  if (chosen.empty())
    return std::nullopt;
  engine_placement placement;
  placement.prefill_ms = prefill_ms;
  // The engine with the most free KV memory decodes.
  const auto first =
      std::max_element(chosen.begin(), chosen.end(),
                       [&](const candidate& a, const candidate& b) {
                         return FreeKvTokens(parameters, *a.view) <
                                FreeKvTokens(parameters, *b.view);
                       });
  placement.engine = first->index;
  for (const candidate& each : chosen) {
    placement.first_event_ms =
        std::max(placement.first_event_ms,
                 FirstEventMs(parameters, *each.view, prefill_ms));
    if (each.index != placement.engine)
      placement.helpers.push_back({each.index, 0});
  }
  if (!DistributeKvTokens(parameters, request, engines, &placement))
    return std::nullopt;
  if (HelperEntries(placement) >
      static_cast<std::size_t>(settings.max_helper_entries))
    return std::nullopt;
  return placement;
}

// Splits the prefill of an interactive prompt over front engines if it is so
// long that two such prefills in one pass exceed the strictest event gap.
// @return nothing if it is shorter, or if the engines are too busy.
std::optional<engine_placement> SplitInteractive(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::uint64_t random) {
  const double max_part_ms =
      settings.strictest_event_gap_ms * kSharedPrefillShare;
  const int parts = static_cast<int>(
      std::ceil(PrefillMs(parameters, request.prompt_tokens) / max_part_ms));
  if (parts <= 1 || parts > settings.max_helper_entries ||
      settings.peers_unknown)
    return std::nullopt;
  const std::size_t interactive_engines =
      InteractiveEngineCount(parameters, engines);
  const std::size_t front_engines =
      FrontEngineCount(engines, interactive_engines);
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < engines.size() && usable.size() < front_engines;
       ++i) {
    if (engines[i].usable)
      usable.push_back(i);
  }
  // The quickest of a random choice, as for prompts on one engine.
  std::mt19937_64 generator(random);
  std::shuffle(usable.begin(), usable.end(), generator);
  usable.resize(
      std::min(usable.size(), static_cast<std::size_t>(parts) * kChoices));
  std::vector<engine_view> front = engines;
  for (engine_view& engine : front)
    engine.usable = false;
  for (const std::size_t i : usable)
    front[i].usable = true;
  auto placement = PlaceInParts(parameters, settings, request, front,
                                interactive_engines, parts, random);
  if (placement &&
      placement->first_event_ms > TimeLimitMs(request) * kMaxObjectiveShare)
    return std::nullopt;
  return placement;
}

}  // namespace

bool IsInteractive(const engine_parameters& parameters,
                   const placement_settings& settings,
                   std::int64_t prompt_tokens) {
  // A prompt that does not fit on one engine is split, however short its
  // prefill.
  return static_cast<double>(prompt_tokens) <=
             static_cast<double>(parameters.kv_capacity) * kKvCapacityShare &&
         PrefillMs(parameters, prompt_tokens) <=
             settings.strictest_event_gap_ms * kInteractivePrefillShare;
}

std::size_t InteractiveEngineCount(const engine_parameters& parameters,
                                   const std::vector<engine_view>& engines) {
  int interactive = 0;
  std::size_t usable = 0;
  for (const engine_view& engine : engines) {
    interactive += engine.load.interactive;
    usable += engine.usable ? 1 : 0;
  }
  if (usable == 0)
    return 0;
  const double interactive_engines =
      std::ceil((interactive + kUnreportedRequests) /
                (parameters.slots * kSlotFillShare));
  return std::min(usable,
                  static_cast<std::size_t>(std::max(interactive_engines, 1.0)));
}

std::optional<engine_placement> PlacePrompt(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::uint64_t random) {
  if (IsInteractive(parameters, settings, request.prompt_tokens)) {
    if (auto split =
            SplitInteractive(parameters, settings, request, engines, random))
      return split;
    return PlaceInteractive(parameters, settings, request, engines, random);
  }
  const std::size_t interactive_engines =
      InteractiveEngineCount(parameters, engines);
  const double max_first_event_ms = TimeLimitMs(request) * kMaxObjectiveShare;
  const double preferred_first_event_ms =
      request.best_effort ? max_first_event_ms
                          : request.objective_ms * kPreferredObjectiveShare;
  const int max_parts = settings.max_helper_entries + 1;
  const auto place_behind = [&](std::size_t front_engines) {
    std::optional<engine_placement> best;
    for (int parts = 1; parts <= max_parts; ++parts) {
      auto placement = PlaceInParts(parameters, settings, request, engines,
                                    front_engines, parts, random);
      if (!placement || placement->first_event_ms > max_first_event_ms)
        continue;
      if (!best || placement->first_event_ms < best->first_event_ms)
        best = placement;
      if (best->first_event_ms <= preferred_first_event_ms)
        break;
    }
    return best;
  };
  // Interactive requests that no report includes yet may be on any engine that
  // they choose from, so that these engines come last.
  if (auto behind =
          place_behind(FrontEngineCount(engines, interactive_engines)))
    return behind;
  return place_behind(interactive_engines);
}

std::optional<engine_placement> PlaceWithBestEffortFallback(
    const engine_parameters& parameters,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<engine_view>& engines,
    std::uint64_t random) {
  if (IsServable(parameters, settings, request, engines.size())) {
    auto placement =
        PlacePrompt(parameters, settings, request, engines, random);
    // A late interactive prompt still costs other requests little.
    if (placement ||
        !IsInteractive(parameters, settings, request.prompt_tokens))
      return placement;
  }
  prompt_request best_effort_request = request;
  best_effort_request.best_effort = true;
  return PlacePrompt(parameters, settings, best_effort_request, engines,
                     random);
}

bool IsServable(const engine_parameters& parameters,
                const placement_settings& settings,
                const prompt_request& request,
                std::size_t usable_engines) {
  std::vector<engine_view> idle(usable_engines);
  return PlacePrompt(parameters, settings, request, idle, 0).has_value();
}

}  // namespace cactusward
