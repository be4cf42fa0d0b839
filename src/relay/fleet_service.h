// Tracks the registration, load and health of each upstream, and exchanges
// load reports with the other instances.
#ifndef CACTUSWARD_SRC_RELAY_FLEET_SERVICE_H_
#define CACTUSWARD_SRC_RELAY_FLEET_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactusward/engine_placement.h"
#include "cactusward/load_tracker.h"
#include "cactusward/suspects.h"
#include "cactusward/upstream_catalog.h"
#include "cactusward/upstream_health.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/services/membership_service.h"

namespace cactusward {

class catalog_service;

// The state of one upstream as known to this instance.
struct fleet_upstream {
  upstream_entry entry;
  std::uint32_t key = 0;   // UpstreamKey of its id
  std::uint64_t rank = 0;  // sort key; the same on all instances
  bool listed = true;
  upstream_health health;
  // Whether it is registered and has not announced that it leaves.
  bool AcceptsRequests() const { return listed && !entry.leaving; }
  // Requests sent by this instance, by tracking id.
  std::map<std::uint64_t, running_request> running;
  // Requests a second that it takes from all instances, as its latest response
  // to this instance states.
  std::optional<double> named_limit;
  // A test connection is in progress after a failed exchange.
  bool liveness_check_pending = false;
};

class fleet_service : public service, public gossip_extension {
 public:
  explicit fleet_service(runtime& runtime) : runtime_(runtime) {}

  std::string_view service_name() const override { return kFleetServiceName; }
  void Start() override;

  // Listed upstreams of `service` in order of rank, including those that are
  // leaving.
  const std::vector<std::shared_ptr<fleet_upstream>>& Upstreams(
      const std::string& service) const;
  // Whether new requests may be sent to `upstream`.
  bool IsUsable(const fleet_upstream& upstream, time_point now) const;
  load_tracker& tracker() { return tracker_; }
  // Whether this instance has started too recently to have received the load
  // reports of its peers.
  bool PeerLoadsUnknown(time_point now) const;

  // Schedules a report of this instance's load to its peers.
  // @param urgent the report is sent without the batching delay.
  void OnLoadChanged(bool urgent);
  // Sets the listener that is called when upstream capacity may have become
  // available.
  void OnCapacityFreed(std::function<void()> listener) {
    capacity_listener_ = std::move(listener);
  }

  void AddFields(gossip_message* message, time_point now) override;
  void OnMessage(const gossip_message& message, time_point now) override;

 private:
  void Rebuild();
  void ScheduleBroadcast(duration delay);
  void NotifyCapacityFreed();

  runtime& runtime_;
  catalog_service* catalog_ = nullptr;
  membership_service* membership_ = nullptr;
  load_tracker tracker_;
  time_point started_at_;
  std::map<std::string, std::shared_ptr<fleet_upstream>> by_id_;
  std::map<std::string, std::vector<std::shared_ptr<fleet_upstream>>>
      by_service_;
  std::function<void()> capacity_listener_;
  std::unique_ptr<asio::steady_timer> broadcast_timer_;
  std::optional<time_point> broadcast_at_;
  bool load_changed_ = false;
  std::unique_ptr<timer_subscription> refresh_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_FLEET_SERVICE_H_
