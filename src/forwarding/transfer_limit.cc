#include "cactusward/transfer_limit.h"

#include <algorithm>

namespace cactusward {

bool transfer_limit::TryBegin(std::size_t bytes, time_point now) {
  if (sent_at_ > now + settings_.max_queued)
    return false;
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           settings_.bytes_per_second);
  sent_at_ =
      std::max(sent_at_, now) + std::chrono::duration_cast<duration>(time);
  return true;
}

}  // namespace cactusward
