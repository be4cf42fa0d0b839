#include "cactusward/upstream_paths.h"

#include <iterator>
#include <vector>

namespace cactusward {
namespace {

// One broken path may be a lost packet.
constexpr std::size_t kPathsUntilCutOff = 2;
// Several requests that fail together ask the peers once.
constexpr milliseconds kUnreachablePeriod{300};
// Addresses of upstreams are reused by others.
constexpr milliseconds kUnusedPathTtl{10'000};

template <typename Map, typename Predicate>
void EraseIf(Map* map, const Predicate& predicate) {
  for (auto it = map->begin(); it != map->end();)
    it = predicate(it->second) ? map->erase(it) : std::next(it);
}

}  // namespace

bool upstream_paths::RecordDirect(const std::string& address, time_point now) {
  last_direct_ = now;
  proven_since_direct_.clear();
  unreachable_.erase(address);
  const auto path = broken_.find(address);
  const bool was_proven = path != broken_.end() && path->second.proven;
  if (path != broken_.end())
    broken_.erase(path);
  if (!cut_off_since_)
    return false;
  reached_while_cut_off_.insert(address);
  if (!was_proven)
    return false;
  cut_off_since_.reset();
  reached_while_cut_off_.clear();
  EraseIf(&broken_, [](const broken_path& other) { return !other.proven; });
  return true;
}

bool upstream_paths::RecordBypass(const std::string& address, time_point now) {
  broken_[address] = {true, now};
  unreachable_.erase(address);
  reached_while_cut_off_.erase(address);
  proven_since_direct_.insert(address);
  if (cut_off_since_ || proven_since_direct_.size() < kPathsUntilCutOff)
    return false;
  cut_off_since_ = now;
  return true;
}

void upstream_paths::RecordUnreachable(const std::string& address,
                                       bool refused,
                                       time_point now) {
  unreachable_[address] = {refused, now};
}

void upstream_paths::RecordUse(const std::string& address, time_point now) {
  broken_[address].used_at = now;
}

bool upstream_paths::IsBroken(const std::string& address) const {
  return broken_.count(address) > 0 ||
         (cut_off_since_ && reached_while_cut_off_.count(address) == 0);
}

std::optional<bool> upstream_paths::RecentRefusal(const std::string& address,
                                                  time_point now) const {
  const auto found = unreachable_.find(address);
  if (found == unreachable_.end() ||
      now - found->second.at >= kUnreachablePeriod)
    return std::nullopt;
  return found->second.refused;
}

std::optional<std::string> upstream_paths::NextProbe(bool proven) {
  std::vector<const std::string*> paths;
  for (const auto& [address, path] : broken_) {
    if (path.proven == proven)
      paths.push_back(&address);
  }
  if (paths.empty())
    return std::nullopt;
  return *paths[random_() % paths.size()];
}

void upstream_paths::Expire(time_point now) {
  EraseIf(&broken_, [now](const broken_path& path) {
    return now - path.used_at >= kUnusedPathTtl;
  });
  EraseIf(&unreachable_, [now](const unreachable_upstream& upstream) {
    return now - upstream.at >= kUnreachablePeriod;
  });
}

}  // namespace cactusward
