// State common to all caller requests: organisation, deadline and access
// record.
#ifndef CACTUSWARD_SRC_REQUEST_REQUEST_CONTEXT_H_
#define CACTUSWARD_SRC_REQUEST_REQUEST_CONTEXT_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

#include "cactusward/config_tracker.h"
#include "src/daemon/pending_work.h"
#include "src/edges/http_server.h"
#include "src/services/dispatcher.h"
#include "src/services/report_service.h"

namespace cactusward {

class evacuation_service;
class lifecycle_service;
class recovery_service;
class claim_service;

// The services that request handlers use.
struct handler_services {
  config_service* config = nullptr;
  evacuation_service* evacuations = nullptr;
  lifecycle_service* lifecycle = nullptr;
  upstream_directory* directory = nullptr;
  dispatcher* dispatch = nullptr;
  recovery_service* recovery = nullptr;
  claim_service* claims = nullptr;
  report_service* report = nullptr;

  static handler_services FindIn(const service_registry& registry);
};

// Per-request state, listed as pending work. The destructor returns the
// admitted capacity and writes the access record. Lives as long as the handler.
// Not thread-safe.
class request_context : public pending_work {
 public:
  request_context(runtime& runtime,
                  const handler_services& services,
                  http_exchange& exchange);
  ~request_context() override;
  request_context(const request_context&) = delete;
  request_context& operator=(const request_context&) = delete;

  nlohmann::json Describe(time_point now) const override;
  void EndBeforeExit() override;
  // Whether EndBeforeExit was called.
  bool ended_before_exit() const { return ended_before_exit_; }
  // Sets the hook that EndBeforeExit calls; an empty hook removes it.
  void OnEndBeforeExit(std::function<void()> hook) {
    on_end_ = std::move(hook);
  }

  // Checks readiness of the instance and the caller's bearer key.
  // @return kNotReady, kDraining or kUnauthenticated.
  result<bool> Authenticate();
  // Sets the deadline, counted from started_at(): X-Deadline-Ms, but at most
  // `time_limit` and the configured maximum.
  // @return kDeadlineOutOfRange for a malformed or out-of-range header.
  result<bool> SetDeadline(milliseconds time_limit);
  // Admits `tokens` prompt tokens under the organisation's limits.
  // Precondition: Authenticate() succeeded.
  // @return kOrganisationLimit when a limit is reached.
  result<bool> Admit(std::int64_t tokens);

  const fleet_config& config() const { return active_->config; }
  const organisation& caller() const { return *organisation_; }
  const std::string& request_id() const { return record_.request_id; }
  time_point deadline() const { return deadline_; }
  // Until when a response may be written: a caller may read slowly until its
  // deadline.
  time_point WriteDeadline() const {
    constexpr milliseconds kMinWriteTime{10'000};
    return std::max(clock::now() + kMinWriteTime, deadline_);
  }
  time_point started_at() const { return started_at_; }
  std::uint64_t fingerprint() const { return fingerprint_; }
  http_exchange& exchange() { return exchange_; }
  access_record& record() { return record_; }
  const handler_services& services() const { return services_; }

  // Records the failure and sends an error response, unless a response has
  // begun or the caller has disconnected.
  void Fail(error_kind kind,
            std::string_view detail,
            asio::yield_context yield);

 private:
  const handler_services& services_;
  http_exchange& exchange_;
  std::shared_ptr<const active_config> active_;
  const organisation* organisation_ = nullptr;
  bool admitted_ = false;
  bool ended_before_exit_ = false;
  std::function<void()> on_end_;
  time_point started_at_;
  time_point deadline_;
  std::uint64_t fingerprint_ = 0;
  access_record record_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_REQUEST_REQUEST_CONTEXT_H_
