// Placement of prompts on engines, and the load that it goes by.
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

// An engine where a long prompt is written.
engine_view Decoding(std::int64_t max_event_gap_ms) {
  engine_view view;
  view.load.running = 1;
  view.load.max_event_gap_ms = max_event_gap_ms;
  view.load.kv_tokens = 100'000;
  return view;
}

TEST_CASE("reading takes the time that the service states") {
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

// Pattern: many short prompts at once.
TEST_CASE("short prompts gather at the front of the order") {
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
  // The engines in use are nearly full: the next one takes over.
  for (int i = 0; i < 3; ++i)
    engines[static_cast<std::size_t>(i)] = Busy(15);
  for (std::uint64_t random = 0; random < 100; ++random) {
    const auto next = PlacePrompt(Engine(), {}, kShort, engines, random);
    REQUIRE(next);
    CHECK(next->engine >= 3);
  }
}

// Pattern: a long prompt is read where short ones would be written.
TEST_CASE("no short prompt is placed behind long reading") {
  std::vector<engine_view> engines = {Busy(0, 1'500), Busy(0, 900), Busy(2),
                                      Busy(0, 2'000)};
  for (std::uint64_t random = 0; random < 50; ++random) {
    const auto placed = PlacePrompt(Engine(), {}, kShort, engines, random);
    REQUIRE(placed);
    CHECK(placed->engine == 2);
  }
}

// Pattern: the long prompts' wave meets the last short ones.
TEST_CASE("long reading keeps the pauses of those who write") {
  struct row {
    const char* name;
    prompt_request request;
    std::vector<engine_view> engines;
    std::vector<std::size_t> allowed;  // empty: it has to wait
  };
  const std::vector<row> rows = {
      {"a long prompt beside short writers",
       kLong,
       {Busy(2), Busy(2), Busy(2)},
       {}},
      {"a middling one beside a writer that bears it",
       kMedium,
       {Busy(2), Decoding(1'000)},
       {1}},
      {"a middling one beside a writer that does not",
       kMedium,
       {Busy(2), Decoding(400)},
       {}},
      {"a long one takes idle engines",
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

// Pattern: prompts that one engine cannot read in time.
TEST_CASE("a prompt is read by as many engines as its objective asks for") {
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

// Pattern: prompts larger than one engine's memory.
TEST_CASE("memory that one engine lacks is held by its helpers") {
  const std::vector<engine_view> engines(23);
  const prompt_request request = Prompt(400'000, 4'000, 1'000);
  const auto placed = PlacePrompt(Engine(), {}, request, engines, 3);
  REQUIRE(placed);
  std::int64_t held = 0;
  bool unreserved_seen = false;
  for (const prefill_helper& helper : placed->helpers) {
    // Helpers with memory are filled first.
    CHECK_FALSE((unreserved_seen && helper.reserved_kv_tokens > 0));
    unreserved_seen = unreserved_seen || helper.reserved_kv_tokens == 0;
    held += helper.reserved_kv_tokens;
    CHECK(helper.reserved_kv_tokens <= Engine().kv_capacity);
  }
  CHECK(held >= 401'000 - Engine().kv_capacity);
  CHECK(held < 401'000);
}

// Pattern: engines that read quickly and hold little.
TEST_CASE("a prompt over one engine's memory is shared however quickly read") {
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

// Pattern: more long prompts than the engines can read.
TEST_CASE("a prompt that is late already leaves engines to others") {
  prompt_request late = Prompt(154'000, 12'000, 1'000);
  late.best_effort = true;
  const std::vector<engine_view> scarce = {Busy(2), Busy(2), Busy(0)};
  CHECK_FALSE(PlacePrompt(Engine(), {}, late, scarce, 1));
  const std::vector<engine_view> plenty(10);
  CHECK(PlacePrompt(Engine(), {}, late, plenty, 1));
}

TEST_CASE("engines that are not usable take nothing") {
  std::vector<engine_view> engines(3);
  for (engine_view& engine : engines)
    engine.usable = false;
  CHECK_FALSE(PlacePrompt(Engine(), {}, kShort, engines, 1));
  CHECK_FALSE(PlacePrompt(Engine(), {}, kLong, engines, 1));
  CHECK(InteractiveEngineCount(Engine(), engines) == 0);
}

TEST_CASE("the board adds what instances say and ages it") {
  load_tracker tracker;
  tracked_request entry;
  entry.upstream = 1;
  entry.prefill_ms = 500;
  entry.expected_first_event_ms = 500;
  entry.max_event_gap_ms = 1'000;
  entry.kv_tokens = 100;
  entry.sent_at = kStart;
  const auto id = tracker.Begin(entry);
  tracker.SetPeerLoads("b", {{1, 2, 2, 250, 300, 50, 0}}, kStart);
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

TEST_CASE("overdue reading does not pass with time") {
  struct row {
    const char* name;
    bool prefill_only;
    int at;
    std::int64_t prefill_ms;
  };
  // Of an expected second of reading.
  const row rows[] = {
      {"under way", false, 400, 600},
      {"overdue", false, 1'500, 150},
      {"overdue for long", false, 9'000, 150},
      {"a helper's, under way", true, 400, 600},
      {"a helper's, overdue", true, 1'500, 150},
      {"a helper's that waits for another", true, 2'500, 0},
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
    // A peer that hears of it later knows no better.
    load_tracker peer;
    const int received_at = r.at / 2;
    peer.SetPeerLoads("a", sender.OwnLoads(At(received_at)), At(received_at));
    if (!r.prefill_only &&
        received_at + load_tracker::kPeerReportTtl.count() > r.at)
      CHECK(peer.LoadOf(1, At(r.at)).prefill_ms >= r.prefill_ms);
  }
}

}  // namespace
}  // namespace cactusward
