#include "src/relay/relay_dispatcher.h"

#include <algorithm>

#include "src/kernel/log.h"
#include "src/relay/catalog_service.h"

namespace cactusward {
namespace {

// Load changes within this time trigger one dispatch of the queued requests.
constexpr milliseconds kDispatchBatchDelay{10};
// Queued requests are also dispatched periodically: peer load reports age and
// engines make progress without any notification.
constexpr milliseconds kDispatchPeriod{40};
// The strictest event gap assumed when no route of the service states one.
constexpr double kDefaultMaxEventGapMs = 250;
// Bounds of the Retry-After delay: at least a few load report intervals, and
// well below the deadlines in use.
constexpr milliseconds kMinRetryAfter{300};
constexpr milliseconds kMaxRetryAfter{4'000};
// Bounds of the log of requests that were not placed.
constexpr milliseconds kNotPlacedLogInterval{100};
constexpr std::size_t kMaxLoggedUpstreams = 8;
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

relay_assignment::~relay_assignment() {
  UnreserveLimits();
  load_tracker& tracker = fleet_->tracker();
  tracker.End(primary.tracking_id);
  for (const target& helper : helpers)
    tracker.End(helper.tracking_id);
  fleet_->OnLoadChanged(urgent_ ? report_urgency::kSoon
                                : report_urgency::kLater);
}

void relay_assignment::ReserveLimits() {
  limits_reserved_ = true;
  ForEachUpstream([this](const fleet_upstream& upstream) {
    fleet_->ReserveLimit(upstream);
  });
}

void relay_assignment::UnreserveLimits() {
  if (!limits_reserved_)
    return;
  limits_reserved_ = false;
  ForEachUpstream([this](const fleet_upstream& upstream) {
    fleet_->UnreserveLimit(upstream);
  });
}

bool relay_assignment::TrySpendLimits(time_point now) {
  if (limits_spent_)
    return true;
  withheld_by_limit_ = false;
  ForEachUpstream([this, now](const fleet_upstream& upstream) {
    if (!fleet_->MaySendWithinLimit(upstream, now))
      withheld_by_limit_ = true;
  });
  if (withheld_by_limit_)
    return false;
  UnreserveLimits();
  limits_spent_ = true;
  ForEachUpstream([this, now](const fleet_upstream& upstream) {
    fleet_->SpendLimit(upstream, now);
  });
  return true;
}

bool relay_assignment::TargetsAcceptRequests() const {
  const time_point now = clock::now();
  return fleet_->AcceptsRequests(*primary.upstream, now) &&
         std::all_of(helpers.begin(), helpers.end(),
                     [this, now](const target& helper) {
                       return fleet_->AcceptsRequests(*helper.upstream, now);
                     });
}

void relay_assignment::EndPrefill() {
  if (!prefilling_)
    return;
  prefilling_ = false;
  load_tracker& tracker = fleet_->tracker();
  tracker.EndPrefill(primary.tracking_id);
  for (const target& helper : helpers)
    tracker.EndPrefill(helper.tracking_id);
  // Peers deduct a short prefill by the age of their report.
  if (urgent_)
    fleet_->OnLoadChanged(report_urgency::kSoon);
}

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
    const std::string& service) const {
  placement_settings settings;
  settings.strictest_event_gap_ms = 0;
  const auto config = catalog_->Config();
  for (const forward_route& route : config->routes()) {
    const double max_gap_ms = static_cast<double>(route.max_event_gap.count());
    const bool serves = std::any_of(
        route.services.begin(), route.services.end(),
        [&service](const auto& part) { return part.service == service; });
    if (!serves || max_gap_ms <= 0)
      continue;
    if (settings.strictest_event_gap_ms == 0 ||
        max_gap_ms < settings.strictest_event_gap_ms)
      settings.strictest_event_gap_ms = max_gap_ms;
  }
  if (settings.strictest_event_gap_ms == 0)
    settings.strictest_event_gap_ms = kDefaultMaxEventGapMs;
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
  assignment->ReserveLimits();
  fleet_->OnLoadChanged(report_urgency::kSoon);
  return assignment;
}

std::unique_ptr<relay_assignment> relay_dispatcher::TryAssignPrompt(
    const placement_demand& demand,
    const engine_parameters& engine,
    time_point now) {
  const auto& upstreams = fleet_->Upstreams(demand.service);
  const auto& loads = fleet_->tracker().Loads(now);
  placement_settings settings = PlacementSettings(demand.service);
  settings.peers_unknown = fleet_->PeerLoadsUnknown(now);
  settings.zone_preference_ms = static_cast<double>(
      runtime_.settings.forwarding->zone_preference.count());
  settings.max_helper_entries = demand.max_helper_entries;
  std::vector<engine_view> engines;
  engines.reserve(upstreams.size());
  for (const auto& upstream : upstreams) {
    engine_view view;
    view.usable =
        fleet_->IsUsable(*upstream, now) && IsEligible(demand, *upstream);
    view.slowdown = fleet_->Slowdown(*upstream, now);
    view.max_running = fleet_->MaxRunning(*upstream, now);
    view.same_zone = IsInOwnZone(runtime_, *upstream);
    const auto found = loads.find(upstream->key);
    if (found != loads.end())
      view.load = found->second;
    engines.push_back(view);
  }
  prompt_request request = *demand.prompt;
  request.objective_ms = MsUntil(demand.objective_at, now);
  request.caller_timeout_ms = MsUntil(demand.caller_timeout_at, now);
  const auto placement = PlaceAwayFromCold(engine, settings, request, upstreams,
                                           std::move(engines), now);
  if (!placement)
    return nullptr;
  const bool interactive =
      IsInteractive(engine, settings, request.prompt_tokens);
  auto assignment = std::make_unique<relay_assignment>(fleet_, !interactive);
  assignment->expected_first_event_ms = placement->first_event_ms;
  assignment->prefill_ms = placement->prefill_ms;
  assignment->slowdown = fleet_->Slowdown(*upstreams[placement->engine], now);
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
  assignment->ReserveLimits();
  fleet_->OnLoadChanged(interactive ? report_urgency::kSoon
                                    : report_urgency::kAtOnce);
  return assignment;
}

std::optional<engine_placement> relay_dispatcher::PlaceAwayFromCold(
    const engine_parameters& engine,
    const placement_settings& settings,
    const prompt_request& request,
    const std::vector<std::shared_ptr<fleet_upstream>>& upstreams,
    std::vector<engine_view> engines,
    time_point now) {
  const auto is_cold = [this, &upstreams, now](std::size_t index) {
    return fleet_->IsLimitedAsCold(*upstreams[index], now);
  };
  auto placement = PlaceWithBestEffortFallback(engine, settings, request,
                                               engines, runtime_.random());
  if (!placement || placement->helpers.empty())
    return placement;
  const bool any_cold =
      is_cold(placement->engine) ||
      std::any_of(placement->helpers.begin(), placement->helpers.end(),
                  [&is_cold](const prefill_helper& helper) {
                    return is_cold(helper.engine);
                  });
  if (!any_cold)
    return placement;
  for (std::size_t i = 0; i < engines.size(); ++i)
    engines[i].usable = engines[i].usable && !is_cold(i);
  return PlaceWithBestEffortFallback(engine, settings, request, engines,
                                     runtime_.random());
}

std::unique_ptr<relay_assignment> relay_dispatcher::TryAssign(
    const placement_demand& demand,
    time_point now) {
  const engine_parameters* engine = FindEngine(demand.service);
  if (!engine || !demand.prompt)
    return TryAssignCall(demand, now);
  return TryAssignPrompt(demand, *engine, now);
}

milliseconds relay_dispatcher::RetryAfter(const placement_demand& demand,
                                          time_point now) const {
  // The pending prefill of all upstreams, divided by the number of upstreams of
  // this service. Requests queued here are not included.
  double backlog = 0;
  for (const auto& [key, load] : fleet_->tracker().Loads(now))
    backlog += static_cast<double>(load.prefill_ms);
  const auto& upstreams = fleet_->Upstreams(demand.service);
  if (!upstreams.empty())
    backlog /= static_cast<double>(upstreams.size());
  return std::clamp(milliseconds(static_cast<std::int64_t>(backlog)),
                    kMinRetryAfter, kMaxRetryAfter);
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
  auto described = nlohmann::json::array();
  for (const fleet_service::held_back& upstream : upstreams)
    described.push_back(
        {{"upstream", upstream.upstream},
         {"backs_off", upstream.backs_off},
         {"cold", upstream.is_cold},
         {"per_second", upstream.per_second.value_or(-1)},
         {"age_ms", ToMilliseconds(upstream.age)},
         {"wait_ms",
          upstream.until ? ToMilliseconds(*upstream.until - now) : -1}});
  Log(log_level::kInfo, "request_held_back",
      {{"service", demand.service},
       {"retry_after_ms", reason->retry_after.count()},
       {"upstreams", std::move(described)}});
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
  if (auto assignment = TryAssign(demand, now))
    return assignment;
  *reason = {error_kind::kNoUpstream, RetryAfter(demand, now)};
  if (demand.queue_deadline <= now || IsHeldBack(demand, reason, now))
    return nullptr;
  waiter self(runtime_.io, &demand);
  waiters_.push_back(&self);
  cancel->OnCancel([&self] { self.timer.cancel(); });
  ScheduleDispatch();
  bool held_back = false;
  while (!self.assignment && !cancel->cancelled() && !held_back &&
         clock::now() < demand.queue_deadline &&
         !(demand.is_refused && demand.is_refused())) {
    WaitOn(self.timer,
           std::min(demand.queue_deadline, clock::now() + kDispatchPeriod),
           yield);
    held_back = !self.assignment && IsHeldBack(demand, reason, clock::now());
    ScheduleDispatch();
  }
  cancel->OnCancel({});
  waiters_.remove(&self);
  if (self.assignment)
    return std::move(self.assignment);
  if (held_back)
    return nullptr;
  reason->kind =
      cancel->cancelled() ? error_kind::kCallerGone : error_kind::kQueueFull;
  reason->retry_after = RetryAfter(demand, clock::now());
  if (!cancel->cancelled())
    LogNotPlaced(demand, clock::now());
  return nullptr;
}

void relay_dispatcher::RecordComposedRejection(const nlohmann::json& sent) {
  ++composed_rejections_;
  Log(log_level::kError, "composed_request_rejected", sent);
}

void relay_dispatcher::LogNotPlaced(const placement_demand& demand,
                                    time_point now) {
  if (now - not_placed_logged_at_ < kNotPlacedLogInterval)
    return;
  not_placed_logged_at_ = now;
  const auto& loads = fleet_->tracker().Loads(now);
  std::map<std::string_view, int> uses;
  auto described = nlohmann::json::array();
  for (const auto& upstream : fleet_->Upstreams(demand.service)) {
    const std::string_view use =
        demand.tried_upstreams.count(upstream->entry.id) > 0
            ? "tried"
            : fleet_->DescribeUse(*upstream, now);
    ++uses[use];
    if (described.size() == kMaxLoggedUpstreams)
      continue;
    const auto found = loads.find(upstream->key);
    const upstream_load load =
        found == loads.end() ? upstream_load() : found->second;
    described.push_back({{"upstream", upstream->entry.id},
                         {"use", use},
                         {"running", load.running},
                         {"interactive", load.interactive},
                         {"prefill_ms", load.prefill_ms},
                         {"kv_tokens", load.kv_tokens},
                         {"slowdown", upstream->health.Slowdown(now)}});
  }
  auto counts = nlohmann::json::object();
  for (const auto& [use, count] : uses)
    counts[std::string(use)] = count;
  Log(log_level::kInfo, "request_not_placed",
      {{"service", demand.service},
       {"prompt_tokens", demand.prompt ? demand.prompt->prompt_tokens : 0},
       {"objective_ms", MsUntil(demand.objective_at, now)},
       {"caller_timeout_ms", MsUntil(demand.caller_timeout_at, now)},
       {"waiting", waiters_.size()},
       {"uses", std::move(counts)},
       {"upstreams", std::move(described)}});
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
  // By priority, then by earliest objective.
  std::vector<waiter*> order(waiters_.begin(), waiters_.end());
  std::stable_sort(order.begin(), order.end(),
                   [now](const waiter* a, const waiter* b) {
                     if (a->demand->priority != b->demand->priority)
                       return a->demand->priority < b->demand->priority;
                     // Requests that have missed their objective come last.
                     const bool a_late = a->demand->objective_at <= now;
                     const bool b_late = b->demand->objective_at <= now;
                     if (a_late != b_late)
                       return b_late;
                     return a->demand->objective_at < b->demand->objective_at;
                   });
  for (waiter* waiting : order) {
    if (waiting->assignment)
      continue;
    waiting->assignment = TryAssign(*waiting->demand, now);
    if (waiting->assignment)
      waiting->timer.cancel();
  }
}

}  // namespace cactusward
