#include "src/relay/relay_run.h"

#include <algorithm>
#include <cmath>

#include "cactusward/hash.h"
#include "src/kernel/log.h"
#include "src/kernel/run_and_clean_up.h"
#include "src/relay/helper_reservation.h"

namespace cactusward {
namespace {

// For callers that state no deadline; above the longest deadline in use.
constexpr milliseconds kDefaultDeadline{30'000};
// The deadline of a caller's first attempt is at least this share of the
// longest one seen on the route. A shorter deadline means that an earlier
// attempt has used up part of it.
constexpr double kFirstAttemptDeadlineShare = 0.85;
// The least time that a response may take to be written. A caller may read
// slowly until its deadline; after that it has gone.
constexpr milliseconds kMinWriteTime{5'000};
// The response must be sent before the caller's deadline, not at it.
constexpr milliseconds kDeadlineMargin{20};
// Share of a request's time that it may spend in the queue. The rest is left to
// run it, or for its caller to retry at another instance.
constexpr double kQueueTimeShare = 0.4;
// Callers abandon a stream after the longest of these: a fixed time, a multiple
// of the objective and a multiple of the max event gap.
constexpr milliseconds kMinCallerTimeout{2'000};
constexpr int kCallerTimeoutObjectives = 4;
constexpr int kCallerTimeoutEventGaps = 8;
// A process that has just started receives its configuration within this time.
constexpr milliseconds kConfigWaitTimeout{600};
constexpr milliseconds kConfigPollPeriod{10};
// A running upstream accepts a connection, and a crashed one refuses it, within
// a few round trips.
constexpr milliseconds kLivenessCheckTimeout{300};
constexpr milliseconds kLivenessPollPeriod{2};
// Another instance can take a request that is refused because this one stops.
constexpr milliseconds kStopRetryAfter{50};
// By then this instance most likely has the newest configuration, if no other
// one takes a request that is refused since it may not.
constexpr milliseconds kOutdatedRetryAfter{250};

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// The request's Host field without the port.
std::string_view HostOf(const http_request& request) {
  const std::string_view host = ToView(request[http::field::host]);
  return host.substr(0, host.find(':'));
}

// -1: no instance has read the registry.
double CatalogAgeMs(const catalog_service& catalog) {
  const auto age = catalog.Age(clock::now());
  return age ? ToMilliseconds(*age) : -1;
}

}  // namespace

relay_request::relay_request(const relay_services& services,
                             http_exchange& exchange)
    : services_(services),
      exchange_(exchange),
      config_(services.catalog.Config()),
      caller_(services.protocol.ParseRequest(exchange.request())),
      started_at_(clock::now()),
      stalled_at_start_(services.stalls.Total(started_at_)) {
  caller_deadline_ = started_at_ + caller_.deadline.value_or(kDefaultDeadline);
  response_deadline_ = caller_deadline_ - kDeadlineMargin;
  record_.request_id = caller_.attempt_id;
  record_.prompt_tokens = caller_.prompt_tokens;
  record_.deadline = caller_.deadline.value_or(kDefaultDeadline);
  last_event_id_ = caller_.last_event_id;
}

error_kind relay_request::Admit() {
  if (services_.shutdown.refusing())
    return error_kind::kDraining;
  if (!config_)
    return error_kind::kNotReady;
  route_ = config_->Match(HostOf(exchange_.request()), exchange_.Path());
  if (!route_)
    return error_kind::kNotFound;
  record_.target = route_->name;
  record_.length_class = route_->name;
  if (config_->NeedsKeys()) {
    holder_ = config_->FindKeyHolder(caller_.key);
    if (!holder_ && !route_->is_public)
      return error_kind::kUnauthenticated;
    if (holder_)
      record_.organisation = holder_->organisation;
  }
  if (route_->timeout.count() > 0)
    response_deadline_ =
        std::min(response_deadline_, started_at_ + route_->timeout);
  // A caller's second attempt carries what remains of the deadline of its
  // first, and its objective counts from the start of the first.
  milliseconds elapsed{0};
  if (caller_.deadline) {
    auto& longest = services_.longest_deadlines[route_->name];
    longest = std::max(longest, *caller_.deadline);
    elapsed =
        std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                      longest * kFirstAttemptDeadlineShare) -
                                      *caller_.deadline);
  }
  objective_at_ = started_at_ + route_->objective - elapsed;
  service_ = std::string(ChooseService(*route_, services_.daemon.random()));
  const std::string identity = std::string(exchange_.request().target()) +
                               "\n" + caller_.key + "\n" +
                               exchange_.request().body();
  fingerprint_ = Hash64(identity);
  if (services_.recovery.VerdictFor(fingerprint_) == suspect_verdict::kRefuse)
    return error_kind::kRepeatRefused;
  if (service_.empty())
    return error_kind::kNoUpstream;
  return CanComplete(PredictRun(nullptr)) ? error_kind::kOk
                                          : error_kind::kDraining;
}

error_kind relay_request::AdmitByNewest() {
  const error_kind decision = Admit();
  const time_point now = clock::now();
  // Callers do not send a request again after these.
  const bool is_final = decision == error_kind::kNotFound ||
                        decision == error_kind::kUnauthenticated;
  const bool withheld = is_final ? services_.catalog.MayBeOutdated(now)
                                 : config_ && decision == error_kind::kOk &&
                                       services_.catalog.IsOutdated(now);
  if (is_final || withheld)
    LogConfigRefusal(decision, withheld);
  return withheld ? error_kind::kNotReady : decision;
}

run_prediction relay_request::PredictRun(
    const relay_assignment* assignment) const {
  const double objective_ms = static_cast<double>(route_->objective.count());
  const forward_service* service = config_->FindService(service_);
  run_prediction predicted;
  if (assignment)
    predicted.upstream = {assignment->upstream(),
                          &assignment->upstream()->measured};
  if (service && service->engine && IsPrompt()) {
    const engine_parameters& engine = *service->engine;
    predicted.first_event_ms =
        assignment
            ? assignment->expected_first_event_ms
            : std::min(PrefillMs(engine, caller_.prompt_tokens), objective_ms);
    predicted.passes =
        std::ceil(static_cast<double>(caller_.max_output_tokens) /
                  std::max(engine.steps_per_pass, 1));
    predicted.pass_ms = DecodePassMs(engine, engine.slots, engine.kv_capacity);
  } else if (route_->kind == route_kind::kStreaming) {
    predicted.first_event_ms = ToMilliseconds(response_deadline_ - started_at_);
    predicted.unknown_length = true;
  } else {
    predicted.first_event_ms = objective_ms;
  }
  return predicted;
}

bool relay_request::CanComplete(const run_prediction& predicted) const {
  return services_.shutdown.CanComplete(route_->name, predicted, started_at_,
                                        response_deadline_, clock::now());
}

nlohmann::json relay_request::Describe(time_point now) const {
  nlohmann::json fields = {
      {"request", caller_.attempt_id},
      {"route", route_ ? route_->name : std::string()},
      {"age_ms", ToMilliseconds(now - started_at_)},
      {"deadline_left_ms", ToMilliseconds(caller_deadline_ - now)},
      {"prompt_tokens", caller_.prompt_tokens},
      {"attempts", attempts_},
      {"state", exchange_.responded() ? "responding"
                : !open_.empty()      ? "sent"
                                      : "waiting"},
      {"upstream", open_.empty() ? std::string() : record_.upstream},
      {"last_event", last_event_id_.value_or(-1)},
      {"retryable", route_ != nullptr && route_->IsRetryable()}};
  if (const auto& schedule = services_.shutdown.schedule())
    fields["requests_end_in_ms"] =
        ToMilliseconds(schedule->requests_end_at - now);
  return fields;
}

time_point relay_request::WriteDeadline() const {
  return std::max(clock::now() + kMinWriteTime, caller_deadline_);
}

void relay_request::Cancel() {
  cancel_.Cancel();
  for (const auto& open : open_)
    open->cancel.Cancel();
}

void relay_request::EndBeforeExit() {
  if (exchange_.responded())
    return;
  ended_before_exit_ = true;
  Cancel();
}

void relay_request::Run(asio::yield_context yield) {
  pending_work_list& pending = services_.shutdown.pending();
  pending.Add(this);
  RunAndCleanUp([&] { Handle(yield); }, [&] { pending.Remove(this); });
}

void relay_request::Handle(asio::yield_context yield) {
  while (!config_ && !ended_before_exit_ &&
         clock::now() < started_at_ + kConfigWaitTimeout) {
    Sleep(services_.daemon.io, kConfigPollPeriod, yield);
    config_ = services_.catalog.Config();
  }
  const error_kind refusal = AdmitByNewest();
  auto quarantined = refusal == error_kind::kOk
                         ? CheckQuarantine()
                         : std::optional<quarantine_refusal>();
  if (quarantined && services_.quarantine.BeginTrial(caller_.shared_parts)) {
    trial_start_ = clock::now();
    quarantined.reset();
  }
  if (refusal == error_kind::kDraining) {
    RespondStopping(route_ ? PredictRun(nullptr) : run_prediction(), yield);
  } else if (refusal != error_kind::kOk) {
    const bool outdated = refusal == error_kind::kNotReady && config_;
    RespondWithError(
        refusal,
        outdated ? kOutdatedRetryAfter
                 : milliseconds(ErrorResponseFor(refusal).retry_after_ms),
        yield);
  } else if (quarantined) {
    RespondQuarantined(*quarantined, yield);
  } else {
    services_.retries.ForService(service_).RecordRequest(started_at_);
    exchange_.OnDisconnect([this] { Cancel(); });
    RunAndCleanUp([&] { RunAttempts(yield); },
                  [this] {
                    exchange_.OnDisconnect({});
                    open_.clear();
                  });
  }
  record_.attempts = attempts_;
  record_.status = exchange_.status();
  record_.response_cut = exchange_.failed();
  record_.total = clock::now() - started_at_;
  services_.report.Record(record_);
}

home_regions relay_request::Homes() const {
  return {route_->homes, holder_ ? holder_->homes : std::vector<std::string>()};
}

placement_demand relay_request::MakeDemand() const {
  placement_demand demand;
  demand.route = route_->name;
  demand.organisation = record_.organisation;
  demand.service = service_;
  demand.tried_upstreams = tried_upstreams_;
  demand.max_helper_entries = composed_bound_.max_helper_entries();
  demand.priority =
      holder_ && holder_->priority ? *holder_->priority : route_->priority;
  demand.homes = Homes();
  const time_point now = clock::now();
  demand.objective_at = objective_at_;
  const auto caller_timeout =
      std::max({duration(kMinCallerTimeout),
                duration(route_->objective * kCallerTimeoutObjectives),
                duration(route_->max_event_gap * kCallerTimeoutEventGaps)});
  demand.caller_timeout_at = std::min(response_deadline_, now + caller_timeout);
  if (IsPrompt()) {
    prompt_request prompt;
    prompt.prompt_tokens = caller_.prompt_tokens;
    prompt.max_output_tokens = caller_.max_output_tokens;
    prompt.max_event_gap_ms =
        static_cast<double>(route_->max_event_gap.count());
    demand.prompt = prompt;
  }
  demand.queue_deadline = std::min(
      response_deadline_,
      started_at_ + std::chrono::duration_cast<duration>(
                        (caller_deadline_ - started_at_) * kQueueTimeShare));
  demand.is_refused = [this] {
    return CheckQuarantine().has_value() || !CanComplete(PredictRun(nullptr));
  };
  return demand;
}

void relay_request::RunAttempts(asio::yield_context yield) {
  attempt last;
  while (true) {
    dispatch_failure reason;
    placement_demand demand = MakeDemand();
    // An upstream that is silent may go on at any time.
    if (!open_.empty())
      demand.queue_deadline = clock::now();
    auto assignment =
        services_.dispatcher.Acquire(demand, &cancel_, &reason, yield);
    if (cancel_.cancelled())
      return RespondCancelled(yield);
    if (const auto quarantined = CheckQuarantine();
        quarantined && !may_have_run_)
      return RespondQuarantined(*quarantined, yield);
    const run_prediction predicted = PredictRun(assignment.get());
    if (!CanComplete(predicted)) {
      assignment.reset();
      if (!may_have_run_ && open_.empty())
        return RespondStopping(predicted, yield);
    }
    if (!assignment && attempts_ == 0)
      return RespondWithError(reason.kind, reason.retry_after, yield);
    if (!assignment && open_.empty())
      return RespondToFailure(last, yield);
    // Reservations take so long that the silent upstream may go on meanwhile.
    if (!open_.empty() && assignment &&
        assignment->primary.reserved_kv_tokens > 0)
      assignment.reset();
    if (!open_.empty() && (!assignment || !PrepareRetry(last)))
      next_repeat_at_ = clock::now() + kRepeatCheckPeriod;
    else if (auto failed = StartAttempt(std::move(assignment), yield))
      last = std::move(*failed);
    assignment.reset();
    if (!open_.empty())
      last = RelayResponse(yield);
    if (last.end == attempt_result::kCompleted)
      return;
    if (last.end == attempt_result::kCallerGone || cancel_.cancelled())
      return RespondCancelled(yield);
    if (last.end == attempt_result::kTooLate)
      return RespondToFailure(last, yield);
    if (open_.empty() && !PrepareRetry(last))
      return RespondToFailure(last, yield);
  }
}

bool relay_request::MayRepeat() const {
  if (!HasTimeLeft() || cancel_.cancelled())
    return false;
  if (may_have_run_ && !route_->IsRetryable())
    return false;
  // It could not be continued after the events that the caller has.
  if (stream_started_ && !last_event_id_)
    return false;
  if (sent_attempts_ >= route_->max_attempts)
    return false;
  if (services_.recovery.VerdictFor(fingerprint_) == suspect_verdict::kRefuse)
    return false;
  return !may_have_run_ || (!trial_start_ && !CheckQuarantine());
}

bool relay_request::PrepareRetry(const attempt& last) {
  if (!MayRepeat())
    return false;
  // Attempts that did not reach an upstream do not use up the retry budget.
  if (last.end == attempt_result::kNotSent && !may_have_run_)
    return true;
  const bool granted =
      services_.retries.ForService(service_).TrySpend(clock::now());
  if (!granted)
    Log(log_level::kInfo, "retry_budget_empty",
        {{"request", caller_.attempt_id}});
  return granted;
}

std::optional<relay_request::attempt> relay_request::StartAttempt(
    std::unique_ptr<relay_assignment> assignment,
    asio::yield_context yield) {
  ++attempts_;
  auto exchange = std::make_unique<upstream_exchange>(
      services_.daemon, services_.protocol, services_.response_buffers,
      std::move(assignment));
  const std::shared_ptr<fleet_upstream> upstream = exchange->upstream();
  record_.upstream = upstream->entry.id;
  const auto helpers =
      ReserveHelpers(*exchange->assignment,
                     caller_.attempt_id + "-" + std::to_string(attempts_),
                     response_deadline_, &cancel_, &exchange->memory, yield);
  if (!helpers) {
    attempt failed{attempt_result::kNotSent, helpers.detail(), false,
                   std::nullopt};
    RecordFailedAttempt(*exchange, failed, yield);
    return failed;
  }
  Log(log_level::kInfo, "request_placed",
      {{"request", caller_.attempt_id},
       {"route", route_->name},
       {"config_version", config_->version()},
       {"catalog_era", services_.catalog.position().era},
       {"catalog_revision", services_.catalog.position().revision},
       {"catalog_age_ms", CatalogAgeMs(services_.catalog)},
       {"upstream", upstream->entry.id},
       {"helpers", exchange->assignment->helpers.size()},
       {"reservations", exchange->memory.allocations().size()},
       {"prompt_tokens", caller_.prompt_tokens},
       {"expected_first_ms", exchange->assignment->expected_first_event_ms},
       {"waited_ms", ToMilliseconds(clock::now() - started_at_)},
       {"attempt", attempts_},
       {"silent_attempts", open_.size()}});
  upstream->running[exchange->assignment->primary.tracking_id] = {
      fingerprint_, false, caller_.shared_parts, survived_start_};
  if (auto failed = Send(*exchange, *helpers, yield)) {
    RecordFailedAttempt(*exchange, *failed, yield);
    return failed;
  }
  open_.push_back(std::move(exchange));
  return std::nullopt;
}

void relay_request::RecordFailedAttempt(upstream_exchange& exchange,
                                        const attempt& last,
                                        asio::yield_context yield) {
  if (last.end == attempt_result::kInvalidResponse)
    CheckLiveness(exchange, yield);
  RecordOutcome(*exchange.assignment, last);
  if (IsSetback(*exchange.assignment, last))
    services_.fleet.RecordSetback(
        *ResponsibleUpstream(*exchange.assignment, last), exchange.sent_at,
        last.end == attempt_result::kNotExecuted);
  // An upstream may close an idle connection at any time, and be tried again.
  if (last.stale_connection)
    kept_connection_broke_ = true;
  else if (last.end != attempt_result::kRejected &&
           !exchange.assignment->withheld_by_limit())
    tried_upstreams_.insert(
        ResponsibleUpstream(*exchange.assignment, last)->entry.id);
}

// After a failed exchange, a refused connection means that the upstream has
// crashed.
void relay_request::CheckLiveness(const upstream_exchange& exchange,
                                  asio::yield_context yield) {
  const std::shared_ptr<fleet_upstream> upstream = exchange.upstream();
  if (!upstream->liveness_check_pending)
    BeginLivenessCheck(services_, upstream);
  const bool others_open = std::any_of(
      open_.begin(), open_.end(),
      [&exchange](const auto& open) { return open.get() != &exchange; });
  // A retry must not be sent before the crash counts against the request.
  while (upstream->liveness_check_pending && !survived_start_ && !others_open &&
         !cancel_.cancelled())
    Sleep(services_.daemon.io, kLivenessPollPeriod, yield);
}

void relay_request::BeginLivenessCheck(
    const relay_services& services,
    const std::shared_ptr<fleet_upstream>& upstream) {
  upstream->liveness_check_pending = true;
  std::vector<running_request> in_flight;
  for (const auto& [id, request] : upstream->running)
    in_flight.push_back(request);
  Spawn(services.daemon.io, "check_upstream",
        [&services, upstream, in_flight](asio::yield_context yield) {
          const auto liveness = services.paths.CheckLiveness(
              upstream->entry.address, clock::now() + kLivenessCheckTimeout,
              yield);
          upstream->liveness_check_pending = false;
          if (liveness != path_service::liveness::kRefuses)
            return;
          upstream->health.Record(exchange_outcome::kUnreachable, clock::now());
          services.fleet.RecordSetback(*upstream, clock::now(), false);
          // Requests are not blamed for a crash that a part of a prompt caused.
          if (!services.quarantine.RecordCrash(upstream->entry.id, in_flight))
            services.recovery.RecordCrash(upstream->entry.id, in_flight);
        });
}

const std::shared_ptr<fleet_upstream>& relay_request::ResponsibleUpstream(
    const relay_assignment& assignment,
    const attempt& last) {
  for (const relay_assignment::target& helper : assignment.helpers) {
    if (helper.upstream->entry.address == last.at_fault)
      return helper.upstream;
  }
  return assignment.upstream();
}

bool relay_request::IsSetback(const relay_assignment& assignment,
                              const attempt& last) {
  if (last.end == attempt_result::kNotSent)
    return assignment.NotSentMeansUnreachable();
  return !last.stale_connection && last.end != attempt_result::kTimedOut;
}

void relay_request::RecordReply(const upstream_exchange& exchange,
                                const upstream_reply& reply,
                                bool names_request) {
  const fleet_upstream& upstream = *exchange.upstream();
  // It may repeat what was said to an earlier request, or by another process.
  if (reply.wrong_upstream || !names_request)
    return;
  services_.fleet.RecordLimit(upstream, reply.request_limit, exchange.sent_at);
  services_.fleet.RecordState(upstream, reply);
  if (reply.leaving)
    services_.fleet.RecordLeaving(upstream);
  if (!reply.retry_after)
    return;
  services_.fleet.RecordBackoff(upstream, *reply.retry_after);
  for (const relay_assignment::target& helper : exchange.assignment->helpers) {
    if (helper.upstream->entry.address == reply.at_fault)
      services_.fleet.RecordBackoff(*helper.upstream, *reply.retry_after);
  }
}

void relay_request::RecordOutcome(const relay_assignment& assignment,
                                  const attempt& last) {
  const auto& upstream = ResponsibleUpstream(assignment, last);
  const time_point now = clock::now();
  switch (last.end) {
    case attempt_result::kCompleted:
      upstream->health.Record(exchange_outcome::kCompleted, now);
      break;
    case attempt_result::kNotExecuted:
      // A helper that is named as at fault has usually crashed or left.
      upstream->health.Record(upstream == assignment.upstream()
                                  ? exchange_outcome::kRefused
                                  : exchange_outcome::kUnreachable,
                              now);
      break;
    case attempt_result::kFailed:
      upstream->health.Record(exchange_outcome::kFailed, now);
      break;
    case attempt_result::kInvalidResponse:
      if (!last.stale_connection)
        upstream->health.Record(exchange_outcome::kInvalidResponse, now);
      break;
    case attempt_result::kSilent:
      upstream->health.Record(exchange_outcome::kTimedOut, now);
      break;
    // The request may have been queued until shortly before its deadline.
    case attempt_result::kTimedOut:
      break;
    case attempt_result::kNotSent:
      // A request that was withheld says nothing about the upstream.
      if (assignment.NotSentMeansUnreachable())
        upstream->health.Record(exchange_outcome::kUnreachable, now);
      break;
    // What this instance composed is at fault.
    case attempt_result::kRejected:
    case attempt_result::kCallerGone:
    case attempt_result::kTooLate:
      break;
  }
  if (last.end == attempt_result::kCompleted)
    return;
  Log(log_level::kInfo, "attempt_failed",
      {{"request", caller_.attempt_id},
       {"upstream", assignment.upstream()->entry.id},
       {"at_fault", last.at_fault},
       {"attempt", attempts_},
       {"outcome", static_cast<int>(last.end)},
       {"detail", last.detail},
       {"stale_connection", last.stale_connection},
       {"after_ms", ToMilliseconds(now - started_at_)},
       {"stalled_ms",
        ToMilliseconds(services_.stalls.Total(now) - stalled_at_start_)},
       {"avoided_ms",
        std::max(0.0, ToMilliseconds(upstream->health.avoided_until() - now))},
       {"last_event", last_event_id_.value_or(-1)}});
}

void relay_request::Respond(final_response response,
                            asio::yield_context yield) {
  if (response.kind() != error_kind::kOk) {
    record_.kind = response.kind();
    record_.met_objective = false;
  }
  exchange_.RespondWith(std::move(response).TakeMessage(), WriteDeadline(),
                        yield);
}

void relay_request::RespondWithError(error_kind kind,
                                     milliseconds retry_after,
                                     asio::yield_context yield) {
  Respond(final_response::FromError(kind, retry_after, execution()), yield);
}

void relay_request::RespondCancelled(asio::yield_context yield) {
  if (!ended_before_exit_ || exchange_.disconnected() || stream_started_) {
    record_.kind = error_kind::kCallerGone;
    LogResponseCut(exchange_.disconnected() ? exchange_.disconnect_reason()
                   : ended_before_exit_     ? "the instance exits"
                                            : "caller accepts no bytes");
    return exchange_.Abort();
  }
  Log(log_level::kInfo, "request_ended_at_stop", Describe(clock::now()));
  may_have_run_ = may_have_run_ || !open_.empty();
  open_.clear();
  if (!may_have_run_)
    return RespondWithError(error_kind::kDraining, kStopRetryAfter, yield);
  RespondWithError(error_kind::kUpstreamFailed, milliseconds(0), yield);
}

void relay_request::LogResponseCut(std::string_view reason) const {
  nlohmann::json fields = Describe(clock::now());
  fields["reason"] = reason;
  fields["config_version"] = config_ ? config_->version() : 0;
  Log(log_level::kInfo, "response_cut", fields);
}

void relay_request::LogConfigRefusal(error_kind decision, bool withheld) const {
  const version_lag& lag = services_.catalog.config_lag();
  const auto behind = lag.Behind(clock::now());
  Log(log_level::kInfo, "request_refused_by_config",
      {{"request", caller_.attempt_id},
       {"decision", ErrorResponseFor(decision).name},
       {"withheld", withheld},
       {"config_version", config_->version()},
       {"newest_version", lag.newest()},
       {"behind_ms", behind ? ToMilliseconds(*behind) : 0},
       {"catalog_age_ms", CatalogAgeMs(services_.catalog)}});
}

void relay_request::RespondStopping(const run_prediction& predicted,
                                    asio::yield_context yield) {
  nlohmann::json fields = Describe(clock::now());
  if (route_)
    fields["expected_ms"] =
        services_.shutdown.ExpectedRunMs(route_->name, predicted, started_at_);
  Log(log_level::kInfo, "request_refused_at_stop", fields);
  RespondWithError(error_kind::kDraining, kStopRetryAfter, yield);
}

void relay_request::RespondQuarantined(const quarantine_refusal& refusal,
                                       asio::yield_context yield) {
  Log(log_level::kInfo, "request_quarantined",
      {{"request", caller_.attempt_id},
       {"parts", DescribeParts(refusal.quarantine.parts)},
       {"crashes", refusal.quarantine.crashes},
       {"last_crash_age_ms", refusal.quarantine.last_crash_age_ms},
       {"retry_after_ms", refusal.retry_after.count()}});
  RespondWithError(error_kind::kRepeatRefused, refusal.retry_after, yield);
}

void relay_request::RespondToFailure(const attempt& last,
                                     asio::yield_context yield) {
  record_.met_objective = false;
  if (stream_started_) {
    record_.kind = error_kind::kUpstreamFailed;
    LogResponseCut(last.detail);
    return exchange_.Abort();
  }
  if (last.end == attempt_result::kFailed && last.response) {
    record_.kind = error_kind::kUpstreamFailed;
    return Respond(final_response::FromUpstream(*last.response, execution()),
                   yield);
  }
  // No upstream ran the request, and none will.
  if (!may_have_run_)
    return RespondWithError(
        HasTimeLeft() ? error_kind::kUpstreamRefused
                      : error_kind::kDeadlineInfeasible,
        services_.dispatcher.HeldBackTime(service_, clock::now())
            .value_or(milliseconds(
                ErrorResponseFor(error_kind::kDraining).retry_after_ms)),
        yield);
  RespondWithError(
      HasTimeLeft() ? error_kind::kUpstreamFailed : error_kind::kTimedOut,
      milliseconds(0), yield);
}

}  // namespace cactusward
