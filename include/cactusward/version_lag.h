// Which versions of a document exist that this instance does not have in force.
#ifndef CACTUSWARD_VERSION_LAG_H_
#define CACTUSWARD_VERSION_LAG_H_

#include <cstdint>
#include <map>
#include <optional>

#include "cactusward/time.h"

namespace cactusward {

// Remembers when each version that is not in force yet was first heard of. Does
// no I/O and reads no clock. Not thread-safe.
class version_lag {
 public:
  // Another instance has `version` in force.
  void Report(std::int64_t version, time_point now);
  // `version` has come into force here; older reports no longer count.
  void RecordInForce(std::int64_t version);

  // The newest version that is known of, whether in force or not; 0: none.
  std::int64_t newest() const { return newest_; }
  // How long a version newer than the one in force has been known of; empty if
  // none is.
  std::optional<duration> Behind(time_point now) const;

 private:
  std::int64_t in_force_ = 0;
  std::int64_t newest_ = 0;
  // First report of each version that is not in force.
  std::map<std::int64_t, time_point> reported_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_VERSION_LAG_H_
