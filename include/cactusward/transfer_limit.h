// Limits how much an instance sends to its peers at a time.
#ifndef CACTUSWARD_TRANSFER_LIMIT_H_
#define CACTUSWARD_TRANSFER_LIMIT_H_

#include <cstddef>

#include "cactusward/time.h"

namespace cactusward {

struct transfer_settings {
  double bytes_per_second = 0;  // that transfers may take
  milliseconds max_queued{0};   // time that queued bytes may take to be sent

  friend bool operator==(const transfer_settings& a,
                         const transfer_settings& b) {
    return a.bytes_per_second == b.bytes_per_second &&
           a.max_queued == b.max_queued;
  }
};

// Decides whether a transfer may begin: bytes count as queued until they would
// have been sent at the allowed rate. Does no I/O and reads no clock. Not
// thread-safe.
class transfer_limit {
 public:
  // Precondition: `settings.bytes_per_second` is positive.
  explicit transfer_limit(const transfer_settings& settings)
      : settings_(settings) {}

  // Queues a transfer of `bytes`, unless what is queued already takes longer
  // than allowed. One transfer is always allowed, whatever its size.
  // @return whether it may begin.
  bool TryBegin(std::size_t bytes, time_point now);

 private:
  transfer_settings settings_;
  time_point sent_at_{};  // when all queued bytes will have been sent
};

}  // namespace cactusward

#endif  // CACTUSWARD_TRANSFER_LIMIT_H_
