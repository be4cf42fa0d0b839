// Gives requests a place at an upstream, and keeps those waiting for which
// there is none yet.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_
#define CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_

#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/relay/fleet_service.h"

namespace cactusward {

class catalog_service;

// What a request needs.
struct placement_demand {
  std::string service;
  std::optional<prompt_request> prompt;  // none: a plain call
  time_point objective_at;               // later than this the answer is late
  time_point
      caller_timeout_at;      // the caller waits for no first event for longer
  time_point queue_deadline;  // it does not wait for a place for longer
  std::set<std::string>
      tried_upstreams;  // upstreams that it must not go to again
  int priority = 0;     // 0 is the most urgent
};

// A place at an upstream, accounted for until it is destroyed.
class relay_assignment {
 public:
  struct target {
    std::shared_ptr<fleet_upstream> upstream;
    std::int64_t reserved_kv_tokens = 0;  // to reserve; 0: nothing
    std::uint64_t tracking_id = 0;
  };

  relay_assignment(fleet_service* fleet, bool urgent)
      : fleet_(fleet), urgent_(urgent) {}
  ~relay_assignment();
  relay_assignment(const relay_assignment&) = delete;
  relay_assignment& operator=(const relay_assignment&) = delete;

  const std::shared_ptr<fleet_upstream>& upstream() const {
    return primary.upstream;
  }
  // The prompt has been read.
  void EndPrefill();

  target primary;
  std::vector<target> helpers;
  double expected_first_event_ms = 0;  // of the first event; 0: plain call
  double prefill_ms = 0;

 private:
  fleet_service* fleet_;
  bool urgent_;
  bool prefilling_ = true;
};

// Why there was no place.
struct dispatch_failure {
  error_kind kind = error_kind::kNoUpstream;
  milliseconds retry_after{0};
};

class relay_dispatcher : public service {
 public:
  explicit relay_dispatcher(runtime& runtime) : runtime_(runtime) {}

  std::string_view service_name() const override {
    return kRelayDispatcherName;
  }
  void Start() override;

  // Waits for a place. @return null with the reason in `reason`.
  std::unique_ptr<relay_assignment> Acquire(const placement_demand& demand,
                                            cancel_token* cancel,
                                            dispatch_failure* reason,
                                            asio::yield_context yield);
  std::size_t waiting() const { return waiters_.size(); }

 private:
  struct waiter {
    waiter(asio::io_context& io, const placement_demand* d)
        : demand(d), timer(io) {}
    const placement_demand* demand;
    asio::steady_timer timer;
    std::unique_ptr<relay_assignment> assignment;
  };

  std::unique_ptr<relay_assignment> TryAssign(const placement_demand& demand,
                                              time_point now);
  std::unique_ptr<relay_assignment> TryAssignCall(
      const placement_demand& demand,
      time_point now);
  std::unique_ptr<relay_assignment> TryAssignPrompt(
      const placement_demand& demand,
      const engine_parameters& engine,
      time_point now);
  milliseconds RetryAfter(const placement_demand& demand, time_point now) const;
  placement_settings PlacementSettings(const std::string& service) const;
  const engine_parameters* FindEngine(const std::string& service) const;
  void ScheduleDispatch();
  void DispatchQueued();

  runtime& runtime_;
  catalog_service* catalog_ = nullptr;
  fleet_service* fleet_ = nullptr;
  std::list<waiter*> waiters_;
  bool dispatch_scheduled_ = false;
  std::unique_ptr<asio::steady_timer> dispatch_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_
