#include "tests/support/surge_model.h"

#include <algorithm>
#include <cmath>

namespace cactusward::testing {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;
constexpr double kNetworkMs = 2;
// As in the dispatcher: a waiting request is tried again after this time, and
// refused after this share of its deadline.
constexpr double kPlacementRetryMs = 40;
constexpr double kMaxWaitShare = 0.4;
// Callers give up after this multiple of the objective or of the maximum event
// gap without an event.
constexpr double kCallerTimeoutObjectives = 4;
constexpr double kCallerTimeoutEventGaps = 8;
constexpr double kMinCallerTimeoutMs = 2'000;
// Maximum prefill of one step, in tokens.
constexpr double kPrefillTokensPerStep = 2'048;
constexpr std::int64_t kMaxOutputTokens = 100;
// Callers honour a time to retry after up to this share of the time left.
constexpr double kMaxRetryShare = 1.0 / 3;
// The part of a normal distribution beyond this many standard deviations is the
// largest tenth.
constexpr double kLargestTenthDeviations = 1.2816;
constexpr double kBlockAtMs = 2'000;
// Time in which all instances learn that engines have returned.
constexpr double kLearnMs = 100;
constexpr double kReturnedPeriodMs = 5'000;
// Engines that have returned carry their share when at least this part of it
// was placed on them within the last half second.
constexpr double kCarriedShare = 0.8;
constexpr double kCarriedPeriodMs = 500;

}  // namespace

surge_model::surge_model(const surge_settings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      arrival_random_(seed),
      engines_(static_cast<std::size_t>(settings.engines)),
      instances_(static_cast<std::size_t>(settings.instances)),
      results_(settings.classes.size()),
      by_organisation_(settings.organisations.size()),
      largest_(settings.classes.size()) {
  if (!settings.admission)
    return;
  for (instance& each : instances_)
    each.queue.emplace(*settings.admission);
}

void surge_model::Schedule(double ms, std::function<void()> action) {
  actions_.emplace(ms, std::move(action));
}

time_point surge_model::Now() const {
  return time_point() + std::chrono::duration_cast<duration>(
                            std::chrono::duration<double, std::milli>(now_ms_));
}

std::vector<surge_result> surge_model::Run() {
  for (std::size_t kind = 0; kind < settings_.classes.size(); ++kind)
    ScheduleArrivals(kind);
  if (settings_.blocked_share > 0)
    Schedule(kBlockAtMs, [this] { Block(); });
  if (settings_.returning.engines > 0)
    Schedule(settings_.returning.at_ms, [this] { BeginRamps(); });
  for (std::size_t instance_index = 0; instance_index < instances_.size();
       ++instance_index)
    ScheduleReportAt(instance_index,
                     settings_.report_period_ms *
                         static_cast<double>(instance_index) /
                         static_cast<double>(instances_.size()));
  while (!actions_.empty()) {
    const auto next = actions_.begin();
    now_ms_ = next->first;
    const auto action = std::move(next->second);
    actions_.erase(next);
    action();
  }
  return results_;
}

void surge_model::ScheduleArrivals(std::size_t kind) {
  const surge_class& drawn = settings_.classes[kind];
  const double end_ms = settings_.seconds * kMillisecondsPerSecond;
  const double phase_ms =
      drawn.phases.empty() ? end_ms
                           : settings_.phase_seconds * kMillisecondsPerSecond;
  std::size_t phase = 0;
  for (double from = 0; from < end_ms; from += phase_ms, ++phase) {
    const double factor =
        drawn.phases.empty() ? 1 : drawn.phases[phase % drawn.phases.size()];
    std::exponential_distribution<double> pause(
        drawn.requests_per_second * factor / kMillisecondsPerSecond);
    const double to = std::min(from + phase_ms, end_ms);
    for (double at = from + pause(random_); at < to; at += pause(random_))
      Schedule(at, [this, kind] { Arrive(kind); });
  }
}

bool surge_model::IsReached() {
  return settings_.reached_peers >= instances_.size() ||
         random_() % instances_.size() < settings_.reached_peers;
}

bool surge_model::IsReturning(std::size_t engine_index) const {
  const int returning = settings_.returning.engines;
  return returning > 0 && engine_index % static_cast<std::size_t>(
                                             settings_.engines / returning) ==
                              0;
}

bool surge_model::IsMissing(std::size_t engine_index,
                            std::size_t instance_index) const {
  const double learnt_ms = kLearnMs * static_cast<double>(instance_index) /
                           static_cast<double>(instances_.size());
  return IsReturning(engine_index) &&
         now_ms_ < settings_.returning.at_ms + learnt_ms;
}

double surge_model::SlowdownOf(std::size_t engine_index) const {
  const returning_engines& returning = settings_.returning;
  if (!IsReturning(engine_index) || returning.warm_up_ms <= 0)
    return 1;
  const double left = std::clamp(
      1 - (now_ms_ - returning.at_ms) / returning.warm_up_ms, 0.0, 1.0);
  return 1 + (returning.cold_slowdown - 1) * left;
}

void surge_model::BeginRamps() {
  if (!settings_.returning.ramp_up)
    return;
  for (instance& each : instances_) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (IsReturning(i))
        each.ramp.Begin(static_cast<std::uint32_t>(i), settings_.engine.slots,
                        Now());
    }
  }
}

