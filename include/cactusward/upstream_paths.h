// Tells upstreams that fail from paths to them that fail.
#ifndef CACTUSWARD_UPSTREAM_PATHS_H_
#define CACTUSWARD_UPSTREAM_PATHS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "cactusward/time.h"

namespace cactusward {

// Which upstreams this instance reaches directly and which only through a peer.
// A path is broken when a peer connects to an upstream while this instance
// cannot: the failure of the upstream itself shows at both. When several paths
// are found broken and no direct connection succeeds in between, the instance
// is cut off from all upstreams. Does no I/O and reads no clock. Not
// thread-safe.
class upstream_paths {
 public:
  explicit upstream_paths(std::uint64_t random_seed) : random_(random_seed) {}

  // A direct connection to `address` was established.
  // @return whether this ends the time in which the instance was cut off: a
  //     path that was broken works again.
  bool RecordDirect(const std::string& address, time_point now);
  // A peer connected to `address`, and this instance could not meanwhile.
  // @return whether the instance counts as cut off from now on.
  bool RecordBypass(const std::string& address, time_point now);
  // Neither this instance nor a peer could connect to `address`.
  // @param refused whether the peer's connection was refused.
  void RecordUnreachable(const std::string& address,
                         bool refused,
                         time_point now);
  // A peer connected to `address`; no direct connection was tried.
  void RecordUse(const std::string& address, time_point now);

  // Whether connections to `address` are opened through a peer first. While the
  // instance is cut off, that holds for all that it has not reached since.
  bool IsBroken(const std::string& address) const;
  bool IsCutOff() const { return cut_off_since_.has_value(); }
  // Precondition: IsCutOff().
  time_point cut_off_since() const { return *cut_off_since_; }
  // Time of the last direct connection to any upstream.
  std::optional<time_point> last_direct() const { return last_direct_; }
  // Number of paths known as broken.
  std::size_t size() const { return broken_.size(); }
  // Whether a peer was refused by `address` a short time ago; nullopt if no
  // peer has found it unreachable, so that peers may be asked.
  std::optional<bool> RecentRefusal(const std::string& address,
                                    time_point now) const;
  // A random broken path to be tried directly again; nullopt if there is none.
  // @param proven one that a peer has proven broken, otherwise one that is only
  //     in use while this instance is cut off.
  std::optional<std::string> NextProbe(bool proven);
  // Forgets paths that were not in use for long.
  void Expire(time_point now);

 private:
  struct broken_path {
    bool proven = false;  // otherwise only in use while cut off
    time_point used_at;
  };
  struct unreachable_upstream {
    bool refused = false;
    time_point at;
  };

  std::mt19937_64 random_;
  std::map<std::string, broken_path> broken_;
  std::map<std::string, unreachable_upstream> unreachable_;
  // Proven broken since the last direct connection to any upstream.
  std::set<std::string> proven_since_direct_;
  std::optional<time_point> last_direct_;
  std::optional<time_point> cut_off_since_;
  std::set<std::string> reached_while_cut_off_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_PATHS_H_
