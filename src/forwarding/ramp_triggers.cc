#include "cactusward/ramp_triggers.h"

#include <iterator>

namespace cactusward {
namespace {

// As long as the catalog remembers removed entries.
constexpr milliseconds kKnownProcessTtl{600'000};

}  // namespace

std::string_view RampReasonName(ramp_reason reason) {
  switch (reason) {
    case ramp_reason::kStarted:
      return "started";
    case ramp_reason::kCold:
      return "cold";
    case ramp_reason::kAvoided:
      return "avoided";
  }
  return "";
}

std::optional<ramp_start> ramp_triggers::RecordListed(std::uint32_t process,
                                                      bool leaving,
                                                      time_point now) {
  const bool is_new = last_listed_.count(process) == 0;
  last_listed_[process] = now;
  if (!is_new || !list_is_known_ || leaving)
    return std::nullopt;
  return ramp_start{ramp_reason::kStarted, now};
}

void ramp_triggers::Expire(time_point now) {
  for (auto it = last_listed_.begin(); it != last_listed_.end();)
    it = now - it->second > kKnownProcessTtl ? last_listed_.erase(it)
                                             : std::next(it);
}

std::optional<ramp_start> ramp_triggers::AfterCold(time_point known_until,
                                                   time_point until,
                                                   bool is_ramping,
                                                   time_point now) {
  if (known_until > now || until <= now || is_ramping)
    return std::nullopt;
  return ramp_start{ramp_reason::kCold, now};
}

std::optional<ramp_start> ramp_triggers::AfterFailure(bool refused,
                                                      time_point avoided_until,
                                                      time_point now) {
  if (refused || now >= avoided_until)
    return std::nullopt;
  return ramp_start{ramp_reason::kAvoided, avoided_until};
}

}  // namespace cactusward
