#include "src/daemon/stop_schedule.h"

#include <algorithm>

namespace cactusward {
namespace {

// The process exits by itself this long before it would be killed.
constexpr milliseconds kKillMargin{350};
// Requests are ended this long before the exit, to send their responses.
constexpr milliseconds kEndMargin{250};

}  // namespace

stop_schedule MakeStopSchedule(time_point now,
                               const instance_settings& settings) {
  stop_schedule schedule;
  schedule.began_at = now;
  schedule.exits_at = std::max(now, now + settings.drain_limit - kKillMargin);
  schedule.requests_end_at = std::max(now, schedule.exits_at - kEndMargin);
  schedule.grace_ends_at =
      std::min(now + settings.drain_grace, schedule.requests_end_at);
  return schedule;
}

}  // namespace cactusward
