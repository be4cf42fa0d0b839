// Order of waiting requests, refusal on arrival, time to retry after.
#include "cactusward/admission_queue.h"

#include <catch2/catch.hpp>
#include <set>

#include "tests/support/engines.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

constexpr std::int64_t kLongPrompt = 260'000;

struct queued {
  const char* organisation;
  int priority;
  double work_ms;
  int arrived_ms;
  int objective_ms;  // from the arrival
  int queue_ms;
};

time_point At(int ms) {
  return time_point() + std::chrono::hours(1) + milliseconds(ms);
}

waiting_request Request(const queued& from) {
  return {"engines",
          from.organisation,
          from.priority,
          from.work_ms,
          1'000,
          At(from.arrived_ms),
          At(from.arrived_ms + from.objective_ms),
          At(from.arrived_ms + from.queue_ms)};
}

TEST_CASE("waiting requests are placed in order") {
  struct row {
    const char* name;
    std::vector<queued> requests;
    int now_ms;
    std::vector<std::uint64_t> order;       // ids count from 1
    std::vector<std::uint64_t> fair_order;  // with fair_queue
  };
  const row r = GENERATE(values<row>({
      {"by priority, then by objective",
       {{"a", 1, 0, 0, 500, 9'000},
        {"b", 0, 0, 0, 900, 9'000},
        {"c", 0, 0, 0, 700, 9'000}},
       1,
       {3, 2, 1},
       {3, 2, 1}},
      {"late requests come last in their priority",
       {{"a", 0, 0, 0, 100, 9'000},
        {"b", 0, 0, 0, 900, 9'000},
        {"c", 1, 0, 0, 900, 9'000}},
       200,
       {2, 1, 3},
       {2, 1, 3}},
      // Failure: a large organisation's requests fill the queue.
      {"organisations take turns by their work",
       {{"large", 0, 100, 0, 500, 9'000},
        {"large", 0, 100, 0, 510, 9'000},
        {"large", 0, 100, 0, 520, 9'000},
        {"small", 0, 300, 0, 800, 9'000},
        {"small", 0, 100, 0, 900, 9'000}},
       1,
       {1, 2, 3, 4, 5},
       {1, 4, 2, 3, 5}},
      // Failure: urgent requests that keep arriving starve the others.
      {"half of the queue time makes a request urgent",
       {{"a", 0, 0, 3'000, 250, 4'000},
        {"b", 2, 0, 0, 8'000, 6'000},
        {"c", 2, 0, 0, 2'000, 5'000}},
       3'001,
       {1, 2, 3},
       {3, 2, 1}},
  }));
  CAPTURE(r.name);
  for (const bool fair : {false, true}) {
    admission_queue queue({false, fair});
    for (const queued& each : r.requests)
      queue.Add(Request(each));
    CHECK(queue.Order(At(r.now_ms)) == (fair ? r.fair_order : r.order));
  }
}

// Failure: an organisation whose callers always have a request waiting is
// served each time that an engine becomes free.
TEST_CASE("what was placed counts towards an organisation's share") {
  struct row {
    const char* name;
    int next_ms;         // when the next requests are ordered
    bool others_waited;  // when the large organisation was served
    std::uint64_t first;
  };
  const row r = GENERATE(values<row>({{"just served", 10, true, 3},
                                      {"forgotten", 600'000, true, 2},
                                      {"nobody else waited", 10, false, 2}}));
  CAPTURE(r.name);
  admission_queue queue({false, true});
  const auto served = queue.Add(Request({"large", 0, 500, 0, 900, 9'000}));
  const queued later{"large", 0, 100, r.next_ms, 800, 9'000};
  const queued small{"small", 0, 100, r.next_ms, 900, 9'000};
  if (r.others_waited) {
    queue.Add(Request(later));
    queue.RemovePlaced(served, At(0));
  } else {
    queue.RemovePlaced(served, At(0));
    queue.Add(Request(later));
  }
  queue.Add(Request(small));
  CHECK(queue.Order(At(r.next_ms)).front() == r.first);
  CHECK(queue.SizeByPriority() == std::map<int, std::size_t>{{0, 2}});
}

// `busy` of the engines have this load.
admission_view View(std::size_t engines,
                    std::size_t busy,
                    const upstream_load& load) {
  admission_view view;
  view.parameters = testing::LargeFleetEngine();
  view.prompt = {kLongPrompt, 900, 8'000, 15'000, 1'000, false};
  view.decode_passes = 16;
  view.engines.resize(engines);
  for (std::size_t i = 0; i < busy; ++i)
    view.engines[i].load = load;
  return view;
}

// Failure: a prompt that nothing can take in its time holds up its caller for
// the whole queue time; and prompts that find room soon are refused.
TEST_CASE("a request waits only if it can be placed in its time") {
  struct row {
    const char* name;
    int running;  // on each of the engines
    int prefill_ms;
    std::int64_t kv_tokens;
    queued_work ahead;
    bool may_wait;
    bool spare_room;
    int min_retry_ms;
  };
  const row r = GENERATE(values<row>({
      {"idle engines", 0, 0, 0, {}, true, true, 300},
      {"prefill ends in time", 2, 2'000, 100'000, {}, true, true, 1'500},
      {"prefill ends late", 7, 9'000, 100'000, {}, false, false, 3'150},
      {"few slots in use", 2, 9'000, 100'000, {}, false, true, 3'150},
      {"memory is full", 2, 9'000, 267'000, {}, false, false, 3'150},
      {"much ahead", 2, 2'000, 100'000, {9, 2e5, 0}, false, false, 3'150},
      {"a little ahead", 2, 1'000, 0, {1, 8e3, 0}, true, false, 1'200},
  }));
  CAPTURE(r.name);
  auto view =
      View(20, 20, {0, r.running, 0, 1'000, r.prefill_ms, r.kv_tokens, 0});
  view.ahead = r.ahead;
  CHECK(ExpectedWaitMs(view, 6'000).has_value() == r.may_wait);
  CHECK(HasSpareRoom(view) == r.spare_room);
  const double room_ms = RoomAfterMs(view);
  CHECK(room_ms >= r.min_retry_ms);
  // Failure: refused callers return together.
  std::set<milliseconds> times;
  for (std::uint64_t random = 0; random < 1'024; random += 64) {
    times.insert(RetryAfter(room_ms, random));
    CHECK(RetryAfter(room_ms, random).count() >= std::floor(room_ms));
    CHECK(RetryAfter(room_ms, random) <= kMaxRetryAfter);
  }
  CHECK(times.size() == 16);
}

// Failure: the time to retry after was the mean backlog of all engines, while
// the prompt fits on the few that have none.
TEST_CASE("the time to retry after is that of the engines needed") {
  const upstream_load busy{0, 2, 0, 1'000, 9'000, 100'000, 0};
  CHECK(RoomAfterMs(View(20, 8, busy)) == 300);
  CHECK(RoomAfterMs(View(20, 20, busy)) > 3'000);
}

// Failure: a prompt that no number of engines can hold keeps its caller for the
// whole queue time (1,200 ms).
TEST_CASE("a prompt that fits nowhere is refused on arrival", "[path]") {
  const bool refuse = GENERATE(true, false);
  CAPTURE(refuse);
  testing::small_fleet fleet;
  fleet.settings.forwarding->refuse_on_arrival = refuse;
  fleet.settings.forwarding->fair_queue = refuse;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    const time_point sent_at = clock::now();
    const auto response = fleet.Call("/stream/x", "a", yield, "key",
                                     testing::kCallTimeout, 900'000);
    CHECK(response.status == 429);
    CHECK((clock::now() - sent_at < milliseconds(1'000)) == refuse);
    CHECK(fleet.RunCount() == 0);
    const std::string metrics = fleet.gateway->MetricsText();
    for (const std::string& line :
         {"cactusward_refused_on_arrival " + std::to_string(refuse ? 1 : 0),
          std::string("cactusward_queued{priority=\"1\"} 0")})
      CHECK(metrics.find(line + "\n") != std::string::npos);
    CHECK(fleet.Call("/stream/x", "b", yield).status == 200);
  });
}

}  // namespace
}  // namespace cactusward