void surge_model::CountPlacement(std::size_t engine_index) {
  const double since_ms = now_ms_ - settings_.returning.at_ms;
  if (settings_.returning.engines == 0 || since_ms < 0)
    return;
  const bool returning = IsReturning(engine_index);
  if (returning && since_ms < kReturnedPeriodMs)
    ++returned_.requests;
  recent_placements_.emplace_back(now_ms_, returning);
  while (now_ms_ - recent_placements_.front().first > kCarriedPeriodMs)
    recent_placements_.pop_front();
  const auto there = std::count_if(
      recent_placements_.begin(), recent_placements_.end(),
      [](const std::pair<double, bool>& each) { return each.second; });
  const double share = static_cast<double>(settings_.returning.engines) /
                       static_cast<double>(settings_.engines);
  if (returned_.share_after_ms == 0 && since_ms >= kCarriedPeriodMs &&
      static_cast<double>(there) >=
          kCarriedShare * share *
              static_cast<double>(recent_placements_.size()))
    returned_.share_after_ms = since_ms;
}

void surge_model::RecordFirstEvent(const job& done) {
  const double placed_since_ms = done.placed_ms - settings_.returning.at_ms;
  if (IsReturning(done.engine) && placed_since_ms >= 0 &&
      placed_since_ms < kReturnedPeriodMs &&
      now_ms_ - done.request.arrived_ms >
          settings_.classes[done.request.kind].objective_ms)
    ++returned_.late;
  upstream_ramp& ramp = instances_[done.request.instance_index].ramp;
  const auto process = static_cast<std::uint32_t>(done.engine);
  const double measured_ms = now_ms_ - done.placed_ms;
  if (upstream_ramp::IsTimely(done.expected_first_event_ms, measured_ms))
    ramp.RecordTimely(process, Now());
  else
    ramp.RecordSetback(
        process,
        Now() - std::chrono::duration_cast<duration>(
                    std::chrono::duration<double, std::milli>(measured_ms)),
        Now());
}

void surge_model::Block() {
  std::bernoulli_distribution draw(settings_.blocked_share);
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (!draw(random_))
      continue;
    engines_[i].blocked_until_ms = now_ms_ + settings_.blocked_ms;
    Schedule(engines_[i].blocked_until_ms, [this, i] {
      if (!engines_[i].in_pass)
        BeginPass(i);
    });
  }
}

