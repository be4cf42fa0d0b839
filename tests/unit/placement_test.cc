// Placement of prompts on engines, and the load tracker that it depends on.
#include <catch2/catch.hpp>

#include <set>

#include "cactusward/engine_placement.h"
#include "cactusward/load_tracker.h"
#include "tests/support/engines.h"

namespace cactusward {
namespace {

using testing::Engine;

const time_point kStart{std::chrono::hours(1)};

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

prompt_request Prompt(std::int64_t tokens, double objective, double pause) {
  prompt_request request;
  request.prompt_tokens = tokens;
  request.max_output_tokens = 1'000;
  request.objective_ms = objective;
  request.caller_timeout_ms = objective;
  request.max_event_gap_ms = pause;
  return request;
}

const prompt_request kShort = Prompt(5'000, 300, 250);
const prompt_request kMedium = Prompt(45'000, 1'500, 600);
const prompt_request kLong = Prompt(154'000, 3'000, 1'000);

engine_view Busy(int interactive, std::int64_t prefill_ms = 0) {
  engine_view view;
  view.load.running = interactive;
  view.load.interactive = interactive;
  view.load.max_event_gap_ms = interactive > 0 ? 250 : 0;
  view.load.prefill_ms = prefill_ms;
  view.load.kv_tokens = interactive * 5'000;
  return view;
}

// An engine that decodes one long prompt.
engine_view Decoding(std::int64_t max_event_gap_ms) {
  engine_view view;
  view.load.running = 1;
  view.load.max_event_gap_ms = max_event_gap_ms;
  view.load.kv_tokens = 100'000;
  return view;
}

TEST_CASE("prefill time follows the parameters of the engine") {
  struct row {
    std::int64_t tokens;
    int parts;
    double ms;
  };
  const row rows[] = {{5'000, 1, 30.5},
                      {45'000, 1, 440.5},
                      {154'000, 1, 3'052},
                      {154'000, 2, 1'526},
                      {700'000, 1, 49'035}};
  for (const row& r : rows)
    CHECK(PrefillMs(Engine(), r.tokens, r.parts) == Approx(r.ms).epsilon(0.01));
}

TEST_CASE("short prompts are placed on the front engines") {
  std::vector<engine_view> engines(8);
  std::set<std::size_t> used;
  for (std::uint64_t random = 0; random < 100; ++random) {
    const auto placed = PlacePrompt(Engine(), {}, kShort, engines, random);
    REQUIRE(placed);
    CHECK(placed->helpers.empty());
    used.insert(placed->engine);
  }
  // A quarter of the engines.
  CHECK(used == std::set<std::size_t>{0, 1});
  for (int i = 0; i < 3; ++i)
    engines[static_cast<std::size_t>(i)] = Busy(12);
  CHECK(InteractiveEngineCount(Engine(), engines) == 3);
  // The engines in use are nearly full, so that the next ones are used.
  for (int i = 0; i < 3; ++i)
    engines[static_cast<std::size_t>(i)] = Busy(15);
  for (std::uint64_t random = 0; random < 100; ++random) {
    const auto next = PlacePrompt(Engine(), {}, kShort, engines, random);
    REQUIRE(next);
    CHECK(next->engine >= 3);
  }
}

// Failure: a short prompt waits for the prefill of a long one on its engine.
TEST_CASE("no short prompt is placed behind a long prefill") {
  std::vector<engine_view> engines = {Busy(0, 1'500), Busy(0, 900), Busy(2),
                                      Busy(0, 2'000)};
  for (std::uint64_t random = 0; random < 50; ++random) {
    const auto placed = PlacePrompt(Engine(), {}, kShort, engines, random);
    REQUIRE(placed);
    CHECK(placed->engine == 2);
  }
}

// Failure: long prompts arrive while short ones are still decoding, and their
// prefill stalls the streams on the same engine.
TEST_CASE("a long prefill keeps the event gaps of decoding requests") {
  struct row {
    const char* name;
    prompt_request request;
    std::vector<engine_view> engines;
    std::vector<std::size_t> allowed;  // empty: it has to wait
  };
  const std::vector<row> rows = {
      {"a long prompt beside decoding short prompts",
       kLong,
       {Busy(2), Busy(2), Busy(2)},
       {}},
      {"a medium prompt beside a request whose event gap allows it",
       kMedium,
       {Busy(2), Decoding(1'000)},
       {1}},
      {"a medium prompt beside a request whose event gap does not",
       kMedium,
       {Busy(2), Decoding(400)},
       {}},
      {"a long prompt takes idle engines",
       kLong,
       {Busy(2), Busy(0), Busy(0), Busy(0)},
       {1, 2, 3}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    for (std::uint64_t random = 0; random < 20; ++random) {
      const auto placed =
          PlacePrompt(Engine(), {}, r.request, r.engines, random);
      REQUIRE(placed.has_value() == !r.allowed.empty());
      if (!placed)
        continue;
      std::vector<std::size_t> used = {placed->engine};
      for (const prefill_helper& helper : placed->helpers)
        used.push_back(helper.engine);
      for (const std::size_t engine : used)
        CHECK(std::count(r.allowed.begin(), r.allowed.end(), engine) == 1);
    }
  }
}

// Failure: a prompt whose prefill takes longer than the objective on one
// engine.
TEST_CASE("a prefill is split over as many engines as its objective requires") {
  struct row {
    std::int64_t tokens;
    std::size_t engines;
    bool placed;
  };
  const row rows[] = {{154'000, 20, true},
                      {250'000, 20, true},
                      {250'000, 3, false},
                      {700'000, 20, false},
                      {310'000, 20, true}};
  for (const row& r : rows) {
    CAPTURE(r.tokens, r.engines);
    const std::vector<engine_view> engines(r.engines);
    const prompt_request request = Prompt(r.tokens, 3'000, 1'000);
    const auto placed = PlacePrompt(Engine(), {}, request, engines, 3);
    REQUIRE(placed.has_value() == r.placed);
    CHECK(IsServable(Engine(), {}, request, r.engines) == r.placed);
    if (!placed)
      continue;
    CHECK(placed->first_event_ms <= 3'000);
    CHECK(placed->helpers.size() <= 16);
  }
}

// Failure: a prompt that is larger than the KV capacity of one engine.
TEST_CASE("helpers reserve the KV tokens that do not fit on one engine") {
  const std::vector<engine_view> engines(23);
  const prompt_request request = Prompt(400'000, 4'000, 1'000);
  const auto placed = PlacePrompt(Engine(), {}, request, engines, 3);
  REQUIRE(placed);
  std::int64_t held = 0;
  bool unreserved_seen = false;
  for (const prefill_helper& helper : placed->helpers) {
    // Helpers with a reservation come first.
    CHECK_FALSE((unreserved_seen && helper.reserved_kv_tokens > 0));
    unreserved_seen = unreserved_seen || helper.reserved_kv_tokens == 0;
    held += helper.reserved_kv_tokens;
    CHECK(helper.reserved_kv_tokens <= Engine().kv_capacity);
  }
  CHECK(held >= 401'000 - Engine().kv_capacity);
  CHECK(held < 401'000);
}

// Failure: with memory reserved on the engine that decodes, the list of helpers
// had one entry more than engines accept, and they refused the request.
TEST_CASE("the list of helpers is as long as engines accept at most") {
  struct row {
    std::int64_t tokens;
    bool reserves;
    std::size_t engines;
    std::size_t most_helpers;
  };
  const row r = GENERATE(values<row>({
      // One engine is kept for short prompts.
      {300'000, false, 16, 14},
      {300'000, false, 17, 15},
      {300'000, false, 18, 16},
      {300'000, false, 40, 16},
      {400'000, true, 16, 14},
      {400'000, true, 17, 15},
      {400'000, true, 18, 15},
      {400'000, true, 40, 15},
  }));
  CAPTURE(r.tokens, r.engines);
  const placement_settings settings;
  std::size_t most_helpers = 0;
  for (double objective = 200; objective < 4'000; objective += 10) {
    const auto placed =
        PlacePrompt(Engine(), settings, Prompt(r.tokens, objective, 1'000),
                    std::vector<engine_view>(r.engines), 1);
    if (!placed)
      continue;
    std::int64_t reserved = 0;
    for (const prefill_helper& helper : placed->helpers)
      reserved += helper.reserved_kv_tokens;
    CHECK((reserved > 0) == r.reserves);
    CHECK(placed->helpers.size() + (reserved > 0 ? 1 : 0) <=
          static_cast<std::size_t>(settings.max_helper_entries));
    most_helpers = std::max(most_helpers, placed->helpers.size());
  }
  CHECK(most_helpers == r.most_helpers);
}

// Failure: on engines with fast prefill and little KV memory, a prompt that
// does not fit on one engine counts as interactive and is not split.
TEST_CASE("a prompt over the KV capacity is split despite a short prefill") {
  engine_parameters quick = Engine();
  quick.prefill_tokens_per_second = 10'000'000;
  quick.attention_ms_per_million_pairs = 0;
  const prompt_request request = Prompt(400'000, 300, 250);
  CHECK_FALSE(IsInteractive(quick, {}, 400'000));
  CHECK(IsInteractive(quick, {}, 200'000));
  const auto placed =
      PlacePrompt(quick, {}, request, std::vector<engine_view>(4), 1);
  REQUIRE(placed);
  REQUIRE(placed->helpers.size() == 1);
  CHECK(placed->helpers[0].reserved_kv_tokens > 0);
}

// Failure: under overload, prompts that miss their objective anyway take
// engines from prompts that could still meet theirs.
TEST_CASE("a best-effort prompt leaves engines to others") {
  prompt_request late = Prompt(154'000, 12'000, 1'000);
  late.best_effort = true;
  const std::vector<engine_view> scarce = {Busy(2), Busy(2), Busy(0)};
  CHECK_FALSE(PlacePrompt(Engine(), {}, late, scarce, 1));
  const std::vector<engine_view> plenty(10);
  CHECK(PlacePrompt(Engine(), {}, late, plenty, 1));
}

// Failure: a prompt that missed its objective was refused while two of four
// engines were idle, since those in front of them had other work.
TEST_CASE("best-effort prompts use idle engines behind busy ones") {
  struct row {
    const char* what;
    std::vector<engine_view> engines;
    bool placed;
  };
  const row rows[] = {
      {"interactive", {Busy(2), Busy(3), Busy(0), Busy(0)}, true},
      {"pending prefill", {Busy(0, 50), Busy(0, 50), Busy(0), Busy(0)}, true},
      {"long prefill", {Busy(0, 200), Busy(0, 200), Busy(0), Busy(0)}, true},
      {"one idle", {Busy(2), Busy(3), Busy(0), Busy(1)}, false},
      {"front idle", {Busy(0), Busy(2), Busy(2), Busy(0)}, false}};
  prompt_request late = Prompt(45'000, -900, 250);
  late.caller_timeout_ms = 800;
  for (const row& r : rows) {
    INFO(r.what);
    const auto placed =
        PlaceWithBestEffortFallback(Engine(), {}, late, r.engines, 1);
    CHECK(placed.has_value() == r.placed);
    CHECK((!placed || placed->engine >= 2));
  }
}

// Failure: two prompts with such a prefill in one pass exceeded the event gap
// of each stream on the engine.
TEST_CASE("a long prefill of a short prompt is split over front engines") {
  std::vector<engine_view> engines(40);
  for (std::size_t i = 0; i < 20; ++i)
    engines[i] = Busy(4);
  struct row {
    std::int64_t tokens;
    std::size_t helpers;
  };
  for (const row& r : {row{5'000, 0}, row{23'800, 1}}) {
    CAPTURE(r.tokens);
    for (std::uint64_t random = 0; random < 50; ++random) {
      const auto placed = PlacePrompt(Engine(), {}, Prompt(r.tokens, 400, 250),
                                      engines, random);
      REQUIRE(placed);
      CHECK(placed->helpers.size() == r.helpers);
      CHECK(placed->prefill_ms < 250 * 0.45);
      CHECK(placed->engine < 20);
    }
  }
}

// Guards against bytes between availability zones that no load calls for, and
// against all instances of a zone choosing the same engine.
TEST_CASE("engines of the own availability zone come first") {
  std::vector<engine_view> engines(24);
  for (std::size_t i = 0; i < engines.size(); ++i)
    engines[i].same_zone = i % 3 == 0;
  struct row {
    double zone_preference_ms;
    std::int64_t prefill_ms;  // pending on the engines of the own zone
    int least_own;            // of 300 prompts
    int most_own;
  };
  // Two random choices find an engine of the own zone, which has a third of
  // them, with probability 5/9.
  for (const row& r :
       {row{0, 0, 60, 140}, row{20, 0, 130, 210}, row{20, 60, 0, 60}}) {
    CAPTURE(r.zone_preference_ms, r.prefill_ms);
    for (engine_view& engine : engines)
      engine.load.prefill_ms = engine.same_zone ? r.prefill_ms : 0;
    placement_settings settings;
    settings.zone_preference_ms = r.zone_preference_ms;
    std::set<std::size_t> used;
    int own = 0;
    for (std::uint64_t random = 0; random < 300; ++random) {
      const auto placed =
          PlacePrompt(Engine(), settings, kShort, engines, random);
      REQUIRE(placed);
      used.insert(placed->engine);
      own += engines[placed->engine].same_zone ? 1 : 0;
    }
    CHECK(own >= r.least_own);
    CHECK(own <= r.most_own);
    CHECK(used.size() > 2);
  }
  // Parts of a long prompt.
  for (engine_view& engine : engines)
    engine.load = {};
  placement_settings settings;
  settings.zone_preference_ms = 20;
  const auto placed = PlacePrompt(Engine(), settings, kLong, engines, 3);
  REQUIRE(placed);
  CHECK(engines[placed->engine].same_zone);
  for (const prefill_helper& helper : placed->helpers)
    CHECK(engines[helper.engine].same_zone);
}

TEST_CASE("unusable engines get no prompts") {
  std::vector<engine_view> engines(3);
  for (engine_view& engine : engines)
    engine.usable = false;
  CHECK_FALSE(PlacePrompt(Engine(), {}, kShort, engines, 1));
  CHECK_FALSE(PlacePrompt(Engine(), {}, kLong, engines, 1));
  CHECK(InteractiveEngineCount(Engine(), engines) == 0);
}

TEST_CASE("the load tracker sums and ages the loads of all instances") {
  load_tracker tracker;
  tracked_request entry;
  entry.upstream = 1;
  entry.prefill_ms = 500;
  entry.expected_first_event_ms = 500;
  entry.max_event_gap_ms = 1'000;
  entry.kv_tokens = 100;
  entry.sent_at = kStart;
  const auto id = tracker.Begin(entry);
  tracker.SetPeerLoads("b", {}, {{1, 2, 2, 250, 300, 50, 0}}, kStart);
  struct row {
    int at;
    std::int64_t prefill_ms;
  };
  const row rows[] = {{0, 800}, {100, 600}, {300, 200}, {2'000, 75}};
  for (const row& r : rows) {
    const upstream_load load = tracker.LoadOf(1, At(r.at));
    CHECK(load.running == 3);
    CHECK(load.interactive == 2);
    CHECK(load.max_event_gap_ms == 250);
    CHECK(load.kv_tokens == 150);
    CHECK(load.prefill_ms == r.prefill_ms);
  }
  tracker.EndPrefill(id);
  CHECK(tracker.LoadOf(1, At(2'000)).prefill_ms == 0);
  tracker.End(id);
  tracker.Expire(At(2'000));
  CHECK(tracker.LoadOf(1, At(2'000)).running == 2);
  tracker.Expire(At(3'001));
  CHECK(tracker.LoadOf(1, At(3'001)).running == 0);
}

TEST_CASE("overdue prefill does not decrease with time") {
  struct row {
    const char* name;
    bool prefill_only;
    int at;
    std::int64_t prefill_ms;
  };
  // Remaining of one second of expected prefill.
  const row rows[] = {
      {"in progress", false, 400, 600},
      {"overdue", false, 1'500, 150},
      {"long overdue", false, 9'000, 150},
      {"part of a helper, in progress", true, 400, 600},
      {"part of a helper, overdue", true, 1'500, 150},
      {"part of a helper, taken as done", true, 2'500, 0},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    tracked_request entry;
    entry.upstream = 1;
    entry.prefill_only = r.prefill_only;
    entry.prefill_ms = 1'000;
    entry.expected_first_event_ms = 1'000;
    entry.sent_at = kStart;
    load_tracker sender;
    sender.Begin(entry);
    CHECK(sender.LoadOf(1, At(r.at)).prefill_ms == r.prefill_ms);
    // The overdue part of a peer's report does not decrease with its age.
    load_tracker peer;
    const int received_at = r.at / 2;
    peer.SetPeerLoads("a", {}, sender.OwnLoads(At(received_at)),
                      At(received_at));
    if (!r.prefill_only &&
        received_at + load_tracker::kPeerReportTtl.count() > r.at)
      CHECK(peer.LoadOf(1, At(r.at)).prefill_ms >= r.prefill_ms);
  }
}

// Reports may reach an instance directly or through another one, which may be
// slow: an old load must not replace a new one.
TEST_CASE("an older load report does not replace a later one") {
  struct row {
    report_order known;
    report_order next;
    bool replaces;
  };
  const row r = GENERATE(values<row>({
      {{1, 5}, {1, 6}, true},
      {{1, 6}, {1, 5}, false},
      {{1, 6}, {1, 6}, true},
      // A later process of the instance counts from the start.
      {{1, 6}, {2, 1}, true},
      {{2, 1}, {1, 6}, false},
      // Releases that do not number their reports.
      {{1, 0}, {1, 0}, true},
      {{1, 6}, {1, 0}, true},
  }));
  CAPTURE(r.known.number, r.next.number);
  load_tracker tracker;
  tracker.SetPeerLoads("a", r.known, {{1, 2, 2, 250, 300, 50, 0}}, kStart);
  tracker.SetPeerLoads("a", r.next, {{1, 9, 9, 250, 300, 50, 0}}, kStart);
  CHECK(tracker.LoadOf(1, kStart).running == (r.replaces ? 9 : 2));
}

}  // namespace
}  // namespace cactusward
