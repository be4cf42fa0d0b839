#include "cactusward/version_holders.h"

#include <algorithm>
#include <vector>

namespace cactusward {
namespace {

// Instances send messages to their peers several times a second.
constexpr milliseconds kReportTtl{5'000};

}  // namespace

void version_holders::Report(const std::string& address,
                             const std::string& availability_zone,
                             std::int64_t version,
                             time_point now) {
  holder& reported = holders_[address];
  reported.availability_zone = availability_zone;
  reported.version = version;
  reported.reported_at = now;
}

void version_holders::Avoid(const std::string& address, time_point until) {
  const auto found = holders_.find(address);
  if (found != holders_.end())
    found->second.avoided_until = std::max(found->second.avoided_until, until);
}

std::optional<std::string> version_holders::Pick(
    std::int64_t known,
    const std::string& availability_zone,
    std::mt19937_64& random,
    time_point now) {
  std::vector<const std::string*> near;
  std::vector<const std::string*> far;
  for (auto it = holders_.begin(); it != holders_.end();) {
    const holder& each = it->second;
    if (now - each.reported_at > kReportTtl) {
      it = holders_.erase(it);
      continue;
    }
    if (each.version > known && each.avoided_until <= now)
      (each.availability_zone == availability_zone ? near : far)
          .push_back(&it->first);
    ++it;
  }
  const auto& candidates = near.empty() ? far : near;
  if (candidates.empty())
    return std::nullopt;
  return *candidates[random() % candidates.size()];
}

}  // namespace cactusward
