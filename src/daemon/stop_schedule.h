// Times of a graceful shutdown.
#ifndef CACTUSWARD_SRC_DAEMON_STOP_SCHEDULE_H_
#define CACTUSWARD_SRC_DAEMON_STOP_SCHEDULE_H_

#include "cactusward/time.h"
#include "src/daemon/settings.h"

namespace cactusward {

struct stop_schedule {
  time_point began_at;
  // From here on the load balancer has noticed: the process exits as soon as no
  // work is pending.
  time_point grace_ends_at;
  // Requests that are still without a response are ended with one.
  time_point requests_end_at;
  time_point exits_at;

  friend bool operator==(const stop_schedule& a, const stop_schedule& b) {
    return a.began_at == b.began_at && a.grace_ends_at == b.grace_ends_at &&
           a.requests_end_at == b.requests_end_at && a.exits_at == b.exits_at;
  }
};

// The schedule of a shutdown that begins at `now`. The times are in order, also
// if the settings leave too little time. Thread-safe.
stop_schedule MakeStopSchedule(time_point now,
                               const instance_settings& settings);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_STOP_SCHEDULE_H_
