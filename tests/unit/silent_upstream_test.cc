// Tests that silence alone does not end a response: neither that of a sound
// upstream nor the time in which the instance itself could not read.
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "cactusward/stall_meter.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::runner_fake;
using testing::runner_fault;
using testing::small_fleet;

std::string WholeStream() {
  std::string all;
  for (int i = 1; i <= runner_fake::kEvents; ++i)
    all += "id: " + std::to_string(i) + "\ndata: " + std::to_string(i) + "\n\n";
  return all;
}

// Guards against responses that are broken off, or failed, because their
// upstream was silent for a while and no other upstream could take over.
TEST_CASE("a sound upstream that pauses completes its response", "[path]") {
  struct row {
    const char* name;
    const char* path;
    bool retry_budget;
    runner_fault other;  // of the upstream that is tried in the meantime
    int most_runs;
  };
  using fault = runner_fault;
  const row rows[] = {
      {"a stream, without retry budget", "/stream/x", false, fault::kNone, 1},
      {"a stream, resumed elsewhere", "/stream/x", true, fault::kNone, 2},
      {"a stream, the other refuses", "/stream/x", true, fault::kRefuses, 1},
      {"a stream, the other is another upstream", "/stream/x", true,
       fault::kWrongInstance, 1},
      {"a stream, the other breaks at once", "/stream/x", true,
       fault::kBreaksAtStart, 2},
      {"a stream, the other fails", "/stream/x", true, fault::kFails, 2},
      {"a stream, the other responds to another request", "/stream/x", true,
       fault::kCrossed, 2},
      {"a stream, the other is silent", "/stream/x", true, fault::kSilent, 2},
      {"a stream, the other pauses as well", "/stream/x", true, fault::kPauses,
       2},
      {"a stream that is not resumable", "/fixed/x", true, fault::kNone, 1},
      {"a call, without retry budget", "/often/x", false, fault::kNone, 1},
      {"a call, the other refuses", "/often/x", true, fault::kRefuses, 1},
      {"a call, the other breaks at once", "/often/x", true,
       fault::kBreaksAtStart, 2},
      {"a call, the other is silent", "/often/x", true, fault::kSilent, 2},
      {"a call that is not retryable", "/once/x", true, fault::kNone, 1},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.settings.forwarding->retries.ratio = r.retry_budget ? 1 : 0;
    fleet.settings.forwarding->retries.extra_retries = 0;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    for (auto* group : {&fleet.engines, &fleet.plain}) {
      for (std::size_t i = 0; i < group->size(); ++i) {
        (*group)[i]->SetFault(fault::kPauses, 1);
        runner_fake& other = *(*group)[1 - i];
        (*group)[i]->OnRun([&other, &r](const http_request&) {
          other.SetFault(r.other, r.other == fault::kNone ? 0 : 1);
        });
      }
    }
    fleet.Run([&](asio::yield_context yield) {
      const http_response response = fleet.Call(r.path, "attempt", yield);
      CHECK(response.status == 200);
      CHECK(response.body.substr(0, 9) ==
            (r.path[1] == 'o' ? "answer of" : WholeStream().substr(0, 9)));
      if (r.path[1] != 'o')
        CHECK(response.body == WholeStream());
      CHECK(fleet.RunCount() <= r.most_runs);
    });
  }
}

// Guards against an instance that was stopped or busy blaming the upstream for
// what it did not read in that time, and sending the request to another one.
TEST_CASE("the time in which an instance stood still is not an upstream's",
          "[path]") {
  struct row {
    const char* name;
    const char* path;
    milliseconds event_pause;
    milliseconds run_time;
    milliseconds stalled;
  };
  const row rows[] = {
      {"within a stream", "/stream/x", milliseconds(300), milliseconds(0),
       milliseconds(1'600)},
      {"before the first event", "/stream/x", milliseconds(0),
       milliseconds(900), milliseconds(1'600)},
      {"before the response to a call", "/often/x", milliseconds(0),
       milliseconds(700), milliseconds(1'300)},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    // The upstreams run while the instance stands still.
    asio::io_context upstream_io;
    std::vector<std::unique_ptr<runner_fake>> upstreams;
    for (const char* id : {"a", "b"})
      upstreams.push_back(std::make_unique<runner_fake>(upstream_io, id));
    for (const auto& upstream : upstreams) {
      upstream->SetEventPause(r.event_pause);
      upstream->SetRunTime(r.run_time);
      fleet.store.Put("servers/" + upstream->id(),
                      upstream->Entry(r.path[1] == 'o' ? "plain" : "engines"));
    }
    const auto work = asio::make_work_guard(upstream_io);
    std::thread upstream_thread([&upstream_io] { upstream_io.run(); });
    fleet.Run([&](asio::yield_context yield) {
      Spawn(fleet.io, "stall", [&](asio::yield_context inner) {
        Sleep(fleet.io, milliseconds(200), inner);
        std::this_thread::sleep_for(r.stalled);
      });
      const http_response response = fleet.Call(r.path, "attempt", yield);
      CHECK(response.status == 200);
    });
    upstream_io.stop();
    upstream_thread.join();
    CHECK(upstreams[0]->runs() + upstreams[1]->runs() == 1);
  }
}

// Guards against delays that are counted twice or not at all.
TEST_CASE("a stall meter adds up how late its ticks are", "[path]") {
  struct row {
    const char* name;
    std::vector<int> ticks_ms;
    int now_ms;
    int total_ms;
  };
  const row rows[] = {
      {"no tick is due yet", {}, 90, 0},
      {"ticks in time", {100, 200, 300}, 350, 0},
      {"a late tick", {100, 450, 550}, 600, 250},
      {"several late ticks", {150, 300, 400}, 400, 100},
      {"a stall that goes on", {100}, 900, 700},
      {"an early tick", {50, 150}, 150, 0},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    const time_point start{std::chrono::hours(1)};
    stall_meter meter(milliseconds(100), start);
    for (const int at : r.ticks_ms)
      meter.Tick(start + milliseconds(at));
    CHECK(meter.Total(start + milliseconds(r.now_ms)) ==
          milliseconds(r.total_ms));
  }
}

}  // namespace
}  // namespace cactusward
