// Which events begin a gradual rise of an upstream's load.
#include "cactusward/ramp_triggers.h"

#include <catch2/catch.hpp>
#include <vector>

namespace cactusward {
namespace {

const time_point kStart = time_point() + std::chrono::hours(10);

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

// Guards against a fleet that is ramped as a whole when an instance starts or
// the registry returns, and against a started process that gets its full load.
TEST_CASE("a process that the registry lists for the first time is ramped") {
  struct row {
    const char* name;
    // What each read lists, 60 s apart: processes by letter, upper case if they
    // leave. "?": the registry has not been read.
    std::vector<const char*> reads;
    bool ramped;  // "a", at the last read
  };
  const row rows[] = {
      {"first read", {"ab"}, false},
      {"the registry was not read before", {"?", "ab"}, false},
      {"new process", {"b", "ab"}, true},
      {"first process of all", {"", "a"}, true},
      {"new process that leaves", {"b", "Ab"}, false},
      {"same process", {"ab", "ab"}, false},
      {"listed again after an outage", {"ab", "", "ab"}, false},
      {"started during an outage", {"b", "", "ab"}, true},
      {"not listed for long",
       {"ab", "", "", "", "", "", "", "", "", "", "", "", "ab"},
       true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    ramp_triggers triggers;
    std::optional<ramp_start> start;
    time_point now = kStart;
    for (const std::string_view listed : r.reads) {
      now += std::chrono::seconds(60);
      triggers.Expire(now);
      for (const char process : listed) {
        const bool leaving = process == 'A';
        const auto begun =
            triggers.RecordListed(leaving ? 'a' : process, leaving, now);
        if (process != 'b')
          start = begun;
      }
      if (listed != "?")
        triggers.SetListKnown();
    }
    const ramp_start started{ramp_reason::kStarted, now};
    CHECK(start == (r.ramped ? std::optional(started) : std::nullopt));
  }
}

// Guards against a ramp that is begun again by each entry of a cold upstream,
// that is over before its upstream is used again, or that follows a refusal.
TEST_CASE("a process is ramped when it becomes cold and after its avoidance") {
  struct row {
    const char* name;
    std::optional<ramp_start> start;
    std::optional<ramp_start> expected;
  };
  const auto cold = [](int known_until_ms, int until_ms, bool is_ramping) {
    return ramp_triggers::AfterCold(At(known_until_ms), At(until_ms),
                                    is_ramping, At(1'000));
  };
  const auto failed = [](bool refused, int avoided_until_ms) {
    return ramp_triggers::AfterFailure(refused, At(avoided_until_ms),
                                       At(1'000));
  };
  const ramp_start now{ramp_reason::kCold, At(1'000)};
  const ramp_start later{ramp_reason::kAvoided, At(4'000)};
  const row rows[] = {
      {"becomes cold", cold(0, 3'000, false), now},
      {"cold again", cold(900, 3'000, false), now},
      {"cold for longer", cold(2'000, 3'000, false), {}},
      {"warm again", cold(2'000, 1'000, false), {}},
      {"ramping since its start", cold(0, 3'000, true), {}},
      {"avoided", failed(false, 4'000), later},
      {"the avoidance has just ended", failed(false, 1'000), {}},
      {"avoided after a refusal", failed(true, 4'000), {}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    CHECK(r.start == r.expected);
  }
}

}  // namespace
}  // namespace cactusward
