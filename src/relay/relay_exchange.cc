// One attempt of a request: the exchange with an upstream and its response.
#include <algorithm>

#include "src/relay/relay_run.h"

namespace cactusward {
namespace {

// A caller that accepts no bytes for this long has disconnected.
constexpr milliseconds kResponseWriteTimeout{5'000};
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
constexpr std::string_view kEventStreamType = "text/event-stream";
// Lower bound for calls with a short objective.
constexpr milliseconds kMinCallTimeout{250};

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

relay_request::attempt relay_request::Forward(
    relay_assignment& assignment,
    const std::vector<helper_address>& helpers,
    asio::yield_context yield) {
  const time_point sent_at = clock::now();
  const auto& upstream = assignment.upstream();
  forward_fields fields;
  fields.upstream_id = upstream->entry.id;
  if (holder_)
    fields.organisation = holder_->organisation;
  fields.time_left = std::max(
      std::chrono::duration_cast<milliseconds>(response_deadline_ - sent_at),
      milliseconds(1));
  fields.last_event_id = last_event_id_;
  fields.helpers = helpers;
  send_options options;
  options.fresh_connection = !route_->IsRetryable();
  options.max_idle_time = kMaxConnectionIdleTime;
  options.dead_peer_timeout = kDeadPeerTimeout;
  options.may_send = [this, &assignment] {
    return assignment.TargetsAcceptRequests() && !CheckQuarantine();
  };
  options.may_abort_write = route_->IsRetryable();
  const bool can_repeat =
      route_->IsRetryable() && sent_attempts_ + 1 < route_->max_attempts;
  const time_point first_event_deadline =
      can_repeat ? std::min(response_deadline_,
                            sent_at + FirstEventTimeout(assignment))
                 : response_deadline_;
  send_failure failure;
  auto stream = services_.daemon.client.Send(
      upstream->entry.address,
      services_.protocol.MakeUpstreamRequest(exchange_.request(), fields),
      options, first_event_deadline, yield, &cancel_, &failure);
  if (cancel_.cancelled())
    return {attempt_result::kCallerGone, {}, false, std::nullopt};
  if (!failure.maybe_sent)
    return {attempt_result::kNotSent, stream.detail(), false, std::nullopt};
  ++sent_attempts_;
  if (!stream) {
    may_have_run_ = true;
    const bool timed_out = stream.kind() == error_kind::kTimedOut;
    return {timed_out ? attempt_result::kTimedOut
                      : attempt_result::kInvalidResponse,
            stream.detail(), failure.stale_connection, std::nullopt};
  }
  const upstream_reply reply =
      services_.protocol.ParseReply((*stream)->status(), (*stream)->header());
  RecordReply(assignment, reply, sent_at);
  // This is the late response to an earlier request.
  if (!reply.attempt_id.empty() && reply.attempt_id != caller_.attempt_id) {
    (*stream)->DisableConnectionReuse();
    may_have_run_ = true;
    return {attempt_result::kInvalidResponse, "response to another request",
            false, std::nullopt};
  }
  if (reply.not_executed) {
    if (reply.wrong_upstream)
      (*stream)->DisableConnectionReuse();
    return {attempt_result::kNotExecuted,
            "status " + std::to_string((*stream)->status()), false,
            std::nullopt, reply.at_fault};
  }
  may_have_run_ = true;
  const bool success = (*stream)->status() / 100 == 2;
  if (success && (!reply.signed_by_upstream || reply.encoded)) {
    (*stream)->DisableConnectionReuse();
    return {attempt_result::kInvalidResponse, "unsigned or encoded response",
            false, std::nullopt};
  }
  const std::string_view type = (*stream)->Header("Content-Type");
  if (success && route_->kind == route_kind::kStreaming &&
      type.substr(0, kEventStreamType.size()) == kEventStreamType)
    return RelayEvents(**stream, assignment, sent_at, yield);
  return RelayBody(**stream, assignment, yield);
}

relay_request::attempt relay_request::ReadFailure(
    const result<std::string_view>& read) {
  const bool timed_out = read.kind() == error_kind::kTimedOut;
  return {
      timed_out ? attempt_result::kTimedOut : attempt_result::kInvalidResponse,
      read.detail(), false, std::nullopt};
}

relay_request::attempt relay_request::RelayBody(
    http_stream& stream,
    const relay_assignment& assignment,
    asio::yield_context yield) {
  std::string body;
  buffer_pool::share buffered(&services_.response_buffers);
  while (true) {
    const auto bytes = stream.Read(response_deadline_, yield);
    if (cancel_.cancelled())
      return {attempt_result::kCallerGone, {}, false, std::nullopt};
    if (!bytes)
      return ReadFailure(bytes);
    if (bytes->empty())
      break;
    // Not more than double, which is what appending may allocate.
    if (!buffered.Resize(2 * (body.size() + bytes->size()))) {
      stream.DisableConnectionReuse();
      return {attempt_result::kInvalidResponse,
              "response exceeds the size limit", false, std::nullopt};
    }
    body.append(*bytes);
  }
  http::response<http::string_body> response{
      http::response_header<>(stream.header())};
  RemoveConnectionFields(&response);
  response.erase(http::field::content_length);
  response.body() = std::move(body);
  // Once events were passed on, no other content may follow in the response.
  if (stream_started_)
    return {attempt_result::kFailed,
            "failure response to a stream continuation", false, std::nullopt};
  if (stream.status() >= kFirstServerErrorStatus)
    return {attempt_result::kFailed,
            "status " + std::to_string(stream.status()), false,
            std::move(response)};
  record_.met_objective = true;
  services_.recovery.RecordCompletion(fingerprint_);
  if (stream.status() / 100 == 2 && !stream.EndsWithConnection())
    RecordSurvival(assignment);
  record_.first_token = clock::now() - started_at_;
  exchange_.RespondWith(std::move(response),
                        clock::now() + kResponseWriteTimeout, yield);
  return {attempt_result::kCompleted, {}, false, std::nullopt};
}

relay_request::attempt relay_request::RelayEvents(http_stream& stream,
                                                  relay_assignment& assignment,
                                                  time_point sent_at,
                                                  asio::yield_context yield) {
  event_stream_splitter splitter;
  std::vector<stream_event> events;
  bool first_event_seen = false;
  time_point last_event_at = sent_at;
  std::size_t bytes_without_event = 0;
  buffer_pool::share buffered(&services_.response_buffers);
  const bool can_repeat =
      route_->IsRetryable() && sent_attempts_ < route_->max_attempts;
  while (true) {
    const milliseconds timeout = first_event_seen
                                     ? EventGapTimeout(assignment)
                                     : FirstEventTimeout(assignment);
    const time_point read_deadline =
        can_repeat ? std::min(response_deadline_, last_event_at + timeout)
                   : response_deadline_;
    const auto bytes = stream.Read(read_deadline, yield);
    if (cancel_.cancelled())
      return {attempt_result::kCallerGone, {}, false, std::nullopt};
    if (!bytes)
      return ReadFailure(bytes);
    if (bytes->empty()) {
      if (splitter.HasPartialEvent())
        return {attempt_result::kInvalidResponse,
                "stream ended in the middle of an event", false, std::nullopt};
      break;
    }
    events.clear();
    if (!splitter.Feed(*bytes, &events) ||
        !buffered.Resize(2 * splitter.pending_bytes()))
      return {attempt_result::kInvalidResponse, "event exceeds the size limit",
              false, std::nullopt};
    const auto previous_event_id = last_event_id_;
    const auto next = CollectNewEvents(events);
    if (!next)
      return {attempt_result::kInvalidResponse, "gap in the event ids", false,
              std::nullopt};
    const bool has_new_event = last_event_id_ != previous_event_id;
    bytes_without_event =
        has_new_event ? 0 : bytes_without_event + bytes->size();
    if (bytes_without_event > kMaxBytesWithoutEvent)
      return {attempt_result::kInvalidResponse, "no new event in many bytes",
              false, std::nullopt};
    const std::string& new_bytes = *next;
    if (!new_bytes.empty() && last_event_write_at_)
      record_.longest_pause =
          std::max(record_.longest_pause, clock::now() - *last_event_write_at_);
    if (!new_bytes.empty())
      last_event_write_at_ = clock::now();
    if (has_new_event && first_event_seen) {
      RecordSurvival(assignment);
    } else if (has_new_event) {
      first_event_seen = true;
      RecordFirstEvent(assignment, sent_at);
    }
    if (!new_bytes.empty() && !WriteEvents(stream.header(), new_bytes, yield))
      return {attempt_result::kCallerGone, "caller accepts no bytes", false,
              std::nullopt};
    // Measured from here, since the caller may have been slow to accept bytes.
    if (has_new_event)
      last_event_at = clock::now();
  }
  if (!stream_started_ && !WriteEvents(stream.header(), {}, yield))
    return {attempt_result::kCallerGone, "caller accepts no bytes", false,
            std::nullopt};
  services_.recovery.RecordCompletion(fingerprint_);
  // A crash may end a response without a length like a complete one.
  if (first_event_seen && !stream.EndsWithConnection())
    RecordSurvival(assignment);
  exchange_.EndStream(clock::now() + kResponseWriteTimeout, yield);
  return {attempt_result::kCompleted, {}, false, std::nullopt};
}

std::optional<std::string> relay_request::CollectNewEvents(
    const std::vector<stream_event>& events) {
  std::string bytes;
  for (const stream_event& event : events) {
    // An upstream that continues a stream may start at an earlier event than
    // requested.
    if (event.id && last_event_id_ && *event.id <= *last_event_id_)
      continue;
    if (event.id && last_event_id_ && *event.id != *last_event_id_ + 1)
      return std::nullopt;
    if (event.id)
      last_event_id_ = event.id;
    bytes += event.bytes;
  }
  return bytes;
}

void relay_request::RecordFirstEvent(relay_assignment& assignment,
                                     time_point sent_at) {
  assignment.EndPrefill();
  const time_point now = clock::now();
  const auto& upstream = assignment.upstream();
  upstream->health.RecordFirstEventTime(assignment.expected_first_event_ms,
                                        ToMilliseconds(now - sent_at), now);
  const auto running = upstream->running.find(assignment.primary.tracking_id);
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
