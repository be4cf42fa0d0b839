#include "cactusward/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace cactusward {
namespace {

// Weight of the latest exchange in the moving average: three failures of five
// reach the limit, one failure of many does not.
constexpr double kLatestWeight = 0.22;
constexpr double kFailureLimit = 0.38;
// How long an upstream is avoided after evidence: first about as long as a
// repeat takes to be placed and answered; doubled for each failure in a row, up
// to the time in which a dead one leaves the list.
constexpr milliseconds kFirstAvoidance{400};
constexpr milliseconds kLongestAvoidance{4'000};
// A place at a full upstream becomes free within about this time.
constexpr milliseconds kRefusedAvoidance{150};
// Some requests are tried there again within a window of the retry budget.
constexpr milliseconds kFailingAvoidance{2'000};
// Two slow first events outweigh what was known before.
constexpr double kPaceWeight = 0.35;
// Slower than that is not placed anyway within any objective.
constexpr double kSlowestPace = 10;
// Evidence of slowness loses its weight with this time constant, so that the
// upstream is tried again.
constexpr double kPaceMemoryMs = 4'000;

}  // namespace

void upstream_health::Record(exchange_outcome outcome, time_point now) {
  if (outcome == exchange_outcome::kRefused) {
    avoided_until_ = std::max(avoided_until_, now + kRefusedAvoidance);
    return;
  }
  const bool failed = outcome != exchange_outcome::kCompleted;
  failure_share_ =
      failure_share_ * (1 - kLatestWeight) + (failed ? kLatestWeight : 0);
  if (!failed) {
    failures_in_row_ = 0;
    return;
  }
  ++failures_in_row_;
  if (outcome == exchange_outcome::kUnreachable ||
      outcome == exchange_outcome::kTimedOut) {
    const auto avoidance =
        std::min(kLongestAvoidance,
                 kFirstAvoidance * (1 << std::min(failures_in_row_ - 1, 5)));
    avoided_until_ = std::max(avoided_until_, now + avoidance);
  } else if (failure_share_ > kFailureLimit) {
    avoided_until_ = std::max(avoided_until_, now + kFailingAvoidance);
  }
}

void upstream_health::RecordFirstEventTime(double expected_ms,
                                           double measured_ms,
                                           time_point now) {
  if (expected_ms <= 0)
    return;
  const double latest =
      std::clamp(measured_ms / expected_ms, 1.0, kSlowestPace);
  pace_ = Slowdown(now) * (1 - kPaceWeight) + latest * kPaceWeight;
  pace_at_ = now;
}

double upstream_health::Slowdown(time_point now) const {
  const double age = ToMilliseconds(now - pace_at_);
  return 1 + (pace_ - 1) * std::exp(-age / kPaceMemoryMs);
}

}  // namespace cactusward
