// Memory reserved at upstreams that do not respond.
#include "cactusward/unused_reservation.h"

#include <catch2/catch.hpp>

namespace cactusward {
namespace {

// Failure: reservations were renewed for 13.8 s while the upstream hung.
TEST_CASE("an attempt with unused reservations ends before they are leaked") {
  struct row {
    std::size_t reservations;
    bool response_begun;
    bool ends;
  };
  const row r = GENERATE(values<row>({
      {0, false, false},
      {1, false, true},
      {17, false, true},
      {2, true, false},
  }));
  const time_point sent_at{std::chrono::hours(1)};
  const auto end =
      UnusedReservationEnd(r.reservations, r.response_begun, sent_at);
  REQUIRE(end.has_value() == r.ends);
  CHECK((!end || *end < sent_at + milliseconds(9'000)));
}

}  // namespace
}  // namespace cactusward
