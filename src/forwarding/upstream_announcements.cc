#include "cactusward/upstream_announcements.h"

namespace cactusward {
namespace {

// An entry may lapse and come back while its process runs: during an outage of
// the registry, or when the registry has lost its last writes.
constexpr milliseconds kUnlistedPeriod{600'000};

}  // namespace

bool upstream_announcements::RecordLeaving(std::uint32_t process,
                                           time_point now) {
  announcement& known = known_[process];
  known.last_seen = now;
  const bool is_new = !known.leaving;
  known.leaving = true;
  return is_new;
}

bool upstream_announcements::RecordBackoff(std::uint32_t process,
                                           milliseconds time,
                                           time_point received_at) {
  if (time.count() == 0)
    return false;
  announcement& known = known_[process];
  known.last_seen = received_at;
  const time_point end = received_at + time;
  if (end <= known.backoff_end)
    return false;
  known.backoff_end = end;
  return true;
}

bool upstream_announcements::IsLeaving(std::uint32_t process) const {
  const auto known = known_.find(process);
  return known != known_.end() && known->second.leaving;
}

std::optional<time_point> upstream_announcements::BackoffEnd(
    std::uint32_t process,
    time_point now) const {
  const auto known = known_.find(process);
  if (known == known_.end() || known->second.backoff_end <= now)
    return std::nullopt;
  return known->second.backoff_end;
}

void upstream_announcements::Expire(const std::set<std::uint32_t>& listed,
                                    time_point now) {
  for (auto it = known_.begin(); it != known_.end();) {
    announcement& known = it->second;
    if (listed.count(it->first) > 0)
      known.last_seen = now;
    const bool is_in_force = known.leaving || known.backoff_end > now;
    const bool is_over =
        !is_in_force || now - known.last_seen > kUnlistedPeriod;
    it = is_over ? known_.erase(it) : std::next(it);
  }
}

}  // namespace cactusward