void surge_model::Arrive(std::size_t kind) {
  const bool counted =
      now_ms_ >= settings_.counted_from_seconds * kMillisecondsPerSecond;
  // With admission, the same requests arrive whatever the settings are.
  std::mt19937_64& draw = settings_.admission ? arrival_random_ : random_;
  simulated_request request{
      kind, counted, static_cast<std::size_t>(draw() % instances_.size()),
      now_ms_, DrawTokens(settings_.classes[kind], draw)};
  request.deadline_ms = settings_.classes[kind].deadline_ms;
  if (!settings_.organisations.empty()) {
    std::discrete_distribution<std::size_t> organisation(
        settings_.organisations.begin(), settings_.organisations.end());
    request.organisation = organisation(draw);
  }
  Count(request, &surge_result::requests);
  if (settings_.admission)
    Enter(request);
  else
    PlaceOrRetry(request);
}

void surge_model::Count(const simulated_request& request,
                        int surge_result::*number) {
  if (!request.counted)
    return;
  const surge_class& kind = settings_.classes[request.kind];
  ++(results_[request.kind].*number);
  if (!by_organisation_.empty())
    ++(by_organisation_[request.organisation].*number);
  if (static_cast<double>(request.tokens) >
      static_cast<double>(kind.prompt_tokens) *
          std::exp(kLargestTenthDeviations * kind.log_stddev -
                   kind.log_stddev * kind.log_stddev / 2))
    ++(largest_[request.kind].*number);
}

std::vector<engine_view> surge_model::Views(const simulated_request& request) {
  instance& at = instances_[request.instance_index];
  std::vector<engine_view> views(engines_.size());
  const auto loads = at.tracker.Loads(Now());
  for (std::size_t i = 0; i < views.size(); ++i) {
    const auto found = loads.find(static_cast<std::uint32_t>(i));
    if (found != loads.end())
      views[i].load = found->second;
    views[i].usable = !IsMissing(i, request.instance_index);
    views[i].max_running =
        at.ramp.Limit(static_cast<std::uint32_t>(i), Now()).value_or(0);
  }
  return views;
}

placement_settings surge_model::Placement() const {
  placement_settings settings;
  settings.peers_unknown = now_ms_ < PeersKnownAt();
  return settings;
}

prompt_request surge_model::Prompt(const simulated_request& request) const {
  const surge_class& kind = settings_.classes[request.kind];
  const double waited = now_ms_ - request.arrived_ms;
  prompt_request prompt;
  prompt.prompt_tokens = request.tokens;
  prompt.max_output_tokens = kMaxOutputTokens;
  prompt.max_event_gap_ms = kind.max_event_gap_ms;
  prompt.objective_ms = kind.objective_ms - waited;
  prompt.caller_timeout_ms =
      std::min(request.deadline_ms - waited,
               std::max({kMinCallerTimeoutMs,
                         kind.objective_ms * kCallerTimeoutObjectives,
                         kind.max_event_gap_ms * kCallerTimeoutEventGaps}));
  return prompt;
}

bool surge_model::TryPlace(const simulated_request& request) {
  const auto placement =
      PlaceWithBestEffortFallback(settings_.engine, Placement(),
                                  Prompt(request), Views(request), random_());
  if (placement)
    Place(request, *placement);
  return placement.has_value();
}

void surge_model::PlaceOrRetry(const simulated_request& request) {
  if (TryPlace(request))
    return;
  if (now_ms_ - request.arrived_ms < request.deadline_ms * kMaxWaitShare)
    Schedule(now_ms_ + kPlacementRetryMs,
             [this, request] { PlaceOrRetry(request); });
  else
    Count(request, &surge_result::refused);
}

