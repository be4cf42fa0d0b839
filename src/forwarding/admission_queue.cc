#include "cactusward/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cactusward {
namespace {

// Time in which what an organisation was given counts half as much: as long as
// the waves of load in use.
constexpr double kShareHalfLifeMs = 10'000;
// Shares below this amount are forgotten.
constexpr double kMinShareMs = 0.01;
// A call, which has no prefill, counts as much as this.
constexpr double kMinWorkMs = 1;
// A request that has waited for this share of its queue time is among the most
// urgent.
constexpr double kUrgentShare = 0.5;
// Number of times at which it is checked whether a request could be placed.
constexpr int kWaitSteps = 8;
// Resolution of the time to retry after: below the interval of load reports.
constexpr double kRetryResolutionMs = 50;
// Callers are spread over this share of the time that they are told to wait.
constexpr double kRetrySpread = 0.25;
constexpr double kSpareSlotShare = 0.5;
constexpr std::uint64_t kRandomRange = 1'024;

time_point UrgentAt(const waiting_request& request) {
  return request.arrived_at +
         std::chrono::duration_cast<duration>(
             (request.leaves_at - request.arrived_at) * kUrgentShare);
}

// A request that may not wait at all does not become urgent.
bool IsUrgent(const waiting_request& request, time_point now) {
  return request.leaves_at > request.arrived_at && now >= UrgentAt(request);
}

// Sort key of a request within its priority and organisation.
struct rank {
  int priority = 0;
  bool late = false;
  time_point due;
};

rank RankOf(const waiting_request& request, bool fair, time_point now) {
  // Requests that are urgent by their wait go before those with an objective in
  // the future, in the order in which they became urgent.
  if (fair && IsUrgent(request, now))
    return {0, false, UrgentAt(request)};
  return {request.priority, request.objective_at <= now, request.objective_at};
}

bool CanPlaceAfter(const admission_view& view,
                   double ms,
                   double objective_ms,
                   double caller_timeout_ms) {
  prompt_request prompt = view.prompt;
  prompt.objective_ms = objective_ms;
  prompt.caller_timeout_ms = caller_timeout_ms;
  return caller_timeout_ms > 0 &&
         PlaceWithBestEffortFallback(view.parameters, view.placement, prompt,
                                     ExpectEngines(view, ms), 0)
             .has_value();
}

}  // namespace

std::uint64_t admission_queue::Add(const waiting_request& request) {
  const std::uint64_t id = next_id_++;
  waiting_[id] = request;
  priorities_[request.priority] = 0;
  return id;
}

double admission_queue::PlacedWork(const share_key& key, time_point now) const {
  const auto found = shares_.find(key);
  if (found == shares_.end())
    return 0;
  const double age = ToMilliseconds(now - found->second.at);
  const double work =
      found->second.work_ms * std::exp2(-age / kShareHalfLifeMs);
  return work < kMinShareMs ? 0 : work;
}

std::vector<std::uint64_t> admission_queue::Order(time_point now) const {
  struct entry {
    std::uint64_t id = 0;
    const waiting_request* request = nullptr;
    rank place;
    double placed_before = 0;  // work of its organisation
  };
  std::vector<entry> order;
  order.reserve(waiting_.size());
  for (const auto& [id, request] : waiting_)
    order.push_back(
        {id, &request, RankOf(request, settings_.fair_queue, now), 0});
  std::stable_sort(
      order.begin(), order.end(), [](const entry& a, const entry& b) {
        return std::tie(a.place.priority, a.place.late, a.place.due) <
               std::tie(b.place.priority, b.place.late, b.place.due);
      });
  if (settings_.fair_queue) {
    // Each request starts where the work of its organisation so far ends, so
    // that those with the least work are next.
    std::map<share_key, double> placed;
    for (entry& each : order) {
      const share_key key(each.request->service, each.request->organisation);
      const auto [known, is_new] = placed.emplace(key, 0);
      if (is_new)
        known->second = PlacedWork(key, now);
      each.placed_before = known->second;
      known->second += std::max(each.request->work_ms, kMinWorkMs);
    }
    std::stable_sort(
        order.begin(), order.end(), [](const entry& a, const entry& b) {
          return std::tie(a.place.priority, a.place.late, a.placed_before) <
                 std::tie(b.place.priority, b.place.late, b.placed_before);
        });
  }
  std::vector<std::uint64_t> ids;
  ids.reserve(order.size());
  for (const entry& each : order)
    ids.push_back(each.id);
  return ids;
}

queued_work admission_queue::WorkAhead(std::uint64_t id, time_point now) const {
  const std::string& service = waiting_.at(id).service;
  queued_work ahead;
  for (const std::uint64_t other : Order(now)) {
    if (other == id)
      break;
    const waiting_request& request = waiting_.at(other);
    if (request.service != service)
      continue;
    ++ahead.requests;
    ahead.work_ms += request.work_ms;
    ahead.kv_tokens += request.kv_tokens;
  }
  return ahead;
}

void admission_queue::RemovePlaced(std::uint64_t id, time_point now) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end())
    return;
  const waiting_request request = std::move(found->second);
  waiting_.erase(found);
  for (auto it = shares_.begin(); it != shares_.end();)
    it = PlacedWork(it->first, now) == 0 ? shares_.erase(it) : std::next(it);
  // What is placed while nothing else waits takes nothing from others.
  const bool others_wait =
      std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& other) {
        return other.second.service == request.service;
      });
  if (!others_wait || !settings_.fair_queue)
    return;
  const share_key key(request.service, request.organisation);
  const double before = PlacedWork(key, now);
  shares_[key] = {before + std::max(request.work_ms, kMinWorkMs), now};
}

