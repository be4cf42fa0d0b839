#include "cactusward/catch_up_pacer.h"

namespace cactusward {

bool catch_up_pacer::TryBegin(time_point now, duration grace) {
  if (!behind_since_ || now - *behind_since_ > settings_.lag_expires_after)
    behind_since_ = now;
  if (now - *behind_since_ < grace)
    return false;
  const milliseconds interval =
      active_ == 0 ? settings_.min_interval : settings_.extra_interval;
  if (active_ >= settings_.max_concurrent || now - last_begin_ < interval)
    return false;
  ++active_;
  last_begin_ = now;
  return true;
}

}  // namespace cactusward
