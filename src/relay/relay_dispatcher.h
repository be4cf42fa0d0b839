// Assigns requests to upstreams and queues those that no upstream can take yet.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_
#define CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactusward/admission_queue.h"
#include "src/relay/fleet_service.h"
#include "src/relay/placement_demand.h"
#include "src/relay/relay_assignment.h"

namespace cactusward {

class catalog_service;

// Why a request could not be assigned.
struct dispatch_failure {
  error_kind kind = error_kind::kNoUpstream;
  milliseconds retry_after{0};
};

class relay_dispatcher : public service {
 public:
  explicit relay_dispatcher(runtime& runtime)
      : runtime_(runtime),
        queue_({runtime.settings.forwarding->refuse_on_arrival,
                runtime.settings.forwarding->fair_queue}) {}

  std::string_view service_name() const override {
    return kRelayDispatcherName;
  }
  void Start() override;

  // Waits until the request can be assigned, it is cancelled or its queue
  // deadline passes. @return null on failure, with the cause in `reason`.
  std::unique_ptr<relay_assignment> Acquire(const placement_demand& demand,
                                            cancel_token* cancel,
                                            dispatch_failure* reason,
                                            asio::yield_context yield);
  // For how long no upstream of `service` takes a request from this instance;
  // nullopt if one does.
  std::optional<milliseconds> HeldBackTime(const std::string& service,
                                           time_point now) const;
  std::size_t waiting() const { return waiters_.size(); }
  std::map<int, std::size_t> WaitingByPriority() const {
    return queue_.SizeByPriority();
  }
  int refused_on_arrival() const { return refused_on_arrival_; }
  // Counts and logs a request that an upstream rejected for what this instance
  // added to it. `sent`: what that was.
  void RecordComposedRejection(const nlohmann::json& sent);
  int composed_requests_rejected() const { return composed_rejections_; }

 private:
  struct waiter {
    waiter(asio::io_context& io, const placement_demand* d)
        : demand(d), timer(io) {}
    const placement_demand* demand;
    std::uint64_t id = 0;  // in the queue
    time_point arrived_at;
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
  // Whether no upstream that the request may still be sent to takes one from
  // this instance before the request leaves the queue, because of its request
  // limit, because it wants none for a time, or because its zone is evacuated.
  bool IsHeldBack(const placement_demand& demand,
                  dispatch_failure* reason,
                  time_point now) const;
  // Whether no upstream can take the request until the configuration, the list
  // of upstreams or an evacuation changes: none is in an allowed region, or all
  // registered ones there are in evacuated zones.
  bool HasNoUpstream(const placement_demand& demand, time_point now) const;
  // Whether `upstream` may be chosen for the request at all.
  static bool IsEligible(const placement_demand& demand,
                         const fleet_upstream& upstream);
  std::vector<engine_view> EngineViews(const placement_demand& demand,
                                       time_point now) const;
  // What admission knows of a request that waits with the id `id`; nullopt for
  // a call.
  std::optional<admission_view> AdmissionView(const placement_demand& demand,
                                              std::uint64_t id,
                                              time_point now) const;
  // Waits for the assignment of a queued request.
  void Wait(waiter* self,
            cancel_token* cancel,
            dispatch_failure* reason,
            asio::yield_context yield);
  // Adds a request to the queue, and places it if it is its turn.
  void Enqueue(waiter* waiting, time_point now);
  void Dequeue(const waiter& waiting);
  // Whether the request would wait in vain. Logs and counts it if so.
  bool IsRefusedOnArrival(const waiter& waiting,
                          dispatch_failure* reason,
                          time_point now);
  milliseconds RetryTime(const waiter& waiting, time_point now) const;
  void LogWithoutUpstream(const placement_demand& demand, time_point now) const;
  placement_settings PlacementSettings(const placement_demand& demand,
                                       time_point now) const;
  const engine_parameters* FindEngine(const std::string& service) const;
  void ScheduleDispatch();
  void DispatchQueued();

  runtime& runtime_;
  catalog_service* catalog_ = nullptr;
  fleet_service* fleet_ = nullptr;
  admission_queue queue_;
  std::map<std::uint64_t, waiter*> waiters_;  // by id in the queue
  int refused_on_arrival_ = 0;
  time_point refused_logged_at_;
  time_point not_placed_logged_at_;
  // By route.
  mutable std::map<std::string, time_point> without_upstream_logged_at_;
  int composed_rejections_ = 0;
  bool dispatch_scheduled_ = false;
  std::unique_ptr<asio::steady_timer> dispatch_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_
