// Handles one request to a call of a plain (non-model) service.
#ifndef CACTUSWARD_SRC_REQUEST_CALL_RUN_H_
#define CACTUSWARD_SRC_REQUEST_CALL_RUN_H_

#include <string>

#include "src/request/request_attempts.h"

namespace cactusward {

class call_request {
 public:
  // @param service name of the service, from the request path.
  // @param call name of the call, from the request path.
  call_request(runtime& runtime,
               request_context& context,
               std::string service,
               std::string call);

  // Sends the response, or an error response when the request fails.
  void Run(asio::yield_context yield);

 private:
  result<bool> Prepare();
  attempt_outcome Exchange(const placed_request& placed,
                           asio::yield_context yield);
  void Finish(asio::yield_context yield);

  runtime& runtime_;
  request_context& context_;
  const handler_services& services_;
  request_attempts attempts_;
  std::string service_name_;
  std::string call_name_;
  const service_call* call_ = nullptr;
  http_response response_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_REQUEST_CALL_RUN_H_
