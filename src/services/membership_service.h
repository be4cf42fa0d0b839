// Runs the gossip membership protocol over UDP. Its messages also carry
// configuration, load and suspect updates.
#ifndef CACTUSWARD_SRC_SERVICES_MEMBERSHIP_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_MEMBERSHIP_SERVICE_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/membership.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/edges/gossip_socket.h"

namespace cactusward {

class config_service;
class upstream_directory;
class recovery_service;

// A component that adds its own fields to every gossip message.
class gossip_extension {
 public:
  virtual ~gossip_extension() = default;
  // Adds the component's fields to an outgoing message. Their size must be
  // bounded, because a datagram must not be fragmented.
  virtual void AddFields(gossip_message* message, time_point now) = 0;
  // Handles a message of another instance.
  virtual void OnMessage(const gossip_message& message, time_point now) = 0;
};

class membership_service : public service {
 public:
  explicit membership_service(runtime& runtime);

  std::string_view service_name() const override {
    return kMembershipServiceName;
  }
  void Start() override;
  // @return false when the peer address cannot be bound.
  bool Listen();

  // Precondition: `extension` outlives the service.
  void AddExtension(gossip_extension* extension) {
    extensions_.push_back(extension);
  }
  // Sends pending updates to a few random peers immediately.
  void PushUpdates();
  // Sends pending updates to all live peers immediately, or to kMaxBroadcast
  // random ones in a larger fleet.
  void Broadcast();
  // Queues reports of crashes blamed on requests, and pushes them to peers.
  void PushSuspects(const std::vector<suspect_report>& reports);
  // Announces to the fleet that this instance is leaving.
  void Leave();
  // Sets the peers named in the platform's instance list.
  void SetListedPeers(std::vector<std::string> peer_addresses) {
    listed_peers_ = std::move(peer_addresses);
  }

  std::vector<member> Live() const { return table_.Live(); }
  std::vector<member> All() const { return table_.All(); }
  std::size_t LiveCount() const { return live_count_; }
  bool HasPeers() const { return table_.HasPeers(); }
  std::optional<time_point> LastMessageTime() const {
    return table_.LastMessageTime();
  }
  // Whether the instance `name` is live with `incarnation` or a higher one.
  bool IsLive(const std::string& name, std::uint64_t incarnation) const;
  const gossip_socket::counters& traffic() const { return socket_.totals(); }

 private:
  struct queued_suspect_report {
    suspect_report report;
    time_point heard_at;
    int sends_left = 0;  // messages that will still carry the report
  };
  struct peer_load {
    std::vector<in_flight_report> reports;
    time_point heard_at;
  };

  void Tick(time_point now);
  // Pings known addresses that are not live members, so that separated groups
  // merge after a network partition.
  void ContactMissingPeers(time_point now);
  void Receive(std::string_view bytes);
  void Send(std::vector<outbound_message> messages);
  void FillMessage(gossip_message* message);
  // Passes the prompt tokens that peers have in flight to the upstream
  // directory, and drops expired reports.
  void UpdatePeerBacklog(time_point now);
  void UpdateLiveCount();

  runtime& runtime_;
  member_table table_;
  gossip_socket socket_;
  config_service* config_ = nullptr;
  upstream_directory* directory_ = nullptr;
  recovery_service* recovery_ = nullptr;
  std::vector<gossip_extension*> extensions_;
  std::vector<std::string> listed_peers_;
  std::deque<queued_suspect_report> suspect_queue_;
  std::unordered_map<std::string, peer_load> peer_loads_;
  std::unique_ptr<timer_subscription> tick_timer_;
  std::unique_ptr<timer_subscription> contact_timer_;
  std::size_t live_count_ = 1;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_MEMBERSHIP_SERVICE_H_
