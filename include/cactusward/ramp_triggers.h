// Decides when the load of an upstream has to rise gradually.
#ifndef CACTUSWARD_RAMP_TRIGGERS_H_
#define CACTUSWARD_RAMP_TRIGGERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "cactusward/time.h"

namespace cactusward {

enum class ramp_reason { kStarted, kCold, kAvoided };

// The name of a reason, for the log. Thread-safe.
std::string_view RampReasonName(ramp_reason reason);

// That a ramp begins, and from when on the load rises.
struct ramp_start {
  ramp_reason reason = ramp_reason::kStarted;
  time_point at;

  friend bool operator==(const ramp_start& a, const ramp_start& b) {
    return a.reason == b.reason && a.at == b.at;
  }
};

// Remembers which processes of upstreams the registry has listed, and finds the
// events after which a process gets less than its share of the load. Processes
// are identified by a key of the upstream's id and its start. Not thread-safe.
class ramp_triggers {
 public:
  // The registry lists `process`. Starts a ramp if the process is new: not
  // before SetListKnown, since what the first read lists has been running, nor
  // for a process that is listed again, as after an outage of the registry.
  std::optional<ramp_start> RecordListed(std::uint32_t process,
                                         bool leaving,
                                         time_point now);
  // The registry has been read. Call when all processes of a read are recorded.
  void SetListKnown() { list_is_known_ = true; }
  // A process is still listed: it is remembered for longer.
  void Keep(std::uint32_t process, time_point now) {
    last_listed_[process] = now;
  }
  // Forgets processes that have not been listed for long. Call periodically.
  void Expire(time_point now);
  std::size_t size() const { return last_listed_.size(); }

  // The end of a process's cold time changes. Starts a ramp if the process
  // becomes cold and is not ramping yet. Thread-safe.
  static std::optional<ramp_start> AfterCold(time_point known_until,
                                             time_point until,
                                             bool is_ramping,
                                             time_point now);
  // An exchange has failed. Starts a ramp at the end of the avoidance, if the
  // upstream is avoided; a refusal alone is no sign that it could not be
  // reached. Thread-safe.
  static std::optional<ramp_start> AfterFailure(bool refused,
                                                time_point avoided_until,
                                                time_point now);

 private:
  std::map<std::uint32_t, time_point> last_listed_;
  bool list_is_known_ = false;
};

}  // namespace cactusward

#endif  // CACTUSWARD_RAMP_TRIGGERS_H_
