#include "cactusward/upstream_ramp.h"

#include <algorithm>

namespace cactusward {
namespace {

// Share of the slots with which a ramp begins: load reports of peers lag, so
// that several instances may send the first requests at once.
constexpr double kInitialShare = 0.25;
// Share of the slots by which the number rises in a second. Without a bad sign
// a ramp ends after a second and a half: while many upstreams are replaced, the
// others must not have to carry the load for long.
constexpr double kRisePerSecond = 0.5;
// Requests by which a timely response raises the number.
constexpr double kTimelyRise = 1;
constexpr double kSetbackFactor = 0.5;
// After this time the upstream's health alone decides.
constexpr milliseconds kMaxRampTime{10'000};
// The load that an upstream states changes within about this time after the
// number was reduced.
constexpr milliseconds kLoadDelay{300};
// Expected times are accurate within a factor of 1.7 for nine of ten requests.
constexpr double kLateFactor = 2;
constexpr double kLateMarginMs = 50;
// Weight of a new first event in the slowdown of its group. An instance of the
// larger deployments receives about one of a third of the upstreams in a second
// of their warm-up, so that a low weight would learn too late.
constexpr double kSlowdownWeight = 0.5;
constexpr double kMaxSlowdown = 8;
// A first event late in the warm-up says little about its beginning.
constexpr double kMinColdShare = 0.1;
constexpr double kMillisecondsPerSecond = 1'000;

duration ToDuration(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

bool upstream_ramp::IsTimely(double expected_ms, double measured_ms) {
  return measured_ms <= expected_ms * kLateFactor + kLateMarginMs;
}

double upstream_ramp::ramp::ColdShare(time_point now) const {
  if (upstream.warm_up.count() <= 0)
    return 0;
  return std::clamp(
      1 - ToMilliseconds(now - began_at) / ToMilliseconds(upstream.warm_up),
      0.0, 1.0);
}

double upstream_ramp::ramp::LimitAt(time_point now) const {
  const double seconds =
      ToMilliseconds(std::max(now - changed_at, duration(0))) /
      kMillisecondsPerSecond;
  return std::min(slots, limit + seconds * kRisePerSecond * slots);
}

bool upstream_ramp::ramp::HasEnded(time_point now) const {
  return LimitAt(now) >= slots || now - began_at >= kMaxRampTime;
}

void upstream_ramp::ramp::Set(double next, time_point now) {
  limit = std::clamp(next, 1.0, slots);
  changed_at = std::max(changed_at, now);
}

upstream_ramp::ramp* upstream_ramp::FindRunning(std::uint32_t process,
                                                time_point now) {
  const auto found = ramps_.find(process);
  return found == ramps_.end() || found->second.HasEnded(now) ? nullptr
                                                              : &found->second;
}

bool upstream_ramp::Begin(std::uint32_t process,
                          const ramping_upstream& upstream,
                          time_point at) {
  const bool is_new = FindRunning(process, at) == nullptr;
  ramp begun;
  begun.upstream = upstream;
  begun.slots = upstream.slots;
  begun.limit = std::max(1.0, upstream.slots * kInitialShare);
  begun.began_at = at;
  begun.changed_at = at;
  if (!is_new)
    begun.setbacks = ramps_[process].setbacks;
  ramps_[process] = begun;
  return is_new;
}

void upstream_ramp::RecordTimely(std::uint32_t process, time_point now) {
  ramp* const running = FindRunning(process, now);
  if (running)
    running->Set(running->LimitAt(now) + kTimelyRise, now);
}

// An upstream is taken to be slowest at its start, and to become quicker at a
// constant rate.
void upstream_ramp::RecordFirstEvent(std::uint32_t process,
                                     double slowdown,
                                     time_point now) {
  const auto found = ramps_.find(process);
  if (found == ramps_.end())
    return;
  const double cold_share = found->second.ColdShare(now);
  if (cold_share < kMinColdShare)
    return;
  const double initial =
      std::clamp(1 + (slowdown - 1) / cold_share, 1.0, kMaxSlowdown);
  for (auto& [key, each] : ramps_) {
    if (each.upstream.group == found->second.upstream.group)
      each.initial_slowdown = each.initial_slowdown * (1 - kSlowdownWeight) +
                              initial * kSlowdownWeight;
  }
}

double upstream_ramp::Slowdown(std::uint32_t process, time_point now) const {
  const auto found = ramps_.find(process);
  return found == ramps_.end() ? 1
                               : 1 + (found->second.initial_slowdown - 1) *
                                         found->second.ColdShare(now);
}

void upstream_ramp::RecordSetback(std::uint32_t process,
                                  time_point sent_at,
                                  time_point now) {
  ramp* const running = FindRunning(process, now);
  if (!running || sent_at <= running->last_setback_at)
    return;
  running->Set(running->LimitAt(now) * kSetbackFactor, now);
  running->last_setback_at = now;
  ++running->setbacks;
}

void upstream_ramp::RecordLoad(std::uint32_t process,
                               int waiting,
                               time_point now) {
  if (waiting > 0)
    RecordSetback(process, now - kLoadDelay, now);
}

std::optional<int> upstream_ramp::Limit(std::uint32_t process,
                                        time_point now) const {
  const auto found = ramps_.find(process);
  if (found == ramps_.end() || found->second.HasEnded(now))
    return std::nullopt;
  return static_cast<int>(found->second.LimitAt(now));
}

std::vector<ended_ramp> upstream_ramp::Expire(time_point now) {
  std::vector<ended_ramp> ended;
  for (auto it = ramps_.begin(); it != ramps_.end();) {
    const ramp& each = it->second;
    if (!each.HasEnded(now) || each.ColdShare(now) > 0) {
      ++it;
      continue;
    }
    const time_point reached_at =
        each.changed_at +
        ToDuration((each.slots - each.limit) / (kRisePerSecond * each.slots));
    const time_point given_up_at = each.began_at + kMaxRampTime;
    ended.push_back({it->first,
                     std::min(reached_at, given_up_at) - each.began_at,
                     each.setbacks, reached_at <= given_up_at});
    it = ramps_.erase(it);
  }
  return ended;
}

}  // namespace cactusward
