// A point in the history of a registry that may be restored from a copy.
#ifndef CACTUSWARD_REGISTRY_POSITION_H_
#define CACTUSWARD_REGISTRY_POSITION_H_

#include <cstdint>

namespace cactusward {

// A registry's revision. A registry that is restored from a copy gives out
// again the revisions after the copy; its era then rises, so that positions of
// different eras are ordered by era. Default: before every position. Immutable
// value; thread-safe.
struct registry_position {
  std::int64_t era = 0;  // 0: the registry does not report one
  std::int64_t revision = 0;

  friend bool operator==(const registry_position& a,
                         const registry_position& b) {
    return a.era == b.era && a.revision == b.revision;
  }
  friend bool operator!=(const registry_position& a,
                         const registry_position& b) {
    return !(a == b);
  }
  friend bool operator<(const registry_position& a,
                        const registry_position& b) {
    return a.era != b.era ? a.era < b.era : a.revision < b.revision;
  }
  friend bool operator>(const registry_position& a,
                        const registry_position& b) {
    return b < a;
  }
  friend bool operator<=(const registry_position& a,
                         const registry_position& b) {
    return !(b < a);
  }
  friend bool operator>=(const registry_position& a,
                         const registry_position& b) {
    return !(a < b);
  }
};

}  // namespace cactusward

#endif  // CACTUSWARD_REGISTRY_POSITION_H_
