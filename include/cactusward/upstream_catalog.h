// Upstreams listed by a registry, kept through outages of the registry.
#ifndef CACTUSWARD_UPSTREAM_CATALOG_H_
#define CACTUSWARD_UPSTREAM_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/time.h"

namespace cactusward {

// An upstream as it registered itself.
struct upstream_entry {
  std::string id;  // usually unique to one process lifetime
  std::string service;
  std::string address;  // IP:port; may be reused by another upstream
  std::string availability_zone;
  int slots = 1;
  bool leaving = false;
  std::int64_t started_at_ms = 0;  // Unix time of its start; 0: unknown

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
// stops renewing them. During an outage of the registry healthy upstreams
// cannot renew their entries, so entries that are missing after an outage stay
// usable for a grace period in which upstreams register again. Not thread-safe.
class upstream_catalog {
 public:
  // @param reregistration_grace time after an outage of the registry in which
  //     an upstream may register again.
  explicit upstream_catalog(duration reregistration_grace)
      : reregistration_grace_(reregistration_grace) {}

  // Records that the registry did not respond, or refused, at `now`.
  void RecordOutage(time_point now);

  // Adds or replaces an entry. Ignores older revisions, and entries of an
  // earlier process with the same id. @return whether anything changed.
  bool Put(const upstream_entry& entry, std::int64_t revision);
  // The registry holds no usable entry for `id` any more.
  // @return whether anything changed.
  bool Remove(const std::string& id, std::int64_t revision, time_point now);
  // Replaces all entries by those of the registry as of `revision`.
  // @return whether anything changed.
  bool Replace(const std::vector<registered_upstream>& all,
               std::int64_t revision,
               time_point now);
  // Removes entries whose grace period has passed.
  // @return whether anything changed.
  bool Expire(time_point now);

  // Usable or leaving upstreams by id.
  const std::map<std::string, registered_upstream>& entries() const {
    return entries_;
  }
  // Whether a missing entry counts as an effect of the registry's outage.
  bool IsInOutageGracePeriod(time_point now) const;

 private:
  duration reregistration_grace_;
  std::map<std::string, registered_upstream> entries_;
  // By id of a missing entry: when the entry is removed.
  std::map<std::string, time_point> grace_deadlines_;
  std::optional<time_point> last_outage_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_CATALOG_H_
