// All error kinds and the HTTP response for each.
#ifndef CACTUSWARD_ERROR_H_
#define CACTUSWARD_ERROR_H_

#include <string_view>
#include <system_error>
#include <type_traits>

namespace cactusward {

// Every failure that an operation of this library or of the daemons can report.
enum class error_kind {
  kOk = 0,
  kBadRequest,
  kBodyTooLarge,
  kHeaderTooLarge,
  kSlowCaller,
  kCallerGone,
  kUnauthenticated,
  kNotFound,
  kUnknownModel,
  kUnknownCall,
  kPromptTooLong,
  kDeadlineOutOfRange,
  kIdempotencyKeyMissing,
  kIdempotencyKeyReused,
  kInProgress,
  kOutcomeUnknown,
  kQueueFull,
  kOrganisationLimit,
  kDeadlineInfeasible,
  kDraining,
  kNotReady,
  kNoUpstream,
  kUpstreamUnreachable,
  kUpstreamRefused,
  kUpstreamFailed,
  kUpstreamGarbled,
  kTimedOut,
  kSuspectRefused,
  kRepeatRefused,
  kStoreUnavailable,
  kConfigInvalid,
  kConfigConflict,
  kPeerRefused,
  kOverloaded,
  kInternal,
};

// Whether an upstream may have executed the work of a failed request.
enum class execution_state { kNotExecuted, kUnknown };

// The HTTP response for one error kind.
struct error_response {
  error_kind kind;
  std::string_view name;
  int http_status;
  execution_state was_run;
  int retry_after_ms;  // 0: retrying the unchanged request will not help
  std::string_view message;
};

// Returns the response for `kind`, or that for kInternal if the value is
// unknown. The reference is valid for the life of the process.
// Precondition: none. Thread-safe.
const error_response& ErrorResponseFor(error_kind kind);

// Whether an HTTP status (408, 421, 429 or 503) tells a caller that its request
// was not executed and will not be. Thread-safe.
bool StatesNotExecuted(int http_status);

// Returns the category of error kinds in std::error_code. Thread-safe.
const std::error_category& ErrorCategory();

// Makes std::error_code constructible from error_kind. Thread-safe.
std::error_code make_error_code(error_kind kind);

// Returns the kind carried by `error`; codes of other categories map to
// kInternal. Thread-safe.
error_kind KindOf(const std::error_code& error);

}  // namespace cactusward

namespace std {
template <>
struct is_error_code_enum<cactusward::error_kind> : true_type {};
}  // namespace std

#endif  // CACTUSWARD_ERROR_H_
