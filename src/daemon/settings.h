// Settings of one instance, from a JSON file.
#ifndef CACTUSWARD_SRC_DAEMON_SETTINGS_H_
#define CACTUSWARD_SRC_DAEMON_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "cactusward/result.h"
#include "cactusward/time.h"
#include "src/kernel/log.h"

namespace cactusward {

struct instance_settings {
  std::string instance;
  std::string availability_zone;
  std::string listen;          // callers, operators and scrapers
  std::string peer_listen;     // other instances, TCP and UDP
  std::string peer_advertise;  // where other instances reach peer_listen
  std::string key_value;       // the platform's key-value service
  std::string instance_list;   // the platform's list of instances
  std::string peer_secret;
  std::string operator_key;
  std::vector<std::string> seed_peers;
  milliseconds drain_grace{2'000};  // the balancer's lag
  milliseconds drain_limit{600'000};
  log_level lowest_level = log_level::kInfo;

  friend bool operator==(const instance_settings& a,
                         const instance_settings& b) {
    return a.instance == b.instance &&
           a.availability_zone == b.availability_zone && a.listen == b.listen &&
           a.peer_listen == b.peer_listen &&
           a.peer_advertise == b.peer_advertise && a.key_value == b.key_value &&
           a.instance_list == b.instance_list &&
           a.peer_secret == b.peer_secret && a.operator_key == b.operator_key &&
           a.seed_peers == b.seed_peers && a.drain_grace == b.drain_grace &&
           a.drain_limit == b.drain_limit && a.lowest_level == b.lowest_level;
  }
};

// Parses and validates settings.
// @return kConfigInvalid with every fault, one a line. Thread-safe.
result<instance_settings> ParseSettings(std::string_view text);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_SETTINGS_H_
