#include "src/relay/final_response.h"

#include <cstdio>

#include "src/edges/http_server.h"

namespace cactusward {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

final_response final_response::FromUpstream(message response,
                                            execution_state execution) {
  const int status = static_cast<int>(response.result_int());
  if (execution != execution_state::kNotExecuted && StatesNotExecuted(status))
    return FromError(error_kind::kUpstreamFailed, milliseconds(0), execution);
  return {error_kind::kOk, std::move(response)};
}

final_response final_response::FromError(error_kind kind,
                                         milliseconds retry_after,
                                         execution_state execution) {
  const error_response& error = ErrorResponseFor(kind);
  if (execution != execution_state::kNotExecuted &&
      (error.was_run == execution_state::kNotExecuted ||
       StatesNotExecuted(error.http_status)))
    return FromError(error_kind::kUpstreamFailed, milliseconds(0), execution);
  message response;
  response.result(static_cast<unsigned>(error.http_status));
  response.set(http::field::content_type, "application/json");
  if (retry_after.count() > 0) {
    char seconds[32];
    std::snprintf(
        seconds, sizeof(seconds), "%.3f",
        static_cast<double>(retry_after.count()) / kMillisecondsPerSecond);
    response.set(http::field::retry_after, seconds);
  }
  response.body() = ErrorBody(kind, {});
  return {kind, std::move(response)};
}

}  // namespace cactusward
