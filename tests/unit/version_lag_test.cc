#include "cactusward/version_lag.h"

#include <catch2/catch.hpp>
#include <vector>

namespace cactusward {
namespace {

constexpr time_point At(int ms) {
  return time_point() + milliseconds(ms);
}

TEST_CASE("a lag begins with the first report of a version not in force") {
  struct step {
    int at_ms;
    int reported;   // 0: none
    int in_force;   // 0: unchanged
    int behind_ms;  // -1: not behind
    int newest;
  };
  struct row {
    const char* name;
    std::vector<step> steps;
  };
  const row rows[] = {
      {"reported versions that are in force",
       {{10, 0, 5, -1, 5}, {20, 5, 0, -1, 5}, {30, 4, 0, -1, 5}}},
      {"a newer version, reported twice",
       {{10, 0, 5, -1, 5}, {20, 7, 0, 0, 7}, {50, 7, 0, 30, 7}}},
      {"one of two newer versions comes into force",
       {{10, 6, 0, 0, 6}, {30, 7, 0, 20, 7}, {60, 0, 6, 30, 7}}},
      {"a version is skipped",
       {{10, 6, 0, 0, 6}, {30, 7, 0, 20, 7}, {60, 0, 8, -1, 8}}},
      {"an older one is heard of later",
       {{10, 9, 0, 0, 9}, {40, 8, 0, 30, 9}, {50, 0, 8, 40, 9}}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    version_lag lag;
    for (const step& s : r.steps) {
      CAPTURE(s.at_ms);
      if (s.reported > 0)
        lag.Report(s.reported, At(s.at_ms));
      if (s.in_force > 0)
        lag.RecordInForce(s.in_force);
      const auto behind = lag.Behind(At(s.at_ms));
      CHECK((behind ? static_cast<int>(ToMilliseconds(*behind)) : -1) ==
            s.behind_ms);
      CHECK(lag.newest() == s.newest);
    }
  }
}

TEST_CASE("a long series of versions keeps the first and the newest report") {
  constexpr int kVersions = 1'000;
  version_lag lag;
  for (int version = 1; version <= kVersions; ++version)
    lag.Report(version, At(version));
  CHECK(lag.newest() == kVersions);
  CHECK(lag.Behind(At(kVersions)) == milliseconds(kVersions - 1));
  lag.RecordInForce(kVersions);
  CHECK_FALSE(lag.Behind(At(kVersions)));
}

}  // namespace
}  // namespace cactusward
