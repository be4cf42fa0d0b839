// Assigns admitted requests to upstreams: queueing, placement, and early
// refusal of requests that cannot meet their deadline.
#ifndef CACTUSWARD_SRC_SERVICES_DISPATCHER_H_
#define CACTUSWARD_SRC_SERVICES_DISPATCHER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactusward/admission.h"
#include "cactusward/routing.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/services/upstream_directory.h"

namespace cactusward {

class config_service;
class evacuation_service;

// Input of dispatcher::Place.
struct placement_request {
  std::string service;
  std::string organisation;
  std::size_t length_class = 0;
  routing_request routing;
  std::uint64_t fingerprint = 0;
  time_point deadline;
  milliseconds min_decode_time{0};  // after the first token
  // As for upstream_directory::Begin.
  std::function<bool()> may_move;
};

// A request assigned to an upstream. Ends the dispatch when destroyed.
class placed_request {
 public:
  placed_request(upstream_directory* directory,
                 upstream_pool* pool,
                 std::uint64_t id,
                 std::string address);
  ~placed_request();
  placed_request(const placed_request&) = delete;
  placed_request& operator=(const placed_request&) = delete;

  const std::string& address() const { return address_; }
  upstream_pool* pool() const { return pool_; }
  void RecordFirstToken() { pool_->RecordFirstToken(id_); }
  void RecordBytes() { directory_->RecordBytes(pool_, id_); }

 private:
  upstream_directory* directory_;
  upstream_pool* pool_;
  std::uint64_t id_;
  std::string address_;
};

class dispatcher : public service {
 public:
  explicit dispatcher(runtime& runtime);

  std::string_view service_name() const override {
    return kDispatcherServiceName;
  }
  void Start() override;

  // Waits until an upstream has capacity for the request.
  // @param cancel cancelling it ends the wait. It is also
  //     cancelled as for upstream_directory::Begin. It must outlive the
  //     returned object.
  // @return kQueueFull, kOrganisationLimit, kDeadlineInfeasible, kNoUpstream
  //     or kCallerGone; nothing has been sent in any of these cases.
  result<std::unique_ptr<placed_request>> Place(
      const placement_request& request,
      cancel_token* cancel,
      asio::yield_context yield);

  // Whether the policy in force sends request priorities to the engines.
  bool UsesPriorities() const { return policy_ && policy_->UsesPriorities(); }
  organisation_limiter& limiter() { return limiter_; }
  std::vector<queue_row> QueueRows() const;
  std::size_t queued() const { return queue_.size(); }

 private:
  struct waiter {
    explicit waiter(asio::io_context& io) : timer(io) {}
    const placement_request* request = nullptr;
    cancel_token* cancel = nullptr;
    asio::steady_timer timer;
    std::unique_ptr<placed_request> placed;
    error_kind failure = error_kind::kOk;
  };

  // Assigns the request to an upstream now, if possible.
  // @param failure set when waiting cannot help.
  // @return null when `failure` is set or the request should wait.
  std::unique_ptr<placed_request> TryPlace(const placement_request& request,
                                           cancel_token* cancel,
                                           error_kind* failure);
  // Estimated time to process the prompts queued ahead of `request`, over all
  // upstreams of the pool.
  milliseconds QueueDelay(const placement_request& request,
                          upstream_pool* pool) const;
  // Runs DispatchQueued soon; calls made before it runs are merged.
  void ScheduleDispatch();
  // Places queued requests, in queue order, as far as capacity allows.
  void DispatchQueued();

  runtime& runtime_;
  config_service* config_ = nullptr;
  const evacuation_service* evacuations_ = nullptr;
  upstream_directory* directory_ = nullptr;
  std::unique_ptr<routing_policy> policy_;
  routing_settings policy_settings_;
  organisation_limiter limiter_;
  request_queue queue_;
  std::map<std::uint64_t, waiter*> waiters_;
  std::unique_ptr<timer_subscription> dispatch_timer_;
  asio::steady_timer dispatch_delay_;
  bool dispatch_scheduled_ = false;
  std::uint64_t next_id_ = 1;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_DISPATCHER_H_
