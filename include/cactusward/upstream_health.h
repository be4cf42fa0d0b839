// Judges an upstream by what its answers showed, not by what it says.
#ifndef CACTUSWARD_UPSTREAM_HEALTH_H_
#define CACTUSWARD_UPSTREAM_HEALTH_H_

#include "cactusward/time.h"

namespace cactusward {

enum class exchange_outcome {
  kCompleted,        // a whole answer, whatever its status
  kRefused,          // an answer that says that the request was not run
  kFailed,           // an answer that says that the upstream failed
  kInvalidResponse,  // the connection ended early, or the bytes were no answer
  kUnreachable,      // no connection
  kTimedOut,         // nothing came in time
};

// Evidence about one upstream. Not thread-safe.
class upstream_health {
 public:
  void Record(exchange_outcome outcome, time_point now);
  // The first event of a stream came after `measured_ms`, where `expected_ms`
  // were expected.
  void RecordFirstEventTime(double expected_ms,
                            double measured_ms,
                            time_point now);
  // Whether other upstreams are to be preferred now. After a while real
  // requests try it again.
  bool IsAvoided(time_point now) const { return now < avoided_until_; }
  // Times as slow as expected; 1 when nothing is known.
  double Slowdown(time_point now) const;
  time_point avoided_until() const { return avoided_until_; }

 private:
  double failure_share_ = 0;  // moving average over exchanges
  int consecutive_failures_ = 0;
  double slowdown_ = 1;
  time_point slowdown_at_{};
  time_point avoided_until_{};
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_HEALTH_H_