void surge_model::Enter(const simulated_request& request) {
  instance& at = instances_[request.instance_index];
  const surge_class& kind = settings_.classes[request.kind];
  const double wait_ms = request.deadline_ms * kMaxWaitShare;
  const bool fair = settings_.admission->fair_queue;
  if ((!fair || at.waiting.empty()) && TryPlace(request)) {
    if (request.returned)
      Count(request, &surge_result::in_room);
    return;
  }
  const auto after = [this](double ms) {
    return Now() + std::chrono::duration_cast<duration>(
                       std::chrono::duration<double, std::milli>(ms));
  };
  waiting_request queued;
  queued.organisation = std::to_string(request.organisation);
  queued.priority = kind.priority;
  queued.work_ms = PrefillMs(settings_.engine, request.tokens);
  queued.kv_tokens = request.tokens + kMaxOutputTokens;
  queued.arrived_at = Now();
  queued.objective_at = after(kind.objective_ms);
  queued.leaves_at = after(wait_ms);
  const std::uint64_t id = at.queue->Add(queued);
  at.waiting[id] = request;
  if (fair && at.waiting.size() > 1) {
    Dispatch(request.instance_index);
    if (at.waiting.count(id) == 0)
      return;
  }
  if (settings_.admission->refuse_on_arrival) {
    const admission_view view = AdmissionView(request, id);
    if (!HasSpareRoom(view) && !ExpectedWaitMs(view, wait_ms))
      return Refuse(id, request);
  }
  ScheduleDispatch(request.instance_index);
}

void surge_model::ScheduleDispatch(std::size_t instance_index) {
  instance& at = instances_[instance_index];
  if (at.dispatch_scheduled || at.waiting.empty())
    return;
  at.dispatch_scheduled = true;
  Schedule(now_ms_ + kPlacementRetryMs, [this, instance_index] {
    instances_[instance_index].dispatch_scheduled = false;
    Dispatch(instance_index);
    ScheduleDispatch(instance_index);
  });
}

void surge_model::Dispatch(std::size_t instance_index) {
  instance& at = instances_[instance_index];
  for (const std::uint64_t id : at.queue->Order(Now())) {
    const simulated_request request = at.waiting.at(id);
    if (TryPlace(request)) {
      at.queue->RemovePlaced(id, Now());
      at.waiting.erase(id);
    } else if (now_ms_ - request.arrived_ms >=
               request.deadline_ms * kMaxWaitShare) {
      Count(request, &surge_result::held_in_vain);
      Refuse(id, request);
    }
  }
}

admission_view surge_model::AdmissionView(const simulated_request& request,
                                          std::uint64_t id) {
  admission_view view;
  view.parameters = settings_.engine;
  view.placement = Placement();
  view.prompt = Prompt(request);
  view.decode_passes = settings_.classes[request.kind].events;
  view.engines = Views(request);
  view.ahead = instances_[request.instance_index].queue->WorkAhead(id, Now());
  return view;
}

void surge_model::Refuse(std::uint64_t id, const simulated_request& request) {
  instance& at = instances_[request.instance_index];
  admission_view view = AdmissionView(request, id);
  view.prompt.objective_ms = settings_.classes[request.kind].objective_ms;
  at.queue->Remove(id);
  at.waiting.erase(id);
  const auto retry_ms =
      static_cast<double>(RetryAfter(RoomAfterMs(view), random_()).count());
  const double left = request.deadline_ms - (now_ms_ - request.arrived_ms);
  if (request.returned || retry_ms > left * kMaxRetryShare)
    return Count(request, &surge_result::refused);
  simulated_request again = request;
  again.returned = true;
  again.arrived_ms = now_ms_ + retry_ms;
  again.deadline_ms = left - retry_ms;
  again.instance_index = random_() % instances_.size();
  Count(again, &surge_result::returned);
  Schedule(again.arrived_ms, [this, again] { Enter(again); });
}

