// Memory reserved at upstreams that do not respond.
#include "cactusward/unused_reservation.h"

#include <catch2/catch.hpp>

namespace cactusward {
namespace {

// Failures: reservations were renewed for 13.8 s while the upstream hung; a
// prompt whose prefill takes nearly as long as the bound was given up while it
// ran.
TEST_CASE("an attempt with unused reservations ends before they are leaked") {
  struct row {
    std::size_t reservations;
    bool response_begun;
    double expected_first_event_ms;
    std::optional<int> end_ms;  // after it was sent
  };
  const row r = GENERATE(values<row>({
      {0, false, 2'760, std::nullopt},
      {1, false, 0, 8'000},
      {2, false, 2'760, 8'000},
      {16, false, 5'000, 8'000},
      {16, false, 7'000, 10'500},
      {2, true, 2'760, std::nullopt},
  }));
  const time_point sent_at{std::chrono::hours(1)};
  const auto end = UnusedReservationEnd(r.reservations, r.response_begun,
                                        r.expected_first_event_ms, sent_at);
  REQUIRE(end.has_value() == r.end_ms.has_value());
  CHECK((!end || *end == sent_at + milliseconds(*r.end_ms)));
}

}  // namespace
}  // namespace cactusward
