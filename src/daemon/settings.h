// Settings of one instance, read from a JSON file.
#ifndef CACTUSWARD_SRC_DAEMON_SETTINGS_H_
#define CACTUSWARD_SRC_DAEMON_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cactusward/result.h"
#include "cactusward/shared_retry_budget.h"
#include "cactusward/time.h"
#include "cactusward/upstream_limits.h"
#include "src/kernel/log.h"

namespace cactusward {

// Settings of an instance that forwards requests unchanged.
struct forwarding_settings {
  std::string protocol;          // name of the platform adapter
  std::string readiness_listen;  // readiness checks of the load balancer
  std::string metrics_listen;    // metrics scrapers
  std::string registry;          // source of configuration and upstreams
  // IP number from which connections to the registry and to upstreams are
  // opened; empty: any address of the host.
  std::string source_address;
  shared_retry_settings retries;
  // How long an upstream may take to register again after the registry becomes
  // available.
  milliseconds reregistration_grace{2'200};
  // Time within which an accepted configuration must be in force everywhere.
  milliseconds config_apply{2'000};
  // Bandwidth of this instance's network link; 0: not known.
  double link_mbps = 0;
  // Longest time for which an upstream's KV memory may be reserved.
  milliseconds max_reservation{20'000};
  cold_settings cold;
  // Whether upstreams that start or recover are loaded by how they respond.
  // Upstreams of a service with a cold limit always are.
  bool ramp_up = false;
  // By how much an engine of another availability zone must be quicker; 0:
  // zones do not matter.
  milliseconds zone_preference{0};
  // Whether requests that cannot be placed before they would leave the queue
  // are refused on arrival.
  bool refuse_on_arrival = false;
  // Whether waiting requests are ordered by the shares of organisations.
  bool fair_queue = false;

  friend bool operator==(const forwarding_settings& a,
                         const forwarding_settings& b) {
    return a.protocol == b.protocol &&
           a.readiness_listen == b.readiness_listen &&
           a.metrics_listen == b.metrics_listen && a.registry == b.registry &&
           a.source_address == b.source_address && a.retries == b.retries &&
           a.reregistration_grace == b.reregistration_grace &&
           a.config_apply == b.config_apply && a.link_mbps == b.link_mbps &&
           a.max_reservation == b.max_reservation && a.cold == b.cold &&
           a.ramp_up == b.ramp_up && a.zone_preference == b.zone_preference &&
           a.refuse_on_arrival == b.refuse_on_arrival &&
           a.fair_queue == b.fair_queue;
  }
};

// Bounds on what callers may make an instance hold.
struct caller_limit_settings {
  std::size_t memory_mb = 0;  // of this process; 0: half of the machine's
  // 0: no limit, since a load balancer may connect for all callers.
  int max_connections_per_address = 0;
  // Kept free for upstreams, the registry and peers.
  int reserved_descriptors = 256;
  std::size_t max_pipelined_bytes = 64ULL * 1024;
  int max_header_fields = 256;
  std::int64_t min_body_rate = 256;  // bytes a second
  milliseconds min_body_rate_window{10'000};
  milliseconds max_unread_response{30'000};
  // IP numbers without a limit of connections, such as a load balancer's.
  std::vector<std::string> trusted_addresses;

  friend bool operator==(const caller_limit_settings& a,
                         const caller_limit_settings& b) {
    return a.memory_mb == b.memory_mb &&
           a.max_connections_per_address == b.max_connections_per_address &&
           a.reserved_descriptors == b.reserved_descriptors &&
           a.max_pipelined_bytes == b.max_pipelined_bytes &&
           a.max_header_fields == b.max_header_fields &&
           a.min_body_rate == b.min_body_rate &&
           a.min_body_rate_window == b.min_body_rate_window &&
           a.max_unread_response == b.max_unread_response &&
           a.trusted_addresses == b.trusted_addresses;
  }
};

struct instance_settings {
  std::string instance;
  std::string availability_zone;
  std::string region;  // empty: unknown
  // Region by availability zone.
  std::map<std::string, std::string> zone_regions;
  std::string listen;          // HTTP: callers, operators and scrapers
  std::string peer_listen;     // peers, TCP and UDP
  std::string peer_advertise;  // address at which peers reach peer_listen
  // Tunnels to upstreams for peers; empty: none are offered.
  std::string tunnel_listen;
  std::string key_value;      // address of the platform's key-value service
  std::string instance_list;  // address of the platform's instance list
  std::string peer_secret;
  std::string operator_key;
  std::vector<std::string> seed_peers;
  std::vector<std::string> unusable_seeds;  // not IP:port; logged
  // How long requests are admitted after readiness ends, so that the load
  // balancer can notice.
  milliseconds drain_grace{2'000};
  milliseconds drain_limit{600'000};
  log_level min_log_level = log_level::kInfo;
  std::optional<forwarding_settings> forwarding;
  caller_limit_settings caller_limits;

  friend bool operator==(const instance_settings& a,
                         const instance_settings& b) {
    return a.instance == b.instance &&
           a.availability_zone == b.availability_zone && a.region == b.region &&
           a.zone_regions == b.zone_regions && a.listen == b.listen &&
           a.peer_listen == b.peer_listen &&
           a.peer_advertise == b.peer_advertise &&
           a.tunnel_listen == b.tunnel_listen && a.key_value == b.key_value &&
           a.instance_list == b.instance_list &&
           a.peer_secret == b.peer_secret && a.operator_key == b.operator_key &&
           a.seed_peers == b.seed_peers &&
           a.unusable_seeds == b.unusable_seeds &&
           a.drain_grace == b.drain_grace && a.drain_limit == b.drain_limit &&
           a.min_log_level == b.min_log_level && a.forwarding == b.forwarding &&
           a.caller_limits == b.caller_limits;
  }
};

// Parses and validates settings.
// @return kConfigInvalid, with one line for each error as detail. Thread-safe.
result<instance_settings> ParseSettings(std::string_view text);

// Copies from `next` the settings that can change while an instance runs: the
// seeds and the times of a shutdown.
// @return whether others differ, which need a restart. Thread-safe.
bool ApplyReloadable(const instance_settings& next, instance_settings* current);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_SETTINGS_H_
