#include "src/relay/relay_dispatcher.h"

#include <algorithm>

#include "src/kernel/log.h"
#include "src/relay/catalog_service.h"
#include "src/relay/dispatch_log.h"

namespace cactusward {
namespace {

// Load changes within this time trigger one dispatch of the queued requests.
constexpr milliseconds kDispatchBatchDelay{10};
// Queued requests are also dispatched periodically: peer load reports age and
// engines make progress without any notification.
constexpr milliseconds kDispatchPeriod{40};
// The strictest event gap assumed when no route of the service states one.
constexpr double kDefaultMaxEventGapMs = 250;
// Bounds of the log of requests that were not placed, or refused on arrival.
constexpr milliseconds kNotPlacedLogInterval{100};
// A route without an upstream is logged at most this often.
constexpr milliseconds kWithoutUpstreamLogInterval{10'000};
// A call goes to another availability zone if an upstream there has this many
// requests less: more than one that loads do not include yet.
constexpr double kOtherZoneRequests = 2;

double MsUntil(time_point at, time_point now) {
  return ToMilliseconds(at - now);
}

bool IsInOwnZone(const runtime& runtime, const fleet_upstream& upstream) {
  return upstream.entry.availability_zone == runtime.settings.availability_zone;
}

// nullopt if none of them ends, as far as this instance knows.
std::optional<time_point> EarliestEnd(
    const std::vector<fleet_service::held_back>& upstreams) {
  std::optional<time_point> earliest;
  for (const fleet_service::held_back& upstream : upstreams) {
    if (upstream.until && (!earliest || *upstream.until < *earliest))
      earliest = upstream.until;
  }
  return earliest;
}

// The time to retry after, when this instance may send nothing until `end`.
milliseconds RetryAfterEnd(std::optional<time_point> end, time_point now) {
  // Another instance may hold a share.
  if (!end)
    return kMinRetryAfter;
  return std::max(kMinRetryAfter, std::chrono::ceil<milliseconds>(*end - now));
}

}  // namespace

void relay_dispatcher::Start() {
  catalog_ = runtime_.registry.Find<catalog_service>(kCatalogServiceName);
  fleet_ = runtime_.registry.Find<fleet_service>(kFleetServiceName);
  dispatch_timer_ = std::make_unique<asio::steady_timer>(runtime_.io);
  fleet_->OnCapacityFreed([this] { ScheduleDispatch(); });
}

const engine_parameters* relay_dispatcher::FindEngine(
    const std::string& service) const {
  const auto config = catalog_->Config();
  const forward_service* known =
      config ? config->FindService(service) : nullptr;
  // The pointer is valid until the next coroutine switch: until then the
  // catalog holds the configuration.
  return known && known->engine ? &*known->engine : nullptr;
}

placement_settings relay_dispatcher::PlacementSettings(
    const placement_demand& demand,
    time_point now) const {
  placement_settings settings;
  settings.strictest_event_gap_ms = 0;
  const auto config = catalog_->Config();
  for (const forward_route& route : config->routes()) {
    const double max_gap_ms = static_cast<double>(route.max_event_gap.count());
    const bool serves = std::any_of(
        route.services.begin(), route.services.end(),
        [&demand](const auto& part) { return part.service == demand.service; });
    if (!serves || max_gap_ms <= 0)
      continue;
    if (settings.strictest_event_gap_ms == 0 ||
        max_gap_ms < settings.strictest_event_gap_ms)
      settings.strictest_event_gap_ms = max_gap_ms;
  }
  if (settings.strictest_event_gap_ms == 0)
    settings.strictest_event_gap_ms = kDefaultMaxEventGapMs;
  settings.peers_unknown = fleet_->PeerLoadsUnknown(now);
  settings.zone_preference_ms = static_cast<double>(
      runtime_.settings.forwarding->zone_preference.count());
  settings.max_helper_entries = demand.max_helper_entries;
  return settings;
}

bool relay_dispatcher::IsEligible(const placement_demand& demand,
                                  const fleet_upstream& upstream) {
  return demand.tried_upstreams.count(upstream.entry.id) == 0 &&
         demand.homes.Allows(upstream.region);
}

std::unique_ptr<relay_assignment> relay_dispatcher::TryAssignCall(
    const placement_demand& demand,
    time_point now) {
  const auto& upstreams = fleet_->Upstreams(demand.service);
  const auto& loads = fleet_->tracker().Loads(now);
  std::shared_ptr<fleet_upstream> best;
  double best_load = 0;
  const std::size_t offset =
      upstreams.empty() ? 0 : runtime_.random() % upstreams.size();
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const auto& upstream = upstreams[(i + offset) % upstreams.size()];
    if (!fleet_->IsUsable(*upstream, now) || !IsEligible(demand, *upstream))
      continue;
    const auto found = loads.find(upstream->key);
    const int running = found == loads.end() ? 0 : found->second.running;
    const int max_running = fleet_->MaxRunning(*upstream, now);
    if (max_running > 0 && running >= max_running)
      continue;
    const double elsewhere =
        IsInOwnZone(runtime_, *upstream) ||
                runtime_.settings.forwarding->zone_preference.count() == 0
            ? 0
            : kOtherZoneRequests;
    const double load = (running + 1.0 + elsewhere) / upstream->entry.slots *
                        upstream->health.Slowdown(now);
    if (!best || load < best_load) {
      best = upstream;
      best_load = load;
    }
  }
  if (!best)
    return nullptr;
  auto assignment = std::make_unique<relay_assignment>(fleet_, false);
  tracked_request entry;
  entry.upstream = best->key;
  entry.sent_at = now;
  assignment->primary.upstream = best;
  assignment->primary.tracking_id = fleet_->tracker().Begin(entry);
  fleet_->SpendLimit(*best, now);
  fleet_->OnLoadChanged(report_urgency::kSoon);
  return assignment;
}

std::vector<engine_view> relay_dispatcher::EngineViews(
    const placement_demand& demand,
    time_point now) const {
  const auto& upstreams = fleet_->Upstreams(demand.service);
  const auto& loads = fleet_->tracker().Loads(now);
  std::vector<engine_view> engines;
  engines.reserve(upstreams.size());
  for (const auto& upstream : upstreams) {
    engine_view view;
    view.usable =
        fleet_->IsUsable(*upstream, now) && IsEligible(demand, *upstream);
    view.slowdown = upstream->health.Slowdown(now);
    view.max_running = fleet_->MaxRunning(*upstream, now);
    view.same_zone = IsInOwnZone(runtime_, *upstream);
    const auto found = loads.find(upstream->key);
    if (found != loads.end())
      view.load = found->second;
    engines.push_back(view);
  }
  return engines;
}

std::unique_ptr<relay_assignment> relay_dispatcher::TryAssignPrompt(
    const placement_demand& demand,
    const engine_parameters& engine,
    time_point now) {
  const auto& upstreams = fleet_->Upstreams(demand.service);
  const placement_settings settings = PlacementSettings(demand, now);
  const std::vector<engine_view> engines = EngineViews(demand, now);
  prompt_request request = *demand.prompt;
  request.objective_ms = MsUntil(demand.objective_at, now);
  request.caller_timeout_ms = MsUntil(demand.caller_timeout_at, now);
  const auto placement = PlaceWithBestEffortFallback(
      engine, settings, request, engines, runtime_.random());
  if (!placement)
    return nullptr;
  const bool interactive =
      IsInteractive(engine, settings, request.prompt_tokens);
  auto assignment = std::make_unique<relay_assignment>(fleet_, !interactive);
  assignment->expected_first_event_ms = placement->first_event_ms;
  assignment->prefill_ms = placement->prefill_ms;
  std::int64_t helper_kv_tokens = 0;
  for (const prefill_helper& helper : placement->helpers) {
    tracked_request entry;
    entry.upstream = upstreams[helper.engine]->key;
    entry.prefill_only = true;
    entry.prefill_ms = placement->prefill_ms;
    entry.expected_first_event_ms = placement->first_event_ms;
    entry.kv_tokens = helper.reserved_kv_tokens;
    entry.sent_at = now;
    helper_kv_tokens += helper.reserved_kv_tokens;
    fleet_->SpendLimit(*upstreams[helper.engine], now);
    assignment->helpers.push_back({upstreams[helper.engine],
                                   helper.reserved_kv_tokens,
                                   fleet_->tracker().Begin(entry)});
  }
  tracked_request entry;
  entry.upstream = upstreams[placement->engine]->key;
  entry.interactive = interactive;
  entry.max_event_gap_ms = static_cast<std::int64_t>(request.max_event_gap_ms);
  entry.prefill_ms = placement->prefill_ms;
  entry.expected_first_event_ms = placement->first_event_ms;
  entry.kv_tokens =
      request.prompt_tokens + request.max_output_tokens - helper_kv_tokens;
  entry.sent_at = now;
  assignment->primary = {upstreams[placement->engine],
                         helper_kv_tokens > 0 ? entry.kv_tokens : 0,
                         fleet_->tracker().Begin(entry)};
  fleet_->SpendLimit(*upstreams[placement->engine], now);
  fleet_->OnLoadChanged(interactive ? report_urgency::kSoon
                                    : report_urgency::kAtOnce);
  return assignment;
}

std::unique_ptr<relay_assignment> relay_dispatcher::TryAssign(
    const placement_demand& demand,
    time_point now) {
  const engine_parameters* engine = FindEngine(demand.service);
  if (!engine || !demand.prompt)
    return TryAssignCall(demand, now);
  return TryAssignPrompt(demand, *engine, now);
}

std::optional<admission_view> relay_dispatcher::AdmissionView(
    const placement_demand& demand,
    std::uint64_t id,
    time_point now) const {
  const engine_parameters* engine = FindEngine(demand.service);
  if (!engine || !demand.prompt)
    return std::nullopt;
  admission_view view;
  view.parameters = *engine;
  view.placement = PlacementSettings(demand, now);
  view.prompt = *demand.prompt;
  view.prompt.objective_ms = MsUntil(demand.objective_at, now);
  view.prompt.caller_timeout_ms = MsUntil(demand.caller_timeout_at, now);
  view.decode_passes = DecodePasses(*engine, demand.prompt->max_output_tokens);
  view.engines = EngineViews(demand, now);
  view.ahead = queue_.WorkAhead(id, now);
  return view;
}

milliseconds relay_dispatcher::RetryTime(const waiter& waiting,
                                         time_point now) const {
  auto view = AdmissionView(*waiting.demand, waiting.id, now);
  if (!view)
    return kMinRetryAfter;
  // The objective of the repeated request begins anew.
  view->prompt.objective_ms =
      MsUntil(waiting.demand->objective_at, waiting.arrived_at);
  return RetryAfter(RoomAfterMs(*view), runtime_.random());
}

bool relay_dispatcher::IsRefusedOnArrival(const waiter& waiting,
                                          dispatch_failure* reason,
                                          time_point now) {
  const placement_demand& demand = *waiting.demand;
  // A request that was sent before may have run.
  if (!queue_.settings().refuse_on_arrival || !demand.tried_upstreams.empty())
    return false;
  const auto view = AdmissionView(demand, waiting.id, now);
  if (!view || HasSpareRoom(*view) ||
      ExpectedWaitMs(*view, MsUntil(demand.queue_deadline, now)))
    return false;
  const double room_ms = RoomAfterMs(*view);
  *reason = {error_kind::kQueueFull, RetryAfter(room_ms, runtime_.random())};
  ++refused_on_arrival_;
  if (now - refused_logged_at_ >= kNotPlacedLogInterval) {
    refused_logged_at_ = now;
    Log(log_level::kInfo, "request_refused_on_arrival",
        {{"route", demand.route},
         {"organisation", demand.organisation},
         {"prompt_tokens", demand.prompt->prompt_tokens},
         {"expected_wait_ms", room_ms},
         {"retry_after_ms", reason->retry_after.count()}});
  }
  return true;
}

bool relay_dispatcher::IsHeldBack(const placement_demand& demand,
                                  dispatch_failure* reason,
                                  time_point now) const {
  if (HasNoUpstream(demand, now)) {
    // The operator decides when that changes.
    reason->retry_after = kMaxRetryAfter;
    return true;
  }
  std::set<std::string> not_allowed;
  for (const auto& upstream : fleet_->Upstreams(demand.service)) {
    if (!demand.homes.Allows(upstream->region))
      not_allowed.insert(upstream->entry.id);
  }
  std::set<std::string> except = not_allowed;
  except.insert(demand.tried_upstreams.begin(), demand.tried_upstreams.end());
  auto upstreams = fleet_->AllHeldBack(demand.service, except, now);
  const auto until = EarliestEnd(upstreams);
  if (until && *until < demand.queue_deadline)
    return false;
  // Perhaps all of them were tried.
  if (upstreams.empty())
    upstreams = fleet_->AllHeldBack(demand.service, not_allowed, now);
  if (upstreams.empty())
    return false;
  reason->retry_after = RetryAfterEnd(EarliestEnd(upstreams), now);
  LogHeldBack(demand, upstreams, reason->retry_after, now);
  return true;
}

bool relay_dispatcher::HasNoUpstream(const placement_demand& demand,
                                     time_point now) const {
  bool any_allowed = false;
  bool any_registered = false;
  for (const auto& upstream : fleet_->Upstreams(demand.service)) {
    if (!demand.homes.Allows(upstream->region))
      continue;
    any_allowed = true;
    if (!upstream->IsRegistered())
      continue;
    any_registered = true;
    if (!fleet_->IsInEvacuatedZone(*upstream))
      return false;
  }
  if (demand.homes.restricted() && !any_allowed)
    LogWithoutUpstream(demand, now);
  // Without homes, upstreams that are not known yet are waited for.
  return any_registered || (demand.homes.restricted() && !any_allowed);
}

void relay_dispatcher::LogWithoutUpstream(const placement_demand& demand,
                                          time_point now) const {
  auto& logged_at = without_upstream_logged_at_[demand.route];
  if (now - logged_at < kWithoutUpstreamLogInterval)
    return;
  logged_at = now;
  Log(log_level::kWarning, "route_without_upstream",
      {{"route", demand.route},
       {"service", demand.service},
       {"homes", demand.homes.regions()},
       {"upstreams", fleet_->Upstreams(demand.service).size()}});
}

std::optional<milliseconds> relay_dispatcher::HeldBackTime(
    const std::string& service,
    time_point now) const {
  const auto upstreams = fleet_->AllHeldBack(service, {}, now);
  if (upstreams.empty())
    return std::nullopt;
  return RetryAfterEnd(EarliestEnd(upstreams), now);
}

std::unique_ptr<relay_assignment> relay_dispatcher::Acquire(
    const placement_demand& demand,
    cancel_token* cancel,
    dispatch_failure* reason,
    asio::yield_context yield) {
  const time_point now = clock::now();
  // In a fair queue, a request does not overtake those that wait.
  if (!queue_.settings().fair_queue || waiters_.empty()) {
    if (auto assignment = TryAssign(demand, now))
      return assignment;
  }
  waiter self(runtime_.io, &demand);
  Enqueue(&self, now);
  if (!self.assignment)
    Wait(&self, cancel, reason, yield);
  Dequeue(self);
  return std::move(self.assignment);
}

void relay_dispatcher::Wait(waiter* self,
                            cancel_token* cancel,
                            dispatch_failure* reason,
                            asio::yield_context yield) {
  const placement_demand& demand = *self->demand;
  reason->kind = error_kind::kNoUpstream;
  if (demand.queue_deadline <= self->arrived_at) {
    // Only a request that was not sent yet is answered with this time.
    reason->retry_after = demand.tried_upstreams.empty()
                              ? RetryTime(*self, self->arrived_at)
                              : kMinRetryAfter;
    return;
  }
  if (IsHeldBack(demand, reason, self->arrived_at) ||
      IsRefusedOnArrival(*self, reason, self->arrived_at))
    return;
  cancel->OnCancel([self] { self->timer.cancel(); });
  ScheduleDispatch();
  bool held_back = false;
  while (!self->assignment && !cancel->cancelled() && !held_back &&
         clock::now() < demand.queue_deadline &&
         !(demand.is_refused && demand.is_refused())) {
    WaitOn(self->timer,
           std::min(demand.queue_deadline, clock::now() + kDispatchPeriod),
           yield);
    held_back = !self->assignment && IsHeldBack(demand, reason, clock::now());
    ScheduleDispatch();
  }
  cancel->OnCancel({});
  if (self->assignment || held_back)
    return;
  reason->kind =
      cancel->cancelled() ? error_kind::kCallerGone : error_kind::kQueueFull;
  if (cancel->cancelled())
    return;
  reason->retry_after = RetryTime(*self, clock::now());
  const time_point end = clock::now();
  if (end - not_placed_logged_at_ < kNotPlacedLogInterval)
    return;
  not_placed_logged_at_ = end;
  LogNotPlaced(demand, fleet_, waiters_.size(), end);
}

void relay_dispatcher::Enqueue(waiter* waiting, time_point now) {
  const placement_demand& demand = *waiting->demand;
  waiting_request request;
  request.service = demand.service;
  request.organisation = demand.organisation;
  request.priority = demand.priority;
  request.arrived_at = now;
  request.objective_at = demand.objective_at;
  request.leaves_at = demand.queue_deadline;
  const engine_parameters* engine = FindEngine(demand.service);
  if (engine && demand.prompt) {
    request.work_ms = PrefillMs(*engine, demand.prompt->prompt_tokens);
    request.kv_tokens =
        demand.prompt->prompt_tokens + demand.prompt->max_output_tokens;
  }
  waiting->arrived_at = now;
  waiting->id = queue_.Add(request);
  waiters_[waiting->id] = waiting;
  if (queue_.settings().fair_queue && waiters_.size() > 1)
    DispatchQueued();
}

void relay_dispatcher::Dequeue(const waiter& waiting) {
  queue_.Remove(waiting.id);
  waiters_.erase(waiting.id);
}

void relay_dispatcher::RecordComposedRejection(const nlohmann::json& sent) {
  ++composed_rejections_;
  Log(log_level::kError, "composed_request_rejected", sent);
}

void relay_dispatcher::ScheduleDispatch() {
  if (dispatch_scheduled_ || waiters_.empty())
    return;
  dispatch_scheduled_ = true;
  dispatch_timer_->expires_after(kDispatchBatchDelay);
  dispatch_timer_->async_wait([this](const boost::system::error_code& error) {
    dispatch_scheduled_ = false;
    if (!error)
      DispatchQueued();
  });
}

void relay_dispatcher::DispatchQueued() {
  const time_point now = clock::now();
  for (const std::uint64_t id : queue_.Order(now)) {
    waiter* waiting = waiters_.at(id);
    waiting->assignment = TryAssign(*waiting->demand, now);
    if (!waiting->assignment)
      continue;
    queue_.RemovePlaced(id, now);
    waiting->timer.cancel();
  }
}

}  // namespace cactusward
