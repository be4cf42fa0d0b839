// Readiness and graceful shutdown.
#ifndef CACTUSWARD_SRC_SERVICES_LIFECYCLE_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_LIFECYCLE_SERVICE_H_

#include <functional>
#include <optional>

#include "src/daemon/names.h"
#include "src/daemon/pending_work.h"
#include "src/daemon/runtime.h"
#include "src/daemon/stop_schedule.h"
#include "src/edges/http_server.h"

namespace cactusward {

class config_service;
class evacuation_service;
class claim_service;
class membership_service;
class path_service;

class lifecycle_service : public service {
 public:
  // Precondition: `server`, which receives the requests, outlives this object.
  lifecycle_service(runtime& runtime, http_server* server)
      : runtime_(runtime), server_(server) {}

  std::string_view service_name() const override {
    return kLifecycleServiceName;
  }
  void Start() override;

  // Begins graceful shutdown. Readiness ends immediately. Requests are admitted
  // for settings.drain_grace, so that the load balancer can notice, and refused
  // after that. Requests that are in flight shortly before settings.drain_limit
  // has passed are ended. When no request is in flight or partly received and
  // no claim write is pending, or at the limit, the OnDrained callback runs.
  void Drain();
  void OnDrained(std::function<void()> on_drained) {
    on_drained_ = std::move(on_drained);
  }

  bool draining() const { return schedule_.has_value(); }
  bool IsReady(time_point now) const;
  // @return kOk when a request arriving at `now` is admitted; otherwise
  //     kDraining or kNotReady.
  error_kind Admission(time_point now) const;

  // The requests in progress.
  pending_work_list& pending() { return pending_; }
  std::size_t in_flight() const { return pending_.size(); }

 private:
  // Whether the configuration and the evacuated zones are known well enough to
  // admit requests.
  bool IsUsable(time_point now) const;
  bool HasPendingWork() const;
  void WaitUntilDrained(asio::yield_context yield);
  void WaitForPendingWork(time_point until, asio::yield_context yield);

  runtime& runtime_;
  http_server* server_;
  config_service* config_ = nullptr;
  const evacuation_service* evacuations_ = nullptr;
  claim_service* claims_ = nullptr;
  membership_service* membership_ = nullptr;
  const path_service* paths_ = nullptr;
  std::optional<stop_schedule> schedule_;
  std::function<void()> on_drained_;
  pending_work_list pending_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_LIFECYCLE_SERVICE_H_