void surge_model::Place(const simulated_request& request,
                        const engine_placement& placement) {
  const surge_class& kind = settings_.classes[request.kind];
  load_tracker& tracker = instances_[request.instance_index].tracker;
  auto placed = std::make_shared<job>();
  placed->request = request;
  placed->engine = placement.engine;
  placed->events_left = kind.events;
  placed->placed_ms = now_ms_;
  placed->expected_first_event_ms = placement.first_event_ms;
  CountPlacement(placement.engine);
  placed->parts_left = static_cast<int>(placement.helpers.size()) + 1;
  const double ms_per_token = placement.prefill_ms * placed->parts_left /
                              static_cast<double>(request.tokens);
  const bool interactive = IsInteractive(settings_.engine, {}, request.tokens);
  const auto begin = [&](std::size_t index, bool first,
                         std::int64_t reserved_kv_tokens) {
    tracked_request tracked;
    tracked.upstream = static_cast<std::uint32_t>(index);
    tracked.interactive = first && interactive;
    tracked.prefill_only = !first;
    tracked.max_event_gap_ms =
        first ? static_cast<std::int64_t>(kind.max_event_gap_ms) : 0;
    tracked.prefill_ms = placement.prefill_ms;
    tracked.expected_first_event_ms = placement.first_event_ms;
    tracked.kv_tokens = reserved_kv_tokens;
    tracked.sent_at = Now();
    placed->tracking_ids.push_back(tracker.Begin(tracked));
    engine& chosen = engines_[index];
    const part next{placed, placement.prefill_ms, ms_per_token,
                    !placement.helpers.empty(), first};
    // Parts go before whole prompts, otherwise first come, first served.
    auto place = chosen.prefilling.end();
    if (next.split)
      place = std::find_if(chosen.prefilling.begin(), chosen.prefilling.end(),
                           [](const part& each) { return !each.split; });
    chosen.prefilling.insert(place, next);
    if (!chosen.in_pass)
      BeginPass(index);
  };
  std::int64_t reserved = 0;
  for (const prefill_helper& helper : placement.helpers)
    reserved += helper.reserved_kv_tokens;
  begin(placement.engine, true, request.tokens + kMaxOutputTokens - reserved);
  for (const prefill_helper& helper : placement.helpers)
    begin(helper.engine, false, helper.reserved_kv_tokens);
  ScheduleReport(request.instance_index,
                 interactive ? report_urgency::kSoon : report_urgency::kAtOnce);
}

// Log-normal distribution, as observed within one class of prompts.
std::int64_t surge_model::DrawTokens(const surge_class& kind,
                                     std::mt19937_64& random) {
  std::lognormal_distribution<double> draw(
      std::log(static_cast<double>(kind.prompt_tokens)) -
          kind.log_stddev * kind.log_stddev / 2,
      kind.log_stddev);
  return std::min(static_cast<std::int64_t>(draw(random)),
                  kind.max_prompt_tokens);
}

void surge_model::BeginPass(std::size_t index) {
  engine& engine = engines_[index];
  const int sequences = static_cast<int>(engine.decoding.size());
  std::int64_t context = 0;
  for (const auto& sequence : engine.decoding)
    context += sequence->request.tokens;
  double length = sequences > 0
                      ? DecodePassMs(settings_.engine, sequences, context)
                      : settings_.engine.step_ms;
  double tokens = kPrefillTokensPerStep *
                  (sequences > 0 ? settings_.engine.steps_per_pass : 1);
  int free_slots =
      settings_.engine.slots - sequences - engine.waiting_for_helpers;
  std::vector<part> finished;
  for (auto it = engine.prefilling.begin();
       now_ms_ >= engine.blocked_until_ms && it != engine.prefilling.end() &&
       tokens > 0;) {
    // Only what will decode here takes a slot.
    if (it->decodes && free_slots <= 0) {
      ++it;
      continue;
    }
    free_slots -= it->decodes ? 1 : 0;
    const double slice = std::min(it->remaining_ms, tokens * it->ms_per_token);
    tokens -= slice / it->ms_per_token;
    length += slice;
    it->remaining_ms -= slice;
    if (it->remaining_ms > 1e-9) {
      ++it;
      continue;
    }
    finished.push_back(*it);
    it = engine.prefilling.erase(it);
  }
  engine.in_pass =
      sequences > 0 || (now_ms_ >= engine.blocked_until_ms &&
                        (!finished.empty() || !engine.prefilling.empty()));
  if (engine.in_pass)
    Schedule(now_ms_ + length * SlowdownOf(index),
             [this, index, finished] { EndPass(index, finished); });
}

