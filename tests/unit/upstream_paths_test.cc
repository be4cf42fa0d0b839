#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cactusward/upstream_paths.h"

namespace cactusward {
namespace {

// Guards against taking the death of upstreams, or the loss of a packet, for a
// cut of this instance, and the other way round.
TEST_CASE("an instance is cut off when peers reach what it cannot") {
  enum class step { kDirect, kBypass, kUnreachable };
  struct row {
    const char* name;
    std::vector<std::pair<step, std::string>> steps;
    bool cut_off;
    std::vector<std::string> broken;
    std::vector<std::string> intact;
  };
  using s = step;
  const row rows[] = {
      {"nothing is known", {}, false, {}, {"a", "b"}},
      {"one path is broken", {{s::kBypass, "a"}}, false, {"a"}, {"b"}},
      {"one path is broken twice",
       {{s::kBypass, "a"}, {s::kBypass, "a"}},
       false,
       {"a"},
       {"b"}},
      {"two paths are broken",
       {{s::kBypass, "a"}, {s::kBypass, "b"}},
       true,
       {"a", "b", "c"},
       {}},
      {"two paths are broken, others are not",
       {{s::kBypass, "a"}, {s::kDirect, "c"}, {s::kBypass, "b"}},
       false,
       {"a", "b"},
       {"c", "d"}},
      {"upstreams that no peer reaches",
       {{s::kUnreachable, "a"}, {s::kUnreachable, "b"}},
       false,
       {},
       {"a", "b"}},
      {"a path works again",
       {{s::kBypass, "a"}, {s::kDirect, "a"}},
       false,
       {},
       {"a"}},
      {"a path that was not broken works during the cut",
       {{s::kBypass, "a"}, {s::kBypass, "b"}, {s::kDirect, "c"}},
       true,
       {"a", "b", "d"},
       {"c"}},
      {"the cut ends",
       {{s::kBypass, "a"},
        {s::kBypass, "b"},
        {s::kDirect, "c"},
        {s::kDirect, "a"}},
       false,
       {"b"},
       {"a", "c", "d"}},
      {"the cut ends and begins again",
       {{s::kBypass, "a"},
        {s::kBypass, "b"},
        {s::kDirect, "a"},
        {s::kBypass, "c"},
        {s::kBypass, "d"}},
       true,
       {"a", "b", "c", "d", "e"},
       {}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    upstream_paths paths(1);
    time_point now{std::chrono::hours(1)};
    for (const auto& [step, address] : r.steps) {
      now += milliseconds(10);
      if (step == s::kDirect)
        paths.RecordDirect(address, now);
      else if (step == s::kBypass)
        paths.RecordBypass(address, now);
      else
        paths.RecordUnreachable(address, false, now);
    }
    CHECK(paths.IsCutOff() == r.cut_off);
    for (const std::string& address : r.broken)
      CHECK(paths.IsBroken(address));
    for (const std::string& address : r.intact)
      CHECK_FALSE(paths.IsBroken(address));
  }
}

// Guards against addresses that are avoided for ever, and peers that are asked
// about each request to a dead upstream.
TEST_CASE("what is known about paths expires") {
  struct row {
    const char* name;
    int age_ms;
    bool broken;
    bool knows_refusal;
  };
  const row rows[] = {
      {"at once", 0, true, true},
      {"after the peers may be asked again", 400, true, false},
      {"when the path was not in use for long", 11'000, false, false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    upstream_paths paths(1);
    const time_point start{std::chrono::hours(1)};
    paths.RecordBypass("a", start);
    paths.RecordUnreachable("b", true, start);
    const time_point now = start + milliseconds(r.age_ms);
    paths.Expire(now);
    CHECK(paths.IsBroken("a") == r.broken);
    CHECK(paths.RecentRefusal("b", now).has_value() == r.knows_refusal);
    CHECK_FALSE(paths.RecentRefusal("a", now));
  }
}

// Guards against a cut whose end is never noticed: the paths that are in use
// are tried again, not only those that were found broken first.
TEST_CASE("all paths in use are probed while an instance is cut off") {
  upstream_paths paths(1);
  const time_point now{std::chrono::hours(1)};
  CHECK_FALSE(paths.NextProbe(true));
  CHECK_FALSE(paths.NextProbe(false));
  paths.RecordBypass("a", now);
  paths.RecordBypass("b", now);
  paths.RecordUse("c", now);
  std::set<std::string> proven;
  for (int i = 0; i < 100; ++i)
    proven.insert(*paths.NextProbe(true));
  CHECK(proven == std::set<std::string>{"a", "b"});
  CHECK(paths.NextProbe(false) == "c");
  CHECK_FALSE(paths.RecordDirect("c", now));
  CHECK(paths.RecordDirect("b", now));
  CHECK_FALSE(paths.IsCutOff());
}

}  // namespace
}  // namespace cactusward
