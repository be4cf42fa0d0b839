// Notices that this process stood still.
#ifndef CACTUSWARD_STANDSTILL_H_
#define CACTUSWARD_STANDSTILL_H_

#include <optional>

#include "cactusward/time.h"

namespace cactusward {

// What arrives during a standstill is handled after it as if it had just
// arrived, although its sender's knowledge may have changed meanwhile.
// A standstill is a delay of a periodic tick, or time for which the machine was
// suspended: `boot_time` is that of a clock that goes on meanwhile, as `clock`
// does not. Not thread-safe.
class standstill {
 public:
  // Precondition: Tick is called every `period`; `longest` is the longest delay
  // of a tick that does not count.
  standstill(duration period, duration longest, time_point now)
      : period_(period), longest_(longest), ticked_at_(now) {}

  void Tick(time_point now, duration boot_time) {
    const bool stood_still = IsLate(now, boot_time);
    if (stood_still)
      ended_at_ = now;
    ticked_at_ = now;
    ticked_boot_time_ = boot_time;
  }
  // Whether the process stands still, or did so until a period ago: what has
  // arrived meanwhile may not have been read yet.
  bool Recently(time_point now, duration boot_time) const {
    return IsLate(now, boot_time) ||
           (ended_at_ && now - *ended_at_ < period_ + longest_);
  }

 private:
  bool IsLate(time_point now, duration boot_time) const {
    return now - ticked_at_ > period_ + longest_ ||
           (ticked_boot_time_ &&
            boot_time - *ticked_boot_time_ > period_ + longest_);
  }

  duration period_;
  duration longest_;
  time_point ticked_at_;
  std::optional<duration> ticked_boot_time_;
  std::optional<time_point> ended_at_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_STANDSTILL_H_
