#include "cactusward/error.h"

#include <algorithm>
#include <array>
#include <string>

namespace cactusward {
namespace {

constexpr auto kNotExecuted = execution_state::kNotExecuted;
constexpr auto kUnknown = execution_state::kUnknown;
constexpr int kShortRetryDelayMs = 250;
constexpr int kRetryDelayMs = 1000;
constexpr int kLongRetryDelayMs = 5000;

constexpr std::array<error_response, 35> kErrorResponses = {{
    {error_kind::kOk, "ok", 200, kNotExecuted, 0, "success"},
    {error_kind::kBadRequest, "bad_request", 400, kNotExecuted, 0,
     "the request is malformed"},
    {error_kind::kBodyTooLarge, "body_too_large", 413, kNotExecuted, 0,
     "the request body exceeds the limit"},
    {error_kind::kHeaderTooLarge, "header_too_large", 431, kNotExecuted, 0,
     "the request header exceeds the limit"},
    {error_kind::kSlowCaller, "slow_caller", 408, kNotExecuted,
     kShortRetryDelayMs, "the request did not arrive in time"},
    {error_kind::kCallerGone, "caller_gone", 499, kUnknown, 0,
     "the caller closed the connection"},
    {error_kind::kUnauthenticated, "unauthenticated", 401, kNotExecuted, 0,
     "the key is missing or unknown"},
    {error_kind::kNotFound, "not_found", 404, kNotExecuted, 0,
     "no such resource"},
    {error_kind::kUnknownModel, "unknown_model", 404, kNotExecuted, 0,
     "the configuration names no such model"},
    {error_kind::kUnknownCall, "unknown_call", 404, kNotExecuted, 0,
     "the configuration names no such service or call"},
    {error_kind::kPromptTooLong, "prompt_too_long", 413, kNotExecuted, 0,
     "the prompt exceeds the limit"},
    {error_kind::kDeadlineOutOfRange, "deadline_out_of_range", 400,
     kNotExecuted, 0, "the deadline is outside the allowed range"},
    {error_kind::kIdempotencyKeyMissing, "idempotency_key_missing", 400,
     kNotExecuted, 0, "this call needs an Idempotency-Key header"},
    {error_kind::kIdempotencyKeyReused, "idempotency_key_reused", 422,
     kNotExecuted, 0, "the Idempotency-Key was used with another request"},
    {error_kind::kInProgress, "in_progress", 409, kUnknown, kRetryDelayMs,
     "a request with this Idempotency-Key is in progress"},
    {error_kind::kOutcomeUnknown, "outcome_unknown", 502, kUnknown, 0,
     "the request may have run; its outcome is unknown"},
    {error_kind::kQueueFull, "queue_full", 429, kNotExecuted, kRetryDelayMs,
     "the queue of this class is full"},
    {error_kind::kOrganisationLimit, "organisation_limit", 429, kNotExecuted,
     kRetryDelayMs, "the organisation is at its limit"},
    {error_kind::kDeadlineInfeasible, "deadline_infeasible", 503, kNotExecuted,
     kRetryDelayMs, "the deadline cannot be met"},
    {error_kind::kDraining, "draining", 503, kNotExecuted, kShortRetryDelayMs,
     "this instance is stopping"},
    {error_kind::kNotReady, "not_ready", 503, kNotExecuted, kRetryDelayMs,
     "this instance cannot confirm its configuration"},
    {error_kind::kNoUpstream, "no_upstream", 503, kNotExecuted, kRetryDelayMs,
     "no upstream can take the request"},
    {error_kind::kUpstreamUnreachable, "upstream_unreachable", 503,
     kNotExecuted, kRetryDelayMs, "the upstream could not be reached"},
    {error_kind::kUpstreamRefused, "upstream_refused", 503, kNotExecuted,
     kRetryDelayMs, "the upstream refused the request"},
    {error_kind::kUpstreamFailed, "upstream_failed", 502, kUnknown,
     kRetryDelayMs, "the upstream failed while it ran the request"},
    {error_kind::kUpstreamGarbled, "upstream_garbled", 502, kUnknown, 0,
     "the upstream's answer could not be understood"},
    {error_kind::kTimedOut, "timed_out", 504, kUnknown, kRetryDelayMs,
     "the request did not finish within its time limit"},
    {error_kind::kSuspectRefused, "suspect_refused", 422, kUnknown, 0,
     "upstreams failed while they ran this request"},
    {error_kind::kRepeatRefused, "repeat_refused", 503, kNotExecuted, 0,
     "requests like this one made upstreams fail; this one was not run"},
    {error_kind::kStoreUnavailable, "store_unavailable", 503, kNotExecuted,
     kLongRetryDelayMs, "the key-value service did not answer"},
    {error_kind::kConfigInvalid, "config_invalid", 422, kNotExecuted, 0,
     "the configuration is not valid"},
    {error_kind::kConfigConflict, "config_conflict", 409, kNotExecuted, 0,
     "the configuration was changed by somebody else"},
    {error_kind::kPeerRefused, "peer_refused", 403, kNotExecuted, 0,
     "the peer is not authenticated"},
    {error_kind::kOverloaded, "overloaded", 503, kNotExecuted, kRetryDelayMs,
     "this instance has no memory for the request"},
    {error_kind::kInternal, "internal", 500, kUnknown, 0, "internal error"},
}};

class error_category_impl : public std::error_category {
 public:
  const char* name() const noexcept override { return "cactusward"; }
  std::string message(int value) const override {
    return std::string(
        ErrorResponseFor(static_cast<error_kind>(value)).message);
  }
};

}  // namespace

const error_response& ErrorResponseFor(error_kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  if (index >= kErrorResponses.size())
    return kErrorResponses.back();
  return kErrorResponses[index];
}

bool StatesNotExecuted(int http_status) {
  constexpr std::array<int, 4> kStatuses = {408, 421, 429, 503};
  return std::find(kStatuses.begin(), kStatuses.end(), http_status) !=
         kStatuses.end();
}

const std::error_category& ErrorCategory() {
  static const error_category_impl category;
  return category;
}

std::error_code make_error_code(error_kind kind) {
  return {static_cast<int>(kind), ErrorCategory()};
}

error_kind KindOf(const std::error_code& error) {
  if (!error)
    return error_kind::kOk;
  if (error.category() != ErrorCategory())
    return error_kind::kInternal;
  return static_cast<error_kind>(error.value());
}

}  // namespace cactusward
