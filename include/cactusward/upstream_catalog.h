// Upstreams listed by a registry, kept through outages of the registry.
#ifndef CACTUSWARD_UPSTREAM_CATALOG_H_
#define CACTUSWARD_UPSTREAM_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cactusward/registry_position.h"
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
  // Rises with each registration since that start; 0: unknown.
  std::int64_t sequence = 0;
  // How much longer it is cold, as of this entry.
  milliseconds cold_remaining{0};

  friend bool operator==(const upstream_entry& a, const upstream_entry& b) {
    return a.id == b.id && a.service == b.service && a.address == b.address &&
           a.availability_zone == b.availability_zone && a.slots == b.slots &&
           a.leaving == b.leaving && a.started_at_ms == b.started_at_ms &&
           a.sequence == b.sequence && a.cold_remaining == b.cold_remaining;
  }
};

// A registered value and the position at which it was registered.
struct registered_upstream {
  upstream_entry entry;
  registry_position position;

  friend bool operator==(const registered_upstream& a,
                         const registered_upstream& b) {
    return a.entry == b.entry && a.position == b.position;
  }
};

// Upstreams that may be used. Entries expire in the registry when an upstream
// stops renewing them. During an outage of the registry healthy upstreams
// cannot renew their entries, so entries that are missing after an outage stay
// usable for a grace period in which upstreams register again. When the
// registry is restored from a copy, entries of the copy do not replace newer
// ones of the era before, nor do they return when they had been removed. Not
// thread-safe.
class upstream_catalog {
 public:
  // @param reregistration_grace time after an outage of the registry in which
  //     an upstream may register again.
  explicit upstream_catalog(duration reregistration_grace)
      : reregistration_grace_(reregistration_grace) {}

  // Records that the registry did not respond, or refused, at `now`.
  void RecordOutage(time_point now);

  // Adds or replaces an entry. Ignores older positions, entries of an earlier
  // process with the same id, and entries that are older than one of an earlier
  // era. @return whether anything that matters to requests changed, other than
  // the remaining cold time.
  bool Put(const upstream_entry& entry, const registry_position& position);
  // The registry holds no usable entry for `id` any more.
  // @return whether anything changed.
  bool Remove(const std::string& id,
              const registry_position& position,
              time_point now);
  // Replaces all entries by those of the registry as of `position`.
  // @return whether anything changed.
  bool Replace(const std::vector<registered_upstream>& all,
               const registry_position& position,
               time_point now);
  // Removes entries whose grace period has passed.
  // @return whether anything changed.
  bool Expire(time_point now);

  // Ids of upstreams of which an entry that says that they are cold, or no
  // longer, has been received and not been taken.
  const std::set<std::string>& cold_changes() const { return cold_changes_; }
  std::set<std::string> TakeColdChanges() {
    return std::exchange(cold_changes_, {});
  }

  // Usable or leaving upstreams by id.
  const std::map<std::string, registered_upstream>& entries() const {
    return entries_;
  }
  // Whether a missing entry counts as an effect of the registry's outage.
  bool IsInOutageGracePeriod(time_point now) const;

 private:
  void Erase(const std::string& id, time_point now);

  // An entry that was removed, as it was last.
  struct removed_upstream {
    registered_upstream last;
    time_point at;
  };

  void Store(const upstream_entry& entry, const registry_position& position);

  duration reregistration_grace_;
  std::map<std::string, registered_upstream> entries_;
  std::set<std::string> cold_changes_;
  // By id of a missing entry: when the entry is removed.
  std::map<std::string, time_point> grace_deadlines_;
  std::map<std::string, removed_upstream> removed_;
  std::optional<time_point> last_outage_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_CATALOG_H_
