// Decides when an instance reports its load to its peers.
#ifndef CACTUSWARD_REPORT_PACER_H_
#define CACTUSWARD_REPORT_PACER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "cactusward/time.h"

namespace cactusward {

enum class report_urgency : std::uint8_t {
  // Load that occupies an engine for long, such as a long prompt.
  kAtOnce,
  // Other load, which peers that do not know of it add to, and the end of load
  // that occupies an engine for long.
  kSoon,
  // The end of other load: peers that do not know of it leave room unused.
  kLater,
};

// A change is reported soon if the last report is old enough, so that with few
// requests for each instance peers know of them early. The least time between
// reports grows with the number of instances, so that the rate at which one
// instance receives reports does not. Not thread-safe.
class report_pacer {
 public:
  void SetInstanceCount(std::size_t count) {
    instances_ = static_cast<int>(std::min<std::size_t>(count, kMaxInstances));
  }
  // When a change at `now` has to be reported.
  time_point DueAt(report_urgency urgency, time_point now) const {
    if (urgency == report_urgency::kAtOnce)
      return now + kAtOnceDelay;
    const duration delay =
        urgency == report_urgency::kSoon
            ? duration(kSoonDelay)
            : kSoonDelay + kLaterDelayPerInstance * instances_;
    if (!reported_at_)
      return now + delay;
    return std::max<time_point>(
        now + delay, *reported_at_ + kIntervalPerInstance * instances_);
  }
  void RecordReport(time_point now) { reported_at_ = now; }

 private:
  // A split prompt changes the loads of several engines at the same moment.
  static constexpr milliseconds kAtOnceDelay{1};
  static constexpr milliseconds kSoonDelay{60};
  static constexpr milliseconds kLaterDelayPerInstance{2};
  static constexpr milliseconds kIntervalPerInstance{1};
  static constexpr std::size_t kMaxInstances = 100'000;

  int instances_ = 1;
  std::optional<time_point> reported_at_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_REPORT_PACER_H_
