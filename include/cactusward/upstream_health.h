// Passive health check: judges an upstream by the outcome of its requests, not
// by what it reports.
#ifndef CACTUSWARD_UPSTREAM_HEALTH_H_
#define CACTUSWARD_UPSTREAM_HEALTH_H_

#include "cactusward/time.h"

namespace cactusward {

enum class exchange_outcome {
  kCompleted,        // a whole response, whatever its status
  kRefused,          // a response that says that the request was not run
  kFailed,           // a response that says that the upstream failed
  kInvalidResponse,  // truncated or malformed
  kUnreachable,      // connection failed
  kTimedOut,         // no response in time
};

// Health of one upstream. Not thread-safe.
class upstream_health {
 public:
  void Record(exchange_outcome outcome, time_point now);
  // Records the time to the first event of a stream.
  void RecordFirstEventTime(double expected_ms,
                            double measured_ms,
                            time_point now);
  // Whether other upstreams are preferred now. When the avoidance ends, live
  // requests probe the upstream again.
  bool IsAvoided(time_point now) const { return now < avoided_until_; }
  // Measured over expected time to the first event; 1 when nothing is known.
  double Slowdown(time_point now) const;
  time_point avoided_until() const { return avoided_until_; }

 private:
  double failure_share_ = 0;  // moving average over requests
  int consecutive_failures_ = 0;
  double slowdown_ = 1;
  time_point slowdown_at_{};
  time_point avoided_until_{};
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_HEALTH_H_
