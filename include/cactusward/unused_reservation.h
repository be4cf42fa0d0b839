// How long KV memory may stay reserved for a request that does not run.
#ifndef CACTUSWARD_UNUSED_RESERVATION_H_
#define CACTUSWARD_UNUSED_RESERVATION_H_

#include <cstddef>
#include <optional>

#include "cactusward/time.h"

namespace cactusward {

// Upstreams take reserved memory that no request uses for nine seconds as
// leaked. Each control request that reserves before the request is sent, or
// releases, may take up to 400 ms.
constexpr milliseconds kMaxUnusedReservation{8'000};

// When an attempt that holds `reservations` has to end because its upstream may
// not be running it. nullopt: it need not. Thread-safe.
inline std::optional<time_point> UnusedReservationEnd(std::size_t reservations,
                                                      bool response_begun,
                                                      time_point sent_at) {
  if (reservations == 0 || response_begun)
    return std::nullopt;
  return sent_at + kMaxUnusedReservation;
}

}  // namespace cactusward

#endif  // CACTUSWARD_UNUSED_RESERVATION_H_
