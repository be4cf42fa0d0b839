#include "src/request/completion_run.h"

#include "cactusward/buffer_pool.h"
#include "src/edges/json.h"
#include "src/services/config_service.h"

namespace cactusward {
namespace {

// How long to wait for the end of the response body after the end marker, or
// for the body of a refusal. After that the connection is not reused.
constexpr milliseconds kBodyEndTimeout{50};
constexpr std::size_t kMaxRefusalBytes = 64ULL * 1024;
// Inter-token latency that is assumed when checking whether a deadline can be
// met.
constexpr milliseconds kMinDecodeTime{20};

}  // namespace

completion_request::completion_request(runtime& runtime,
                                       request_context& context,
                                       bool chat)
    : runtime_(runtime),
      context_(context),
      services_(context.services()),
      attempts_(runtime, context),
      chat_(chat) {}

void completion_request::Run(asio::yield_context yield) {
  const auto prepared = Prepare();
  if (!prepared)
    return context_.Fail(prepared.kind(), prepared.detail(), yield);
  if (!attempts_.AdmitAndClaim(parameters_.prompt_tokens, yield))
    return;
  while (true) {
    const attempt_outcome outcome = attempts_.Run(
        BuildPlacement(), true,
        [this, &yield](placed_request& placed) { return Relay(placed, yield); },
        yield);
    if (outcome.kind == error_kind::kOk || TryCompleteResponse(outcome))
      return Finish(yield);
    // A retry would continue a text that may be wrong.
    if (token_count_mismatch_ || !attempts_.PrepareRetry(outcome, true, yield))
      return Fail(outcome, yield);
  }
}

result<bool> completion_request::Prepare() {
  const fleet_config& config = context_.config();
  http_exchange& exchange = context_.exchange();
  if (exchange.request().body().size() >
      static_cast<std::size_t>(config.limits.max_body_bytes))
    return error_kind::kBodyTooLarge;
  auto parsed = ParseCompletion(exchange.request().body(), chat_);
  if (!parsed)
    return {parsed.kind(), parsed.detail()};
  parameters_ = std::move(*parsed);
  // Releases the raw body: the parsed request holds the prompt.
  exchange.request().body() = std::string();
  if (!config.FindModel(parameters_.model))
    return {error_kind::kUnknownModel, parameters_.model};
  if (parameters_.prompt_tokens > config.limits.max_prompt_tokens)
    return {error_kind::kPromptTooLong,
            std::to_string(parameters_.prompt_tokens) + " tokens, allowed " +
                std::to_string(config.limits.max_prompt_tokens)};
  parameters_.max_tokens =
      std::min(parameters_.max_tokens, config.limits.max_output_tokens);
  class_index_ = config.ClassOf(parameters_.prompt_tokens);
  const length_class& length_class = config.classes[class_index_];
  context_.record().length_class = length_class.name;
  context_.record().prompt_tokens = parameters_.prompt_tokens;
  auto deadline = context_.SetDeadline(length_class.time_limit);
  if (!deadline)
    return deadline;
  return attempts_.CheckSuspect();
}

placement_request completion_request::BuildPlacement() const {
  const length_class& length_class = context_.config().classes[class_index_];
  placement_request placement;
  placement.service = context_.config().FindModel(parameters_.model)->name;
  placement.length_class = class_index_;
  placement.routing.prompt_tokens = parameters_.prompt_tokens + tokens_;
  placement.routing.kv_tokens =
      parameters_.prompt_tokens + parameters_.max_tokens;
  placement.routing.is_long = length_class.is_long;
  placement.min_decode_time = kMinDecodeTime;
  return placement;
}

outgoing_request completion_request::BuildRequest() const {
  outgoing_request outgoing;
  outgoing.method = http::verb::post;
  outgoing.target = chat_ ? "/v1/chat/completions" : "/v1/completions";
  outgoing.headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", context_.request_id()}};
  outgoing.body =
      EngineBody(parameters_, static_cast<int>(class_index_),
                 services_.dispatch->UsesPriorities(), text_, tokens_);
  outgoing.fresh_connection = attempts_.claimed();
  outgoing.dead_peer_timeout = kLostMachineTimeout;
  outgoing.to_upstream = true;
  return outgoing;
}

std::string completion_request::StreamId() const {
  return (chat_ ? "chatcmpl-" : "cmpl-") + context_.request_id();
}

// A connection that breaks after the last token loses no part of the response.
bool completion_request::TryCompleteResponse(const attempt_outcome& outcome) {
  if (outcome.kind != error_kind::kUpstreamFailed || attempts_.caller_gone())
    return false;
  if (finish_reason_.empty() && tokens_ >= parameters_.max_tokens) {
    finish_reason_ = "length";
    if (parameters_.stream)
      pending_ +=
          "data: " + FinishEvent(parameters_, StreamId(), finish_reason_) +
          "\n\n";
  }
  return !finish_reason_.empty();
}

attempt_outcome completion_request::Relay(placed_request& placed,
                                          asio::yield_context yield) {
  attempt_tokens_ = 0;
  outgoing_request outgoing = BuildRequest();
  outgoing.may_send = request_attempts::SendCheckFor(placed);
  auto stream =
      runtime_.client.Open(placed.address(), outgoing, context_.deadline(),
                           yield, attempts_.cancel());
  if (!stream)
    return request_attempts::UnansweredOutcome(stream.kind(), stream.detail());
  services_.directory->RecordResponse(
      placed.pool(), placed.address(),
      (*stream)->Header("endpoint-load-metrics"));
  const int status = (*stream)->status();
  if (StatesNotExecuted(status)) {
    const std::string retry_after((*stream)->Header("Retry-After"));
    const auto body = (*stream)->ReadBody(
        kMaxRefusalBytes,
        std::min(context_.deadline(), clock::now() + kBodyEndTimeout), yield);
    return attempts_.RecordRefusal(placed, status, retry_after,
                                   body ? *body : std::string());
  }
  if (status != 200)
    return {error_kind::kUpstreamFailed,
            "upstream status " + std::to_string(status), true};
  return RelayEvents(**stream, placed, yield);
}

attempt_outcome completion_request::RelayEvents(http_stream& stream,
                                                placed_request& placed,
                                                asio::yield_context yield) {
  event_splitter splitter;
  buffer_pool::share buffered(&runtime_.client.upstream_bodies());
  std::vector<std::string> events;
  bool complete = false;
  while (!complete) {
    const auto bytes = stream.Read(context_.deadline(), yield);
    if (!bytes)
      return {bytes.kind(), bytes.detail(), true};
    // A stream without its end marker is a failure, not a short response.
    if (bytes->empty())
      return {error_kind::kUpstreamFailed, "stream ended early", true};
    placed.RecordBytes();
    events.clear();
    // Appending may allocate double.
    if (!splitter.Feed(*bytes, &events) ||
        !buffered.Resize(2 * splitter.pending_bytes()))
      return {error_kind::kUpstreamGarbled, "event too large", true};
    for (const std::string& data : events) {
      const auto handled = OnEvent(data, placed);
      if (!handled)
        return {handled.kind(), handled.detail(), true};
      complete = complete || *handled;
    }
    if (!FlushPending(yield) && !attempts_.claimed())
      return {error_kind::kCallerGone, {}, true};
  }
  // Reads to the end of the body, so that the connection can be reused.
  stream.Read(std::min(context_.deadline(), clock::now() + kBodyEndTimeout),
              yield);
  return {};
}

result<bool> completion_request::OnEvent(const std::string& data,
                                         placed_request& placed) {
  const completion_event event = ParseEvent(data, chat_);
  switch (event.kind) {
    case event_kind::kDone:
      if (finish_reason_.empty())
        return {error_kind::kUpstreamFailed, "stream ended unfinished"};
      return true;
    case event_kind::kError:
      return {error_kind::kUpstreamFailed, "upstream reported an error"};
    case event_kind::kMalformed:
      return {error_kind::kUpstreamGarbled, "event not understood"};
    case event_kind::kToken:
    case event_kind::kUsage:
      break;
  }
  if (event.id != StreamId())
    return {error_kind::kUpstreamGarbled, "answer to another request"};
  if (event.kind == event_kind::kUsage) {
    token_count_mismatch_ = attempt_tokens_ > event.completion_tokens;
    if (token_count_mismatch_)
      return {error_kind::kUpstreamGarbled, "more events than tokens"};
    if (tokens_ == attempt_tokens_)
      engine_prompt_tokens_ = event.prompt_tokens;
    return false;
  }
  if (!finish_reason_.empty())
    return {error_kind::kUpstreamGarbled, "tokens after the end"};
  if (attempt_tokens_ == 0)
    placed.RecordFirstToken();
  if (tokens_ == 0)
    context_.record().first_token = clock::now() - context_.started_at();
  if (!event.text.empty()) {
    ++tokens_;
    ++attempt_tokens_;
  }
  text_ += event.text;
  finish_reason_ = event.finish_reason;
  if (parameters_.stream)
    pending_ += "data: " + data + "\n\n";
  return false;
}

bool completion_request::FlushPending(asio::yield_context yield) {
  if (pending_.empty())
    return true;
  http_exchange& exchange = context_.exchange();
  const time_point deadline = context_.deadline();
  if (attempts_.caller_gone() || exchange.failed()) {
    pending_.clear();
    return false;
  }
  if (!exchange.streaming() &&
      !exchange.BeginStream(200, "text/event-stream", deadline, yield))
    return false;
  const bool sent = exchange.WriteChunk(pending_, deadline, yield);
  pending_.clear();
  return sent;
}

void completion_request::Finish(asio::yield_context yield) {
  http_exchange& exchange = context_.exchange();
  const time_point deadline = context_.WriteDeadline();
  access_record& record = context_.record();
  record.output_tokens = tokens_;
  const length_class& length_class = context_.config().classes[class_index_];
  record.met_objective = record.first_token <= length_class.first_token;
  const std::int64_t prompt_tokens = engine_prompt_tokens_ > 0
                                         ? engine_prompt_tokens_
                                         : parameters_.prompt_tokens;
  std::string response_body;
  if (!parameters_.stream || attempts_.claimed())
    response_body = CompletionBody(parameters_, StreamId(), text_,
                                   finish_reason_, prompt_tokens, tokens_);
  attempts_.SettleSuccess(200, "application/json", response_body);
  if (attempts_.caller_gone())
    return;
  if (!parameters_.stream) {
    exchange.Respond(200, "application/json", response_body, deadline, yield);
    return;
  }
  if (parameters_.include_usage)
    pending_ +=
        "data: " + UsageEvent(parameters_, StreamId(), prompt_tokens, tokens_) +
        "\n\n";
  pending_ += "data: [DONE]\n\n";
  FlushPending(yield);
  exchange.EndStream(deadline, yield);
}

void completion_request::Fail(const attempt_outcome& outcome,
                              asio::yield_context yield) {
  const error_kind kind = attempts_.SettleFailure(outcome);
  context_.record().output_tokens = tokens_;
  http_exchange& exchange = context_.exchange();
  if (exchange.streaming() && !attempts_.caller_gone()) {
    const time_point until = context_.WriteDeadline();
    const std::string event =
        "data: " + ErrorBody(kind, outcome.detail) + "\n\n";
    if (exchange.WriteChunk(event, until, yield))
      exchange.EndStream(until, yield);
  }
  context_.Fail(kind, outcome.detail, yield);
}

}  // namespace cactusward
