// Runs the gossip membership protocol over UDP. Its messages also carry
// configuration, load and suspect updates.
#ifndef CACTUSWARD_SRC_SERVICES_MEMBERSHIP_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_MEMBERSHIP_SERVICE_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/broadcast_plan.h"
#include "cactusward/membership.h"
#include "cactusward/peer_formats.h"
#include "cactusward/standstill.h"
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
  // Sends pending updates to all live peers immediately: to those of the own
  // availability zone directly, to each other zone through one of its
  // instances.
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
  // Live instances other than this one, valid until the next message or tick.
  std::vector<const member*> LivePeers() const { return table_.LivePeers(); }
  std::vector<member> All() const { return table_.All(); }
  std::size_t LiveCount() const { return live_count_; }
  bool HasPeers() const { return table_.HasPeers(); }
  std::optional<time_point> LastMessageTime() const {
    return table_.LastMessageTime();
  }
  // Whether the instance `name` is live with `incarnation` or a higher one.
  bool IsLive(const std::string& name, std::uint64_t incarnation) const;
  const gossip_socket::counters& traffic() const { return socket_.totals(); }
  // Live members that read only gossip formats before this release's.
  std::size_t older_peers() const { return older_peers_; }
  // Messages of other availability zones that were passed on in the own one.
  std::int64_t rebroadcast_messages() const { return rebroadcast_messages_; }
  // Datagrams of which something could not be read.
  std::int64_t unreadable_datagrams() const { return unreadable_datagrams_; }

 private:
  struct queued_suspect_report {
    suspect_report report;
    time_point heard_at;
    int sends_left = 0;  // messages that will still carry the report
  };
  struct peer_load {
    std::vector<in_flight_report> reports;
    time_point heard_at;
    report_order order;
  };

  void Tick(time_point now);
  // Pings known addresses that are not live members, so that separated groups
  // merge after a network partition.
  void ContactMissingPeers(time_point now);
  void Receive(std::string_view bytes);
  void Handle(const gossip_message& received, time_point now);
  // Sends `message`, of which `encoded` is the newest format, to each of
  // `peers` in a format that it reads.
  void SendToAll(const std::vector<const member*>& peers,
                 const gossip_message& message,
                 std::string_view encoded);
  // Passes a message of another availability zone on within the own one.
  // Fields of later formats, which only `encoded` has, are passed on as well.
  void Rebroadcast(const gossip_message& message, std::string_view encoded);
  void Send(std::vector<outbound_message> messages);
  void FillMessage(gossip_message* message);
  // Passes the prompt tokens that peers have in flight to the upstream
  // directory, and drops expired reports.
  void UpdatePeerBacklog(time_point now);
  void UpdateLiveCount();
  void UpdatePeerFormats();
  // Counts a datagram that cannot be read (`fields` is -1), or of which
  // `fields` fields were left out, and logs it at a bounded rate.
  void RecordUnreadable(int fields, time_point now);

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
  peer_formats formats_;
  standstill standstill_;
  std::int64_t last_order_ = 0;
  std::int64_t rebroadcast_messages_ = 0;
  std::size_t older_peers_ = 0;
  std::int64_t unreadable_datagrams_ = 0;
  std::optional<time_point> unreadable_logged_at_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_MEMBERSHIP_SERVICE_H_
