// One call of a plain service.
#ifndef CACTUSWARD_SRC_GATEWAY_CALL_RUN_H_
#define CACTUSWARD_SRC_GATEWAY_CALL_RUN_H_

#include <memory>
#include <optional>
#include <string>

#include "cactusward/claims.h"
#include "src/gateway/request_context.h"

namespace cactusward {

class call_run {
 public:
  // @param service, call as named in the path.
  call_run(runtime& runtime,
           request_context& context,
           std::string service,
           std::string call);

  // Answers the request, or fails it.
  void Run(asio::yield_context yield);

 private:
  struct attempt_outcome {
    error_kind kind = error_kind::kOk;
    std::string detail;
    bool sent = false;
    http_answer answer;
  };

  result<bool> Prepare();
  result<bool> ClaimIfNeeded(asio::yield_context yield);
  attempt_outcome Attempt(asio::yield_context yield);
  attempt_outcome Exchange(const placed_request& place,
                           asio::yield_context yield);
  bool MayRetry(const attempt_outcome& outcome, asio::yield_context yield);
  void Finish(const attempt_outcome& outcome, asio::yield_context yield);
  void FailRun(const attempt_outcome& outcome, asio::yield_context yield);

  runtime& runtime_;
  request_context& context_;
  const handler_services& services_;
  std::string service_name_;
  std::string call_name_;
  const service_call* call_ = nullptr;
  bool alone_ = false;
  bool caller_gone_ = false;
  std::unique_ptr<cancel_token> cancel_;
  std::string claim_key_;
  std::optional<claim_record> claim_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_GATEWAY_CALL_RUN_H_
