#include "cactusward/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace cactusward {
namespace {

// Weight of the latest exchange in the moving average: three failures of five
// reach the limit, one failure of many does not.
constexpr double kFailureWeight = 0.22;
constexpr double kMaxFailureShare = 0.38;
// How long an upstream is avoided after evidence: first about as long as a
// repeat takes to be placed and answered; doubled for each failure in a row, up
// to the time in which a dead one leaves the list.
constexpr milliseconds kInitialAvoidance{400};
constexpr milliseconds kMaxAvoidance{4'000};
// A place at a full upstream becomes free within about this time.
constexpr milliseconds kRefusedAvoidance{150};
// Some requests are tried there again within a window of the retry budget.
constexpr milliseconds kFailingAvoidance{2'000};
// Two slow first events outweigh what was known before.
constexpr double kSlowdownWeight = 0.35;
// Slower than that is not placed anyway within any objective.
constexpr double kMaxSlowdown = 10;
// Evidence of slowness loses its weight with this time constant, so that the
// upstream is tried again.
constexpr double kSlowdownDecayMs = 4'000;

}  // namespace

void upstream_health::Record(exchange_outcome outcome, time_point now) {
  if (outcome == exchange_outcome::kRefused) {
    avoided_until_ = std::max(avoided_until_, now + kRefusedAvoidance);
    return;
  }
  const bool failed = outcome != exchange_outcome::kCompleted;
  failure_share_ =
      failure_share_ * (1 - kFailureWeight) + (failed ? kFailureWeight : 0);
  if (!failed) {
    consecutive_failures_ = 0;
    return;
  }
  ++consecutive_failures_;
  if (outcome == exchange_outcome::kUnreachable ||
      outcome == exchange_outcome::kTimedOut) {
    const auto avoidance = std::min(
        kMaxAvoidance,
        kInitialAvoidance * (1 << std::min(consecutive_failures_ - 1, 5)));
    avoided_until_ = std::max(avoided_until_, now + avoidance);
  } else if (failure_share_ > kMaxFailureShare) {
    avoided_until_ = std::max(avoided_until_, now + kFailingAvoidance);
  }
}

void upstream_health::RecordFirstEventTime(double expected_ms,
                                           double measured_ms,
                                           time_point now) {
  if (expected_ms <= 0)
    return;
  const double latest =
      std::clamp(measured_ms / expected_ms, 1.0, kMaxSlowdown);
  slowdown_ = Slowdown(now) * (1 - kSlowdownWeight) + latest * kSlowdownWeight;
  slowdown_at_ = now;
}

double upstream_health::Slowdown(time_point now) const {
  const double age = ToMilliseconds(now - slowdown_at_);
  return 1 + (slowdown_ - 1) * std::exp(-age / kSlowdownDecayMs);
}

}  // namespace cactusward
