// The upstreams that a registry lists, and what its silence means.
#ifndef CACTUSWARD_UPSTREAM_CATALOG_H_
#define CACTUSWARD_UPSTREAM_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/time.h"

namespace cactusward {

// One upstream as it registered itself.
struct upstream_entry {
  std::string id;  // of this life of the upstream, mostly
  std::string service;
  std::string address;  // IP:port; may belong to another upstream later
  std::string availability_zone;
  int slots = 1;
  bool leaving = false;
  std::int64_t started_at_ms = 0;  // Unix time of its start; 0: not stated

  friend bool operator==(const upstream_entry& a, const upstream_entry& b) {
    return a.id == b.id && a.service == b.service && a.address == b.address &&
           a.availability_zone == b.availability_zone && a.slots == b.slots &&
           a.leaving == b.leaving && a.started_at_ms == b.started_at_ms;
  }
};

// A registered value and the registry's revision of it.
struct registered_upstream {
  upstream_entry entry;
  std::int64_t revision = 0;

  friend bool operator==(const registered_upstream& a,
                         const registered_upstream& b) {
    return a.entry == b.entry && a.revision == b.revision;
  }
};

// Upstreams that may be used. Entries expire in the registry when an upstream
// falls silent; while the registry was away they expire for no fault of the
// upstream, so such an entry stays usable until the upstream had time to
// register again. Not thread-safe.
class upstream_catalog {
 public:
  // @param reregistration_grace how long after the registry's return an
  // upstream may
  //     take to register again.
  explicit upstream_catalog(duration reregistration_grace)
      : reregistration_grace_(reregistration_grace) {}

  // The registry did not answer, or refused, at `now`.
  void RecordOutage(time_point now);

  // Adds or replaces an entry. Older revisions, and earlier lives under the
  // same id, are ignored. @return whether anything changed.
  bool Put(const upstream_entry& entry, std::int64_t revision);
  // The registry holds no usable entry for `id` any more.
  // @return whether anything changed.
  bool Remove(const std::string& id, std::int64_t revision, time_point now);
  // Everything that the registry holds, as of `revision`.
  // @return whether anything changed.
  bool Replace(const std::vector<registered_upstream>& all,
               std::int64_t revision,
               time_point now);
  // Removes entries whose time to return has passed.
  // @return whether anything changed.
  bool Expire(time_point now);

  // Usable or leaving upstreams by id.
  const std::map<std::string, registered_upstream>& entries() const {
    return entries_;
  }
  // Whether an absence would now be put down to the registry's outage.
  bool IsInOutageGracePeriod(time_point now) const;

 private:
  duration reregistration_grace_;
  std::map<std::string, registered_upstream> entries_;
  std::map<std::string, time_point>
      grace_deadlines_;  // id to when it counts as gone
  std::optional<time_point> last_outage_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_CATALOG_H_
