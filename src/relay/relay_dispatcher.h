// Assigns requests to upstreams and queues those that no upstream can take yet.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_
#define CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cactusward/home_regions.h"
#include "src/relay/fleet_service.h"

namespace cactusward {

class catalog_service;

// What a request needs of an upstream.
struct placement_demand {
  std::string route;  // its name, for logs
  std::string service;
  std::optional<prompt_request> prompt;  // empty: a call without a prompt
  // The latest time at which the response meets its objective.
  time_point objective_at;
  // The caller abandons the request if no first event has arrived by then.
  time_point caller_timeout_at;
  // The request leaves the queue at this time.
  time_point queue_deadline;
  // Ids of the upstreams that must not be chosen again.
  std::set<std::string> tried_upstreams;
  int priority = 0;  // 0 is the most urgent
  int max_helper_entries = composed_request_bound::kMaxHelperEntries;
  home_regions homes;  // the regions of the upstreams that may be chosen
  // Whether the request must not be sent any more: it then leaves the queue.
  // Empty: it may be sent.
  std::function<bool()> is_refused;
};

// The upstreams that a request is assigned to. Their load includes the request
// until the assignment is destroyed.
class relay_assignment {
 public:
  struct target {
    std::shared_ptr<fleet_upstream> upstream;
    std::int64_t reserved_kv_tokens = 0;  // 0: no reservation is needed
    std::uint64_t tracking_id = 0;
  };

  relay_assignment(fleet_service* fleet, bool urgent)
      : fleet_(fleet), urgent_(urgent) {}
  // Reserves the shares of the limits of all targets, until they are spent or
  // the assignment is destroyed. Call once, when the targets are set.
  void ReserveLimits();
  ~relay_assignment();
  relay_assignment(const relay_assignment&) = delete;
  relay_assignment& operator=(const relay_assignment&) = delete;

  const std::shared_ptr<fleet_upstream>& upstream() const {
    return primary.upstream;
  }
  // Whether all targets still accept requests. The assignment may be older than
  // the announcement that a target leaves, or that it wants no requests.
  bool TargetsAcceptRequests() const;
  // Spends the shares of the limits of all targets, when the request is about
  // to be sent. Later calls have no effect if it has succeeded.
  // @return false if a limit allows no request now; nothing is spent then.
  bool TrySpendLimits(time_point now);
  // Whether the last TrySpendLimits has failed.
  bool withheld_by_limit() const { return withheld_by_limit_; }
  // Whether the upstream could not be reached, if nothing was sent: the request
  // was not withheld, and no helper may be the cause.
  bool NotSentMeansUnreachable() const {
    return helpers.empty() && !withheld_by_limit_ && TargetsAcceptRequests();
  }
  // Reports that prefill is complete on all targets. Idempotent.
  void EndPrefill();

  target primary;
  std::vector<target> helpers;
  double expected_first_event_ms = 0;  // 0 for a call without a prompt
  double prefill_ms = 0;
  double slowdown = 1;  // of the primary upstream, in the expected time

 private:
  template <typename visitor>
  void ForEachUpstream(const visitor& visit) const {
    visit(*primary.upstream);
    for (const target& helper : helpers)
      visit(*helper.upstream);
  }
  void UnreserveLimits();

  fleet_service* fleet_;
  bool urgent_;
  bool prefilling_ = true;
  bool limits_reserved_ = false;
  bool limits_spent_ = false;
  bool withheld_by_limit_ = false;
};

// Why a request could not be assigned.
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
  // Counts and logs a request that an upstream rejected for what this instance
  // added to it. `sent`: what that was.
  void RecordComposedRejection(const nlohmann::json& sent);
  int composed_requests_rejected() const { return composed_rejections_; }

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
  // A prompt that is split needs several requests to each upstream in a short
  // time (reservation, part, release), which the limit of a cold one does not
  // allow. @return the placement, without cold upstreams if it is split.
  std::optional<engine_placement> PlaceAwayFromCold(
      const engine_parameters& engine,
      const placement_settings& settings,
      const prompt_request& request,
      const std::vector<std::shared_ptr<fleet_upstream>>& upstreams,
      std::vector<engine_view> engines,
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
  milliseconds RetryAfter(const placement_demand& demand, time_point now) const;
  void LogWithoutUpstream(const placement_demand& demand, time_point now) const;
  // Logs the state of the upstreams when a request leaves the queue unassigned.
  void LogNotPlaced(const placement_demand& demand, time_point now);
  placement_settings PlacementSettings(const std::string& service) const;
  const engine_parameters* FindEngine(const std::string& service) const;
  void ScheduleDispatch();
  void DispatchQueued();

  runtime& runtime_;
  catalog_service* catalog_ = nullptr;
  fleet_service* fleet_ = nullptr;
  std::list<waiter*> waiters_;
  time_point not_placed_logged_at_;
  // By route.
  mutable std::map<std::string, time_point> without_upstream_logged_at_;
  int composed_rejections_ = 0;
  bool dispatch_scheduled_ = false;
  std::unique_ptr<asio::steady_timer> dispatch_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_DISPATCHER_H_
