#include "cactusward/upstream_catalog.h"

namespace cactusward {
namespace {

// Far longer than the age of a copy from which a registry is restored.
constexpr milliseconds kRemovedEntryTtl{600'000};

// Whether `entry`, which a registry lists at `position`, is older than `known`,
// which it listed in another era: it comes from the copy then. The revisions of
// two eras are not ordered, so what the upstream says decides: a process that
// leaves never stops leaving, and it counts its registrations.
bool IsFromCopy(const upstream_entry& entry,
                const registry_position& position,
                const registered_upstream& known) {
  if (position.era == known.position.era)
    return false;
  if (entry.started_at_ms != known.entry.started_at_ms)
    return entry.started_at_ms < known.entry.started_at_ms;
  if (entry.leaving != known.entry.leaving)
    return known.entry.leaving;
  if (entry.sequence != known.entry.sequence)
    return entry.sequence < known.entry.sequence;
  // The copy has entries that have not changed since at their old revision.
  return entry == known.entry && position.revision <= known.position.revision;
}

}  // namespace

void upstream_catalog::RecordOutage(time_point now) {
  last_outage_ = now;
}

bool upstream_catalog::IsInOutageGracePeriod(time_point now) const {
  return last_outage_ && now - *last_outage_ < reregistration_grace_;
}

bool upstream_catalog::Put(const upstream_entry& entry,
                           const registry_position& position) {
  const auto known = entries_.find(entry.id);
  if (known == entries_.end()) {
    const auto removed = removed_.find(entry.id);
    if (removed != removed_.end()) {
      if (IsFromCopy(entry, position, removed->second.last))
        return false;
      removed_.erase(removed);
    }
    Store(entry, position);
    return true;
  }
  registered_upstream& stored = known->second;
  if (position < stored.position)
    return false;
  if (entry.started_at_ms != 0 &&
      entry.started_at_ms < stored.entry.started_at_ms)
    return false;
  grace_deadlines_.erase(entry.id);
  if (position == stored.position)
    return false;
  if (IsFromCopy(entry, position, stored)) {
    stored.position = position;
    return false;
  }
  upstream_entry before = stored.entry;
  before.sequence = entry.sequence;
  before.cold_remaining = entry.cold_remaining;
  const bool changed = !(before == entry);
  Store(entry, position);
  return changed;
}

void upstream_catalog::Store(const upstream_entry& entry,
                             const registry_position& position) {
  registered_upstream& stored = entries_[entry.id];
  if (entry.cold_remaining.count() > 0 ||
      stored.entry.cold_remaining.count() > 0)
    cold_changes_.insert(entry.id);
  stored = {entry, position};
}

bool upstream_catalog::Remove(const std::string& id,
                              const registry_position& position,
                              time_point now) {
  const auto known = entries_.find(id);
  if (known == entries_.end() || position < known->second.position)
    return false;
  if (IsInOutageGracePeriod(now) && !known->second.entry.leaving) {
    grace_deadlines_.emplace(id, *last_outage_ + reregistration_grace_);
    return false;
  }
  Erase(id, now);
  return true;
}

void upstream_catalog::Erase(const std::string& id, time_point now) {
  const auto known = entries_.find(id);
  if (known != entries_.end()) {
    removed_[id] = {std::move(known->second), now};
    entries_.erase(known);
  }
  grace_deadlines_.erase(id);
}

bool upstream_catalog::Replace(const std::vector<registered_upstream>& all,
                               const registry_position& position,
                               time_point now) {
  bool changed = false;
  std::set<std::string> present;
  for (const registered_upstream& item : all) {
    present.insert(item.entry.id);
    changed = Put(item.entry, item.position) || changed;
  }
  std::vector<std::string> absent;
  for (const auto& [id, stored] : entries_) {
    if (present.count(id) == 0)
      absent.push_back(id);
  }
  for (const std::string& id : absent)
    changed = Remove(id, position, now) || changed;
  return changed;
}

bool upstream_catalog::Expire(time_point now) {
  for (auto it = removed_.begin(); it != removed_.end();) {
    const bool expired = now - it->second.at > kRemovedEntryTtl;
    it = expired ? removed_.erase(it) : std::next(it);
  }
  std::vector<std::string> expired;
  for (auto& [id, deadline] : grace_deadlines_) {
    if (now < deadline)
      continue;
    // A longer outage extends the grace period.
    if (IsInOutageGracePeriod(now))
      deadline = *last_outage_ + reregistration_grace_;
    else
      expired.push_back(id);
  }
  for (const std::string& id : expired)
    Erase(id, now);
  return !expired.empty();
}

}  // namespace cactusward
