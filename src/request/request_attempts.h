// Admission, idempotency claims, attempts and retries of one request, shared by
// completions and calls.
#ifndef CACTUSWARD_SRC_REQUEST_REQUEST_ATTEMPTS_H_
#define CACTUSWARD_SRC_REQUEST_REQUEST_ATTEMPTS_H_

#include <memory>
#include <optional>
#include <string>

#include "cactusward/claims.h"
#include "src/request/request_context.h"

namespace cactusward {

// Outcome of one attempt at one upstream.
struct attempt_outcome {
  error_kind kind = error_kind::kOk;
  std::string detail;
  bool may_have_run = false;  // the upstream may have run the request
};

// Connections whose peer does not acknowledge for this long are closed: the
// machine is lost. Longer than a sound upstream's silence, as a full receive
// window counts as well.
constexpr milliseconds kLostMachineTimeout{4'000};

// The attempts of one request. Not thread-safe; must not outlive the handler
// that owns `context`.
class request_attempts {
 public:
  request_attempts(runtime& runtime, request_context& context);
  ~request_attempts();
  request_attempts(const request_attempts&) = delete;
  request_attempts& operator=(const request_attempts&) = delete;

  // Looks up whether the request is suspected of crashing upstreams, and
  // whether it must be isolated from other suspects.
  // @return kSuspectRefused when it must not run.
  result<bool> CheckSuspect();

  // Admits the request, claims its Idempotency-Key if it has one, and watches
  // for a disconnect of the caller.
  // @param tokens estimated prompt tokens.
  // @return false when a response was sent: a failure, or the stored response
  //     of an earlier request with the same key.
  bool AdmitAndClaim(std::int64_t tokens, asio::yield_context yield);

  // Records a response of the upstream of `placed` for which StatesNotExecuted
  // holds. It may say for how long the upstream wants no other requests. The
  // status alone is no evidence: a request counts as not executed only if the
  // body states so, too.
  // @return the outcome of the attempt.
  static attempt_outcome RecordRefusal(const placed_request& placed,
                                       int http_status,
                                       std::string_view retry_after,
                                       std::string_view body);
  // Checks, for outgoing_request::may_send, whether the upstream of `placed`
  // may still get the request: its zone may have been evacuated since.
  static std::function<bool()> SendCheckFor(const placed_request& placed);
  // The outcome of an attempt without a response, for which http_client::Open
  // or Call returned `kind`.
  static attempt_outcome UnansweredOutcome(error_kind kind,
                                           const std::string& detail);
  // Waits for an upstream, runs `attempt` there, and records the outcome in the
  // health statistics of the upstream.
  // @param repeatable whether work that reached an upstream may run again.
  // @return the outcome of `attempt`, or why no upstream was assigned.
  attempt_outcome Run(
      placement_request placement,
      bool repeatable,
      const std::function<attempt_outcome(placed_request&)>& attempt,
      asio::yield_context yield);

  // Checks whether another attempt is allowed, spends the retry budget when
  // work may have run, and waits for the retry delay or for peers' crash
  // reports.
  // @param repeatable whether work that reached an upstream may run again.
  // @return false when the request must fail with `outcome`.
  bool PrepareRetry(const attempt_outcome& outcome,
                    bool repeatable,
                    asio::yield_context yield);

  // Clears the suspicion of the request and completes its claim with the
  // response.
  void SettleSuccess(int status,
                     const std::string& content_type,
                     const std::string& body);
  // Completes the claim with the failure, or releases it when no upstream can
  // have run the request.
  // @return the error kind to report to the caller.
  error_kind SettleFailure(const attempt_outcome& outcome);

  bool caller_gone() const { return caller_gone_; }
  bool claimed() const { return claim_.has_value(); }
  cancel_token* cancel() { return cancel_.get(); }

 private:
  // Claims the Idempotency-Key of the request, if it has one.
  // @param target request path; requests with the same key must have the same
  //     target and body.
  // @return false when the stored response of an earlier request was sent.
  result<bool> ClaimIdempotencyKey(const std::string& target,
                                   asio::yield_context yield);
  // Whether the attempt in progress may end in favour of another one, for which
  // the retry budget is then spent.
  bool TryMove();
  // Whether work that may have run may run again, if the retry budget allows.
  bool MayRunAgain(bool repeatable) const;
  // Cancels unclaimed work when the caller disconnects. Claimed work continues,
  // so that its outcome can be stored.
  void WatchCaller();

  runtime& runtime_;
  request_context& context_;
  const handler_services& services_;
  std::string claim_key_;
  std::optional<claim_record> claim_;
  cancel_token claim_cancel_;  // of the wait for the claim
  std::unique_ptr<cancel_token> cancel_;
  bool isolated_ = false;  // keep apart from other suspected requests
  bool may_have_run_ = false;
  bool moved_ = false;  // the attempt in progress; its retry is already paid
  bool caller_gone_ = false;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_REQUEST_REQUEST_ATTEMPTS_H_
