// Log lines about requests that no upstream takes.
#ifndef CACTUSWARD_SRC_RELAY_DISPATCH_LOG_H_
#define CACTUSWARD_SRC_RELAY_DISPATCH_LOG_H_

#include <vector>

#include "src/relay/fleet_service.h"
#include "src/relay/placement_demand.h"

namespace cactusward {

// Logs that this instance may send nothing to `upstreams`, all that there are.
void LogHeldBack(const placement_demand& demand,
                 const std::vector<fleet_service::held_back>& upstreams,
                 milliseconds retry_after,
                 time_point now);
// Logs the state of the upstreams when a request leaves the queue unassigned.
// @param waiting number of requests in the queue.
void LogNotPlaced(const placement_demand& demand,
                  fleet_service* fleet,
                  std::size_t waiting,
                  time_point now);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_DISPATCH_LOG_H_
