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
#include "cactusward/forward_config.h"
#include "cactusward/home_regions.h"
#include "cactusward/shared_retry_budget.h"
#include "cactusward/stall_meter.h"
#include "src/relay/catalog_service.h"
#include "src/relay/final_response.h"
#include "src/relay/quarantine_service.h"
#include "src/relay/relay_dispatcher.h"
#include "src/relay/relay_protocol.h"
#include "src/relay/relay_stop.h"
#include "src/relay/upstream_exchange.h"
#include "src/services/path_service.h"
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
  path_service& paths;
  recovery_service& recovery;
  quarantine_service& quarantine;
  report_service& report;
  retry_budgets& retries;
  relay_shutdown& shutdown;
  buffer_pool& response_buffers;
  const stall_meter& stalls;
  // Longest deadline seen on each route, taken as the deadline of a caller's
  // first attempt.
  std::map<std::string, milliseconds>& longest_deadlines;
};

// Not thread-safe. Must not outlive the handler of its exchange.
class relay_request : public pending_work {
 public:
  relay_request(const relay_services& services, http_exchange& exchange);

  void Run(asio::yield_context yield);
  nlohmann::json Describe(time_point now) const override;
  void EndBeforeExit() override;

 private:
  // The result of one attempt at one upstream.
  enum class attempt_result {
    kCompleted,        // the response was passed on
    kNotSent,          // no byte was sent
    kNotExecuted,      // the upstream stated that it did not run the request
    kRejected,         // refused for what this instance added to it
    kInvalidResponse,  // no valid response; the request may have run
    kTimedOut,         // no complete response at the deadline
    kFailed,           // a complete response that reports a failure
    kCallerGone,
    kSilent,   // nothing for a while; the exchange is still open
    kTooLate,  // the response could not be passed on before the exit
  };
  struct attempt {
    attempt_result end = attempt_result::kInvalidResponse;
    std::string detail;
    // A reused connection broke before a response arrived: the upstream has
    // closed it while it was idle, or has crashed, or its response was lost.
    bool stale_connection = false;
    std::optional<http::response<http::string_body>> response;  // for kFailed
    std::string at_fault;  // address of the upstream named by a refusal
  };

  void Handle(asio::yield_context yield);
  // Finds the route and the organisation. @return kOk or why the request is
  // refused.
  error_kind Admit();
  // As Admit, but kNotReady where a configuration that may be outdated would
  // decide for good, or one that is outdated would decide at all.
  error_kind AdmitByNewest();
  // Where the request may be handled, by its route and its organisation.
  home_regions Homes() const;
  placement_demand MakeDemand() const;
  // How long the request would run.
  // @param assignment null: none yet; it is not the load that delays it.
  run_prediction PredictRun(const relay_assignment* assignment) const;
  // Until when a response may be written to the caller.
  time_point WriteDeadline() const;
  // Whether the instance still runs when such a request ends.
  bool CanComplete(const run_prediction& predicted) const;
  void RunAttempts(asio::yield_context yield);
  // The upstream whose health `last` affects: the helper that the response
  // names as at fault, otherwise the one the request was sent to.
  static const std::shared_ptr<fleet_upstream>& ResponsibleUpstream(
      const relay_assignment& assignment,
      const attempt& last);
  // Whether a failed attempt says that its upstream can take less.
  static bool IsSetback(const relay_assignment& assignment,
                        const attempt& last);
  // Whether the next attempt must not use a kept connection. Its upstream may
  // close that at any time, and the attempt counts nevertheless.
  bool NeedsFreshConnection() const;
  // Sends the request to an upstream and adds the exchange to `open_`.
  // @return why it was not sent; empty if it was.
  std::optional<attempt> StartAttempt(
      std::unique_ptr<relay_assignment> assignment,
      asio::yield_context yield);
  // @return why no response will come; empty once the request is being sent.
  std::optional<attempt> Send(upstream_exchange& exchange,
                              const std::vector<helper_address>& helpers,
                              asio::yield_context yield);
  // Passes on the response of the open exchange that makes progress first, and
  // closes the others then.
  // @return how the last open exchange ended, or kSilent when another upstream
  //     may be tried beside the open ones.
  attempt RelayResponse(asio::yield_context yield);
  // Relays what arrives until `until`. @return how the exchange ended; empty if
  // it goes on.
  std::optional<attempt> Advance(upstream_exchange& exchange,
                                 time_point until,
                                 asio::yield_context yield);
  std::optional<attempt> HandleHeader(upstream_exchange& exchange);
  // Records that the upstream rejects what this instance added to the request,
  // if `reply` says so. @return whether it does.
  bool RecordRejection(const upstream_exchange& exchange,
                       const upstream_reply& reply);
  std::optional<attempt> AdvanceBody(upstream_exchange& exchange,
                                     std::string_view bytes,
                                     asio::yield_context yield);
  std::optional<attempt> AdvanceEvents(upstream_exchange& exchange,
                                       std::string_view bytes,
                                       asio::yield_context yield);
  // The result of an exchange whose response could not be read further.
  attempt ReadFailure(const upstream_exchange& exchange,
                      error_kind kind,
                      const std::string& detail) const;
  void RecordProgress(upstream_exchange& exchange);
  void CloseAllExcept(const upstream_exchange* exchange);
  // When the upstream has been silent for so long that another one is worth
  // trying. The time in which this process was stalled does not count.
  time_point SilentAt(const upstream_exchange& exchange, time_point now) const;
  // How long to wait until another upstream is looked for again beside the open
  // ones, after none was available or the retry budget was empty.
  static constexpr milliseconds kRepeatCheckPeriod{250};

