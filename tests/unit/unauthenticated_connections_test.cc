#include "src/edges/unauthenticated_connections.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace cactusward {
namespace {

// Guards against connections that never authenticate and use up the
// descriptors, and against closing peers that had no time to authenticate.
TEST_CASE("the oldest unauthenticated connections are closed") {
  struct row {
    const char* name;
    std::vector<int> opened_at_ms;
    std::vector<std::size_t> authenticated;  // indices of connections
    int now_ms;
    int wait_until_ms;  // -1: another connection may be accepted
    std::vector<std::string> closed;
  };
  const row rows[] = {
      {"none", {}, {}, 0, -1, {}},
      {"below the limit", {0, 0}, {}, 900, -1, {}},
      {"at the limit, all are young", {10, 20, 30}, {}, 100, 260, {}},
      {"at the limit, the oldest is old enough",
       {10, 200, 200},
       {},
       260,
       -1,
       {"0 unauthenticated_connections"}},
      {"peers that have authenticated do not count",
       {0, 0, 0},
       {0},
       900,
       -1,
       {}},
      {"not authenticated in time",
       {0, 500, 900},
       {},
       1'500,
       -1,
       {"0 authentication_timeout", "1 authentication_timeout"}},
      {"authenticated in time", {0, 500}, {0, 1}, 9'000, -1, {}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    unauthenticated_connections list(
        {3, milliseconds(1'000), milliseconds(250)});
    const time_point start = clock::now();
    std::vector<std::string> closed;
    std::vector<unauthenticated_connections::connection_id> ids;
    for (const int at : r.opened_at_ms) {
      const std::string name = std::to_string(ids.size());
      ids.push_back(list.Add(
          [&closed, name](std::string_view cause) {
            closed.push_back(name + " " + std::string(cause));
          },
          start + milliseconds(at)));
    }
    for (const std::size_t index : r.authenticated)
      CHECK(list.Remove(ids[index]));
    const time_point now = start + milliseconds(r.now_ms);
    list.Expire(now);
    const auto wait_until = list.MakeRoom(now);
    CHECK((wait_until ? (*wait_until - start) / milliseconds(1) : -1) ==
          r.wait_until_ms);
    CHECK(closed == r.closed);
    CHECK(list.size() == ids.size() - r.authenticated.size() - r.closed.size());
    for (const std::size_t index : r.authenticated)
      CHECK_FALSE(list.Remove(ids[index]));
  }
}

}  // namespace
}  // namespace cactusward
