// The final response to a forwarded request that is not a stream.
#ifndef CACTUSWARD_SRC_RELAY_FINAL_RESPONSE_H_
#define CACTUSWARD_SRC_RELAY_FINAL_RESPONSE_H_

#include <utility>

#include "cactusward/error.h"
#include "src/edges/net.h"

namespace cactusward {

// A response whose status is true: one that tells the caller that its request
// was not executed is only made for a request that was not. Not thread-safe.
class final_response {
 public:
  using message = http::response<http::string_body>;

  // The response of an upstream, unchanged. Where its status would be untrue,
  // that of kUpstreamFailed, without the fields that the upstream has set.
  static final_response FromUpstream(message response,
                                     execution_state execution);
  // The response to an error, that of kUpstreamFailed where it would be untrue.
  // @param retry_after time after which the caller may come back; 0: not
  //     stated.
  static final_response FromError(error_kind kind,
                                  milliseconds retry_after,
                                  execution_state execution);

  // The kind of error; kOk for the response of an upstream.
  error_kind kind() const { return kind_; }
  message TakeMessage() && { return std::move(message_); }

 private:
  final_response(error_kind kind, message response)
      : kind_(kind), message_(std::move(response)) {}

  error_kind kind_;
  message message_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_FINAL_RESPONSE_H_
