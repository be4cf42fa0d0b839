// Tests that silence alone does not end a response: neither that of a sound
// upstream nor the time in which the instance itself could not read.
#include <catch2/catch.hpp>
#include <chrono>
#include <sstream>
#include <thread>

#include "cactusward/stall_meter.h"
#include "tests/support/scripted_upstream.h"
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

// Guards against a stream that ends as complete without an event that arrived
// while another run, beside the silent one, was being read.
TEST_CASE("no event is lost while two runs of a stream are read",
          "[responses]") {
  struct row {
    const char* name;
    const char* fields;  // of the response
    bool chunked;
    int silent_before;  // event
  };
  const row rows[] = {
      {"the last event, and the connection ends the response", "", false, 5},
      {"an event within the stream", "", false, 3},
      {"a chunked response", "Transfer-Encoding: chunked\r\n", true, 5},
  };
  constexpr int kStreams = 12;
  constexpr milliseconds kSilence{1'400};
  constexpr milliseconds kSilenceStep{15};  // from stream to stream
  constexpr milliseconds kPrefill{600};     // of a run that continues a stream
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.settings.forwarding->retries.extra_retries = kStreams;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    int continuations = 0;
    const auto script = [&](const http_request& request, int) {
      const std::string id(request["X-Attempt-Id"]);
      const std::string last(request["Last-Event-Id"]);
      continuations += last.empty() ? 0 : 1;
      testing::scripted_upstream::reply reply;
      reply.close = true;
      reply.parts.push_back({"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                                 "\r\nX-Response-Seal: s\r\nContent-Type: "
                                 "text/event-stream\r\nConnection: close\r\n" +
                                 r.fields + "\r\n",
                             milliseconds(0)});
      const int begin = last.empty() ? 1 : std::stoi(last) + 1;
      for (int event = begin; event <= runner_fake::kEvents; ++event) {
        const std::string number = std::to_string(event);
        std::string bytes = "id: " + number + "\ndata: " + number + "\n\n";
        if (r.chunked) {
          std::ostringstream chunk;
          chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
          bytes = chunk.str();
        }
        milliseconds delay{0};
        if (last.empty() && event == r.silent_before)
          delay = kSilence + kSilenceStep * std::stoi(id);
        else if (!last.empty() && event == begin)
          delay = kPrefill;
        reply.parts.push_back({bytes, delay});
      }
      if (r.chunked)
        reply.parts.push_back({"0\r\n\r\n", milliseconds(0)});
      return reply;
    };
    std::vector<std::unique_ptr<testing::scripted_upstream>> upstreams;
    for (int i = 0; i < 3; ++i) {
      upstreams.push_back(
          std::make_unique<testing::scripted_upstream>(fleet.io, script));
      fleet.store.Put("servers/s" + std::to_string(i),
                      upstreams.back()->Entry("engines"));
    }
    std::vector<http_response> responses(kStreams);
    int ended = 0;
    fleet.Run([&](asio::yield_context yield) {
      for (int i = 0; i < kStreams; ++i) {
        Spawn(fleet.io, "call", [&, i](asio::yield_context inner) {
          responses[i] = fleet.Call("/stream/x", std::to_string(i), inner);
          ++ended;
        });
      }
      while (ended < kStreams)
        Sleep(fleet.io, testing::kPollPeriod, yield);
    });
    CHECK(continuations > 0);
    for (int i = 0; i < kStreams; ++i) {
      CAPTURE(i);
      CHECK(responses[i].status == 200);
      CHECK(responses[i].body == WholeStream());
    }
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
