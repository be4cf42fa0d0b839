#include "cactusward/upstream_catalog.h"

#include <set>

namespace cactusward {

void upstream_catalog::RecordOutage(time_point now) {
  last_outage_ = now;
}

bool upstream_catalog::IsInOutageGracePeriod(time_point now) const {
  return last_outage_ && now - *last_outage_ < reregistration_grace_;
}

bool upstream_catalog::Put(const upstream_entry& entry, std::int64_t revision) {
  const auto known = entries_.find(entry.id);
  if (known == entries_.end()) {
    entries_[entry.id] = {entry, revision};
    return true;
  }
  registered_upstream& stored = known->second;
  if (revision < stored.revision)
    return false;
  if (entry.started_at_ms != 0 &&
      entry.started_at_ms < stored.entry.started_at_ms)
    return false;
  grace_deadlines_.erase(entry.id);
  const bool changed = !(stored.entry == entry);
  stored = {entry, revision};
  return changed;
}

bool upstream_catalog::Remove(const std::string& id,
                              std::int64_t revision,
                              time_point now) {
  const auto known = entries_.find(id);
  if (known == entries_.end() || revision < known->second.revision)
    return false;
  if (IsInOutageGracePeriod(now) && !known->second.entry.leaving) {
    grace_deadlines_.emplace(id, *last_outage_ + reregistration_grace_);
    return false;
  }
  entries_.erase(known);
  grace_deadlines_.erase(id);
  return true;
}

bool upstream_catalog::Replace(const std::vector<registered_upstream>& all,
                               std::int64_t revision,
                               time_point now) {
  bool changed = false;
  std::set<std::string> present;
  for (const registered_upstream& item : all) {
    present.insert(item.entry.id);
    changed = Put(item.entry, item.revision) || changed;
  }
  std::vector<std::string> absent;
  for (const auto& [id, stored] : entries_) {
    if (present.count(id) == 0)
      absent.push_back(id);
  }
  for (const std::string& id : absent)
    changed = Remove(id, revision, now) || changed;
  return changed;
}

bool upstream_catalog::Expire(time_point now) {
  bool changed = false;
  for (auto it = grace_deadlines_.begin(); it != grace_deadlines_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    // A longer outage extends the grace period.
    if (IsInOutageGracePeriod(now)) {
      it->second = *last_outage_ + reregistration_grace_;
      ++it;
      continue;
    }
    entries_.erase(it->first);
    it = grace_deadlines_.erase(it);
    changed = true;
  }
  return changed;
}

}  // namespace cactusward
