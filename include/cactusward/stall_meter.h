// Measures for how long this process could not notice anything.
#ifndef CACTUSWARD_STALL_METER_H_
#define CACTUSWARD_STALL_METER_H_

#include <algorithm>

#include "cactusward/time.h"

namespace cactusward {

// Adds up the delays of a periodic tick: while the process is stopped, has no
// processor time or works on something else, it neither reads what others send
// nor lets them time out. Not thread-safe.
class stall_meter {
 public:
  // Precondition: Tick is called every `period`, and `period` is positive.
  stall_meter(duration period, time_point now)
      : period_(period), last_tick_(now) {}

  void Tick(time_point now) {
    total_ = Total(now);
    last_tick_ = now;
  }
  // Time spent stalled from the start to `now`, the current delay included.
  // Precondition: `now` does not decrease from call to call.
  duration Total(time_point now) const {
    return total_ + std::max(duration(0), now - last_tick_ - period_);
  }

 private:
  duration period_;
  time_point last_tick_;
  duration total_{0};
};

}  // namespace cactusward

#endif  // CACTUSWARD_STALL_METER_H_
