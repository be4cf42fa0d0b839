// Logs addresses that cannot be bound.
#ifndef CACTUSWARD_SRC_EDGES_LISTEN_LOG_H_
#define CACTUSWARD_SRC_EDGES_LISTEN_LOG_H_

#include <string>
#include <string_view>

#include "src/kernel/log.h"

namespace cactusward {

// Logs why `listener` cannot use `address`. Thread-safe.
inline void LogListenFailure(std::string_view listener,
                             const std::string& address,
                             std::string_view reason) {
  Log(log_level::kError, "cannot_listen",
      {{"listener", listener}, {"address", address}, {"reason", reason}});
}

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_LISTEN_LOG_H_
