// What one forwarded request goes through: checks, places, attempts, answer.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_RUN_H_
#define CACTUSWARD_SRC_RELAY_RELAY_RUN_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusward/event_stream.h"
#include "cactusward/forward_config.h"
#include "cactusward/shared_retry_budget.h"
#include "src/relay/catalog_service.h"
#include "src/relay/memory_reservation.h"
#include "src/relay/relay_dispatcher.h"
#include "src/relay/relay_protocol.h"
#include "src/relay/relay_stop.h"
#include "src/services/recovery_service.h"
#include "src/services/report_service.h"

namespace cactusward {

// Everything that a forwarded request needs of the daemon.
struct relay_services {
  runtime& daemon;
  const relay_protocol& protocol;
  catalog_service& catalog;
  fleet_service& fleet;
  relay_dispatcher& dispatcher;
  recovery_service& recovery;
  report_service& report;
  retry_budgets& retries;
  const relay_shutdown& shutdown;
  // Longest deadline seen on each route: what a first attempt carries.
  std::map<std::string, milliseconds>& longest_deadlines;
};

// Not thread-safe; lives within its handler.
class relay_request {
 public:
  relay_request(const relay_services& services, http_exchange& exchange);

  void Run(asio::yield_context yield);

 private:
  // What one attempt at one upstream came to.
  enum class attempt_result {
    kCompleted,        // the answer was passed on
    kNotSent,          // no byte was sent
    kNotExecuted,      // the upstream says that it did not run the request
    kInvalidResponse,  // the exchange broke; the request may have run
    kTimedOut,         // nothing came in time; the request may be running
    kFailed,           // a whole answer that says that the upstream failed
    kCallerGone,
  };
  struct attempt {
    attempt_result end = attempt_result::kInvalidResponse;
    std::string detail;
    bool stale_connection = false;  // a kept connection broke before an answer
    std::optional<http::response<http::string_body>> response;  // of kFailed
    std::string at_fault;  // address of the upstream that a refusal names
  };

  // Finds route and organisation. @return kOk or why the request is refused.
  error_kind Admit();
  placement_demand MakeDemand() const;
  void RunAttempts(asio::yield_context yield);
  // The upstream that `last` speaks of: the one that was asked, or a helper.
  static const std::shared_ptr<fleet_upstream>& ResponsibleUpstream(
      const relay_assignment& assignment,
      const attempt& last);
  // Reserves the memory of a prompt that several engines hold.
  // @return the engines that help, with their reservations.
  result<std::vector<helper_address>> ReserveMemory(
      const relay_assignment& assignment,
      memory_reservation* memory,
      asio::yield_context yield);
  attempt RunAttempt(relay_assignment& assignment, asio::yield_context yield);
  attempt Forward(relay_assignment& assignment,
                  const std::vector<helper_address>& helpers,
                  asio::yield_context yield);
  // What an attempt came to whose upstream sent nothing more.
  static attempt ReadFailure(const result<std::string_view>& read);
  attempt RelayBody(http_stream& stream, asio::yield_context yield);
  attempt RelayEvents(http_stream& stream,
                      relay_assignment& assignment,
                      time_point sent_at,
                      asio::yield_context yield);
  // The bytes of events that the caller has not had yet.
  // @return nothing when one between them is missing.
  std::optional<std::string> CollectNewEvents(
      const std::vector<stream_event>& events);
  void RecordFirstEvent(relay_assignment& assignment, time_point sent_at);
  bool WriteEvents(const http::response_header<>& header,
                   std::string_view bytes,
                   asio::yield_context yield);
  // Whether another attempt may follow; spends the budget for it.
  bool PrepareRetry(const attempt& last);
  void RecordOutcome(const relay_assignment& assignment, const attempt& last);
  void CheckLiveness(const std::shared_ptr<fleet_upstream>& upstream);
  void RespondWithError(error_kind kind,
                        milliseconds retry_after,
                        asio::yield_context yield);
  void RespondToFailure(const attempt& last, asio::yield_context yield);
  // How long an upstream may be silent before another is tried.
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
  time_point caller_deadline_;    // of the caller
  time_point response_deadline_;  // the deadline or the route's timeout
  time_point objective_at_;
  std::uint64_t fingerprint_ = 0;
  cancel_token cancel_;
  std::set<std::string> tried_upstreams_;
  bool may_have_run_ = false;
  int sent_attempts_ = 0;
  int attempts_ = 0;
  std::optional<std::int64_t> last_event_id_;
  bool stream_started_ = false;
  std::optional<time_point> last_event_write_at_;  // of events
  access_record record_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_RUN_H_
