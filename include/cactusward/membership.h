// SWIM-style membership protocol. In each period a member probes one other
// member. If the probe fails, it asks other members to probe on its behalf
// before it suspects the target. Membership updates are piggybacked on the
// probes. The cost per member does not grow with the size of the fleet.
#ifndef CACTUSWARD_MEMBERSHIP_H_
#define CACTUSWARD_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cactusward/evacuation_set.h"
#include "cactusward/load_tracker.h"
#include "cactusward/part_quarantine.h"
#include "cactusward/registry_position.h"
#include "cactusward/result.h"
#include "cactusward/time.h"
#include "cactusward/upstream_limits.h"

namespace cactusward {

enum class member_state : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// Name of a state, for logs and tables. Thread-safe.
std::string_view NameOf(member_state state);

// What is known of one instance. A higher incarnation supersedes a lower one;
// within one incarnation, the later state in the enumeration supersedes.
struct member {
  std::string name;
  std::uint64_t incarnation = 0;
  member_state state = member_state::kAlive;
  std::string address;       // HTTP, IP:port
  std::string peer_address;  // gossip datagrams and peer calls, IP:port
  std::string availability_zone;
  // Encoded fields of a later format, which are passed on unchanged.
  std::string extensions;

  friend bool operator==(const member& a, const member& b) {
    return a.name == b.name && a.incarnation == b.incarnation &&
           a.state == b.state && a.address == b.address &&
           a.peer_address == b.peer_address &&
           a.availability_zone == b.availability_zone &&
           a.extensions == b.extensions;
  }
};

// Whether `next` supersedes `known`. Precondition: both have the same name.
// Thread-safe.
bool Supersedes(const member& next, const member& known);

// An upstream crashed while it ran a request.
struct suspect_report {
  std::uint64_t fingerprint = 0;
  std::uint32_t upstream = 0;  // UpstreamKey
  std::int64_t age_ms = 0;     // since the crash
  bool strong = false;         // crashed before the request's first token

  friend bool operator==(const suspect_report& a, const suspect_report& b) {
    return a.fingerprint == b.fingerprint && a.upstream == b.upstream &&
           a.age_ms == b.age_ms && a.strong == b.strong;
  }
};

// Prompt tokens that requests of one instance have outstanding at one upstream.
struct in_flight_report {
  std::uint32_t upstream = 0;  // hash of the upstream's name
  std::int64_t prefill_tokens = 0;

  friend bool operator==(const in_flight_report& a, const in_flight_report& b) {
    return a.upstream == b.upstream && a.prefill_tokens == b.prefill_tokens;
  }
};

// An upstream announced that it is leaving.
struct leaving_report {
  std::uint32_t upstream = 0;  // UpstreamKey
  std::int64_t age_ms = 0;     // since the announcement

  friend bool operator==(const leaving_report& a, const leaving_report& b) {
    return a.upstream == b.upstream && a.age_ms == b.age_ms;
  }
};

// A change to the registry entry of one upstream.
struct catalog_change {
  std::string id;
  std::int64_t revision = 0;            // in the sender's era
  std::optional<std::string> document;  // absent if the entry was removed

  friend bool operator==(const catalog_change& a, const catalog_change& b) {
    return a.id == b.id && a.revision == b.revision && a.document == b.document;
  }
};

enum class gossip_kind : std::uint8_t { kPing, kAck, kPingRequest, kUpdate };

// The format that every supported release reads. It cannot be extended.
constexpr int kBaseGossipFormat = 7;
// The newest format of this release. Later ones append fields to it.
constexpr int kGossipFormat = 9;
// Items of a list that every release reads; it leaves out longer lists.
constexpr std::size_t kMaxGossipListItems = 512;

// A datagram between instances.
struct gossip_message {
  gossip_kind kind = gossip_kind::kPing;
  std::uint32_t sequence = 0;
  member sender;
  std::string target;              // kPingRequest: the member to probe
  std::string target_address;      // kPingRequest
  std::int64_t config_number = 0;  // revision in force at the sender
  // Since the key-value service confirmed the revision; -1: never.
  std::int64_t confirmed_age_ms = -1;
  std::vector<member> members;
  std::vector<suspect_report> suspects;
  std::vector<in_flight_report> in_flight;
  std::vector<leaving_report> leaving;
  registry_position catalog_position;  // known to the sender
  // Every change to upstreams after this revision of the same era, up to and
  // including `catalog_position`, is in `changes`; -1: changes are not
  // included.
  std::int64_t changes_after = -1;
  std::vector<catalog_change> changes;
  std::vector<upstream_load> loads;   // load of the sender's requests
  std::vector<crash_report> crashes;  // seen by the sender itself
  std::vector<quarantine_report> quarantines;
  std::vector<sound_part_report> sound_parts;
  std::vector<limit_report> limits;
  // Increases from message to message of a process; 0: not known.
  std::int64_t order = 0;
  // An encoded message of the sender that the receiver handles and passes on to
  // the instances of its availability zone. Other fields are then not in use.
  std::string rebroadcast;
  // Zones that are or were evacuated.
  std::vector<evacuation_report> evacuations;
  // Whether these are all that the sender reports: earlier formats have none.
  bool has_evacuations = true;
  // The newest format that the sender reads; of a ping request in the base
  // format it is not known.
  int sender_format = kGossipFormat;
  // Fields and list items that this release could not read and left out.
  int unreadable_fields = 0;

