// Parsing and serialisation for the completion API: requests, server-sent
// events and responses.
#ifndef CACTUSWARD_SRC_FORMATS_COMPLETION_FORMAT_H_
#define CACTUSWARD_SRC_FORMATS_COMPLETION_FORMAT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cactusward/result.h"

namespace cactusward {

// A parsed completion request.
struct completion_parameters {
  nlohmann::json body;
  std::string model;
  bool chat = false;
  bool stream = false;
  bool include_usage = false;
  std::int64_t prompt_tokens = 0;  // estimated from the size of the prompt
  int max_tokens = 0;
};

// Estimated number of tokens in a text of `bytes` bytes. Thread-safe.
std::int64_t EstimateTokens(std::size_t bytes);

// Parses the request body of /v1/completions or, if `chat`, of
// /v1/chat/completions.
// @return kBadRequest, with the reason as detail. Thread-safe.
result<completion_parameters> ParseCompletion(std::string_view body, bool chat);

// The request body for an engine: asks for a stream with usage that continues
// after `text_so_far`, of `tokens_so_far` tokens. Thread-safe.
std::string EngineBody(const completion_parameters& parameters,
                       int priority,
                       bool send_priority,
                       const std::string& text_so_far,
                       int tokens_so_far);

// Splits a stream of server-sent events. Not thread-safe.
class event_splitter {
 public:
  // Adds bytes and appends the data of each event that they complete to `out`.
  // @return false when an incomplete event exceeds 1 MiB.
  bool Feed(std::string_view bytes, std::vector<std::string>* out);
  // Whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !buffer_.empty(); }
  // Size of the incomplete event.
  std::size_t pending_bytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
};

enum class event_kind { kToken, kUsage, kDone, kError, kMalformed };

// One event of an engine's stream.
struct completion_event {
  event_kind kind = event_kind::kMalformed;
  std::string id;
  std::string text;
  std::string finish_reason;           // empty: text not finished
  std::int64_t completion_tokens = 0;  // kUsage
  std::int64_t prompt_tokens = 0;      // kUsage
};

// Parses the data of one event. Thread-safe.
completion_event ParseEvent(std::string_view data, bool chat);

// The response body for a request that is not streamed. Thread-safe.
std::string CompletionBody(const completion_parameters& parameters,
                           const std::string& id,
                           const std::string& text,
                           const std::string& finish_reason,
                           std::int64_t prompt_tokens,
                           std::int64_t completion_tokens);

// The data of an event that carries only a finish reason. Thread-safe.
std::string FinishEvent(const completion_parameters& parameters,
                        const std::string& id,
                        const std::string& finish_reason);

// The data of a usage event. Thread-safe.
std::string UsageEvent(const completion_parameters& parameters,
                       const std::string& id,
                       std::int64_t prompt_tokens,
                       std::int64_t completion_tokens);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_FORMATS_COMPLETION_FORMAT_H_
