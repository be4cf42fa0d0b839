// What a request needs of an upstream.
#ifndef CACTUSWARD_SRC_RELAY_PLACEMENT_DEMAND_H_
#define CACTUSWARD_SRC_RELAY_PLACEMENT_DEMAND_H_

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "cactusward/composed_request.h"
#include "cactusward/engine_placement.h"
#include "cactusward/home_regions.h"
#include "cactusward/time.h"

namespace cactusward {

struct placement_demand {
  std::string route;  // its name, for logs
  std::string service;
  std::string organisation;              // empty: none
  std::optional<prompt_request> prompt;  // empty: a call without a prompt
  // The latest time at which the response meets its objective.
  time_point objective_at;
  // The caller abandons the request if no first event has arrived by then.
  time_point caller_timeout_at;
  // The request leaves the queue at this time.
  time_point queue_deadline;
  // Ids of the upstreams that must not be chosen again.
  std::set<std::string> tried_upstreams;
  int priority = 0;  // 0 is the most urgent
  int max_helper_entries = composed_request_bound::kMaxHelperEntries;
  home_regions homes;  // the regions of the upstreams that may be chosen
  // Whether the request must not be sent any more: it then leaves the queue.
  // Empty: it may be sent.
  std::function<bool()> is_refused;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_PLACEMENT_DEMAND_H_
