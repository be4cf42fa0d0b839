// One completion from admission to its last byte, over one or more upstreams.
#ifndef CACTUSWARD_SRC_REQUEST_COMPLETION_RUN_H_
#define CACTUSWARD_SRC_REQUEST_COMPLETION_RUN_H_

#include <string>
#include <vector>

#include "src/formats/completion_format.h"
#include "src/request/request_attempts.h"

namespace cactusward {

class completion_run {
 public:
  completion_run(runtime& runtime, request_context& context, bool chat);

  // Answers the request, or fails it.
  void Run(asio::yield_context yield);

 private:
  result<bool> Prepare();
  attempt_outcome Relay(placed_request& place, asio::yield_context yield);
  attempt_outcome RelayEvents(http_stream& stream,
                              placed_request& place,
                              asio::yield_context yield);
  // Handles one event; true when the stream is complete.
  result<bool> OnEvent(const std::string& data, placed_request& place);
  bool FlushPending(asio::yield_context yield);
  bool TryCompleteResponse(const attempt_outcome& outcome);
  void Finish(asio::yield_context yield);
  void FailRun(const attempt_outcome& outcome, asio::yield_context yield);
  outgoing_request BuildRequest() const;
  placement_request BuildPlacement() const;
  std::string StreamId() const;

  runtime& runtime_;
  request_context& context_;
  const handler_services& services_;
  request_attempts attempts_;
  bool chat_;
  completion_request request_;
  std::size_t class_index_ = 0;

  // The answer so far, over all attempts.
  std::string text_;
  int tokens_ = 0;
  int attempt_tokens_ = 0;
  std::string finish_reason_;
  bool token_count_mismatch_ = false;
  std::int64_t engine_prompt_tokens_ = 0;
  std::string pending_;  // bytes for the caller
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_REQUEST_COMPLETION_RUN_H_
