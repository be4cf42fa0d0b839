#include "src/gateway/completion_run.h"

#include "cactusward/hash.h"
#include "src/edges/json.h"
#include "src/gateway/claim_service.h"
#include "src/gateway/config_service.h"
#include "src/gateway/recovery_service.h"
#include "src/kernel/log.h"

namespace cactusward {
namespace {

constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
constexpr milliseconds kAnswerTimeout{10'000};
constexpr milliseconds kRetryPause{20};
// Time between tokens assumed when judging whether a deadline can be met.
constexpr milliseconds kLeastRunTime{20};

bool IsRefusal(int status) {
  return status == 429 || status == 503;
}

}  // namespace

completion_run::completion_run(runtime& runtime,
                               request_context& context,
                               bool chat)
    : runtime_(runtime),
      context_(context),
      services_(context.services()),
      chat_(chat) {}

void completion_run::Run(asio::yield_context yield) {
  const auto prepared = Prepare();
  if (!prepared)
    return context_.Fail(prepared.kind(), prepared.detail(), yield);
  const auto admitted = context_.Admit(request_.prompt_tokens);
  if (!admitted)
    return context_.Fail(admitted.kind(), admitted.detail(), yield);
  const auto claimed = ClaimIfAsked(yield);
  if (!claimed)
    return context_.Fail(claimed.kind(), claimed.detail(), yield);
  if (!*claimed)
    return;
  context_.exchange().OnHangUp([this] { OnCallerGone(); });
  RunAttempts(yield);
}

result<bool> completion_run::Prepare() {
  const fleet_config& config = context_.config();
  http_exchange& exchange = context_.exchange();
  if (exchange.request().body().size() >
      static_cast<std::size_t>(config.limits.max_body_bytes))
    return error_kind::kBodyTooLarge;
  auto parsed = ParseCompletion(exchange.request().body(), chat_);
  if (!parsed)
    return {parsed.kind(), parsed.detail()};
  request_ = std::move(*parsed);
  // The parsed form holds the prompt; a second copy is not needed.
  exchange.request().body() = std::string();
  if (!config.FindModel(request_.model))
    return {error_kind::kUnknownModel, request_.model};
  if (request_.prompt_tokens > config.limits.max_prompt_tokens)
    return {error_kind::kPromptTooLong,
            std::to_string(request_.prompt_tokens) + " tokens, allowed " +
                std::to_string(config.limits.max_prompt_tokens)};
  request_.max_tokens =
      std::min(request_.max_tokens, config.limits.max_output_tokens);
  class_index_ = config.ClassOf(request_.prompt_tokens);
  const length_class& length_class = config.classes[class_index_];
  context_.record().length_class = length_class.name;
  context_.record().prompt_tokens = request_.prompt_tokens;
  auto deadline = context_.SetDeadline(length_class.time_limit);
  if (!deadline)
    return deadline;
  const auto verdict = services_.recovery->Judge(context_.fingerprint());
  if (verdict == suspect_verdict::kRefuse)
    return error_kind::kSuspectRefused;
  alone_ = verdict == suspect_verdict::kAlone;
  return true;
}

// @return false when the answer of an earlier run was given instead.
result<bool> completion_run::ClaimIfAsked(asio::yield_context yield) {
  http_exchange& exchange = context_.exchange();
  const std::string_view key = exchange.Header(kIdempotencyHeader);
  if (key.empty())
    return true;
  claim_key_ = claim_service::KeyOf(context_.caller().name, key);
  std::optional<claim_record> found;
  auto claim = services_.claims->Claim(claim_key_,
                                       std::to_string(context_.fingerprint()),
                                       context_.deadline(), &found, yield);
  if (claim) {
    claim_ = std::move(*claim);
    return true;
  }
  if (!found)
    return {claim.kind(), claim.detail()};
  if (found->body_dropped)
    return {error_kind::kOutcomeUnknown, "finished; its answer was not kept"};
  exchange.SetHeader("Idempotent-Replayed", "true");
  exchange.Answer(found->status, found->content_type, found->body,
                  clock::now() + kAnswerTimeout, yield);
  return false;
}

void completion_run::OnCallerGone() {
  caller_gone_ = true;
  // Claimed work goes on, so that its outcome is known.
  if (cancel_ && !claim_)
    cancel_->Cancel();
}

placement_request completion_run::BuildPlacement() const {
  const length_class& length_class = context_.config().classes[class_index_];
  placement_request placement;
  placement.service = context_.config().FindModel(request_.model)->name;
  placement.organisation = context_.caller().name;
  placement.length_class = class_index_;
  placement.routing.prompt_tokens = request_.prompt_tokens + tokens_;
  placement.routing.kv_tokens = request_.prompt_tokens + request_.max_tokens;
  placement.routing.is_long = length_class.is_long;
  placement.routing.alone = alone_;
  placement.routing.fingerprint = context_.fingerprint();
  placement.fingerprint = context_.fingerprint();
  placement.deadline = context_.deadline();
  placement.least_run_time = kLeastRunTime;
  return placement;
}

outgoing_request completion_run::BuildRequest() const {
  outgoing_request outgoing;
  outgoing.method = http::verb::post;
  outgoing.target = chat_ ? "/v1/chat/completions" : "/v1/completions";
  outgoing.headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", context_.request_id()}};
  outgoing.body =
      EngineBody(request_, static_cast<int>(class_index_),
                 services_.dispatch->UsesPriorities(), text_, tokens_);
  outgoing.fresh_connection = claim_.has_value();
  return outgoing;
}

std::string completion_run::StreamId() const {
  return (chat_ ? "chatcmpl-" : "cmpl-") + context_.request_id();
}

void completion_run::RunAttempts(asio::yield_context yield) {
  services_.recovery->budget().RecordAttempt();
  while (true) {
    const attempt_outcome outcome = Attempt(yield);
    if (outcome.kind == error_kind::kOk) {
      services_.recovery->RecordFinish(context_.fingerprint());
      return Finish(yield);
    }
    if (IsWhole(outcome))
      return Finish(yield);
    if (!MayRetry(outcome, yield))
      return FailRun(outcome, yield);
  }
}

// A break after the last token loses nothing of the answer.
bool completion_run::IsWhole(const attempt_outcome& outcome) {
  if (outcome.kind != error_kind::kUpstreamFailed || caller_gone_)
    return false;
  if (finish_reason_.empty() && tokens_ >= request_.max_tokens) {
    finish_reason_ = "length";
    if (request_.stream)
      pending_ +=
          "data: " + FinishEvent(request_, StreamId(), finish_reason_) + "\n\n";
  }
  return !finish_reason_.empty();
}

completion_run::attempt_outcome completion_run::Attempt(
    asio::yield_context yield) {
  if (caller_gone_ && !claim_)
    return {error_kind::kCallerGone, {}, false};
  ++context_.record().attempts;
  cancel_ = std::make_unique<cancel_token>();
  const auto place =
      services_.dispatch->Place(BuildPlacement(), cancel_.get(), yield);
  if (!place)
    return {place.kind(), place.detail(), false};
  // A process that was stopped here must not send what is overdue.
  if (clock::now() >= context_.deadline())
    return {error_kind::kDeadlineInfeasible, "overdue before dispatch", false};
  context_.record().upstream = (*place)->address();
  attempt_outcome outcome = Relay(**place, yield);
  const bool broken = outcome.kind == error_kind::kUpstreamFailed ||
                      outcome.kind == error_kind::kUpstreamUnreachable;
  upstream_pool* pool = (*place)->pool();
  const std::string& address = (*place)->address();
  if (outcome.kind == error_kind::kOk)
    pool->RecordSuccess(address);
  else if (!caller_gone_)
    pool->RecordFailure(address, clock::now());
  if (broken && !caller_gone_)
    services_.directory->OnBroken(pool, address, yield);
  return outcome;
}

completion_run::attempt_outcome completion_run::Relay(
    placed_request& place,
    asio::yield_context yield) {
  attempt_tokens_ = 0;
  auto stream = runtime_.client.Open(place.address(), BuildRequest(),
                                     context_.deadline(), yield, cancel_.get());
  if (!stream)
    return {stream.kind(), stream.detail(),
            stream.kind() != error_kind::kUpstreamUnreachable};
  services_.directory->RecordAnswer(place.pool(), place.address(),
                                    (*stream)->Header("endpoint-load-metrics"));
  const int status = (*stream)->status();
  if (IsRefusal(status))
    return {error_kind::kUpstreamRefused, {}, false};
  if (status != 200)
    return {error_kind::kUpstreamFailed,
            "upstream status " + std::to_string(status), true};
  return RelayEvents(**stream, place, yield);
}

completion_run::attempt_outcome completion_run::RelayEvents(
    http_stream& stream,
    placed_request& place,
    asio::yield_context yield) {
  event_splitter splitter;
  std::vector<std::string> events;
  bool complete = false;
  while (!complete) {
    const auto bytes = stream.Read(context_.deadline(), yield);
    if (!bytes)
      return {bytes.kind(), bytes.detail(), true};
    // A stream without its end marker is a failure, never a short answer.
    if (bytes->empty())
      return {error_kind::kUpstreamFailed, "stream ended early", true};
    events.clear();
    if (!splitter.Feed(*bytes, &events))
      return {error_kind::kUpstreamGarbled, "event too large", true};
    for (const std::string& data : events) {
      const auto handled = OnEvent(data, place);
      if (!handled)
        return {handled.kind(), handled.detail(), true};
      complete = complete || *handled;
    }
    if (!FlushPending(yield) && !claim_)
      return {error_kind::kCallerGone, {}, true};
  }
  // Reads the end of the body, so that the connection can be kept.
  stream.Read(context_.deadline(), yield);
  return {};
}

result<bool> completion_run::OnEvent(const std::string& data,
                                     placed_request& place) {
  const completion_event event = ReadEvent(data, chat_);
  switch (event.kind) {
    case event_kind::kDone:
      if (finish_reason_.empty())
        return {error_kind::kUpstreamFailed, "stream ended unfinished"};
      return true;
    case event_kind::kError:
      return {error_kind::kUpstreamFailed, "upstream reported an error"};
    case event_kind::kGarbled:
      return {error_kind::kUpstreamGarbled, "event not understood"};
    case event_kind::kToken:
    case event_kind::kUsage:
      break;
  }
  if (event.id != StreamId())
    return {error_kind::kUpstreamGarbled, "answer to another request"};
  if (event.kind == event_kind::kUsage) {
    if (attempt_tokens_ > event.completion_tokens)
      return {error_kind::kUpstreamGarbled, "more events than tokens"};
    if (tokens_ == attempt_tokens_)
      engine_prompt_tokens_ = event.prompt_tokens;
    return false;
  }
  if (tokens_ == 0) {
    place.FirstToken();
    context_.record().first_token = clock::now() - context_.began();
  } else if (attempt_tokens_ == 0) {
    place.FirstToken();
  }
  if (!finish_reason_.empty())
    return {error_kind::kUpstreamGarbled, "tokens after the end"};
  if (!event.text.empty()) {
    ++tokens_;
    ++attempt_tokens_;
  }
  text_ += event.text;
  finish_reason_ = event.finish_reason;
  if (request_.stream)
    pending_ += "data: " + data + "\n\n";
  return false;
}

bool completion_run::FlushPending(asio::yield_context yield) {
  if (pending_.empty())
    return true;
  http_exchange& exchange = context_.exchange();
  const time_point deadline = context_.deadline();
  if (caller_gone_ || exchange.failed()) {
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

bool completion_run::MayRetry(const attempt_outcome& outcome,
                              asio::yield_context yield) {
  if (caller_gone_)
    return false;
  const bool upstream_fault =
      outcome.kind == error_kind::kUpstreamUnreachable ||
      outcome.kind == error_kind::kUpstreamRefused ||
      outcome.kind == error_kind::kUpstreamFailed ||
      outcome.kind == error_kind::kUpstreamGarbled;
  if (!upstream_fault || clock::now() >= context_.deadline())
    return false;
  if (outcome.sent) {
    if (claim_)
      return false;
    if (context_.record().attempts >= context_.config().recovery.max_attempts ||
        !services_.recovery->budget().TrySpend())
      return false;
    const auto verdict =
        services_.recovery->JudgeAfterDeath(context_.fingerprint(), yield);
    if (verdict == suspect_verdict::kRefuse)
      return false;
    alone_ = verdict == suspect_verdict::kAlone;
  } else {
    // Nothing ran: trying again costs the upstreams nothing.
    Sleep(runtime_.io, kRetryPause, yield);
  }
  Log(log_level::kInfo, "retry",
      {{"request", context_.request_id()},
       {"after", AnswerFor(outcome.kind).name},
       {"detail", outcome.detail},
       {"tokens_so_far", tokens_}});
  return true;
}

void completion_run::Finish(asio::yield_context yield) {
  http_exchange& exchange = context_.exchange();
  const time_point deadline = clock::now() + kAnswerTimeout;
  access_record& record = context_.record();
  record.output_tokens = tokens_;
  const length_class& length_class = context_.config().classes[class_index_];
  record.good = record.first_token <= length_class.first_token;
  const std::int64_t prompt_tokens = engine_prompt_tokens_ > 0
                                         ? engine_prompt_tokens_
                                         : request_.prompt_tokens;
  const std::string whole = WholeAnswer(request_, StreamId(), text_,
                                        finish_reason_, prompt_tokens, tokens_);
  if (claim_)
    services_.claims->Complete(claim_key_, *claim_, 200, "application/json",
                               whole);
  if (caller_gone_)
    return;
  if (!request_.stream) {
    exchange.Answer(200, "application/json", whole, deadline, yield);
    return;
  }
  if (request_.include_usage)
    pending_ +=
        "data: " + UsageEvent(request_, StreamId(), prompt_tokens, tokens_) +
        "\n\n";
  pending_ += "data: [DONE]\n\n";
  FlushPending(yield);
  exchange.EndStream(deadline, yield);
}

void completion_run::FailRun(const attempt_outcome& outcome,
                             asio::yield_context yield) {
  error_kind kind = caller_gone_ ? error_kind::kCallerGone : outcome.kind;
  context_.record().output_tokens = tokens_;
  // Earlier attempts may have run part of the work.
  if (tokens_ > 0 && AnswerFor(kind).was_run == run_state::kNo)
    kind = error_kind::kUpstreamFailed;
  if (services_.recovery->Judge(context_.fingerprint()) ==
      suspect_verdict::kRefuse)
    kind = error_kind::kSuspectRefused;
  if (claim_ && outcome.sent) {
    kind = error_kind::kOutcomeUnknown;
    services_.claims->Complete(claim_key_, *claim_, AnswerFor(kind).http_status,
                               "application/json",
                               ErrorBody(kind, outcome.detail));
  } else if (claim_) {
    services_.claims->Release(claim_key_, *claim_);
  }
  http_exchange& exchange = context_.exchange();
  if (exchange.streaming() && !caller_gone_) {
    pending_ = "data: " + ErrorBody(kind, outcome.detail) + "\n\n";
    if (FlushPending(yield))
      exchange.EndStream(clock::now() + kAnswerTimeout, yield);
  }
  context_.Fail(kind, outcome.detail, yield);
}

}  // namespace cactusward