  friend bool operator==(const gossip_message& a, const gossip_message& b) {
    return a.kind == b.kind && a.sequence == b.sequence &&
           a.sender == b.sender && a.target == b.target &&
           a.target_address == b.target_address &&
           a.config_number == b.config_number &&
           a.confirmed_age_ms == b.confirmed_age_ms && a.members == b.members &&
           a.suspects == b.suspects && a.in_flight == b.in_flight &&
           a.leaving == b.leaving && a.catalog_position == b.catalog_position &&
           a.loads == b.loads && a.crashes == b.crashes &&
           a.quarantines == b.quarantines && a.sound_parts == b.sound_parts &&
           a.limits == b.limits && a.order == b.order &&
           a.rebroadcast == b.rebroadcast && a.evacuations == b.evacuations &&
           a.has_evacuations == b.has_evacuations &&
           a.sender_format == b.sender_format &&
           a.unreadable_fields == b.unreadable_fields;
  }
};

// Encodes as CBOR. Precondition: `format` is from kBaseGossipFormat to
// kGossipFormat. Thread-safe.
std::string EncodeGossip(const gossip_message& message,
                         int format = kGossipFormat);
// Decodes the output of EncodeGossip of this release, of earlier ones down to
// the base format and of later ones.
// @return kBadRequest if the sender cannot be read. Thread-safe.
result<gossip_message> DecodeGossip(std::string_view bytes);

struct membership_settings {
  milliseconds probe_period{400};
  milliseconds probe_timeout{150};      // then indirect probes are sent
  milliseconds suspect_timeout{1200};   // then a suspect is considered dead
  milliseconds forget_timeout{60'000};  // then a dead member is removed
  int indirect_probes = 2;
};

// A message and its destination.
struct outbound_message {
  std::string peer_address;
  gossip_message message;
};

// Protocol state machine of one member. It does no I/O and reads no clock. Not
// thread-safe.
class member_table {
 public:
  // @param self this instance; its incarnation must exceed that of every
  //     earlier process with the same name.
  // @param random_seed seeds the selection of probe targets.
  member_table(member self,
               const membership_settings& settings,
               std::uint64_t random_seed);

  // Advances time: handles expired probes and starts new ones.
  // @return messages to send. Call at least once per quarter of the probe
  //     period.
  std::vector<outbound_message> Tick(time_point now);

  // Processes a received message. @return messages to send in response.
  std::vector<outbound_message> Receive(const gossip_message& message,
                                        time_point now);

  // Merges an update from another source, such as the platform's instance list.
  // @return whether anything changed.
  bool Merge(const member& update, time_point now);

  // Suspects a member of having been replaced by another process, so that it
  // refutes this and all others learn of the new process. The response to its
  // next ping tells it.
  void Suspect(const std::string& name, time_point now) {
    SetState(name, member_state::kSuspect, now);
  }

  // Builds a ping to an address at which no member is known yet.
  outbound_message JoinPing(const std::string& peer_address);

  // Marks this instance as leaving. @return notifications to send.
  std::vector<outbound_message> Leave(time_point now);

  // Up to `count` distinct live members other than this one, selected at
  // random.
  std::vector<member> RandomPeers(std::size_t count);

  // Live members other than this one, valid until the next change of the table.
  std::vector<const member*> LivePeers() const;
  // Number of live members including this one.
  std::size_t LiveCount() const;
  // Live members including this one, sorted by name. Suspects count as live.
  std::vector<member> Live() const;
  // All known members including dead ones, sorted by name.
  std::vector<member> All() const;
  std::optional<member> Find(const std::string& name) const;
  const member& self() const { return self_; }
  // Whether any other member is known, in whatever state.
  bool HasPeers() const { return !members_.empty(); }
  // Time of the last message from another member.
  std::optional<time_point> LastMessageTime() const {
    return last_message_time_;
  }
  // Builds a message of `kind` with pending updates attached.
  gossip_message BuildMessage(gossip_kind kind);

 private:
  struct member_entry {
    member known;
    time_point changed_at;
  };
  struct probe {
    std::string target;
    std::uint32_t sequence = 0;
    time_point sent_at;
    bool sent_indirect = false;
  };
  struct relayed_probe {
    std::uint32_t sequence = 0;
    std::string requester_address;
    std::uint32_t requester_sequence = 0;
    time_point sent_at;
  };
  struct pending_update {
    std::string name;
    int transmissions_left = 0;
  };

  void Refute(const member& update);
  void QueueUpdate(const std::string& name);
  int RetransmitLimit() const;
  void SetState(const std::string& name, member_state state, time_point now);
  void ExpireProbe(time_point now, std::vector<outbound_message>* out);
  void ExpireMembers(time_point now);
  void BeginProbe(time_point now, std::vector<outbound_message>* out);
  std::string NextTarget();
  void OnAck(const gossip_message& message, std::vector<outbound_message>* out);

  member self_;
  membership_settings settings_;
  std::mt19937_64 random_;
  std::map<std::string, member_entry> members_;
  std::deque<std::string> probe_order_;
  std::deque<pending_update> updates_;
  std::optional<probe> probe_;
  std::vector<relayed_probe> relayed_;
  std::optional<time_point> last_probe_;
  std::optional<time_point> last_message_time_;
  std::uint32_t next_sequence_ = 1;
};

}  // namespace cactusward

#endif  // CACTUSWARD_MEMBERSHIP_H_
