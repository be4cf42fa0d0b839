#include "cactusward/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace cactusward {
namespace {

// Weight of the latest request in the moving average: three failures in five
// requests reach the limit, a single failure does not.
constexpr double kFailureWeight = 0.22;
constexpr double kMaxFailureShare = 0.38;
// How long an upstream is avoided after a failed connection or a time-out:
// first about as long as a retry takes, then doubled for each consecutive
// failure, up to the time in which a crashed upstream leaves the list.
constexpr milliseconds kInitialAvoidance{400};
constexpr milliseconds kMaxAvoidance{4'000};
// A slot of a full upstream becomes free within about this time.
constexpr milliseconds kRefusedAvoidance{150};
// Shorter than the window of the retry budget, so that some requests try the
// upstream again within it.
constexpr milliseconds kFailingAvoidance{2'000};
// Two slow first events outweigh the earlier average.
constexpr double kSlowdownWeight = 0.35;
// At this slowdown no placement meets any objective.
constexpr double kMaxSlowdown = 10;
// Time constant of the exponential decay of the slowdown, so that the upstream
// is tried again.
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
