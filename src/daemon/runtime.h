// Environment shared by all services of a daemon.
#ifndef CACTUSWARD_SRC_DAEMON_RUNTIME_H_
#define CACTUSWARD_SRC_DAEMON_RUNTIME_H_

#include <cstdint>
#include <random>

#include "cactusward/key_value_store.h"
#include "cactusward/service_registry.h"
#include "cactusward/timer_service.h"
#include "src/daemon/settings.h"
#include "src/edges/http_client.h"

namespace cactusward {

// References to objects that the daemon owns and that outlive its services. For
// use on the thread of `io` only.
struct runtime {
  asio::io_context& io;
  const instance_settings& settings;
  std::uint64_t incarnation;
  timer_service& timers;
  http_client& client;
  key_value_store* store;  // null: this daemon does not use one
  service_registry& registry;
  std::mt19937_64& random;
};

// A random string that no other process generates.
inline std::string MakeNonce(runtime& runtime) {
  return runtime.settings.instance + "-" + std::to_string(runtime.incarnation) +
         "-" + std::to_string(runtime.random());
}

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_RUNTIME_H_
