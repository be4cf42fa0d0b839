#include "cactusward/transfer_limit.h"

#include <catch2/catch.hpp>
#include <vector>

namespace cactusward {
namespace {

// 1,000 bytes a millisecond.
constexpr transfer_settings kSettings{1'000'000, milliseconds(100)};

TEST_CASE("transfers begin while what is queued is sent soon") {
  struct step {
    int at_ms;
    std::size_t bytes;
    bool begins;
  };
  struct row {
    const char* name;
    std::vector<step> steps;
  };
  const row rows[] = {
      {"one of any size begins", {{0, 10'000'000, true}, {0, 1, false}}},
      {"as many as are queued for the longest time",
       {{0, 50'000, true},
        {0, 50'000, true},
        {0, 50'000, true},
        {0, 1, false}}},
      {"room returns as bytes are sent",
       {{0, 150'000, true}, {49, 1, false}, {50, 1'000, true}, {50, 1, false}}},
      {"time without transfers is not saved",
       {{0, 1'000, true},
        {10'000, 100'000, true},
        {10'000, 100'000, true},
        {10'000, 1, false}}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    transfer_limit limit(kSettings);
    for (const step& s : r.steps) {
      CAPTURE(s.at_ms);
      CHECK(limit.TryBegin(s.bytes, time_point() + milliseconds(s.at_ms)) ==
            s.begins);
    }
  }
}

}  // namespace
}  // namespace cactusward
