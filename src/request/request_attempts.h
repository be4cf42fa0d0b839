// What completions and calls share: claims, attempts, and when to try again.
#ifndef CACTUSWARD_SRC_REQUEST_REQUEST_ATTEMPTS_H_
#define CACTUSWARD_SRC_REQUEST_REQUEST_ATTEMPTS_H_

#include <memory>
#include <optional>
#include <string>

#include "cactusward/claims.h"
#include "src/request/request_context.h"

namespace cactusward {

// What one attempt at one upstream came to.
struct attempt_outcome {
  error_kind kind = error_kind::kOk;
  std::string detail;
  bool sent = false;  // a byte may have reached the upstream
};

// Whether an upstream's answer says that it did not run the request.
// Thread-safe.
bool IsRefusal(int http_status);

// The attempts of one request. Not thread-safe; lives within its handler.
class request_attempts {
 public:
  request_attempts(runtime& runtime, request_context& context);

  // Refuses requests that made upstreams fail.
  result<bool> CheckSuspect();

  // Admits and claims the request, and watches its caller.
  // @param tokens size of the request. @return false when it was answered.
  bool AdmitAndClaim(std::int64_t tokens, asio::yield_context yield);

  // Waits for a place and hands it to `attempt`, whose outcome is accounted
  // for at the upstream.
  attempt_outcome Run(
      placement_request placement,
      const std::function<attempt_outcome(placed_request&)>& attempt,
      asio::yield_context yield);

  // Decides on another attempt, after the pause that it takes.
  // @param repeatable whether work that reached an upstream may run again.
  bool PrepareRetry(const attempt_outcome& outcome,
                    bool repeatable,
                    asio::yield_context yield);

  // Settles claim and suspicion after success.
  void SettleSuccess(int status,
                     const std::string& content_type,
                     const std::string& body);
  // Settles the claim and answers with what the failure means to the caller.
  // @return the kind that the caller is told.
  error_kind SettleFailure(const attempt_outcome& outcome);

  bool caller_gone() const { return caller_gone_; }
  bool claimed() const { return claim_.has_value(); }
  cancel_token* cancel() { return cancel_.get(); }

 private:
  // Claims the request if it carries an Idempotency-Key.
  // @param target what is asked for, part of what must not change under a key.
  // @return false when the answer of an earlier run was given instead.
  result<bool> ClaimIdempotencyKey(const std::string& target,
                                   asio::yield_context yield);
  // Unclaimed work is cancelled when its caller goes; claimed work goes on, so
  // that its outcome is known.
  void WatchCaller();

  runtime& runtime_;
  request_context& context_;
  const handler_services& services_;
  std::string claim_key_;
  std::optional<claim_record> claim_;
  std::unique_ptr<cancel_token> cancel_;
  bool isolated_ = false;
  bool any_attempt_sent_ = false;
  bool caller_gone_ = false;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_REQUEST_REQUEST_ATTEMPTS_H_
