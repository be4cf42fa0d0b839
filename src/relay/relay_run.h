// Handles one forwarded request: admission, assignment to upstreams, attempts
// and the response.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_RUN_H_
#define CACTUSWARD_SRC_RELAY_RELAY_RUN_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusward/buffer_pool.h"
#include "cactusward/event_stream.h"
#include "cactusward/forward_config.h"
#include "cactusward/shared_retry_budget.h"
#include "src/relay/catalog_service.h"
#include "src/relay/memory_reservation.h"
#include "src/relay/quarantine_service.h"
#include "src/relay/relay_dispatcher.h"
#include "src/relay/relay_protocol.h"
#include "src/relay/relay_stop.h"
#include "src/services/recovery_service.h"
#include "src/services/report_service.h"

namespace cactusward {

// The services that handling a forwarded request depends on.
struct relay_services {
  runtime& daemon;
  const relay_protocol& protocol;
  catalog_service& catalog;
  fleet_service& fleet;
  relay_dispatcher& dispatcher;
  recovery_service& recovery;
  quarantine_service& quarantine;
  report_service& report;
  retry_budgets& retries;
  const relay_shutdown& shutdown;
  buffer_pool& response_buffers;
  // Longest deadline seen on each route, taken as the deadline of a caller's
  // first attempt.
  std::map<std::string, milliseconds>& longest_deadlines;
};

// Not thread-safe. Must not outlive the handler of its exchange.
class relay_request {
 public:
  relay_request(const relay_services& services, http_exchange& exchange);

  void Run(asio::yield_context yield);

 private:
  // The result of one attempt at one upstream.
  enum class attempt_result {
    kCompleted,        // the response was passed on
    kNotSent,          // no byte was sent
    kNotExecuted,      // the upstream stated that it did not run the request
    kInvalidResponse,  // no valid response; the request may have run
    kTimedOut,         // no bytes in time; the request may be running
    kFailed,           // a complete response that reports a failure
    kCallerGone,
  };
  struct attempt {
    attempt_result end = attempt_result::kInvalidResponse;
    std::string detail;
    // A reused connection broke before a response arrived.
    bool stale_connection = false;
    std::optional<http::response<http::string_body>> response;  // for kFailed
    std::string at_fault;  // address of the upstream named by a refusal
  };

  // Finds the route and the organisation. @return kOk or why the request is
  // refused.
  error_kind Admit();
  placement_demand MakeDemand() const;
  void RunAttempts(asio::yield_context yield);
  // The upstream whose health `last` affects: the helper that the response
  // names as at fault, otherwise the one the request was sent to.
  static const std::shared_ptr<fleet_upstream>& ResponsibleUpstream(
      const relay_assignment& assignment,
      const attempt& last);
  // Reserves the memory of a prompt that is held by several engines.
  // @return the engines that take part, with the ids of their reservations.
  result<std::vector<helper_address>> ReserveMemory(
      const relay_assignment& assignment,
      memory_reservation* memory,
      asio::yield_context yield);
  attempt RunAttempt(relay_assignment& assignment, asio::yield_context yield);
  attempt Forward(relay_assignment& assignment,
                  const std::vector<helper_address>& helpers,
                  asio::yield_context yield);
  // The result of an attempt whose response could not be read further.
  static attempt ReadFailure(const result<std::string_view>& read);
  attempt RelayBody(http_stream& stream,
                    const relay_assignment& assignment,
                    asio::yield_context yield);
  attempt RelayEvents(http_stream& stream,
                      relay_assignment& assignment,
                      time_point sent_at,
                      asio::yield_context yield);
  // Collects the bytes of the events that the caller has not received yet.
  // @return empty when an event is missing from the sequence.
  std::optional<std::string> CollectNewEvents(
      const std::vector<stream_event>& events);
  void RecordFirstEvent(relay_assignment& assignment, time_point sent_at);
  // The upstream has survived the start of the response.
  void RecordSurvival(const relay_assignment& assignment);
  bool WriteEvents(const http::response_header<>& header,
                   std::string_view bytes,
                   asio::yield_context yield);
  // Whether another attempt may follow. Spends retry budget for it.
  bool PrepareRetry(const attempt& last);
  void RecordOutcome(const relay_assignment& assignment, const attempt& last);
  // Records what the header of a response says about the requests that the
  // upstream takes. @param sent_at when the request was sent.
  void RecordReply(const relay_assignment& assignment,
                   const upstream_reply& reply,
                   time_point sent_at);
  // Finds out whether an upstream has crashed. Returns when it is known, if the
  // request may be the cause.
  void CheckLiveness(const std::shared_ptr<fleet_upstream>& upstream,
                     asio::yield_context yield);
  static void BeginLivenessCheck(
      const relay_services& services,
      const std::shared_ptr<fleet_upstream>& upstream);
  // Why the request must not be sent to another upstream now, if so.
  std::optional<quarantine_refusal> CheckQuarantine() const {
    return services_.quarantine.Check(caller_.shared_parts, trial_start_);
  }
  void RespondQuarantined(const quarantine_refusal& refusal,
                          asio::yield_context yield);
  void RespondWithError(error_kind kind,
                        milliseconds retry_after,
                        asio::yield_context yield);
  void RespondToFailure(const attempt& last, asio::yield_context yield);
  // How long to wait for the first event, and for each later one, before
  // another upstream is tried.
  milliseconds FirstEventTimeout(const relay_assignment& assignment) const;
  milliseconds EventGapTimeout(const relay_assignment& assignment) const;
  bool HasTimeLeft() const { return clock::now() < response_deadline_; }
  bool IsPrompt() const { return caller_.prompt_tokens > 0; }

  const relay_services& services_;
  http_exchange& exchange_;
  std::shared_ptr<const forward_config> config_;
  const forward_route* route_ = nullptr;
  const key_holder* holder_ = nullptr;
  caller_request caller_;
  std::string service_;
  time_point started_at_;
  time_point caller_deadline_;
  // The caller's deadline less a margin, or the route's timeout if earlier.
  time_point response_deadline_;
  time_point objective_at_;
  std::uint64_t fingerprint_ = 0;
  cancel_token cancel_;
  std::set<std::string> tried_upstreams_;
  bool may_have_run_ = false;
  int sent_attempts_ = 0;
  int attempts_ = 0;
  std::optional<std::int64_t> last_event_id_;
  bool stream_started_ = false;
  bool survived_start_ = false;  // the upstream went on after the first event
  std::optional<time_point> trial_start_;  // when it was allowed as a trial
  std::optional<time_point> last_event_write_at_;
  access_record record_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_RUN_H_
