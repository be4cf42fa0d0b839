// Availability zones whose upstreams must not get any request.
#ifndef CACTUSWARD_EVACUATION_SET_H_
#define CACTUSWARD_EVACUATION_SET_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cactusward/registry_position.h"
#include "cactusward/time.h"

namespace cactusward {

// An evacuation and the position at which the registry got it.
struct zone_evacuation {
  std::string zone;
  registry_position position;

  friend bool operator==(const zone_evacuation& a, const zone_evacuation& b) {
    return a.zone == b.zone && a.position == b.position;
  }
};

// The last that an instance knows of one zone, for its peers.
struct evacuation_report {
  std::string zone;
  registry_position position;
  bool evacuated = false;

  friend bool operator==(const evacuation_report& a,
                         const evacuation_report& b) {
    return a.zone == b.zone && a.position == b.position &&
           a.evacuated == b.evacuated;
  }
};

// The evacuations that the registry lists. Changes may arrive in any order: the
// one with the highest position decides, for each zone. When the registry is
// restored from a copy, evacuations that the copy lacks stay in force for a
// grace period in which the operator writes them again. Not thread-safe.
class evacuation_set {
 public:
  // @param restore_grace how long an evacuation that a restored registry lacks
  //     stays in force.
  explicit evacuation_set(duration restore_grace)
      : restore_grace_(restore_grace) {}

  // The registry lists an evacuation of `zone`. @return whether that is new.
  bool Put(const std::string& zone,
           const registry_position& position,
           time_point now);
  // The registry no longer lists it. @return whether it was in force.
  bool Remove(const std::string& zone, const registry_position& position);
  // Replaces all evacuations by those of the registry as of `position`.
  // @return whether anything changed.
  bool Replace(const std::vector<zone_evacuation>& all,
               const registry_position& position,
               time_point now);
  // Ends evacuations whose grace period has passed.
  // @return whether anything changed.
  bool Expire(time_point now);

  // What is known of all zones that are or were evacuated.
  std::vector<evacuation_report> Reports() const;
  // The `max` reports with the highest positions, the highest first.
  std::vector<evacuation_report> NewestReports(std::size_t max) const;
  // The last change of `zone`; nullopt if it was never evacuated.
  std::optional<evacuation_report> ReportOf(std::string_view zone) const;
  // Merges a peer's report. @return whether the zone's state has changed.
  bool Merge(const evacuation_report& report, time_point now);

  bool Contains(std::string_view zone) const;
  // The evacuations in force, by zone.
  std::vector<zone_evacuation> entries() const;
  // Since when the oldest one has been known; nullopt if there is none.
  std::optional<time_point> oldest() const;

 private:
  struct known_zone {
    bool evacuated = false;
    registry_position position;
    time_point since;
    // While a registry that was restored lacks the evacuation: until when it
    // stays in force, and as of which position it is lacking.
    std::optional<time_point> grace_ends_at;
    registry_position missing_at;
  };

  duration restore_grace_;
  std::map<std::string, known_zone, std::less<>> zones_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_EVACUATION_SET_H_
