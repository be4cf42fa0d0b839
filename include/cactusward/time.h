// Time types. Code that makes decisions is passed the current time and reads no
// clock.
#ifndef CACTUSWARD_TIME_H_
#define CACTUSWARD_TIME_H_

#include <chrono>

namespace cactusward {

// Monotonic; also advances while the process is stopped by a signal.
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;
using milliseconds = std::chrono::milliseconds;

// Converts `d` to fractional milliseconds. Thread-safe.
inline double ToMilliseconds(duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

}  // namespace cactusward

#endif  // CACTUSWARD_TIME_H_