std::map<int, std::size_t> admission_queue::SizeByPriority() const {
  std::map<int, std::size_t> sizes = priorities_;
  for (const auto& [id, request] : waiting_)
    ++sizes[request.priority];
  return sizes;
}

int DecodePasses(const engine_parameters& parameters,
                 std::int64_t output_tokens) {
  return static_cast<int>(std::max<std::int64_t>(
      1, (output_tokens + parameters.steps_per_pass - 1) /
             parameters.steps_per_pass));
}

std::vector<engine_view> ExpectEngines(const admission_view& view, double ms) {
  const auto usable =
      std::count_if(view.engines.begin(), view.engines.end(),
                    [](const engine_view& engine) { return engine.usable; });
  const double share = usable > 0 ? 1 / static_cast<double>(usable) : 0;
  const bool interactive =
      IsInteractive(view.parameters, view.placement, view.prompt.prompt_tokens);
  std::vector<engine_view> engines = view.engines;
  for (engine_view& engine : engines) {
    if (!engine.usable)
      continue;
    upstream_load& load = engine.load;
    const double pending =
        static_cast<double>(load.prefill_ms) + view.ahead.work_ms * share;
    const double decoded_for_ms = std::max(ms - pending, 0.0);
    const double decode_ms =
        DecodePassMs(view.parameters, load.running, load.kv_tokens) *
        engine.slowdown * view.decode_passes;
    const double left = 1 - std::min(decoded_for_ms / decode_ms, 1.0);
    // The part that does not decrease with the age of a report is worked off
    // as well, unless the engine is slower than expected.
    load.prefill_ms = static_cast<std::int64_t>(std::max(pending - ms, 0.0));
    load.overdue_prefill_ms = 0;
    const int kept = interactive ? 0 : load.interactive;
    // Interactive requests fill at most the memory of their slots.
    const std::int64_t kept_tokens =
        std::min(load.kv_tokens, view.parameters.kv_capacity * kept /
                                     std::max(view.parameters.slots, 1));
    const auto remaining = [left](auto count) {
      return std::ceil(static_cast<double>(count) * left);
    };
    load.running =
        kept + static_cast<int>(remaining(std::max(load.running - kept, 0)));
    load.interactive = std::min(load.interactive, load.running);
    load.kv_tokens =
        kept_tokens +
        static_cast<std::int64_t>(remaining(load.kv_tokens - kept_tokens) +
                                  static_cast<double>(view.ahead.kv_tokens) *
                                      share * left);
  }
  return engines;
}

std::optional<double> ExpectedWaitMs(const admission_view& view,
                                     double limit_ms) {
  for (int step = 0; step <= kWaitSteps; ++step) {
    const double ms = limit_ms * step / kWaitSteps;
    if (CanPlaceAfter(view, ms, view.prompt.objective_ms - ms,
                      view.prompt.caller_timeout_ms - ms))
      return ms;
  }
  return std::nullopt;
}

bool HasSpareRoom(const admission_view& view) {
  const std::vector<engine_view> idle(view.engines.size());
  if (!PlaceWithBestEffortFallback(view.parameters, view.placement, view.prompt,
                                   idle, 0))
    return false;
  if (view.placement.peers_unknown)
    return true;
  if (view.ahead.requests > 0)
    return false;
  const std::int64_t part_tokens =
      (view.prompt.prompt_tokens + view.prompt.max_output_tokens) /
      (view.placement.max_helper_entries + 1);
  int slots = 0;
  int running = 0;
  for (const engine_view& engine : view.engines) {
    if (!engine.usable ||
        engine.load.kv_tokens + part_tokens > view.parameters.kv_capacity)
      continue;
    slots += engine.max_running > 0
                 ? std::min(engine.max_running, view.parameters.slots)
                 : view.parameters.slots;
    running += engine.load.running;
  }
  return running < slots * kSpareSlotShare;
}

double RoomAfterMs(const admission_view& view) {
  const auto can_place = [&view](double ms) {
    return CanPlaceAfter(view, ms, view.prompt.objective_ms,
                         view.prompt.caller_timeout_ms - ms);
  };
  auto from = static_cast<double>(kMinRetryAfter.count());
  if (can_place(from))
    return from;
  // The spread must not exceed the upper bound.
  double until =
      static_cast<double>(kMaxRetryAfter.count()) / (1 + kRetrySpread);
  while (until - from > kRetryResolutionMs) {
    const double middle = (from + until) / 2;
    (can_place(middle) ? until : from) = middle;
  }
  return until;
}

milliseconds RetryAfter(double room_ms, std::uint64_t random) {
  const double at = std::clamp(
      room_ms, static_cast<double>(kMinRetryAfter.count()),
      static_cast<double>(kMaxRetryAfter.count()) / (1 + kRetrySpread));
  const auto step = static_cast<double>(random % kRandomRange);
  return milliseconds(static_cast<std::int64_t>(
      at * (1 + kRetrySpread * step / static_cast<double>(kRandomRange))));
}

}  // namespace cactusward
