// One attempt of a request: the exchange with an upstream, and its answer.
#include <algorithm>

#include "src/relay/relay_run.h"

namespace cactusward {
namespace {

// A caller that takes no byte for so long is gone.
constexpr milliseconds kAnswerTimeout{5'000};
// Twice the largest body that callers may send.
constexpr std::size_t kMaxBufferedAnswer = 8ULL * 1024 * 1024;
// An answer on a kept connection that was idle for longer may meet the
// upstream's close.
constexpr milliseconds kMaxIdleConnection{1'500};
// Callers abandon streams after two seconds of silence.
constexpr milliseconds kUpstreamSilence{2'000};
// A first event is overdue when it comes later than expected by so many times
// the time to read the prompt.
constexpr double kRereadFactor = 4;
// Callers abandon a stream after a gap of two seconds; another upstream must
// go on before that, with time to place and read.
constexpr milliseconds kShortestSilence{1'300};
// Half of the pauses after which callers abandon a stream.
constexpr int kSilentPauses = 4;
// A plain call is late by then, and another still in time for its deadline.
constexpr int kSilentObjectives = 3;
constexpr int kServerError = 500;
constexpr std::string_view kEventStream = "text/event-stream";
// A plain call is not repeated sooner, however short its objective.
constexpr milliseconds kShortestPlainSilence{250};

}  // namespace

milliseconds relay_run::FirstSilence(const relay_place& place) const {
  if (!IsPrompt())
    return std::max(route_->objective * kSilentObjectives,
                    kShortestPlainSilence);
  // Another upstream would have to read the prompt anew.
  const auto expected = milliseconds(static_cast<std::int64_t>(
      place.expected_first_ms + place.read_ms * kRereadFactor));
  return std::max(expected, kShortestSilence);
}

milliseconds relay_run::EventSilence(const relay_place& place) const {
  // Reading a long prompt again costs more than waiting.
  return std::max({kShortestSilence, route_->event_pause * kSilentPauses,
                   milliseconds(static_cast<std::int64_t>(place.read_ms))});
}

relay_run::attempt relay_run::Exchange(
    relay_place& place,
    const std::vector<helper_address>& helpers,
    asio::yield_context yield) {
  const time_point sent_at = clock::now();
  const auto& upstream = place.upstream();
  forward_fields fields;
  fields.upstream_id = upstream->entry.id;
  if (holder_)
    fields.organisation = holder_->organisation;
  fields.time_left =
      std::max(std::chrono::duration_cast<milliseconds>(end_ - sent_at),
               milliseconds(1));
  fields.last_event_id = last_event_;
  fields.helpers = helpers;
  send_options options;
  options.fresh_connection = !route_->IsRepeatable();
  options.max_idle = kMaxIdleConnection;
  options.silence_limit = kUpstreamSilence;
  const bool can_repeat =
      route_->IsRepeatable() && sends_ + 1 < route_->max_attempts;
  const time_point first_by =
      can_repeat ? std::min(end_, sent_at + FirstSilence(place)) : end_;
  send_failure failure;
  auto stream = services_.daemon.client.Send(
      upstream->entry.address,
      services_.protocol.Forwarded(exchange_.request(), fields), options,
      first_by, yield, &cancel_, &failure);
  if (cancel_.cancelled())
    return {attempt_end::kCallerGone, {}, false, std::nullopt};
  if (!failure.sent)
    return {attempt_end::kNotSent, stream.detail(), false, std::nullopt};
  ++sends_;
  if (!stream) {
    may_have_run_ = true;
    const bool silent = stream.kind() == error_kind::kTimedOut;
    return {silent ? attempt_end::kSilent : attempt_end::kBroken,
            stream.detail(), failure.reused, std::nullopt};
  }
  const upstream_reply reply =
      services_.protocol.ReadReply((*stream)->status(), (*stream)->header());
  // An answer to an earlier request arrived late.
  if (!reply.attempt_id.empty() && reply.attempt_id != caller_.attempt_id) {
    (*stream)->Discard();
    may_have_run_ = true;
    return {attempt_end::kBroken, "answer to another request", false,
            std::nullopt};
  }
  if (reply.not_executed) {
    if (reply.wrong_upstream)
      (*stream)->Discard();
    return {attempt_end::kNotExecuted,
            "status " + std::to_string((*stream)->status()), false,
            std::nullopt, reply.at_fault};
  }
  may_have_run_ = true;
  const bool success = (*stream)->status() / 100 == 2;
  if (success && (!reply.signed_by_upstream || reply.encoded)) {
    (*stream)->Discard();
    return {attempt_end::kBroken, "unsigned or encoded answer", false,
            std::nullopt};
  }
  const std::string_view type = (*stream)->Header("Content-Type");
  if (success && route_->kind == route_kind::kStreaming &&
      type.substr(0, kEventStream.size()) == kEventStream)
    return RelayEvents(**stream, place, sent_at, yield);
  return RelayBody(**stream, yield);
}

relay_run::attempt relay_run::NoBytes(const result<std::string_view>& read) {
  const bool silent = read.kind() == error_kind::kTimedOut;
  return {silent ? attempt_end::kSilent : attempt_end::kBroken, read.detail(),
          false, std::nullopt};
}

relay_run::attempt relay_run::RelayBody(http_stream& stream,
                                        asio::yield_context yield) {
  std::string body;
  while (true) {
    const auto bytes = stream.Read(end_, yield);
    if (cancel_.cancelled())
      return {attempt_end::kCallerGone, {}, false, std::nullopt};
    if (!bytes)
      return NoBytes(bytes);
    if (bytes->empty())
      break;
    body.append(*bytes);
    if (body.size() > kMaxBufferedAnswer) {
      stream.Discard();
      return {attempt_end::kBroken, "answer exceeds the limit", false,
              std::nullopt};
    }
  }
  http::response<http::string_body> answer{
      http::response_header<>(stream.header())};
  RemoveConnectionFields(&answer);
  answer.erase(http::field::content_length);
  answer.body() = std::move(body);
  // Once events were passed on, nothing else may follow in the same answer.
  if (stream_began_)
    return {attempt_end::kFailed, "failure in place of a stream's rest", false,
            std::nullopt};
  if (stream.status() >= kServerError)
    return {attempt_end::kFailed, "status " + std::to_string(stream.status()),
            false, std::move(answer)};
  record_.met_objective = true;
  services_.recovery.RecordCompletion(fingerprint_);
  record_.first_token = clock::now() - began_;
  exchange_.AnswerWith(std::move(answer), clock::now() + kAnswerTimeout, yield);
  return {attempt_end::kDone, {}, false, std::nullopt};
}

relay_run::attempt relay_run::RelayEvents(http_stream& stream,
                                          relay_place& place,
                                          time_point sent_at,
                                          asio::yield_context yield) {
  event_stream_splitter splitter;
  std::vector<stream_event> events;
  bool any = false;
  const bool can_repeat =
      route_->IsRepeatable() && sends_ < route_->max_attempts;
  while (true) {
    const milliseconds silence =
        any ? EventSilence(place) : FirstSilence(place);
    const time_point base = any ? clock::now() : sent_at;
    const time_point by = can_repeat ? std::min(end_, base + silence) : end_;
    const auto bytes = stream.Read(by, yield);
    if (cancel_.cancelled())
      return {attempt_end::kCallerGone, {}, false, std::nullopt};
    if (!bytes)
      return NoBytes(bytes);
    if (bytes->empty()) {
      if (splitter.HasPartialEvent())
        return {attempt_end::kBroken, "stream ended within an event", false,
                std::nullopt};
      break;
    }
    events.clear();
    if (!splitter.Feed(*bytes, &events))
      return {attempt_end::kBroken, "event exceeds the limit", false,
              std::nullopt};
    const auto next = TakeEvents(events);
    if (!next)
      return {attempt_end::kBroken, "an event is missing", false, std::nullopt};
    const std::string& out = *next;
    if (!out.empty() && last_write_)
      record_.longest_pause =
          std::max(record_.longest_pause, clock::now() - *last_write_);
    if (!out.empty())
      last_write_ = clock::now();
    if (!out.empty() && !any) {
      any = true;
      RecordFirstEvent(place, sent_at);
    }
    if (!out.empty() && !WriteEvents(stream.header(), out, yield))
      return {attempt_end::kCallerGone, "caller takes no bytes", false,
              std::nullopt};
  }
  if (!stream_began_ && !WriteEvents(stream.header(), {}, yield))
    return {attempt_end::kCallerGone, "caller takes no bytes", false,
            std::nullopt};
  services_.recovery.RecordCompletion(fingerprint_);
  exchange_.EndStream(clock::now() + kAnswerTimeout, yield);
  return {attempt_end::kDone, {}, false, std::nullopt};
}

std::optional<std::string> relay_run::TakeEvents(
    const std::vector<stream_event>& events) {
  std::string bytes;
  for (const stream_event& event : events) {
    // An upstream that goes on with a stream may begin earlier than asked.
    if (event.id && last_event_ && *event.id <= *last_event_)
      continue;
    if (event.id && last_event_ && *event.id != *last_event_ + 1)
      return std::nullopt;
    if (event.id)
      last_event_ = event.id;
    bytes += event.bytes;
  }
  return bytes;
}

void relay_run::RecordFirstEvent(relay_place& place, time_point sent_at) {
  place.EndReading();
  const time_point now = clock::now();
  const auto& upstream = place.upstream();
  upstream->health.RecordPace(place.expected_first_ms,
                              ToMilliseconds(now - sent_at), now);
  const auto running = upstream->running.find(place.main.board_id);
  if (running != upstream->running.end())
    running->second.first_token_seen = true;
  if (record_.first_token == duration(0))
    record_.first_token = now - began_;
}

bool relay_run::WriteEvents(const http::response_header<>& header,
                            std::string_view bytes,
                            asio::yield_context yield) {
  if (!stream_began_) {
    http::response<http::empty_body> begin{http::response_header<>(header)};
    RemoveConnectionFields(&begin);
    begin.erase(http::field::content_length);
    if (!exchange_.BeginStreamWith(std::move(begin), end_, yield))
      return false;
    stream_began_ = true;
  }
  return bytes.empty() || exchange_.WriteChunk(bytes, end_, yield);
}

}  // namespace cactusward
