// What every service of a daemon is built on.
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

// Borrowed by the services; the daemon owns all of it. Single-threaded.
struct runtime {
  asio::io_context& io;
  const instance_settings& settings;
  std::uint64_t incarnation;
  timer_service& timers;
  http_client& client;
  key_value_store* store;  // null: this daemon keeps nothing there
  service_registry& registry;
  std::mt19937_64& random;
};

// A random text that no two processes share.
inline std::string MakeNonce(runtime& runtime) {
  return runtime.settings.instance + "-" + std::to_string(runtime.incarnation) +
         "-" + std::to_string(runtime.random());
}

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_RUNTIME_H_
