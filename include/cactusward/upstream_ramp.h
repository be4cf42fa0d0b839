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
  bool reached_slots = true;  // false: it took too long

  friend bool operator==(const ended_ramp& a, const ended_ramp& b) {
    return a.process == b.process && a.lasted == b.lasted &&
           a.setbacks == b.setbacks && a.reached_slots == b.reached_slots;
  }
};

// An upstream whose load is to rise.
struct ramping_upstream {
  int slots = 1;
  // Upstreams of one group are taken to be slow in the same way after their
  // start: each instance receives few responses of one of them.
  std::uint32_t group = 0;
  // Time after the start in which upstreams become as quick as others.
  milliseconds warm_up{3'000};

  friend bool operator==(const ramping_upstream& a, const ramping_upstream& b) {
    return a.slots == b.slots && a.group == b.group && a.warm_up == b.warm_up;
  }
};

// Keeps, for each ramping process of an upstream, the number of requests of all
// instances that may run there, and by how much it is slower than usual. It
// rises additively with time and with timely responses, and falls by a factor
// with late ones and refusals. Each instance has its own ramps: one of a large
// fleet receives few responses of one upstream. Processes are identified by a
// key of the upstream's id and its start. Not thread-safe.
class upstream_ramp {
 public:
  // Whether a first event that took `measured_ms` was as early as the cost
  // model allows. Thread-safe.
  static bool IsTimely(double expected_ms, double measured_ms);

  // Begins a ramp, or begins it again if the process is ramping. The number
  // does not rise before `at`, which may be in the future.
  // Precondition: there is at least one slot.
  // @return whether the process was not ramping.
  bool Begin(std::uint32_t process,
             const ramping_upstream& upstream,
             time_point at);
  // A response arrived in time. No effect on a process that is not ramping.
  void RecordTimely(std::uint32_t process, time_point now);
  // A first event arrived after `slowdown` times the time that the cost model
  // expects of an upstream that is not slow. Counts for the whole group.
  void RecordFirstEvent(std::uint32_t process, double slowdown, time_point now);
  // A response was late, the upstream refused a request or the exchange failed.
  // Setbacks of requests that were sent before the previous one do not count.
  void RecordSetback(std::uint32_t process, time_point sent_at, time_point now);
  // The upstream states its load. Requests that wait there count as a setback.
  void RecordLoad(std::uint32_t process, int waiting, time_point now);

  // Most requests that may run at once; nullopt: the process is not ramping.
  std::optional<int> Limit(std::uint32_t process, time_point now) const;
  // Expected factor of the usual time of a response, at least 1: what first
  // events of the group have shown, less as the warm-up advances. 1 if nothing
  // is known.
  double Slowdown(std::uint32_t process, time_point now) const;
  std::size_t size() const { return ramps_.size(); }
  // Removes the ramps that have ended and whose upstreams have warmed up. Call
  // periodically.
  std::vector<ended_ramp> Expire(time_point now);

 private:
  struct ramp {
    ramping_upstream upstream;
    double slots = 1;
    double limit = 1;             // at `changed_at`
    double initial_slowdown = 1;  // at `began_at`
    time_point began_at;
    time_point changed_at;
    time_point last_setback_at;
    int setbacks = 0;

    // Share of the warm-up that is left; 1 before it begins.
    double ColdShare(time_point now) const;
    double LimitAt(time_point now) const;
    bool HasEnded(time_point now) const;
    void Set(double next, time_point now);
  };

  ramp* FindRunning(std::uint32_t process, time_point now);

  std::map<std::uint32_t, ramp> ramps_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_RAMP_H_
