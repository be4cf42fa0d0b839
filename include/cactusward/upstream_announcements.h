// What upstreams say in their responses about taking more requests.
#ifndef CACTUSWARD_UPSTREAM_ANNOUNCEMENTS_H_
#define CACTUSWARD_UPSTREAM_ANNOUNCEMENTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "cactusward/time.h"

namespace cactusward {

// Announcements of processes of upstreams, as heard by this instance: that they
// leave, and until when they want no requests. Binds this instance only, and
// outlasts the upstream's entry in the registry. A process is identified by a
// key of the upstream's id and its start. Not thread-safe.
class upstream_announcements {
 public:
  // Records that a process leaves, which lasts until its end.
  // @return whether it was not known.
  bool RecordLeaving(std::uint32_t process, time_point now);
  // Records that a process wants no requests for `time` from `received_at`. An
  // earlier announcement of a longer time stays in force: responses on
  // different connections may overtake each other. Precondition: `time` is not
  // negative.
  // @return whether the time ends later than known.
  bool RecordBackoff(std::uint32_t process,
                     milliseconds time,
                     time_point received_at);

  bool IsLeaving(std::uint32_t process) const;
  // When the process wants requests again; nullopt if it wants some at `now`.
  std::optional<time_point> BackoffEnd(std::uint32_t process,
                                       time_point now) const;
  // Whether requests may be sent to the process.
  bool MaySend(std::uint32_t process, time_point now) const {
    return !IsLeaving(process) && !BackoffEnd(process, now);
  }

  // Forgets processes that have not been listed for a long time, and times that
  // are over. Call periodically.
  // @param listed the processes that are listed at `now`.
  void Expire(const std::set<std::uint32_t>& listed, time_point now);
  // Number of processes that an announcement is known of.
  std::size_t size() const { return known_.size(); }

 private:
  struct announcement {
    bool leaving = false;
    time_point backoff_end;
    time_point last_seen;  // when it was heard, or listed
  };

  std::map<std::uint32_t, announcement> known_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_ANNOUNCEMENTS_H_
