// Periodic callbacks.
#ifndef CACTUSWARD_TIMER_SERVICE_H_
#define CACTUSWARD_TIMER_SERVICE_H_

#include <functional>
#include <memory>

#include "cactusward/time.h"

namespace cactusward {

// Cancels the subscription when destroyed.
class timer_subscription {
 public:
  virtual ~timer_subscription() = default;
};

// Not thread-safe: callbacks run on the thread that subscribes.
class timer_service {
 public:
  using callback = std::function<void(time_point now)>;
  virtual ~timer_service() = default;

  // Calls `callback` every `period` until the subscription is destroyed. Calls
  // missed while the process was stopped are skipped.
  // Precondition: `period` is positive.
  virtual std::unique_ptr<timer_subscription> Every(duration period,
                                                    callback callback) = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_TIMER_SERVICE_H_
