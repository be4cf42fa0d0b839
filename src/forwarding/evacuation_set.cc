#include "cactusward/evacuation_set.h"

#include <algorithm>

namespace cactusward {

bool evacuation_set::Put(const std::string& zone,
                         const registry_position& position,
                         time_point now) {
  const auto found = zones_.find(zone);
  // At the same position nothing has changed: a report of a peer must not end
  // the grace period, nor bring back an evacuation whose period has passed.
  if (found != zones_.end() && position <= found->second.position)
    return false;
  known_zone& known = zones_[zone];
  const bool is_new = !known.evacuated;
  known.evacuated = true;
  known.position = position;
  known.grace_ends_at.reset();
  if (is_new)
    known.since = now;
  return is_new;
}

bool evacuation_set::Remove(const std::string& zone,
                            const registry_position& position) {
  const auto found = zones_.find(zone);
  if (found != zones_.end() && position <= found->second.position)
    return false;
  // Kept, so that an older report does not bring the evacuation back.
  known_zone& known = zones_[zone];
  const bool was_evacuated = known.evacuated;
  known.evacuated = false;
  known.position = position;
  known.grace_ends_at.reset();
  return was_evacuated;
}

bool evacuation_set::Replace(const std::vector<zone_evacuation>& all,
                             const registry_position& position,
                             time_point now) {
  bool changed = false;
  for (const zone_evacuation& listed : all)
    changed = Put(listed.zone, listed.position, now) || changed;
  for (auto& [zone, known] : zones_) {
    const auto is_zone = [&zone = zone](const zone_evacuation& listed) {
      return listed.zone == zone;
    };
    if (!known.evacuated || position <= known.position ||
        std::any_of(all.begin(), all.end(), is_zone))
      continue;
    if (position.era == known.position.era) {
      known.evacuated = false;
      known.position = position;
      changed = true;
      continue;
    }
    known.missing_at = position;
    if (!known.grace_ends_at)
      known.grace_ends_at = now + restore_grace_;
  }
  return changed;
}

bool evacuation_set::Expire(time_point now) {
  bool changed = false;
  for (auto& [zone, known] : zones_) {
    if (!known.grace_ends_at || *known.grace_ends_at > now)
      continue;
    known.grace_ends_at.reset();
    known.evacuated = false;
    // Above the lost position, so that reports of peers whose grace period
    // lasts longer do not bring the evacuation back.
    known.position = known.missing_at;
    changed = true;
  }
  return changed;
}

bool evacuation_set::Contains(std::string_view zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.evacuated;
}

std::vector<zone_evacuation> evacuation_set::entries() const {
  std::vector<zone_evacuation> listed;
  for (const auto& [zone, known] : zones_) {
    if (known.evacuated)
      listed.push_back({zone, known.position});
  }
  return listed;
}

std::vector<evacuation_report> evacuation_set::Reports() const {
  std::vector<evacuation_report> reports;
  for (const auto& [zone, known] : zones_)
    reports.push_back({zone, known.position, known.evacuated});
  return reports;
}

std::vector<evacuation_report> evacuation_set::NewestReports(
    std::size_t max) const {
  std::vector<evacuation_report> reports = Reports();
  std::sort(reports.begin(), reports.end(),
            [](const evacuation_report& a, const evacuation_report& b) {
              return a.position > b.position;
            });
  if (reports.size() > max)
    reports.resize(max);
  return reports;
}

std::optional<evacuation_report> evacuation_set::ReportOf(
    std::string_view zone) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end())
    return std::nullopt;
  return evacuation_report{found->first, found->second.position,
                           found->second.evacuated};
}

bool evacuation_set::Merge(const evacuation_report& report, time_point now) {
  return report.evacuated ? Put(report.zone, report.position, now)
                          : Remove(report.zone, report.position);
}

std::optional<time_point> evacuation_set::oldest() const {
  std::optional<time_point> oldest;
  for (const auto& [zone, known] : zones_) {
    if (known.evacuated && (!oldest || known.since < *oldest))
      oldest = known.since;
  }
  return oldest;
}

}  // namespace cactusward