void surge_model::EndPass(std::size_t index,
                          const std::vector<part>& finished) {
  std::vector<std::shared_ptr<job>> remaining;
  engines_[index].in_pass = true;
  for (const auto& sequence : engines_[index].decoding) {
    RecordEvent(sequence.get());
    if (--sequence->events_left > 0) {
      remaining.push_back(sequence);
      continue;
    }
    for (const std::uint64_t id : sequence->tracking_ids)
      instances_[sequence->request.instance_index].tracker.End(id);
    const bool interactive =
        IsInteractive(settings_.engine, {}, sequence->request.tokens);
    ScheduleReport(
        sequence->request.instance_index,
        interactive ? report_urgency::kLater : report_urgency::kSoon);
  }
  engines_[index].decoding = std::move(remaining);
  for (const part& each : finished) {
    engines_[index].waiting_for_helpers += each.decodes ? 1 : 0;
    if (--each.parent->parts_left == 0)
      EndPrefill(each.parent);
  }
  BeginPass(index);
}

void surge_model::RecordEvent(job* decoding) {
  const simulated_request& request = decoding->request;
  const bool gap = now_ms_ - decoding->last_event_ms >
                   settings_.classes[request.kind].max_event_gap_ms;
  if (gap && !decoding->late)
    Count(request, &surge_result::late_by_gap);
  decoding->late = decoding->late || gap;
  decoding->last_event_ms = now_ms_;
}

void surge_model::EndPrefill(const std::shared_ptr<job>& done) {
  const simulated_request& request = done->request;
  const surge_class& kind = settings_.classes[request.kind];
  const double first = now_ms_ - request.arrived_ms;
  done->last_event_ms = now_ms_;
  done->late = first > kind.objective_ms;
  if (done->late)
    Count(request, &surge_result::late);
  RecordFirstEvent(*done);
  for (const std::uint64_t id : done->tracking_ids)
    instances_[request.instance_index].tracker.EndPrefill(id);
  if (!IsInteractive(settings_.engine, {}, request.tokens))
    ScheduleReport(request.instance_index, report_urgency::kSoon);
  engine& decoding_engine = engines_[done->engine];
  --decoding_engine.waiting_for_helpers;
  decoding_engine.decoding.push_back(done);
  if (!decoding_engine.in_pass)
    BeginPass(done->engine);
}

void surge_model::ScheduleReport(std::size_t instance_index,
                                 report_urgency urgency) {
  report_pacer& pacer = instances_[instance_index].pacer;
  pacer.SetInstanceCount(instances_.size());
  ScheduleReportAt(instance_index,
                   ToMilliseconds(pacer.DueAt(urgency, Now()) - time_point()));
}

void surge_model::ScheduleReportAt(std::size_t instance_index, double at) {
  instance& changed = instances_[instance_index];
  if (changed.report_at_ms >= 0 && changed.report_at_ms <= at)
    return;
  changed.report_at_ms = at;
  Schedule(at, [this, instance_index, at] {
    if (instances_[instance_index].report_at_ms == at)
      Report(instance_index);
  });
}

void surge_model::Report(std::size_t instance_index) {
  instances_[instance_index].report_at_ms = -1;
  instances_[instance_index].pacer.RecordReport(Now());
  ++reports_;
  const auto loads = instances_[instance_index].tracker.OwnLoads(Now());
  if (now_ms_ >= PeersKnownAt())
    Schedule(now_ms_ + kNetworkMs, [this, instance_index, loads] {
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (i != instance_index && IsReached())
          instances_[i].tracker.SetPeerLoads(std::to_string(instance_index), {},
                                             loads, Now());
      }
    });
  if (!loads.empty() || now_ms_ < settings_.seconds * kMillisecondsPerSecond)
    ScheduleReportAt(instance_index, now_ms_ + settings_.report_period_ms);
}

}  // namespace cactusward::testing
