// How long KV memory may stay reserved for a request that does not run.
#ifndef CACTUSWARD_UNUSED_RESERVATION_H_
#define CACTUSWARD_UNUSED_RESERVATION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "cactusward/time.h"

namespace cactusward {

// Upstreams take reserved memory that no request uses for nine seconds as
// leaked. Each control request that reserves before the request is sent, or
// releases, may take up to 400 ms.
constexpr milliseconds kMaxUnusedReservation{8'000};
// An upstream that is later than its expected first event by less than this
// factor probably runs the request, which uses the memory.
constexpr double kLateFirstEventFactor = 1.5;

// When an attempt that holds `reservations` has to end because its upstream may
// not be running it. nullopt: it need not. Thread-safe.
// @param expected_first_event_ms expected time from `sent_at`.
inline std::optional<time_point> UnusedReservationEnd(
    std::size_t reservations,
    bool response_begun,
    double expected_first_event_ms,
    time_point sent_at) {
  if (reservations == 0 || response_begun)
    return std::nullopt;
  const milliseconds late(static_cast<std::int64_t>(expected_first_event_ms *
                                                    kLateFirstEventFactor));
  return sent_at + std::max(kMaxUnusedReservation, late);
}

}  // namespace cactusward

#endif  // CACTUSWARD_UNUSED_RESERVATION_H_
