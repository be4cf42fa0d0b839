// Upstreams that say in their responses that they leave, or that they want no
// requests for a time.
#include "cactusward/upstream_announcements.h"

#include <catch2/catch.hpp>

#include "platform/platform_protocol.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::extra_instances;
using testing::kCallTimeout;
using testing::kSettleTime;
using testing::runner_fake;
using testing::runner_fault;
using testing::small_fleet;

constexpr milliseconds kCallInterval{10};
// Before a refusal that needs no waiting arrives.
constexpr milliseconds kPromptly{250};
constexpr double kMillisecondsPerSecond = 1'000;
// Prompts that one engine prefills alone, that several split, and that need the
// memory of several.
constexpr int kShortPrompt = 1'000;
constexpr int kSplitPrompt = 220'000;
constexpr int kLargePrompt = 330'000;

// A configuration with engines that prefill `tokens_per_second`.
std::string EngineConfig(const std::string& tokens_per_second) {
  std::string config = testing::ConfigDocument(1);
  for (const auto& [slow, quick] :
       {std::pair<std::string, std::string>{"\"pairs_per_m\":0.184",
                                            "\"pairs_per_m\":0.0001"},
        {"\"read_per_s\":177000.0", "\"read_per_s\":" + tokens_per_second}})
    config.replace(config.find(slow), slow.size(), quick);
  return config;
}

// The parts of a response to a caller that these tests check.
struct refusal {
  int status = 0;
  double retry_after_s = -1;  // -1: not stated
  milliseconds time{0};       // from the call to the response
};

refusal CallAndTime(small_fleet& fleet,
                    const outgoing_request& request,
                    asio::yield_context yield) {
  const time_point sent_at = clock::now();
  refusal seen;
  auto response = fleet.client.Open(fleet.settings.listen, request,
                                    sent_at + kCallTimeout, yield);
  REQUIRE(response);
  seen.status = (*response)->status();
  const std::string retry_after((*response)->Header("Retry-After"));
  if (!retry_after.empty())
    seen.retry_after_s = std::stod(retry_after);
  seen.time = std::chrono::duration_cast<milliseconds>(clock::now() - sent_at);
  return seen;
}

time_point At(int ms) {
  return time_point() + std::chrono::hours(10) + milliseconds(ms);
}

