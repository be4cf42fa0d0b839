// Tests of the budget of bytes that callers share.
#include <catch2/catch.hpp>
#include <vector>

#include "cactusward/byte_budget.h"

namespace cactusward {
namespace {

// Guards against large bodies that take what small requests need.
TEST_CASE("leases share a budget of which a part is only for small ones") {
  struct row {
    const char* name;
    std::vector<std::size_t> held;
    std::size_t from;
    std::size_t to;
    bool granted;
  };
  // 100 bytes, 30 of them for leases of up to 10.
  const row rows[] = {
      {"large, empty budget", {}, 0, 70, true},
      {"larger than the common part", {}, 0, 71, false},
      {"large, the rest of the common part", {50}, 0, 20, true},
      {"large, more than is left", {50}, 0, 21, false},
      {"large, small leases hold the common part", {10, 10, 45}, 0, 11, false},
      {"small, from the reserved part", {70}, 0, 10, true},
      {"small, the last bytes", {70, 10, 10}, 0, 10, true},
      {"small, nothing is left", {70, 10, 10, 10}, 0, 1, false},
      {"grows within", {30}, 20, 40, true},
      {"grows beyond", {30}, 20, 41, false},
      {"grows beyond small", {65}, 10, 11, false},
      {"shrinks in an exhausted budget", {70, 10, 10}, 10, 5, true},
      {"no overflow", {50}, 0, SIZE_MAX, false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    byte_budget budget({100, 30, 10});
    std::size_t used = 0;
    {
      std::vector<byte_budget::lease> held;
      for (const std::size_t bytes : r.held) {
        held.emplace_back(&budget);
        REQUIRE(held.back().Resize(bytes));
        used += bytes;
      }
      byte_budget::lease lease(&budget);
      REQUIRE(lease.Resize(r.from));
      CHECK(lease.Resize(r.to) == r.granted);
      CHECK(lease.bytes() == (r.granted ? r.to : r.from));
      CHECK(budget.used() == used + lease.bytes());
      byte_budget::lease moved(std::move(lease));
      CHECK(lease.bytes() == 0);  // NOLINT(bugprone-use-after-move)
      CHECK(budget.used() == used + moved.bytes());
      moved.Take(1'000);
      CHECK(budget.used() == used + 1'000);
      moved = byte_budget::lease(&budget);
      CHECK(budget.used() == used);
    }
    CHECK(budget.used() == 0);
  }
}

// Guards against a budget that does not take a single body of 4 MB and its copy
// on the smallest machine, or that leaves the process no memory.
TEST_CASE("the budget fits into the memory of the process") {
  for (const std::size_t megabytes : {112, 128, 160, 256, 512}) {
    CAPTURE(megabytes);
    constexpr std::size_t kMegabyte = 1'000'000;
    byte_budget budget(BudgetForProcess(megabytes * kMegabyte));
    byte_budget::lease lease(&budget);
    CHECK(lease.Resize(10 * kMegabyte));
    CHECK(budget.settings().total_bytes <= megabytes * kMegabyte / 2);
    CHECK(budget.settings().reserved_bytes > 0);
  }
}

}  // namespace
}  // namespace cactusward
