#include "src/relay/relay_dispatcher.h"

#include <algorithm>

#include "src/relay/catalog_service.h"

namespace cactusward {
namespace {

// Waiting requests are looked at again when something changed, gathered over
// this time.
constexpr milliseconds kPumpGather{2};
// Reports of peers age and engines progress without any event.
constexpr milliseconds kPumpPeriod{40};
// Shortest pause that is assumed when no route states one.
constexpr double kDefaultPauseMs = 250;
// Bounds of the time after which a caller is asked to come back: a few reports
// of load, and well within the deadlines in use.
constexpr milliseconds kShortestReturn{300};
constexpr milliseconds kLongestReturn{4'000};

double MsUntil(time_point at, time_point now) {
  return ToMilliseconds(at - now);
}

}  // namespace

relay_place::~relay_place() {
  load_tracker& board = fleet_->board();
  board.End(main.board_id);
  for (const part& helper : helpers)
    board.End(helper.board_id);
  fleet_->LoadChanged(urgent_);
}

void relay_place::EndReading() {
  if (!reading_)
    return;
  reading_ = false;
  load_tracker& board = fleet_->board();
  board.EndPrefill(main.board_id);
  for (const part& helper : helpers)
    board.EndPrefill(helper.board_id);
  fleet_->LoadChanged(urgent_);
}

void relay_dispatcher::Start() {
  catalog_ = runtime_.registry.Find<catalog_service>(kCatalogServiceName);
  fleet_ = runtime_.registry.Find<fleet_service>(kFleetServiceName);
  pump_timer_ = std::make_unique<asio::steady_timer>(runtime_.io);
  fleet_->OnRoom([this] { SchedulePump(); });
}

const engine_parameters* relay_dispatcher::Engine(
    const std::string& service) const {
  const auto config = catalog_->Config();
  const forward_service* known =
      config ? config->FindService(service) : nullptr;
  // The configuration outlives the caller's use: it is held by the catalog
  // until the next coroutine switch.
  return known && known->engine ? &*known->engine : nullptr;
}

placement_settings relay_dispatcher::Settings(
    const std::string& service) const {
  placement_settings settings;
  settings.strictest_event_gap_ms = 0;
  const auto config = catalog_->Config();
  for (const forward_route& route : config->routes()) {
    const double pause = static_cast<double>(route.max_event_gap.count());
    const bool serves = std::any_of(
        route.services.begin(), route.services.end(),
        [&service](const auto& part) { return part.service == service; });
    if (!serves || pause <= 0)
      continue;
    if (settings.strictest_event_gap_ms == 0 ||
        pause < settings.strictest_event_gap_ms)
      settings.strictest_event_gap_ms = pause;
  }
  if (settings.strictest_event_gap_ms == 0)
    settings.strictest_event_gap_ms = kDefaultPauseMs;
  return settings;
}

std::unique_ptr<relay_place> relay_dispatcher::TryPlain(
    const relay_demand& demand,
    time_point now) {
  const auto& upstreams = fleet_->Upstreams(demand.service);
  const auto loads = fleet_->board().Loads(now);
  std::shared_ptr<fleet_upstream> best;
  double best_load = 0;
  const std::size_t offset =
      upstreams.empty() ? 0 : runtime_.random() % upstreams.size();
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const auto& upstream = upstreams[(i + offset) % upstreams.size()];
    if (!fleet_->IsUsable(*upstream, now) ||
        demand.tried.count(upstream->entry.id) > 0)
      continue;
    const auto found = loads.find(upstream->key);
    const int running = found == loads.end() ? 0 : found->second.running;
    const double load = (running + 1.0) / upstream->entry.slots *
                        upstream->health.Slowdown(now);
    if (!best || load < best_load) {
      best = upstream;
      best_load = load;
    }
  }
  if (!best)
    return nullptr;
  auto place = std::make_unique<relay_place>(fleet_, false);
  tracked_request entry;
  entry.upstream = best->key;
  entry.sent_at = now;
  place->main.upstream = best;
  place->main.board_id = fleet_->board().Begin(entry);
  fleet_->LoadChanged(false);
  return place;
}

std::unique_ptr<relay_place> relay_dispatcher::TryPrompt(
    const relay_demand& demand,
    const engine_parameters& engine,
    time_point now) {
  const auto& upstreams = fleet_->Upstreams(demand.service);
  const auto loads = fleet_->board().Loads(now);
  placement_settings settings = Settings(demand.service);
  settings.peers_unknown = fleet_->PeersUnknown(now);
  std::vector<engine_view> engines;
  engines.reserve(upstreams.size());
  for (const auto& upstream : upstreams) {
    engine_view view;
    view.usable = fleet_->IsUsable(*upstream, now) &&
                  demand.tried.count(upstream->entry.id) == 0;
    view.slowdown = upstream->health.Slowdown(now);
    const auto found = loads.find(upstream->key);
    if (found != loads.end())
      view.load = found->second;
    engines.push_back(view);
  }
  prompt_request request = *demand.prompt;
  request.objective_ms = MsUntil(demand.objective_at, now);
  request.caller_timeout_ms = MsUntil(demand.gone_at, now);
  const auto placement = PlaceWithBestEffortFallback(
      engine, settings, request, engines, runtime_.random());
  if (!placement)
    return nullptr;
  const bool interactive =
      IsInteractive(engine, settings, request.prompt_tokens);
  auto place = std::make_unique<relay_place>(fleet_, !interactive);
  place->expected_first_ms = placement->first_event_ms;
  place->read_ms = placement->prefill_ms;
  std::int64_t held = 0;
  for (const prefill_helper& helper : placement->helpers) {
    tracked_request entry;
    entry.upstream = upstreams[helper.engine]->key;
    entry.prefill_only = true;
    entry.prefill_ms = placement->prefill_ms;
    entry.expected_first_event_ms = placement->first_event_ms;
    entry.kv_tokens = helper.reserved_kv_tokens;
    entry.sent_at = now;
    held += helper.reserved_kv_tokens;
    place->helpers.push_back({upstreams[helper.engine],
                              helper.reserved_kv_tokens,
                              fleet_->board().Begin(entry)});
  }
  tracked_request entry;
  entry.upstream = upstreams[placement->engine]->key;
  entry.interactive = interactive;
  entry.max_event_gap_ms = static_cast<std::int64_t>(request.max_event_gap_ms);
  entry.prefill_ms = placement->prefill_ms;
  entry.expected_first_event_ms = placement->first_event_ms;
  entry.kv_tokens = request.prompt_tokens + request.max_output_tokens - held;
  entry.sent_at = now;
  place->main = {upstreams[placement->engine], held > 0 ? entry.kv_tokens : 0,
                 fleet_->board().Begin(entry)};
  fleet_->LoadChanged(!interactive);
  return place;
}

std::unique_ptr<relay_place> relay_dispatcher::TryPlace(
    const relay_demand& demand,
    time_point now) {
  const engine_parameters* engine = Engine(demand.service);
  if (!engine || !demand.prompt)
    return TryPlain(demand, now);
  return TryPrompt(demand, *engine, now);
}

milliseconds relay_dispatcher::RetryAfter(const relay_demand& demand,
                                          time_point now) const {
  // The time that the engines need for the reading that they have, and for
  // that of the requests that wait here.
  double backlog = 0;
  for (const auto& [key, load] : fleet_->board().Loads(now))
    backlog += static_cast<double>(load.prefill_ms);
  const auto& upstreams = fleet_->Upstreams(demand.service);
  if (!upstreams.empty())
    backlog /= static_cast<double>(upstreams.size());
  return std::clamp(milliseconds(static_cast<std::int64_t>(backlog)),
                    kShortestReturn, kLongestReturn);
}

std::unique_ptr<relay_place> relay_dispatcher::Acquire(
    const relay_demand& demand,
    cancel_token* cancel,
    no_place* reason,
    asio::yield_context yield) {
  const time_point now = clock::now();
  if (auto place = TryPlace(demand, now))
    return place;
  *reason = {error_kind::kNoUpstream, RetryAfter(demand, now)};
  if (demand.give_up_at <= now)
    return nullptr;
  waiter self(runtime_.io, &demand);
  waiters_.push_back(&self);
  cancel->OnCancel([&self] { self.timer.cancel(); });
  SchedulePump();
  while (!self.place && !cancel->cancelled() &&
         clock::now() < demand.give_up_at) {
    WaitOn(self.timer, std::min(demand.give_up_at, clock::now() + kPumpPeriod),
           yield);
    SchedulePump();
  }
  cancel->OnCancel({});
  waiters_.remove(&self);
  if (self.place)
    return std::move(self.place);
  reason->kind =
      cancel->cancelled() ? error_kind::kCallerGone : error_kind::kQueueFull;
  reason->retry_after = RetryAfter(demand, clock::now());
  return nullptr;
}

void relay_dispatcher::SchedulePump() {
  if (pump_scheduled_ || waiters_.empty())
    return;
  pump_scheduled_ = true;
  pump_timer_->expires_after(kPumpGather);
  pump_timer_->async_wait([this](const boost::system::error_code& error) {
    pump_scheduled_ = false;
    if (!error)
      Pump();
  });
}

void relay_dispatcher::Pump() {
  const time_point now = clock::now();
  // Urgent requests first, then those whose objective ends first.
  std::vector<waiter*> order(waiters_.begin(), waiters_.end());
  std::stable_sort(order.begin(), order.end(),
                   [now](const waiter* a, const waiter* b) {
                     if (a->demand->priority != b->demand->priority)
                       return a->demand->priority < b->demand->priority;
                     // Prompts that are late already come last.
                     const bool a_late = a->demand->objective_at <= now;
                     const bool b_late = b->demand->objective_at <= now;
                     if (a_late != b_late)
                       return b_late;
                     return a->demand->objective_at < b->demand->objective_at;
                   });
  for (waiter* waiting : order) {
    if (waiting->place)
      continue;
    waiting->place = TryPlace(*waiting->demand, now);
    if (waiting->place)
      waiting->timer.cancel();
  }
}

}  // namespace cactusward
