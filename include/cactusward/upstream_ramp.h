// Finds how many requests an upstream that has started or recovered can take,
// from how it responds.
#ifndef CACTUSWARD_UPSTREAM_RAMP_H_
#define CACTUSWARD_UPSTREAM_RAMP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cactusward/time.h"

namespace cactusward {

// How a ramp ended, for the log.
struct ended_ramp {
  std::uint32_t process = 0;
  duration lasted{0};
  int setbacks = 0;

  friend bool operator==(const ended_ramp& a, const ended_ramp& b) {
    return a.process == b.process && a.lasted == b.lasted &&
           a.setbacks == b.setbacks;
  }
};

// Keeps, for each ramping process of an upstream, the number of requests of all
// instances that may run there. It rises additively with timely responses and
// falls by a factor with late ones and refusals. Processes are identified by a
// key of the upstream's id and its start. Not thread-safe.
class upstream_ramp {
 public:
  // Begins a ramp, or begins it again if the process is ramping.
  // Precondition: `slots` is at least 1.
  void Begin(std::uint32_t process, int slots, time_point now);
  // A response arrived in time. No effect on a process that is not ramping.
  void RecordTimely(std::uint32_t process, time_point now);
  // A response was late, the upstream refused a request or the exchange failed.
  // Setbacks of requests that were sent before the previous one do not count.
  void RecordSetback(std::uint32_t process, time_point sent_at, time_point now);
  // The upstream states its load.
  void RecordLoad(std::uint32_t process,
                  int running,
                  int waiting,
                  time_point now);

  // Most requests that may run at once; nullopt: the process is not ramping.
  std::optional<int> Limit(std::uint32_t process, time_point now) const;
  std::size_t size() const { return ramps_.size(); }
  // Ends the ramps that have reached the slots. Call periodically.
  std::vector<ended_ramp> Expire(time_point now);

 private:
  struct ramp {
    int slots = 1;
    double limit = 1;
    time_point began_at;
    time_point changed_at;
    time_point last_setback_at;
    int setbacks = 0;
  };

  std::map<std::uint32_t, ramp> ramps_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_RAMP_H_
