// The exchanges of a request with upstreams, and their responses.
#include <algorithm>

#include "cactusward/unused_reservation.h"
#include "src/kernel/log.h"
#include "src/relay/relay_run.h"

namespace cactusward {
namespace {

// Bytes of a stream that bring no new event: a partial event, comments,
// repeated events.
constexpr std::size_t kMaxBytesWithoutEvent = 1024ULL * 1024;
// A request on a connection that was idle for longer may cross the upstream's
// close of it.
constexpr milliseconds kMaxConnectionIdleTime{1'500};
// Callers abandon streams after two seconds without an event.
constexpr milliseconds kDeadPeerTimeout{2'000};
// A first event is overdue when it is later than expected by this multiple of
// the prefill time.
constexpr double kRepeatedPrefillFactor = 4;
// Callers abandon a stream after a gap of two seconds. Another upstream must
// continue it before then, including the time for assignment and prefill.
constexpr milliseconds kMinEventTimeout{1'300};
// In max event gaps: half of the number after which callers abandon a stream.
constexpr int kEventGapTimeoutFactor = 4;
// In objectives: a call has missed its objective by then, and a retry can still
// meet the deadline.
constexpr int kCallTimeoutFactor = 3;
constexpr int kFirstServerErrorStatus = 500;
// Fewer events say little about the time between them.
constexpr std::int64_t kMinMeasuredEvents = 3;
constexpr std::string_view kEventStreamType = "text/event-stream";
// Silence on a path that is known as broken.
constexpr milliseconds kBrokenPathTimeout{300};
// Lower bound for calls with a short objective.
constexpr milliseconds kMinCallTimeout{250};
// Interval at which several open exchanges are read in turn, and at which one
// that is silent is checked.
constexpr milliseconds kSilentPollPeriod{50};
// A silent upstream is not read while a connection to another one is opened,
// which takes a few round trips.
constexpr milliseconds kConnectTimeoutBesideSilent{150};

}  // namespace

milliseconds relay_request::FirstEventTimeout(
    const relay_assignment& assignment) const {
  if (!IsPrompt())
    return std::max(route_->objective * kCallTimeoutFactor, kMinCallTimeout);
  // Another upstream would have to repeat the prefill.
  const auto expected = milliseconds(static_cast<std::int64_t>(
      assignment.expected_first_event_ms +
      assignment.prefill_ms * kRepeatedPrefillFactor));
  return std::max(expected, kMinEventTimeout);
}

milliseconds relay_request::EventGapTimeout(
    const relay_assignment& assignment) const {
  // Repeating the prefill of a long prompt costs more than waiting.
  return std::max(
      {kMinEventTimeout, route_->max_event_gap * kEventGapTimeoutFactor,
       milliseconds(static_cast<std::int64_t>(assignment.prefill_ms))});
}

time_point relay_request::SilentAt(const upstream_exchange& exchange,
                                   time_point now) const {
  const bool waits_for_event =
      exchange.kind != upstream_exchange::response_kind::kBody;
  if (!waits_for_event)
    return response_deadline_;
  milliseconds timeout = exchange.first_event_seen
                             ? EventGapTimeout(*exchange.assignment)
                             : FirstEventTimeout(*exchange.assignment);
  if (!exchange.stream->tunnel() &&
      services_.paths.paths().IsBroken(exchange.upstream()->entry.address))
    timeout = std::min(timeout, kBrokenPathTimeout);
  return exchange.heard_at + timeout + services_.stalls.Total(now) -
         exchange.stalled_at_progress;
}

bool relay_request::MayTryAnother() {
  const time_point now = clock::now();
  if (now < next_repeat_at_ || !MayRepeat())
    return false;
  if (services_.retries.ForService(service_).Available(now) >= 1)
    return true;
  next_repeat_at_ = now + kRepeatCheckPeriod;
  return false;
}

void relay_request::RecordSilence(const attempt& silent,
                                  asio::yield_context yield) {
  may_have_run_ = true;
  for (const auto& open : open_) {
    if (!open->silence_recorded && !open->stream->tunnel())
      services_.paths.Suspect(open->upstream()->entry.address);
    if (!open->silence_recorded)
      RecordFailedAttempt(*open, silent, yield);
    open->silence_recorded = true;
  }
}

void relay_request::RecordProgress(upstream_exchange& exchange) {
  exchange.heard_at = clock::now();
  exchange.stalled_at_progress = services_.stalls.Total(exchange.heard_at);
}

void relay_request::CloseAllExcept(const upstream_exchange* exchange) {
  record_.upstream = exchange->upstream()->entry.id;
  open_.erase(std::remove_if(open_.begin(), open_.end(),
                             [exchange](const auto& open) {
                               return open.get() != exchange;
                             }),
              open_.end());
}

bool relay_request::NeedsFreshConnection() const {
  const bool is_only_attempt = route_->max_attempts < 2;
  return !route_->IsRetryable() || is_only_attempt || kept_connection_broke_ ||
         caller_.attempt_id.empty();
}

std::optional<relay_request::attempt> relay_request::Send(
    upstream_exchange& exchange,
    const std::vector<helper_address>& helpers,
    asio::yield_context yield) {
  exchange.sent_at = clock::now();
  RecordProgress(exchange);
  exchange.stalled_at_send = exchange.stalled_at_progress;
  const auto& upstream = exchange.upstream();
  forward_fields fields;
  fields.upstream_id = upstream->entry.id;
  if (holder_)
    fields.organisation = holder_->organisation;
  fields.time_left = std::max(std::chrono::duration_cast<milliseconds>(
                                  response_deadline_ - exchange.sent_at),
                              milliseconds(1));
  fields.last_event_id = last_event_id_;
  exchange.continues = last_event_id_.has_value();
  fields.helpers = helpers;
  exchange.helpers = helpers;
  send_options options;
  options.fresh_connection = NeedsFreshConnection();
  options.max_idle_time = kMaxConnectionIdleTime;
  options.dead_peer_timeout = kDeadPeerTimeout;
  options.may_send = [this, assignment = exchange.assignment.get()] {
    return assignment->TargetsAcceptRequests() && !CheckQuarantine() &&
           assignment->TrySpendLimits(clock::now());
  };
  options.may_abort_write = route_->IsRetryable();
  options.to_upstream = true;
  if (home_regions homes = Homes(); homes.restricted())
    options.may_carry = [&fleet = services_.fleet,
                         homes = std::move(homes)](const std::string& zone) {
      return homes.Allows(fleet.RegionOf(zone));
    };
  time_point connect_deadline = response_deadline_;
  if (!open_.empty())
    connect_deadline = exchange.sent_at + kConnectTimeoutBesideSilent;
  else if (route_->IsRetryable() && sent_attempts_ + 1 < route_->max_attempts)
    connect_deadline =
        exchange.sent_at + FirstEventTimeout(*exchange.assignment);
  connect_deadline = std::min(connect_deadline, response_deadline_);
  cancel_.OnCancel([&exchange] { exchange.cancel.Cancel(); });
  auto stream = services_.daemon.client.Start(
      upstream->entry.address,
      services_.protocol.MakeUpstreamRequest(exchange_.request(), fields),
      options, connect_deadline, yield, &exchange.cancel);
  cancel_.OnCancel({});
  if (cancel_.cancelled()) {
    may_have_run_ = may_have_run_ || stream.ok();
    return attempt{attempt_result::kCallerGone, {}, false, std::nullopt};
  }
  if (!stream)
    return attempt{attempt_result::kNotSent, stream.detail(), false,
                   std::nullopt};
  ++sent_attempts_;
  exchange.stream = std::move(*stream);
  if (const tunnel_reference* tunnel = exchange.stream->tunnel())
    Log(log_level::kInfo, "request_tunnelled",
        {{"request", caller_.attempt_id},
         {"upstream", upstream->entry.id},
         {"peer", tunnel->peer},
         {"attempt", attempts_},
         {"connect_ms", ToMilliseconds(clock::now() - exchange.sent_at)}});
  return std::nullopt;
}

relay_request::attempt relay_request::RelayResponse(asio::yield_context yield) {
  for (std::size_t turn = 0;; ++turn) {
    upstream_exchange& exchange = *open_[turn % open_.size()];
    const time_point now = clock::now();
    time_point until = response_deadline_;
    if (HasAttemptsLeft())
      until = std::min(
          until, std::max(SilentAt(exchange, now), now + kSilentPollPeriod));
    if (open_.size() > 1)
      until = std::min(until, now + kSilentPollPeriod);
    const auto unused_end = UnusedReservationEnd(
        exchange.memory.allocations().size(),
        exchange.kind != upstream_exchange::response_kind::kUnknown,
        exchange.assignment->expected_first_event_ms, exchange.sent_at);
    until = std::min(until, unused_end.value_or(until));
    const std::size_t delivered_before = exchange.delivered_bytes;
    auto ended = Advance(exchange, until, yield);
    if (!ended && unused_end && clock::now() >= *unused_end &&
        exchange.kind == upstream_exchange::response_kind::kUnknown) {
      may_have_run_ = true;
      ended =
          attempt{attempt_result::kSilent,
                  "no response while memory was reserved", false, std::nullopt};
    }
    if (ended && (ended->end == attempt_result::kCompleted ||
                  ended->end == attempt_result::kCallerGone ||
                  ended->end == attempt_result::kTooLate)) {
      // A failure or a continuation is shorter than a whole run.
      if (ended->end == attempt_result::kCompleted && !exchange.continues &&
          exchange.stream->status() / 100 == 2)
        RecordRun(exchange);
      RecordOutcome(*exchange.assignment, *ended);
      open_.clear();
      return *ended;
    }
    if (ended) {
      RecordFailedAttempt(exchange, *ended, yield);
      open_.erase(std::find_if(
          open_.begin(), open_.end(),
          [&exchange](const auto& open) { return open.get() == &exchange; }));
      if (!HasTimeLeft())
        open_.clear();
      if (open_.empty())
        return *ended;
      continue;
    }
    const bool responds =
        exchange.kind == upstream_exchange::response_kind::kBody
            ? !stream_started_ && exchange.stream->status() / 100 == 2
            : exchange.delivered_bytes != delivered_before;
    if (responds)
      CloseAllExcept(&exchange);
    const time_point checked_at = clock::now();
    const bool all_silent = std::all_of(
        open_.begin(), open_.end(), [this, checked_at](const auto& open) {
          return checked_at >= SilentAt(*open, checked_at);
        });
    if (!all_silent || !HasAttemptsLeft())
      continue;
    attempt silent{attempt_result::kSilent, "nothing received in time", false,
                   std::nullopt};
    RecordSilence(silent, yield);
    if (MayTryAnother())
      return silent;
  }
}

std::optional<relay_request::attempt> relay_request::Advance(
    upstream_exchange& exchange,
    time_point until,
    asio::yield_context yield) {
  const bool begins =
      exchange.kind == upstream_exchange::response_kind::kUnknown;
  result<std::string_view> bytes = std::string_view();
  if (begins) {
    const auto header = exchange.stream->ReadHeader(until, yield);
    if (!header)
      bytes = {header.kind(), header.detail()};
  } else {
    bytes = exchange.stream->Read(until, yield);
  }
  if (cancel_.cancelled()) {
    may_have_run_ = true;
    return attempt{attempt_result::kCallerGone, {}, false, std::nullopt};
  }
  if (!bytes && bytes.kind() == error_kind::kTimedOut && HasTimeLeft())
    return std::nullopt;
  if (!bytes) {
    may_have_run_ = true;
    return ReadFailure(exchange, bytes.kind(), bytes.detail());
  }
  if (begins)
    return HandleHeader(exchange);
  return exchange.kind == upstream_exchange::response_kind::kEvents
             ? AdvanceEvents(exchange, *bytes, yield)
             : AdvanceBody(exchange, *bytes, yield);
}

std::optional<relay_request::attempt> relay_request::HandleHeader(
    upstream_exchange& exchange) {
  http_stream& stream = *exchange.stream;
  const upstream_reply reply =
      services_.protocol.ParseReply(stream.status(), stream.header());
  // An upstream may send a response to an earlier request late, or twice. On a
  // kept connection, only the id shows which request is meant.
  const bool names_request = reply.attempt_id == caller_.attempt_id ||
                             (reply.attempt_id.empty() && !stream.reused());
  RecordReply(exchange, reply, names_request);
  if (!names_request) {
    stream.DisableConnectionReuse();
    may_have_run_ = true;
    return attempt{attempt_result::kInvalidResponse,
                   "response to another request", false, std::nullopt};
  }
  const bool rejected = RecordRejection(exchange, reply);
  // Without that statement, a rejection that cannot be tried again is passed
  // on: the caller's part of the request may be the cause.
  if (rejected && (reply.not_executed || HasAttemptsLeft())) {
    may_have_run_ = may_have_run_ || !reply.not_executed;
    return attempt{attempt_result::kRejected,
                   "status " + std::to_string(stream.status()), false,
                   std::nullopt};
  }
  if (reply.not_executed) {
    if (reply.wrong_upstream)
      stream.DisableConnectionReuse();
    return attempt{attempt_result::kNotExecuted,
                   "status " + std::to_string(stream.status()), false,
                   std::nullopt, reply.at_fault};
  }
  may_have_run_ = true;
  const bool success = stream.status() / 100 == 2;
  if (success && (!reply.signed_by_upstream || reply.encoded)) {
    stream.DisableConnectionReuse();
    return attempt{attempt_result::kInvalidResponse,
                   "unsigned or encoded response", false, std::nullopt};
  }
  const std::string_view type = stream.Header("Content-Type");
  exchange.kind =
      success && route_->kind == route_kind::kStreaming &&
              type.substr(0, kEventStreamType.size()) == kEventStreamType
          ? upstream_exchange::response_kind::kEvents
          : upstream_exchange::response_kind::kBody;
  return std::nullopt;
}

bool relay_request::RecordRejection(const upstream_exchange& exchange,
                                    const upstream_reply& reply) {
  if (!composed_bound_.RecordStatus(exchange.stream->status(),
                                    exchange.helpers.size()))
    return false;
  auto helpers = nlohmann::json::array();
  for (const helper_address& helper : exchange.helpers)
    helpers.push_back(
        {{"address", helper.address}, {"reservation", helper.reservation}});
  services_.dispatcher.RecordComposedRejection(
      {{"request", caller_.attempt_id},
       {"upstream", exchange.upstream()->entry.id},
       {"status", exchange.stream->status()},
       {"not_executed", reply.not_executed},
       {"prompt_tokens", caller_.prompt_tokens},
       {"last_event", last_event_id_.value_or(-1)},
       {"helpers", std::move(helpers)}});
  return true;
}

relay_request::attempt relay_request::ReadFailure(
    const upstream_exchange& exchange,
    error_kind kind,
    const std::string& detail) const {
  const bool stale = kind == error_kind::kUpstreamFailed &&
                     !exchange.silence_recorded && exchange.stream->reused() &&
                     exchange.stream->BrokeBeforeResponse();
  return {kind == error_kind::kTimedOut ? attempt_result::kTimedOut
                                        : attempt_result::kInvalidResponse,
          detail, stale, std::nullopt};
}

std::optional<relay_request::attempt> relay_request::AdvanceBody(
    upstream_exchange& exchange,
    std::string_view bytes,
    asio::yield_context yield) {
  http_stream& stream = *exchange.stream;
  std::string& body = exchange.body;
  if (!bytes.empty()) {
    // Not more than double, which is what appending may allocate.
    if (!exchange.buffered.Resize(2 * (body.size() + bytes.size()))) {
      stream.DisableConnectionReuse();
      return attempt{attempt_result::kInvalidResponse,
                     "response exceeds the size limit", false, std::nullopt};
    }
    body.append(bytes);
    return std::nullopt;
  }
  http::response<http::string_body> response{
      http::response_header<>(stream.header())};
  RemoveConnectionFields(&response);
  response.erase(http::field::content_length);
  response.body() = std::move(body);
  // Once events were passed on, no other content may follow in the response.
  if (stream_started_)
    return attempt{attempt_result::kFailed,
                   "failure response to a stream continuation", false,
                   std::nullopt};
  if (stream.status() >= kFirstServerErrorStatus ||
      StatesNotExecuted(stream.status()))
    return attempt{attempt_result::kFailed,
                   "status " + std::to_string(stream.status()), false,
                   std::move(response)};
  record_.met_objective = true;
  services_.recovery.RecordCompletion(fingerprint_);
  if (stream.status() / 100 == 2 && !stream.EndsWithConnection())
    RecordSurvival(*exchange.assignment);
  const time_point now = clock::now();
  services_.fleet.RecordPace(
      *exchange.upstream(),
      now - exchange.sent_at -
              (services_.stalls.Total(now) - exchange.stalled_at_send) <=
          std::max(route_->objective, kMinCallTimeout),
      exchange.sent_at);
  record_.first_token = now - started_at_;
  Respond(final_response::FromUpstream(std::move(response), execution()),
          yield);
  return attempt{attempt_result::kCompleted, {}, false, std::nullopt};
}

std::optional<relay_request::attempt> relay_request::AdvanceEvents(
    upstream_exchange& exchange,
    std::string_view bytes,
    asio::yield_context yield) {
  http_stream& stream = *exchange.stream;
  if (bytes.empty()) {
    if (exchange.splitter.HasPartialEvent())
      return attempt{attempt_result::kInvalidResponse,
                     "stream ended in the middle of an event", false,
                     std::nullopt};
    // What follows the last event, if anything does, is not known.
    if (stream_started_ && exchange.delivered_bytes == 0)
      return attempt{attempt_result::kInvalidResponse,
                     "stream continuation without a new event", false,
                     std::nullopt};
    // The upstream may have crashed before the first event. Only a resumed
    // stream may have no more events.
    if (exchange.delivered_bytes == 0 && !caller_.last_event_id &&
        stream.EndsWithConnection())
      return attempt{attempt_result::kInvalidResponse,
                     "stream ended before its first event", false,
                     std::nullopt};
    if (!stream_started_ && !WriteEvents(stream.header(), {}, yield))
      return attempt{attempt_result::kCallerGone, "caller accepts no bytes",
                     false, std::nullopt};
    services_.recovery.RecordCompletion(fingerprint_);
    // A crash may end a response without a length like a complete one.
    if (exchange.first_event_seen && !stream.EndsWithConnection())
      RecordSurvival(*exchange.assignment);
    exchange_.EndStream(WriteDeadline(), yield);
    return attempt{attempt_result::kCompleted, {}, false, std::nullopt};
  }
  if (!stream_started_) {
    run_prediction rest = PredictRun(exchange.assignment.get());
    if (!rest.unknown_length)
      rest.first_event_ms = 0;
    if (!services_.shutdown.MayBeginStream(route_->name, rest, started_at_,
                                           response_deadline_, clock::now()))
      return attempt{attempt_result::kTooLate,
                     "the instance exits before its end", false, std::nullopt};
  }
  std::vector<stream_event> events;
  if (!exchange.splitter.Feed(bytes, &events) ||
      !exchange.buffered.Resize(2 * exchange.splitter.pending_bytes()))
    return attempt{attempt_result::kInvalidResponse,
                   "event exceeds the size limit", false, std::nullopt};
  const auto previous_event_id = last_event_id_;
  const auto next = CollectNewEvents(
      events, stream_started_ && exchange.delivered_bytes == 0);
  if (!next)
    return attempt{attempt_result::kInvalidResponse, "gap in the event ids",
                   false, std::nullopt};
  const bool has_new_event = last_event_id_ != previous_event_id;
  exchange.bytes_without_event =
      has_new_event ? 0 : exchange.bytes_without_event + bytes.size();
  if (exchange.bytes_without_event > kMaxBytesWithoutEvent)
    return attempt{attempt_result::kInvalidResponse,
                   "no new event in many bytes", false, std::nullopt};
  const std::string& new_bytes = *next;
  if (!new_bytes.empty() && last_event_write_at_)
    record_.longest_pause =
        std::max(record_.longest_pause, clock::now() - *last_event_write_at_);
  if (!new_bytes.empty())
    last_event_write_at_ = clock::now();
  if (has_new_event && exchange.first_event_seen) {
    RecordSurvival(*exchange.assignment);
  } else if (has_new_event) {
    exchange.first_event_seen = true;
    RecordFirstEvent(exchange);
  }
  exchange.delivered_bytes += new_bytes.size();
  if (!new_bytes.empty() && !WriteEvents(stream.header(), new_bytes, yield))
    return attempt{attempt_result::kCallerGone, "caller accepts no bytes",
                   false, std::nullopt};
  // Measured from here, since the caller may have been slow to accept bytes.
  if (!new_bytes.empty())
    RecordProgress(exchange);
  return std::nullopt;
}

std::optional<std::string> relay_request::CollectNewEvents(
    const std::vector<stream_event>& events,
    bool continues) {
  std::string bytes;
  // The caller gets none of the events when one is missing.
  auto last_id = last_event_id_;
  for (const stream_event& event : events) {
    if (!event.id && continues && bytes.empty())
      continue;
    // An upstream that continues a stream may start at an earlier event than
    // requested.
    if (event.id && last_id && *event.id <= *last_id)
      continue;
    if (event.id && last_id && *event.id != *last_id + 1)
      return std::nullopt;
    if (event.id)
      last_id = event.id;
    bytes += event.bytes;
  }
  last_event_id_ = last_id;
  return bytes;
}

void relay_request::RecordRun(const upstream_exchange& exchange) {
  const time_point now = clock::now();
  const run_prediction predicted = PredictRun(exchange.assignment.get());
  services_.shutdown.RecordRun(route_->name, predicted, now - exchange.sent_at);
  const std::int64_t events =
      last_event_id_.value_or(0) - exchange.first_event_id;
  if (exchange.first_event_seen && events >= kMinMeasuredEvents)
    services_.shutdown.RecordPass(
        route_->name, predicted,
        ToMilliseconds(now - exchange.first_event_at) /
            static_cast<double>(events));
}

void relay_request::RecordFirstEvent(upstream_exchange& exchange) {
  exchange.assignment->EndPrefill();
  const time_point now = clock::now();
  exchange.first_event_at = now;
  exchange.first_event_id = last_event_id_.value_or(0);
  services_.shutdown.RecordFirstEvent(route_->name,
                                      PredictRun(exchange.assignment.get()),
                                      now - exchange.sent_at);
  const auto& upstream = exchange.upstream();
  const duration waited =
      now - exchange.sent_at -
      (services_.stalls.Total(now) - exchange.stalled_at_send);
  const double expected_ms = exchange.assignment->expected_first_event_ms;
  upstream->health.RecordFirstEventTime(expected_ms, ToMilliseconds(waited),
                                        now);
  services_.fleet.RecordPace(
      *upstream, upstream_ramp::IsTimely(expected_ms, ToMilliseconds(waited)),
      exchange.sent_at);
  services_.fleet.RecordFirstEvent(*upstream, expected_ms,
                                   exchange.assignment->slowdown,
                                   ToMilliseconds(waited));
  const auto running =
      upstream->running.find(exchange.assignment->primary.tracking_id);
  if (running != upstream->running.end())
    running->second.first_token_seen = true;
  if (record_.first_token == duration(0))
    record_.first_token = now - started_at_;
}

void relay_request::RecordSurvival(const relay_assignment& assignment) {
  if (survived_start_)
    return;
  survived_start_ = true;
  services_.quarantine.RecordSound(caller_.shared_parts);
  auto& running = assignment.upstream()->running;
  const auto own = running.find(assignment.primary.tracking_id);
  if (own != running.end())
    own->second.survived_start = true;
}

bool relay_request::WriteEvents(const http::response_header<>& header,
                                std::string_view bytes,
                                asio::yield_context yield) {
  if (!stream_started_) {
    http::response<http::empty_body> begin{http::response_header<>(header)};
    RemoveConnectionFields(&begin);
    begin.erase(http::field::content_length);
    if (!exchange_.BeginStreamWith(std::move(begin), response_deadline_, yield))
      return false;
    stream_started_ = true;
  }
  return bytes.empty() ||
         exchange_.WriteChunk(bytes, response_deadline_, yield);
}

}  // namespace cactusward
