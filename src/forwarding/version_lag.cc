#include "cactusward/version_lag.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace cactusward {
namespace {

// The oldest and the newest ones decide; the others only say when the lag began
// once the oldest is in force.
constexpr std::size_t kMaxReported = 64;

}  // namespace

void version_lag::Report(std::int64_t version, time_point now) {
  newest_ = std::max(newest_, version);
  if (version <= in_force_)
    return;
  reported_.emplace(version, now);
  if (reported_.size() > kMaxReported)
    reported_.erase(std::next(reported_.begin()));
}

void version_lag::RecordInForce(std::int64_t version) {
  in_force_ = std::max(in_force_, version);
  newest_ = std::max(newest_, version);
  reported_.erase(reported_.begin(), reported_.upper_bound(in_force_));
}

std::optional<duration> version_lag::Behind(time_point now) const {
  if (reported_.empty())
    return std::nullopt;
  // A later version may have been heard of before an earlier one.
  const auto first = std::min_element(
      reported_.begin(), reported_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return now - first->second;
}

}  // namespace cactusward
