// Which peers can provide a version of a document.
#ifndef CACTUSWARD_VERSION_HOLDERS_H_
#define CACTUSWARD_VERSION_HOLDERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "cactusward/time.h"

namespace cactusward {

// Remembers which version each peer has in force, and chooses among those that
// have a version, so that instances which miss it do not all ask the same peer.
// Does no I/O and reads no clock. Not thread-safe.
class version_holders {
 public:
  // The peer at `address` has `version` in force.
  void Report(const std::string& address,
              const std::string& availability_zone,
              std::int64_t version,
              time_point now);
  // Leaves the peer out until `until`: it did not respond, or has no capacity.
  void Avoid(const std::string& address, time_point until);

  // A random peer that has a version newer than `known`: one of
  // `availability_zone`, if there is one that is not avoided.
  // @return empty if no peer that is not avoided has one.
  std::optional<std::string> Pick(std::int64_t known,
                                  const std::string& availability_zone,
                                  std::mt19937_64& random,
                                  time_point now);

 private:
  struct holder {
    std::string availability_zone;
    std::int64_t version = 0;
    time_point reported_at;
    time_point avoided_until;
  };

  // By address.
  std::map<std::string, holder> holders_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_VERSION_HOLDERS_H_
