// Bounds on callers, from the settings and the limits of the process.
#ifndef CACTUSWARD_SRC_DAEMON_CALLER_BOUNDS_H_
#define CACTUSWARD_SRC_DAEMON_CALLER_BOUNDS_H_

#include "src/daemon/settings.h"
#include "src/edges/caller_guard.h"

namespace cactusward {

// @param physical_bytes memory of the machine; half of it is used if the
//     settings name none.
// @param max_descriptors open descriptors that the process may have.
// Thread-safe.
caller_bounds MakeCallerBounds(const caller_limit_settings& settings,
                               std::size_t physical_bytes,
                               std::size_t max_descriptors);

// As above, for this process.
caller_bounds MakeCallerBounds(const caller_limit_settings& settings);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_CALLER_BOUNDS_H_
