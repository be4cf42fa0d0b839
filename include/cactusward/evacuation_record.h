// Operators' evacuations as the key-value service stores them.
#ifndef CACTUSWARD_EVACUATION_RECORD_H_
#define CACTUSWARD_EVACUATION_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cactusward/evacuation_set.h"
#include "cactusward/result.h"

namespace cactusward {

// A state is numbered by the wall clock of its writer in microseconds, or one
// above the state that it replaces if that is higher. The number is the
// revision of its position, in era 0. A state that is written after the
// key-value service was restored from a copy is therefore above those that the
// copy lacks, also when its writer does not know them.

// Keys of the key-value service begin with it; the zone's name follows.
inline constexpr std::string_view kEvacuationPrefix = "cactusward/evacuate/";

// Whether `zone` may name an availability zone: 1 to 64 letters, digits, dots,
// hyphens and underscores. Thread-safe.
bool IsZoneName(std::string_view zone);
// The key of `zone`. Thread-safe.
std::string EvacuationKey(std::string_view zone);
// The zone of a key; nullopt if it is not that of an evacuation. Thread-safe.
std::optional<std::string> ZoneOfKey(std::string_view key);

// The stored value for a state. Thread-safe.
std::string EncodeEvacuation(const evacuation_report& state);
// Decodes the output of EncodeEvacuation; members that are not known are
// ignored. @return kBadRequest if it cannot be read. Thread-safe.
result<evacuation_report> DecodeEvacuation(const std::string& zone,
                                           std::string_view value);

// The state to write for an operator's request.
// @param stored the state in the key-value service; nullopt if it has none.
// @param known the newest state that this instance knows; nullopt if none.
// @param wall_us the wall clock, in microseconds.
// @return `stored` itself if it is what the operator requests and the newest
//     one, otherwise a state above both. Thread-safe.
evacuation_report NextEvacuation(const std::string& zone,
                                 bool evacuate,
                                 const std::optional<evacuation_report>& stored,
                                 const std::optional<evacuation_report>& known,
                                 std::int64_t wall_us);

// Whether an instance that knows `known` must write it again because the
// key-value service, which has `stored`, was restored from an older copy.
// Thread-safe.
bool MustWriteBack(const std::optional<evacuation_report>& stored,
                   const evacuation_report& known);

// A zone's state in the fleet.
struct zone_status {
  std::string zone;
  bool evacuated = false;
  std::int64_t number = 0;  // 0: never evacuated
  // Number of instances that know the newest state.
  std::size_t complying = 0;
  // Names of the others, sorted.
  std::vector<std::string> behind;

  friend bool operator==(const zone_status& a, const zone_status& b) {
    return a.zone == b.zone && a.evacuated == b.evacuated &&
           a.number == b.number && a.complying == b.complying &&
           a.behind == b.behind;
  }
};

// What each instance reports, by its name; nullopt if it has not responded or
// does not know the state of all zones yet.
using instance_evacuations =
    std::map<std::string, std::optional<std::vector<evacuation_report>>>;

// Merges the reports of all instances, by zone.
// @param zones listed even if no instance reports them. Thread-safe.
std::vector<zone_status> MergeZoneReports(const instance_evacuations& instances,
                                          const std::set<std::string>& zones);

}  // namespace cactusward

#endif  // CACTUSWARD_EVACUATION_RECORD_H_