TEST_CASE("the longest time that an upstream asks for is kept", "[path]") {
  struct row {
    const char* name;
    std::vector<std::pair<int, int>> announced;  // received at, time; in ms
    std::vector<bool> extends;
    int end_ms;  // 0: it wants requests at once
  };
  const row rows[] = {
      {"nothing", {}, {}, 0},
      {"zero", {{100, 0}}, {false}, 0},
      {"one", {{100, 500}}, {true}, 600},
      {"a later one that ends later",
       {{100, 500}, {200, 500}},
       {true, true},
       700},
      {"a shorter one", {{100, 500}, {200, 100}}, {true, false}, 600},
      {"the same end", {{100, 500}, {200, 400}}, {true, false}, 600},
      {"zero does not end it", {{100, 500}, {200, 0}}, {true, false}, 600},
      {"one after the end", {{100, 500}, {900, 100}}, {true, true}, 1'000},
      {"an hour", {{0, 3'600'000}}, {true}, 3'600'000},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    upstream_announcements known;
    std::vector<bool> extends;
    for (const auto& [received_at, time] : r.announced)
      extends.push_back(
          known.RecordBackoff(1, milliseconds(time), At(received_at)));
    CHECK(extends == r.extends);
    if (r.end_ms == 0) {
      CHECK(known.MaySend(1, At(200)));
      continue;
    }
    CHECK_FALSE(known.MaySend(1, At(r.end_ms - 1)));
    CHECK(known.BackoffEnd(1, At(r.end_ms - 1)) == At(r.end_ms));
    CHECK(known.MaySend(1, At(r.end_ms)));
    CHECK_FALSE(known.BackoffEnd(1, At(r.end_ms)));
    // Another process, which may be the next one under the same id.
    CHECK(known.MaySend(2, At(r.end_ms - 1)));
  }
}

TEST_CASE("an announcement is kept as long as its process may run", "[path]") {
  constexpr int kMinute = 60'000;
  struct row {
    const char* name;
    bool leaves;
    int backoff_ms;
    int listed_ms;  // until when
    int at_ms;
    bool may_send;
  };
  const row rows[] = {
      {"leaving, listed", true, 0, 600 * kMinute, 600 * kMinute, false},
      {"leaving, missing for a while", true, 0, kMinute, 9 * kMinute, false},
      {"leaving, gone", true, 0, kMinute, 12 * kMinute, true},
      {"leaving after a time to back off", true, 100, kMinute, kMinute, false},
      {"backing off, listed", false, 59 * kMinute, 60 * kMinute, 58 * kMinute,
       false},
      {"backing off, missing for a while", false, 59 * kMinute, kMinute,
       9 * kMinute, false},
      {"backing off, over", false, 59 * kMinute, 60 * kMinute, 59 * kMinute,
       true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    upstream_announcements known;
    if (r.backoff_ms > 0)
      CHECK(known.RecordBackoff(1, milliseconds(r.backoff_ms), At(0)));
    if (r.leaves) {
      CHECK(known.RecordLeaving(1, At(0)));
      CHECK_FALSE(known.RecordLeaving(1, At(1)));
    }
    for (int ms = 0; ms <= r.at_ms; ms += kMinute)
      known.Expire(ms <= r.listed_ms ? std::set<std::uint32_t>{1}
                                     : std::set<std::uint32_t>{},
                   At(ms));
    CHECK(known.MaySend(1, At(r.at_ms)) == r.may_send);
    CHECK(known.MaySend(2, At(r.at_ms)));
    CHECK(known.size() == (r.may_send ? 0 : 1));
  }
}

TEST_CASE("announcements are read from the header of a response", "[path]") {
  struct row {
    int status;
    const char* name;
    const char* value;
    bool leaving;
    std::optional<milliseconds> retry_after;
  };
  const row rows[] = {
      {200, "Server-Leaving", "1", true, {}},
      {500, "Server-Leaving", "1", true, {}},
      {503, "server-leaving", "1", true, {}},
      {200, "Server-Leaving", "0", false, {}},
      {200, "Server-Leaving", "", false, {}},
      {200, "Server-Leaving", "10", false, {}},
      {503, "Retry-After", "2", false, milliseconds(2'000)},
      {503, "Retry-After", "0.25", false, milliseconds(250)},
      {503, "Retry-After", "0.0001", false, milliseconds(1)},
      {503, "Retry-After", "0", false, milliseconds(0)},
      {503, "Retry-After", "3600", false, milliseconds(3'600'000)},
      {503, "Retry-After", "3601", false, milliseconds(3'600'000)},
      {503, "Retry-After", "99999999999999999999999", false,
       milliseconds(3'600'000)},
      {503, "Retry-After", "-1", false, {}},
      {503, "Retry-After", "-0.5", false, {}},
      {503, "Retry-After", "", false, {}},
      {503, "Retry-After", "soon", false, {}},
      {503, "Retry-After", "2s", false, {}},
      {503, "Retry-After", "1e3", false, {}},
      {503, "Retry-After", "nan", false, {}},
      {503, "Retry-After", "inf", false, {}},
      {503, "Retry-After", "Fri, 07 Nov 2025 23:59:59 GMT", false, {}},
      {200, "Retry-After", "2", false, {}},
      {429, "Retry-After", "2", false, {}},
      {500, "Retry-After", "2", false, {}},
  };
  for (const row& r : rows) {
    CAPTURE(r.status, r.name, r.value);
    http::response_header<> header;
    header.set(r.name, r.value);
    const upstream_reply reply =
        platform::platform_protocol().ParseReply(r.status, header);
    CHECK(reply.leaving == r.leaving);
    CHECK(reply.retry_after == r.retry_after);
  }
}

// One instance whose first upstreams, one of each service, announce something.
class announcing_fleet : public small_fleet {
 public:
  announcing_fleet() { store.Put("op/config", testing::ConfigDocument(1)); }

  runner_fake& announcer(const std::string& path) {
    return path[1] == 'o' ? *plain[0] : *engines[0];
  }
  // Calls `path` until the announcing upstream of its service gets a request.
  void CallUntilAnnounced(const std::string& path, asio::yield_context yield) {
    const int before = announcer(path).arrivals();
    const time_point until = clock::now() + kCallTimeout;
    while (announcer(path).arrivals() == before && clock::now() < until)
      Call(path, "a", yield);
    REQUIRE(announcer(path).arrivals() > before);
  }
  // Calls `path` for `time`. @return how many requests the announcing upstream
  // got. Fails the test if a call is not served.
  int CountArrivals(const std::string& path,
                    milliseconds time,
                    asio::yield_context yield) {
    const int before = announcer(path).arrivals();
    const time_point until = clock::now() + time;
    while (clock::now() < until) {
      CHECK(Call(path, "a", yield).status == 200);
      Sleep(io, kCallInterval, yield);
    }
    return announcer(path).arrivals() - before;
  }
};

// Guards against requests to an upstream that has said in a response that it
// leaves, while the registry does not say so yet.
TEST_CASE("an upstream that announces that it leaves gets no more requests",
          "[path]") {
  struct row {
    const char* name;
    const char* path;
    runner_fault fault;
    bool is_believed;
  };
  const row rows[] = {
      {"in a response", "/often/x", runner_fault::kNone, true},
      {"to a call that is not retryable", "/once/x", runner_fault::kNone, true},
      {"in the header of a stream", "/stream/x", runner_fault::kNone, true},
      {"in a stream that breaks", "/stream/x", runner_fault::kBreaksMidway,
       true},
      {"in a failure", "/often/x", runner_fault::kFails, true},
      {"in a refusal", "/often/x", runner_fault::kRefuses, true},
      {"in a response without a signature", "/often/x", runner_fault::kUnsigned,
       true},
      {"by another upstream that has its address now", "/often/x",
       runner_fault::kWrongInstance, false},
      {"in the response to another request", "/often/x", runner_fault::kCrossed,
       false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    announcing_fleet fleet;
    fleet.RegisterRunners();
    runner_fake& leaving = fleet.announcer(r.path);
    leaving.SetLeaving(true);
    leaving.SetFault(r.fault, 1);
    fleet.Run([&](asio::yield_context yield) {
      fleet.CallUntilAnnounced(r.path, yield);
      if (!r.is_believed)
        leaving.SetLeaving(false);
      const int arrivals =
          fleet.CountArrivals(r.path, milliseconds(600), yield);
      CHECK((arrivals == 0) == r.is_believed);
    });
  }
}

// Guards against requests to a leaving upstream whose entry is out of date, and
// against a restarted upstream that stays unused.
TEST_CASE("an upstream leaves for good, until it starts again", "[path]") {
  struct row {
    const char* name;
    bool is_removed;  // the entry, before it is written again
    int started_at_ms;
    bool is_used;
  };
  const row rows[] = {
      {"the registry says that it is ready", false, 1, false},
      {"the entry lapses and comes back", true, 1, false},
      {"it starts again under its id", false, 2, true},
      {"it is removed and starts again under its id", true, 2, true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    announcing_fleet fleet;
    fleet.RegisterRunners();
    runner_fake& leaving = *fleet.plain[0];
    leaving.SetLeaving(true);
    fleet.Run([&](asio::yield_context yield) {
      fleet.CallUntilAnnounced("/often/x", yield);
      leaving.SetLeaving(false);
      if (r.is_removed) {
        fleet.store.Remove("servers/" + leaving.id());
        Sleep(fleet.io, kSettleTime, yield);
      }
      fleet.store.Put("servers/" + leaving.id(),
                      leaving.Entry("plain", false, r.started_at_ms));
      Sleep(fleet.io, kSettleTime, yield);
      const int arrivals =
          fleet.CountArrivals("/often/x", milliseconds(600), yield);
      CHECK((arrivals > 0) == r.is_used);
    });
  }
}

// Guards against requests to an upstream in the time for which its refusal asks
// for none.
TEST_CASE("an upstream gets no requests until the time to retry after",
          "[path]") {
  constexpr milliseconds kBackoff{900};
  // For the requests of this test to be sent, and for its timers.
  constexpr milliseconds kMargin{150};
  const char* path = GENERATE("/often/x", "/once/x", "/stream/x", "/fixed/x");
  CAPTURE(path);
  announcing_fleet fleet;
  fleet.RegisterRunners();
  runner_fake& busy = fleet.announcer(path);
  fleet.Run([&](asio::yield_context yield) {
    busy.SetRetryAfter("0.9");
    fleet.CallUntilAnnounced(path, yield);
    busy.SetRetryAfter({});
    CHECK(fleet.CountArrivals(path, kBackoff - kMargin, yield) == 0);
    Sleep(fleet.io, 2 * kMargin, yield);
    CHECK(fleet.CountArrivals(path, kBackoff, yield) > 0);
  });
}

// Guards against an upstream that is avoided for what another process said, or
// another request got, and against a second instance that keeps away as well.
TEST_CASE("only the refused instance backs off, from the process that asked",
          "[path]") {
  enum class change { kNone, kRestart, kOtherInstance, kCrossed };
  struct row {
    const char* name;
    change how;
    bool is_used;
  };
  const row rows[] = {
      {"nothing changes", change::kNone, false},
      {"the upstream starts again under its id", change::kRestart, true},
      {"another instance sends", change::kOtherInstance, true},
      {"the refusal is that of another request", change::kCrossed, true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    announcing_fleet fleet;
    fleet.RegisterRunners();
    const extra_instances more(fleet, 1, fleet.make_adapter);
    runner_fake& busy = *fleet.plain[0];
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(more.Start());
      Sleep(fleet.io, 2 * kSettleTime, yield);
      busy.SetRetryAfter("30");
      if (r.how == change::kCrossed)
        busy.SetFault(runner_fault::kCrossed, 1);
      fleet.CallUntilAnnounced("/often/x", yield);
      busy.SetRetryAfter({});
      if (r.how == change::kRestart)
        fleet.store.Put("servers/" + busy.id(), busy.Entry("plain", false, 2));
      if (r.how == change::kOtherInstance)
        fleet.settings.listen = more.settings[0]->listen;
      Sleep(fleet.io, kSettleTime, yield);
      const int arrivals =
          fleet.CountArrivals("/often/x", milliseconds(1'000), yield);
      CHECK((arrivals > 0) == r.is_used);
    });
  }
}

// Guards against callers who wait for upstreams that want no requests, and
// against a time to retry after at which none of them wants any.
TEST_CASE("callers are refused at once while no upstream wants requests",
          "[path]") {
  struct row {
    const char* name;
    const char* path;
    const char* retry_after[2];  // of the upstreams; empty: it leaves
    double least_s;              // that the caller is told
    double most_s;
  };
  const row rows[] = {
      {"calls", "/often/x", {"2.5", "2.5"}, 2.0, 2.5},
      {"calls that are not retryable", "/once/x", {"2.5", "2.5"}, 2.0, 2.5},
      {"streams", "/stream/x", {"2.5", "2.5"}, 2.0, 2.5},
      {"the shortest time", "/often/x", {"60", "2.5"}, 2.0, 2.5},
      {"the others leave", "/often/x", {"", "2.5"}, 2.0, 2.5},
      {"a long time", "/often/x", {"3000", "3000"}, 2'990, 3'000},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    announcing_fleet fleet;
    fleet.RegisterRunners();
    const auto& upstreams = r.path[1] == 'o' ? fleet.plain : fleet.engines;
    fleet.Run([&](asio::yield_context yield) {
      for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i]->SetRetryAfter(r.retry_after[i]);
        upstreams[i]->SetLeaving(std::string(r.retry_after[i]).empty());
      }
      const auto arrivals = [&] {
        return upstreams[0]->arrivals() + upstreams[1]->arrivals();
      };
      const time_point until = clock::now() + kPromptly;
      while ((upstreams[0]->arrivals() == 0 || upstreams[1]->arrivals() == 0) &&
             clock::now() < until)
        fleet.Call(r.path, "a", yield);
      const int before = arrivals();
      REQUIRE(before >= 2);
      const auto request =
          small_fleet::MakeCall(r.path, "b", "key", kShortPrompt);
      for (int i = 0; i < 3; ++i) {
        const refusal seen = CallAndTime(fleet, request, yield);
        CHECK(seen.status == 503);
        CHECK(seen.time < kPromptly);
        CHECK(seen.retry_after_s >= r.least_s);
        CHECK(seen.retry_after_s <= r.most_s);
      }
      CHECK(arrivals() == before);
    });
  }
}

// Guards against a caller who waits, or is told to retry soon, after the last
// upstream has refused the request for a time.
TEST_CASE("the refusal of the last upstream reaches the caller at once",
          "[path]") {
  const bool other_leaves = GENERATE(false, true);
  CAPTURE(other_leaves);
  announcing_fleet fleet;
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    if (other_leaves) {
      fleet.plain[0]->SetLeaving(true);
      fleet.CallUntilAnnounced("/often/x", yield);
    }
    const int runs = fleet.RunCount();
    for (const auto& upstream : fleet.plain)
      upstream->SetRetryAfter("2.5");
    const refusal seen = CallAndTime(
        fleet, small_fleet::MakeCall("/often/x", "a", "key", 0), yield);
    CHECK(seen.status == 503);
    CHECK(seen.time < kPromptly);
    CHECK(seen.retry_after_s >= 2.2);
    CHECK(fleet.RunCount() == runs);
  });
}

// Guards against queued requests that are sent to upstreams that have asked for
// none since, or that wait for them.
TEST_CASE("queued requests leave the queue when no upstream wants any",
          "[path]") {
  constexpr int kCalls = 120;  // more than the engines take at once
  constexpr milliseconds kRunTime{700};
  // Of those that run, and of the refusals that follow.
  constexpr milliseconds kEndTime{500};
  announcing_fleet fleet;
  fleet.RegisterRunners();
  const auto arrivals = [&fleet] {
    return fleet.engines[0]->arrivals() + fleet.engines[1]->arrivals();
  };
  for (const auto& engine : fleet.engines)
    engine->SetRunTime(kRunTime);
  fleet.Run([&](asio::yield_context yield) {
    int ended = 0;
    auto request = small_fleet::MakeCall("/fixed/x", "a", "key", kShortPrompt);
    // Without a refusal the requests stay in the queue for 2.7 s.
    for (auto& [name, value] : request.headers)
      value = name == "X-Deadline-Ms" ? "9000" : value;
    for (int i = 0; i < kCalls; ++i)
      Spawn(fleet.io, "call", [&](asio::yield_context inner) {
        fleet.Send(fleet.settings.listen, request, kCallTimeout, inner);
        ++ended;
      });
    Sleep(fleet.io, kRunTime / 2, yield);
    const int running = arrivals();
    CAPTURE(running);
    REQUIRE(running > 0);
    REQUIRE(running < kCalls - 10);
    for (const auto& engine : fleet.engines)
      engine->SetRetryAfter("60");
    Sleep(fleet.io, kRunTime / 2 + kEndTime, yield);
    CHECK(ended == kCalls);
    CHECK(arrivals() < kCalls);
  });
}

// Guards against engines that prefill a part of a prompt, or reserve memory for
// it, although they leave or have asked for no requests.
TEST_CASE("prompts are not split over engines that want no requests",
          "[path]") {
  struct row {
    const char* name;
    const char* tokens_per_second;
    int prompt_tokens;
    const char* retry_after;  // empty: it leaves
  };
  const row rows[] = {
      {"leaving, split prefill", "1000000.0", kSplitPrompt, ""},
      {"leaving, memory of several engines", "1550000.0", kLargePrompt, ""},
      {"backing off, split prefill", "1000000.0", kSplitPrompt, "30"},
      {"backing off, memory of several engines", "1550000.0", kLargePrompt,
       "30"},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    announcing_fleet fleet;
    fleet.engines.push_back(std::make_unique<runner_fake>(fleet.io, "e2"));
    fleet.store.Put("op/config", EngineConfig(r.tokens_per_second));
    fleet.RegisterRunners();
    runner_fake& announcer = *fleet.engines[0];
    announcer.SetLeaving(r.retry_after[0] == '\0');
    announcer.SetRetryAfter(r.retry_after);
    fleet.Run([&](asio::yield_context yield) {
      const auto call = [&](const std::string& id, int tokens) {
        return fleet.Call("/stream/x", id, yield, "key", kCallTimeout, tokens)
            .status;
      };
      const time_point until = clock::now() + kCallTimeout;
      while (announcer.arrivals() == 0 && clock::now() < until)
        call("short", kShortPrompt);
      REQUIRE(announcer.arrivals() > 0);
      const int arrivals = announcer.arrivals();
      const int reserve_requests = announcer.reserve_requests();
      for (int i = 0; i < 8; ++i)
        CHECK(call("split-" + std::to_string(i), r.prompt_tokens) == 200);
      CHECK(announcer.arrivals() == arrivals);
      CHECK(announcer.reserve_requests() == reserve_requests);
      for (const auto& engine : fleet.engines) {
        for (const http_request& seen : engine->received_requests()) {
          if (seen["X-Attempt-Id"].substr(0, 5) == "split")
            CHECK(seen["X-Peer-Helpers"].find(announcer.address()) ==
                  boost::beast::string_view::npos);
        }
      }
    });
  }
}

// Guards against backing off only from one of the engines that took part in a
// refused prompt: the one that answered, and the helper that it names.
TEST_CASE("a refusal that names a helper holds for both engines", "[path]") {
  announcing_fleet fleet;
  // Two are left, which split the prompt.
  fleet.engines.push_back(std::make_unique<runner_fake>(fleet.io, "e2"));
  fleet.engines.push_back(std::make_unique<runner_fake>(fleet.io, "e3"));
  fleet.store.Put("op/config", EngineConfig("1000000.0"));
  fleet.RegisterRunners();
  runner_fake& helper = *fleet.engines[3];
  for (const auto& engine : fleet.engines)
    engine->RefuseHelper(helper, "30");
  fleet.Run([&](asio::yield_context yield) {
    const auto call = [&] {
      return fleet
          .Call("/stream/x", "a", yield, "key", kCallTimeout, kSplitPrompt)
          .status;
    };
    const auto names_helper = [&](const runner_fake& engine) {
      return std::any_of(
          engine.received_requests().begin(), engine.received_requests().end(),
          [&](const http_request& seen) {
            return seen["X-Peer-Helpers"].find(helper.address()) !=
                   boost::beast::string_view::npos;
          });
    };
    const time_point until = clock::now() + kCallTimeout;
    const runner_fake* refusing = nullptr;
    while (!refusing && clock::now() < until) {
      call();
      for (const auto& engine : fleet.engines) {
        if (names_helper(*engine))
          refusing = engine.get();
      }
    }
    REQUIRE(refusing);
    const int refusing_arrivals = refusing->arrivals();
    const int helper_arrivals = helper.arrivals();
    for (int i = 0; i < 12; ++i)
      CHECK(call() == 200);
    CHECK(refusing->arrivals() == refusing_arrivals);
    CHECK(helper.arrivals() == helper_arrivals);
    CHECK(std::count_if(
              fleet.engines.begin(), fleet.engines.end(),
              [&](const auto& engine) { return names_helper(*engine); }) == 1);
  });
}

// Guards against a request that is sent to upstreams that have announced
// something while memory was being reserved for it.
TEST_CASE("a placed request is not sent to upstreams that want none since",
          "[path]") {
  constexpr milliseconds kControlDelay{300};
  struct row {
    const char* name;
    const char* retry_after;  // empty: they leave
    bool by_control;          // announced in a response to a control request
  };
  const row rows[] = {
      {"leaving", "", false},
      {"leaving, in the response to a control request", "", true},
      {"backing off", "30", false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    announcing_fleet fleet;
    fleet.store.Put("op/config", EngineConfig("1550000.0"));
    fleet.RegisterRunners();
    for (const auto& engine : fleet.engines)
      engine->SetControlDelay(kControlDelay);
    int short_arrivals = 0;
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      Spawn(fleet.io, "announce", [&](asio::yield_context inner) {
        Sleep(fleet.io, kControlDelay / 2, inner);
        for (const auto& engine : fleet.engines) {
          engine->SetLeaving(r.retry_after[0] == '\0');
          engine->SetRetryAfter(r.retry_after);
        }
        while (!r.by_control && short_arrivals < 2) {
          fleet.Call("/stream/x", "short", inner);
          short_arrivals = fleet.engines[0]->arrivals() > 0
                               ? 1 + (fleet.engines[1]->arrivals() > 0 ? 1 : 0)
                               : 0;
        }
      });
      const http_response response = fleet.Call(
          "/stream/x", "large", yield, "key", kCallTimeout, kLargePrompt);
      // Either status states that the request has not run.
      CHECK((response.status == 503 || response.status == 429));
      for (const auto& engine : fleet.engines) {
        for (const http_request& seen : engine->received_requests())
          CHECK(seen["X-Attempt-Id"] != "large");
      }
      // The reservations are released.
      Sleep(fleet.io, kSettleTime + kControlDelay, yield);
      for (const auto& engine : fleet.engines)
        CHECK(engine->ReservedTokens() == 0);
    });
  }
}

}  // namespace
}  // namespace cactusward
