// What this instance knows of each upstream: listing, load by all instances,
// health. Exchanges loads with the other instances.
#ifndef CACTUSWARD_SRC_RELAY_FLEET_SERVICE_H_
#define CACTUSWARD_SRC_RELAY_FLEET_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactusward/engine_placement.h"
#include "cactusward/load_board.h"
#include "cactusward/suspects.h"
#include "cactusward/upstream_catalog.h"
#include "cactusward/upstream_health.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/services/membership_service.h"

namespace cactusward {

class catalog_service;

// One upstream as this instance sees it.
struct fleet_upstream {
  upstream_entry entry;
  std::uint32_t key = 0;   // UpstreamKey of its id
  std::uint64_t rank = 0;  // its place in the order that all instances share
  bool listed = true;
  upstream_health health;
  std::map<std::uint64_t, running_request> running;  // of this instance
  bool liveness_check_pending =
      false;  // whether it lives, after a broken exchange
};

class fleet_service : public service, public peer_news {
 public:
  explicit fleet_service(runtime& runtime) : runtime_(runtime) {}

  std::string_view service_name() const override { return kFleetServiceName; }
  void Start() override;

  // Upstreams of `service` by rank, leaving ones included.
  const std::vector<std::shared_ptr<fleet_upstream>>& Upstreams(
      const std::string& service) const;
  // Whether new requests may go to `upstream`.
  bool IsUsable(const fleet_upstream& upstream, time_point now) const;
  load_board& tracker() { return tracker_; }
  // Whether the instance has started too recently to know what its peers have
  // sent to upstreams.
  bool PeerLoadsUnknown(time_point now) const;

  // The load of this instance changed. @param urgent peers must know at once.
  void OnLoadChanged(bool urgent);
  // Calls `listener` when there may be room.
  void OnCapacityFreed(std::function<void()> listener) {
    capacity_listener_ = std::move(listener);
  }

  void Fill(gossip_message* message, time_point now) override;
  void Take(const gossip_message& message, time_point now) override;

 private:
  void Rebuild();
  void ScheduleBroadcast(duration delay);
  void NotifyCapacityFreed();

  runtime& runtime_;
  catalog_service* catalog_ = nullptr;
  membership_service* membership_ = nullptr;
  load_board tracker_;
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
