#include "src/request/request_attempts.h"

#include "cactusward/hash.h"
#include "src/edges/retry_after.h"
#include "src/kernel/log.h"
#include "src/services/claim_service.h"
#include "src/services/config_service.h"
#include "src/services/recovery_service.h"

namespace cactusward {
namespace {

constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
constexpr milliseconds kRetryDelay{20};
constexpr int kServiceUnavailable = 503;

bool IsUpstreamFault(error_kind kind) {
  return kind == error_kind::kUpstreamUnreachable ||
         kind == error_kind::kUpstreamRefused ||
         kind == error_kind::kUpstreamFailed ||
         kind == error_kind::kUpstreamGarbled;
}

}  // namespace

request_attempts::request_attempts(runtime& runtime, request_context& context)
    : runtime_(runtime), context_(context), services_(context.services()) {
  context_.OnEndBeforeExit([this] {
    claim_cancel_.Cancel();
    if (cancel_)
      cancel_->Cancel();
  });
}

request_attempts::~request_attempts() {
  context_.OnEndBeforeExit({});
}

result<bool> request_attempts::CheckSuspect() {
  const auto verdict = services_.recovery->VerdictFor(context_.fingerprint());
  if (verdict == suspect_verdict::kRefuse)
    return error_kind::kSuspectRefused;
  isolated_ = verdict == suspect_verdict::kIsolate;
  return true;
}

result<bool> request_attempts::ClaimIdempotencyKey(const std::string& target,
                                                   asio::yield_context yield) {
  http_exchange& exchange = context_.exchange();
  const std::string_view key = exchange.Header(kIdempotencyHeader);
  if (key.empty())
    return true;
  claim_key_ = claim_service::KeyOf(context_.caller().name, key);
  const std::string fingerprint =
      std::to_string(Hash64(target, context_.fingerprint()));
  std::optional<claim_record> found;
  auto claim =
      services_.claims->Claim(claim_key_, fingerprint, context_.deadline(),
                              &claim_cancel_, &found, yield);
  if (claim) {
    claim_ = std::move(*claim);
    return true;
  }
  if (!found)
    return {claim.kind(), claim.detail()};
  if (found->body_dropped)
    return {error_kind::kOutcomeUnknown, "finished; its answer was not kept"};
  exchange.SetHeader("Idempotent-Replayed", "true");
  exchange.Respond(found->status, found->content_type, found->body,
                   context_.WriteDeadline(), yield);
  return false;
}

bool request_attempts::AdmitAndClaim(std::int64_t tokens,
                                     asio::yield_context yield) {
  const auto admitted = context_.Admit(tokens);
  if (!admitted) {
    context_.Fail(admitted.kind(), admitted.detail(), yield);
    return false;
  }
  const auto claimed = ClaimIdempotencyKey(context_.record().target, yield);
  if (!claimed) {
    context_.Fail(claimed.kind(), claimed.detail(), yield);
    return false;
  }
  if (*claimed)
    WatchCaller();
  return *claimed;
}

void request_attempts::WatchCaller() {
  context_.exchange().OnDisconnect([this] {
    caller_gone_ = true;
    if (cancel_ && !claim_)
      cancel_->Cancel();
  });
}

attempt_outcome request_attempts::RecordRefusal(const placed_request& placed,
                                                int http_status,
                                                std::string_view retry_after,
                                                std::string_view body) {
  const auto time = http_status == kServiceUnavailable
                        ? ParseRetryAfter(retry_after)
                        : std::nullopt;
  if (time && time->count() > 0) {
    placed.pool()->RecordBackoff(placed.address(), *time, clock::now());
    Log(log_level::kInfo, "upstream_backed_off",
        {{"upstream", placed.address()}, {"retry_after_ms", time->count()}});
  }
  return {error_kind::kUpstreamRefused,
          "upstream status " + std::to_string(http_status),
          !StatesNotRun(body)};
}

std::function<bool()> request_attempts::SendCheckFor(
    const placed_request& placed) {
  return [pool = placed.pool(), address = placed.address()] {
    return !pool->IsInEvacuatedZone(address);
  };
}

attempt_outcome request_attempts::UnansweredOutcome(error_kind kind,
                                                    const std::string& detail) {
  // kUpstreamRefused: SendCheckFor held the request back.
  return {kind, detail,
          kind != error_kind::kUpstreamUnreachable &&
              kind != error_kind::kUpstreamRefused};
}

attempt_outcome request_attempts::Run(
    placement_request placement,
    bool repeatable,
    const std::function<attempt_outcome(placed_request&)>& attempt,
    asio::yield_context yield) {
  if (caller_gone_ && !claim_)
    return {error_kind::kCallerGone, {}, false};
  if (context_.ended_before_exit())
    return {error_kind::kDraining, {}, false};
  if (context_.record().attempts++ == 0)
    services_.recovery->budget().RecordAttempt();
  cancel_ = std::make_unique<cancel_token>();
  placement.organisation = context_.caller().name;
  placement.fingerprint = context_.fingerprint();
  placement.deadline = context_.deadline();
  placement.routing.isolated = isolated_;
  placement.routing.fingerprint = context_.fingerprint();
  moved_ = false;
  if (MayRunAgain(repeatable))
    placement.may_move = [this] { return TryMove(); };
  const auto placed =
      services_.dispatch->Place(placement, cancel_.get(), yield);
  if (!placed && context_.ended_before_exit())
    return {error_kind::kDraining, {}, false};
  if (!placed)
    return {placed.kind(), placed.detail(), false};
  // The process may have been stopped since placement; an overdue request must
  // not be sent.
  if (clock::now() >= context_.deadline())
    return {error_kind::kDeadlineInfeasible, "overdue before dispatch", false};
  upstream_pool* pool = (*placed)->pool();
  const std::string& address = (*placed)->address();
  context_.record().upstream = address;
  attempt_outcome outcome = attempt(**placed);
  may_have_run_ = may_have_run_ || outcome.may_have_run;
  // An attempt that this process has cancelled says nothing about the upstream.
  const bool cancelled = caller_gone_ || context_.ended_before_exit();
  if (outcome.kind == error_kind::kOk)
    pool->RecordSuccess(address);
  else if (!cancelled)
    pool->RecordFailure(address, clock::now());
  const bool broken = outcome.kind == error_kind::kUpstreamFailed ||
                      outcome.kind == error_kind::kUpstreamUnreachable;
  if (broken && !cancelled)
    services_.directory->OnConnectionBroken(pool, address, yield);
  return outcome;
}

bool request_attempts::MayRunAgain(bool repeatable) const {
  return !claim_ && repeatable &&
         context_.record().attempts < context_.config().recovery.max_attempts;
}

bool request_attempts::TryMove() {
  moved_ = moved_ || (!caller_gone_ && clock::now() < context_.deadline() &&
                      services_.recovery->budget().TrySpend());
  return moved_;
}

bool request_attempts::PrepareRetry(const attempt_outcome& outcome,
                                    bool repeatable,
                                    asio::yield_context yield) {
  if (caller_gone_ || context_.ended_before_exit() ||
      !IsUpstreamFault(outcome.kind) || clock::now() >= context_.deadline())
    return false;
  if (outcome.may_have_run) {
    if (!MayRunAgain(repeatable) ||
        (!moved_ && !services_.recovery->budget().TrySpend()))
      return false;
  } else {
    // No upstream ran the request, so the retry costs them nothing and spends
    // no retry budget.
    Sleep(runtime_.io, kRetryDelay, yield);
  }
  const auto verdict = services_.recovery->VerdictAfterPeerReports(
      context_.fingerprint(), yield);
  isolated_ = verdict == suspect_verdict::kIsolate;
  Log(log_level::kInfo, "retry",
      {{"request", context_.request_id()},
       {"after", ErrorResponseFor(outcome.kind).name},
       {"detail", outcome.detail},
       {"refused", verdict == suspect_verdict::kRefuse}});
  return verdict != suspect_verdict::kRefuse;
}

void request_attempts::SettleSuccess(int status,
                                     const std::string& content_type,
                                     const std::string& body) {
  services_.recovery->RecordCompletion(context_.fingerprint());
  if (claim_)
    services_.claims->Complete(claim_key_, *claim_, status, content_type, body);
}

error_kind request_attempts::SettleFailure(const attempt_outcome& outcome) {
  error_kind kind = caller_gone_ ? error_kind::kCallerGone : outcome.kind;
  if (context_.ended_before_exit() && !outcome.may_have_run)
    kind = error_kind::kDraining;
  // The last attempt did not run the request, but an earlier one may have.
  if (may_have_run_ &&
      ErrorResponseFor(kind).was_run == execution_state::kNotExecuted)
    kind = error_kind::kUpstreamFailed;
  if (may_have_run_ && services_.recovery->VerdictFor(context_.fingerprint()) ==
                           suspect_verdict::kRefuse)
    kind = error_kind::kSuspectRefused;
  if (claim_ && may_have_run_) {
    kind = error_kind::kOutcomeUnknown;
    services_.claims->Complete(
        claim_key_, *claim_, ErrorResponseFor(kind).http_status,
        "application/json", ErrorBody(kind, outcome.detail));
  } else if (claim_) {
    services_.claims->Release(claim_key_, *claim_);
  }
  return kind;
}

}  // namespace cactusward
