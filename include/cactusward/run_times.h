// What is known of how long requests run, by their predictions.
#ifndef CACTUSWARD_RUN_TIMES_H_
#define CACTUSWARD_RUN_TIMES_H_

#include "cactusward/run_time_estimates.h"

namespace cactusward {

// Of the longest response: few reach it. Assumed of whole requests while few
// are known.
constexpr double kUnknownRunFactor = 0.5;

// Of all upstreams of an instance, or of one. Not thread-safe.
struct run_times {
  run_time_estimates runs;          // whole requests
  run_time_estimates first_events;  // times to the first event
  run_time_estimates passes;        // times between events
};

}  // namespace cactusward

#endif  // CACTUSWARD_RUN_TIMES_H_
