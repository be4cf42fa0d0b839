#include "cactusward/version_holders.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace cactusward {
namespace {

constexpr std::int64_t kKnown = 5;
constexpr int kPicks = 200;

constexpr time_point At(int ms) {
  return time_point() + milliseconds(ms);
}

TEST_CASE("peers that have a newer version are chosen, near ones first") {
  struct report {
    const char* address;
    const char* zone;
    std::int64_t version;
    int at_ms;
    int avoided_until_ms;  // 0: not avoided
  };
  struct row {
    const char* name;
    std::vector<report> reports;
    std::set<std::string> chosen;  // at 1,000 ms
  };
  const row rows[] = {
      {"none is known", {}, {}},
      {"none has it", {{"a", "z", kKnown, 900, 0}}, {}},
      {"all that have it, evenly",
       {{"a", "z", 6, 900, 0}, {"b", "z", 7, 900, 0}, {"c", "z", 5, 900, 0}},
       {"a", "b"}},
      {"of the own availability zone",
       {{"a", "y", 7, 900, 0}, {"b", "z", 6, 900, 0}},
       {"b"}},
      {"of another zone, as the near one is avoided",
       {{"a", "y", 7, 900, 0}, {"b", "z", 6, 900, 1'001}},
       {"a"}},
      {"one that was avoided until now", {{"a", "z", 7, 900, 1'000}}, {"a"}},
      {"one that went back",
       {{"a", "z", 7, 800, 0}, {"a", "z", 5, 900, 0}},
       {}},
      {"one that has not been heard of for long",
       {{"a", "z", 7, -4'001, 0}, {"b", "z", 7, -4'000, 0}},
       {"b"}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    version_holders holders;
    std::mt19937_64 random(1);
    for (const report& each : r.reports) {
      holders.Report(each.address, each.zone, each.version, At(each.at_ms));
      if (each.avoided_until_ms > 0)
        holders.Avoid(each.address, At(each.avoided_until_ms));
    }
    std::set<std::string> chosen;
    for (int i = 0; i < kPicks; ++i) {
      if (const auto peer = holders.Pick(kKnown, "z", random, At(1'000)))
        chosen.insert(*peer);
    }
    CHECK(chosen == r.chosen);
  }
}

}  // namespace
}  // namespace cactusward
