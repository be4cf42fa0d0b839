// Limits how often an instance asks for data that its peers already have.
#ifndef CACTUSWARD_CATCH_UP_PACER_H_
#define CACTUSWARD_CATCH_UP_PACER_H_

#include <optional>

#include "cactusward/time.h"

namespace cactusward {

struct catch_up_settings {
  milliseconds min_interval;       // between two fetches
  milliseconds extra_interval;     // while an earlier fetch is unanswered
  int max_concurrent;              // fetches without a response
  milliseconds lag_expires_after;  // a lag not reported for this long has ended
};

// Decides when a fetch of one kind of data begins. Does no I/O and reads no
// clock. Not thread-safe.
class catch_up_pacer {
 public:
  explicit catch_up_pacer(const catch_up_settings& settings)
      : settings_(settings) {}

  // A peer has newer data, which the usual delivery may still bring within
  // `grace`. @return whether to fetch it now; the caller then calls End when
  // the fetch is over.
  bool TryBegin(time_point now, duration grace);
  void End() { --active_; }
  // The newest data known of has been received.
  void RecordCaughtUp() { behind_since_.reset(); }
  // Fetches without a response.
  int active() const { return active_; }

 private:
  catch_up_settings settings_;
  std::optional<time_point> behind_since_;
  time_point last_begin_{};
  int active_ = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_CATCH_UP_PACER_H_