  bool HasAttemptsLeft() const {
    return route_->IsRetryable() && sent_attempts_ < route_->max_attempts;
  }
  // Whether to look for another upstream beside the open ones now.
  bool MayTryAnother();
  // Records, once for each open exchange, that its upstream is silent.
  void RecordSilence(const attempt& silent, asio::yield_context yield);
  // Handles the end of an exchange that did not complete the response.
  void RecordFailedAttempt(upstream_exchange& exchange,
                           const attempt& last,
                           asio::yield_context yield);
  // Collects the bytes of the events that the caller has not received yet.
  // @param continues no event of this exchange was passed on, but others were:
  //     drops events without an id before the first new one.
  // @return empty when an event is missing from the sequence; `last_event_id_`
  //     stays as it was then.
  std::optional<std::string> CollectNewEvents(
      const std::vector<stream_event>& events,
      bool continues);
  void RecordFirstEvent(upstream_exchange& exchange);
  // Records how long a completed exchange took.
  void RecordRun(const upstream_exchange& exchange);
  // The upstream has survived the start of the response.
  void RecordSurvival(const relay_assignment& assignment);
  bool WriteEvents(const http::response_header<>& header,
                   std::string_view bytes,
                   asio::yield_context yield);
  // Whether another attempt may follow, apart from the retry budget.
  bool MayRepeat() const;
  // Whether another attempt may follow. Spends retry budget for it.
  bool PrepareRetry(const attempt& last);
  void RecordOutcome(const relay_assignment& assignment, const attempt& last);
  // Records what the header of a response says about the requests that the
  // upstream takes. @param names_request whether it responds to this request.
  void RecordReply(const upstream_exchange& exchange,
                   const upstream_reply& reply,
                   bool names_request);
  // Finds out whether an upstream has crashed. Returns when it is known, if the
  // request may be the cause.
  void CheckLiveness(const upstream_exchange& exchange,
                     asio::yield_context yield);
  static void BeginLivenessCheck(
      const relay_services& services,
      const std::shared_ptr<fleet_upstream>& upstream);
  // Why the request must not be sent to another upstream now, if so.
  std::optional<quarantine_refusal> CheckQuarantine() const {
    return services_.quarantine.Check(caller_.shared_parts, trial_start_);
  }
  // Ends all attempts: their results are not wanted any more.
  void Cancel();
  // The response after Cancel, if the caller still waits for one.
  void RespondCancelled(asio::yield_context yield);
  // Logs that the connection closes without a complete response.
  void LogResponseCut(std::string_view reason) const;
  // Logs which configuration refuses the request, and how old it is.
  // @param withheld whether `decision` is not given to the caller, as a newer
  //     configuration may decide otherwise.
  void LogConfigRefusal(error_kind decision, bool withheld) const;
  // Refuses a request that no upstream has run.
  void RespondStopping(const run_prediction& predicted,
                       asio::yield_context yield);
  void RespondQuarantined(const quarantine_refusal& refusal,
                          asio::yield_context yield);
  // Gives the caller a complete response, the only way to do so.
  void Respond(final_response response, asio::yield_context yield);
  void RespondWithError(error_kind kind,
                        milliseconds retry_after,
                        asio::yield_context yield);
  void RespondToFailure(const attempt& last, asio::yield_context yield);
  // How long an upstream may be silent, before the first event and between
  // events, until another one is tried beside it.
  milliseconds FirstEventTimeout(const relay_assignment& assignment) const;
  milliseconds EventGapTimeout(const relay_assignment& assignment) const;
  execution_state execution() const {
    return may_have_run_ || !open_.empty() ? execution_state::kUnknown
                                           : execution_state::kNotExecuted;
  }
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
  duration stalled_at_start_;  // stall_meter::Total at `started_at_`
  time_point caller_deadline_;
  // The caller's deadline less a margin, or the route's timeout if earlier.
  time_point response_deadline_;
  time_point objective_at_;
  std::uint64_t fingerprint_ = 0;
  cancel_token cancel_;
  std::set<std::string> tried_upstreams_;
  composed_request_bound composed_bound_;
  bool may_have_run_ = false;
  bool ended_before_exit_ = false;  // cancelled by EndBeforeExit
  int sent_attempts_ = 0;
  int attempts_ = 0;
  bool kept_connection_broke_ = false;  // in an attempt of this request
  // Attempts whose response may still arrive, in order of their start.
  std::vector<std::unique_ptr<upstream_exchange>> open_;
  // No further upstream is looked for before then, after none was found.
  time_point next_repeat_at_;
  std::optional<std::int64_t> last_event_id_;
  bool stream_started_ = false;
  bool survived_start_ = false;  // the upstream went on after the first event
  std::optional<time_point> trial_start_;  // when it was allowed as a trial
  std::optional<time_point> last_event_write_at_;
  access_record record_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_RUN_H_
