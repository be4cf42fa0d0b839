#include "src/gateway/call_run.h"

#include "cactusward/hash.h"
#include "src/gateway/claim_service.h"
#include "src/gateway/completion_format.h"
#include "src/gateway/config_service.h"
#include "src/gateway/recovery_service.h"
#include "src/kernel/log.h"

namespace cactusward {
namespace {

constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
constexpr milliseconds kAnswerTimeout{10'000};
constexpr milliseconds kRetryPause{20};
constexpr std::size_t kMaxAnswerBytes = 4ULL * 1024 * 1024;

bool IsRefusal(int status) {
  return status == 429 || status == 503;
}

}  // namespace

call_run::call_run(runtime& runtime,
                   request_context& context,
                   std::string service,
                   std::string call)
    : runtime_(runtime),
      context_(context),
      services_(context.services()),
      service_name_(std::move(service)),
      call_name_(std::move(call)) {}

result<bool> call_run::Prepare() {
  const fleet_config& config = context_.config();
  const upstream_service* service = config.FindService(service_name_);
  if (!service || service->kind != service_kind::kPlain)
    return {error_kind::kUnknownCall, service_name_};
  call_ = FindCall(*service, call_name_);
  if (!call_)
    return {error_kind::kUnknownCall, service_name_ + "/" + call_name_};
  context_.record().length_class = kPlainCallClass;
  if (context_.exchange().request().body().size() >
      static_cast<std::size_t>(config.limits.max_body_bytes))
    return error_kind::kBodyTooLarge;
  auto deadline = context_.SetDeadline(call_->time_limit);
  if (!deadline)
    return deadline;
  const auto verdict = services_.recovery->Judge(context_.fingerprint());
  if (verdict == suspect_verdict::kRefuse)
    return error_kind::kSuspectRefused;
  alone_ = verdict == suspect_verdict::kAlone;
  return true;
}

// @return false when the answer of an earlier run was given instead.
result<bool> call_run::ClaimIfNeeded(asio::yield_context yield) {
  http_exchange& exchange = context_.exchange();
  const std::string_view key = exchange.Header(kIdempotencyHeader);
  if (key.empty() && !call_->repeatable)
    return error_kind::kIdempotencyKeyMissing;
  if (key.empty())
    return true;
  claim_key_ = claim_service::KeyOf(context_.caller().name, key);
  const std::string fingerprint = std::to_string(Hash64(
      exchange.request().body(), Hash64(service_name_ + "/" + call_name_)));
  std::optional<claim_record> found;
  auto claim = services_.claims->Claim(claim_key_, fingerprint,
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

void call_run::Run(asio::yield_context yield) {
  const auto prepared = Prepare();
  if (!prepared)
    return context_.Fail(prepared.kind(), prepared.detail(), yield);
  const auto admitted = context_.Admit(
      EstimateTokens(context_.exchange().request().body().size()));
  if (!admitted)
    return context_.Fail(admitted.kind(), admitted.detail(), yield);
  const auto claimed = ClaimIfNeeded(yield);
  if (!claimed)
    return context_.Fail(claimed.kind(), claimed.detail(), yield);
  if (!*claimed)
    return;
  context_.exchange().OnHangUp([this] {
    caller_gone_ = true;
    if (cancel_ && !claim_)
      cancel_->Cancel();
  });
  services_.recovery->budget().RecordAttempt();
  while (true) {
    const attempt_outcome outcome = Attempt(yield);
    if (outcome.kind == error_kind::kOk)
      return Finish(outcome, yield);
    if (!MayRetry(outcome, yield))
      return FailRun(outcome, yield);
  }
}

call_run::attempt_outcome call_run::Attempt(asio::yield_context yield) {
  if (caller_gone_ && !claim_)
    return {error_kind::kCallerGone, {}, false, {}};
  ++context_.record().attempts;
  cancel_ = std::make_unique<cancel_token>();
  placement_request placement;
  placement.service = service_name_;
  placement.organisation = context_.caller().name;
  placement.routing.prompt_tokens = 1;
  placement.routing.alone = alone_;
  placement.routing.fingerprint = context_.fingerprint();
  placement.fingerprint = context_.fingerprint();
  placement.deadline = context_.deadline();
  const auto place = services_.dispatch->Place(placement, cancel_.get(), yield);
  if (!place)
    return {place.kind(), place.detail(), false, {}};
  // A process that was stopped here must not send what is overdue.
  if (clock::now() >= context_.deadline())
    return {error_kind::kDeadlineInfeasible, "overdue", false, {}};
  context_.record().upstream = (*place)->address();
  attempt_outcome outcome = Exchange(**place, yield);
  upstream_pool* pool = (*place)->pool();
  const std::string& address = (*place)->address();
  if (outcome.kind == error_kind::kOk)
    pool->RecordSuccess(address);
  else if (!caller_gone_)
    pool->RecordFailure(address, clock::now());
  const bool broken = outcome.kind == error_kind::kUpstreamFailed ||
                      outcome.kind == error_kind::kUpstreamUnreachable;
  if (broken && !caller_gone_)
    services_.directory->OnBroken(pool, address, yield);
  return outcome;
}

call_run::attempt_outcome call_run::Exchange(const placed_request& place,
                                             asio::yield_context yield) {
  http_exchange& exchange = context_.exchange();
  outgoing_request outgoing;
  outgoing.method = http::verb::post;
  outgoing.target = "/" + call_name_;
  outgoing.body = exchange.request().body();
  outgoing.headers = {
      {"Content-Type", std::string(exchange.Header("Content-Type"))},
      {"X-Request-Id", context_.request_id()}};
  if (claim_)
    outgoing.headers.emplace_back(
        kIdempotencyHeader, std::string(exchange.Header(kIdempotencyHeader)));
  outgoing.fresh_connection = claim_.has_value();
  auto answer =
      runtime_.client.Call(place.address(), outgoing, context_.deadline(),
                           yield, kMaxAnswerBytes, cancel_.get());
  if (!answer)
    return {answer.kind(),
            answer.detail(),
            answer.kind() != error_kind::kUpstreamUnreachable,
            {}};
  services_.directory->RecordAnswer(place.pool(), place.address(),
                                    answer->load_metrics);
  if (IsRefusal(answer->status))
    return {error_kind::kUpstreamRefused, {}, false, {}};
  if (!answer->request_id.empty() &&
      answer->request_id != context_.request_id())
    return {
        error_kind::kUpstreamGarbled, "answer to another request", true, {}};
  return {error_kind::kOk, {}, true, std::move(*answer)};
}

bool call_run::MayRetry(const attempt_outcome& outcome,
                        asio::yield_context yield) {
  const bool upstream_fault =
      outcome.kind == error_kind::kUpstreamUnreachable ||
      outcome.kind == error_kind::kUpstreamRefused ||
      outcome.kind == error_kind::kUpstreamFailed ||
      outcome.kind == error_kind::kUpstreamGarbled;
  if (caller_gone_ || !upstream_fault || clock::now() >= context_.deadline())
    return false;
  if (!outcome.sent) {
    Sleep(runtime_.io, kRetryPause, yield);
    return true;
  }
  if (claim_ || !call_->repeatable ||
      context_.record().attempts >= context_.config().recovery.max_attempts ||
      !services_.recovery->budget().TrySpend())
    return false;
  const auto verdict =
      services_.recovery->JudgeAfterDeath(context_.fingerprint(), yield);
  alone_ = verdict == suspect_verdict::kAlone;
  return verdict != suspect_verdict::kRefuse;
}

void call_run::Finish(const attempt_outcome& outcome,
                      asio::yield_context yield) {
  const http_answer& answer = outcome.answer;
  services_.recovery->RecordFinish(context_.fingerprint());
  context_.record().first_token = clock::now() - context_.began();
  if (claim_)
    services_.claims->Complete(claim_key_, *claim_, answer.status,
                               answer.content_type, answer.body);
  if (caller_gone_)
    return;
  context_.exchange().Answer(answer.status, answer.content_type, answer.body,
                             clock::now() + kAnswerTimeout, yield);
}

void call_run::FailRun(const attempt_outcome& outcome,
                       asio::yield_context yield) {
  error_kind kind = caller_gone_ ? error_kind::kCallerGone : outcome.kind;
  if (claim_ && outcome.sent) {
    kind = error_kind::kOutcomeUnknown;
    services_.claims->Complete(claim_key_, *claim_, AnswerFor(kind).http_status,
                               "application/json",
                               ErrorBody(kind, outcome.detail));
  } else if (claim_) {
    services_.claims->Release(claim_key_, *claim_);
  }
  context_.Fail(kind, outcome.detail, yield);
}

}  // namespace cactusward
