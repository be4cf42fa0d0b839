// Tests that an instance that is stopped ends every request with a response.
#include <atomic>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "cactusward/run_time_estimates.h"
#include "src/daemon/stop_schedule.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::runner_fake;
using testing::small_fleet;

constexpr milliseconds kGrace{200};
constexpr milliseconds kCallerDeadline{10'000};
constexpr milliseconds kPollPeriod{20};
constexpr double kUnknownFactor = 1.5;
// As many as a pass of the engine yields.
constexpr int kTokensPerEvent = 51;
// As many as the events of an upstream's stream hold.
constexpr int kMaxOutputTokens = kTokensPerEvent * runner_fake::kEvents;
// Until the responses of requests that are ended have been written.
constexpr milliseconds kStallDelay{4};
constexpr milliseconds kStall{300};
// Longer than an instance runs after SIGTERM.
constexpr milliseconds kEndless{8'000};

using upstreams = std::vector<std::unique_ptr<runner_fake>>;

// How long a caller waits for what the instance wrote before its exit.
constexpr milliseconds kReadTime{1'000};

// A caller's request to the instance of a fleet, and its response.
struct sent_request {
  std::atomic<bool> ended = false;
  std::atomic<int> status = 0;  // 0: no complete response
};

// A fleet whose instance stops while it handles requests. Callers have a thread
// of their own, like other machines: they read what the instance has written
// also after its exit.
class stopping_fleet : public small_fleet {
 public:
  explicit stopping_fleet(milliseconds limit) {
    settings.drain_grace = kGrace;
    settings.drain_limit = limit;
    store.Put("op/config", testing::ConfigDocument(1));
    RegisterRunners();
    caller_thread_ = std::thread([this] { caller_io_.run(); });
  }
  ~stopping_fleet() {
    caller_work_.reset();
    caller_io_.stop();
    caller_thread_.join();
  }
  stopping_fleet(const stopping_fleet&) = delete;
  stopping_fleet& operator=(const stopping_fleet&) = delete;

  static void SetRunTime(const upstreams& group, milliseconds time) {
    for (const auto& upstream : group)
      upstream->SetRunTime(time);
  }

  // The upstreams of `path`, and those of the other routes.
  const upstreams& UpstreamsOf(const std::string& path) const {
    return path[1] == 'o' ? plain : engines;
  }
  const upstreams& OtherUpstreams(const std::string& path) const {
    return path[1] == 'o' ? engines : plain;
  }

  // Sends a request in the background.
  sent_request* Begin(const std::string& path,
                      const std::string& id,
                      int max_output_tokens = kMaxOutputTokens) {
    requests_.push_back(std::make_unique<sent_request>());
    sent_request* sent = requests_.back().get();
    outgoing_request request = MakeCall(path, id, "key", 1'000);
    for (auto& [name, value] : request.headers) {
      if (name == "X-Deadline-Ms")
        value = std::to_string(kCallerDeadline.count());
      if (name == "X-Token-Counts")
        value = "1000," + std::to_string(max_output_tokens);
    }
    Spawn(
        caller_io_, "caller", [this, request, sent](asio::yield_context yield) {
          const auto response = caller_.Call(
              settings.listen, request, clock::now() + kCallerDeadline, yield);
          sent->status = response ? response->status : 0;
          sent->ended = true;
        });
    return sent;
  }

  // Sends a request to the other upstreams of `path`, which lasts longer than
  // the instance runs.
  sent_request* BeginEndless(const std::string& path) {
    SetRunTime(OtherUpstreams(path), kEndless);
    return Begin(path[1] == 'o' ? "/fixed/x" : "/once/x", "endless");
  }

  // Waits until callers have read what was written before the exit, and no
  // longer: nothing else runs meanwhile.
  void AwaitResponses(const std::vector<const sent_request*>& requests) const {
    const time_point until = clock::now() + kReadTime;
    while (clock::now() < until &&
           std::any_of(requests.begin(), requests.end(),
                       [](const auto* sent) { return !sent->ended; }))
      std::this_thread::sleep_for(kPollPeriod);
  }

  // Suspends the coroutine until the instance exits, which ends the loop.
  void AwaitExit(asio::yield_context yield) {
    while (true)
      Sleep(io, kPollPeriod, yield);
  }

  // Lets requests end that the instance has left open at its exit.
  void EndRequests() {
    const time_point until = clock::now() + kCallerDeadline;
    io.restart();
    while (clock::now() < until &&
           std::any_of(requests_.begin(), requests_.end(),
                       [](const auto& sent) { return !sent->ended; }))
      io.run_for(kPollPeriod);
  }

 private:
  asio::io_context caller_io_;
  asio::executor_work_guard<asio::io_context::executor_type> caller_work_{
      caller_io_.get_executor()};
  http_client caller_{caller_io_};
  std::vector<std::unique_ptr<sent_request>> requests_;
  std::thread caller_thread_;
};

// Guards against requests that wait or run until the process exits, and get no
// response.
TEST_CASE("a request has a response when a stopped instance exits",
          "[responses]") {
  struct row {
    const char* name;
    const char* path;
    bool has_engines;
    milliseconds sent_at;      // after SIGTERM
    milliseconds event_pause;  // of all requests
    milliseconds run_time;     // of earlier requests
    milliseconds own_run_time;
    int status;
    // The instance stands still for a moment when it ends requests.
    bool stalls = false;
    // The upstream of the request pauses, although it is sound.
    bool pauses = false;
  };
  using ms = milliseconds;
  const row rows[] = {
      {"a prompt that waits for an engine", "/stream/x", false, ms(-100), ms(0),
       ms(0), ms(0), 503},
      {"a prompt that would wait for an engine", "/stream/x", false, ms(500),
       ms(0), ms(0), ms(0), 503},
      {"a stream that can be completed", "/stream/x", true, ms(-100), ms(200),
       ms(0), ms(0), 200},
      {"a stream sent late", "/stream/x", true, ms(1'200), ms(400), ms(0),
       ms(0), 503},
      {"a stream sent late that is not resumable", "/fixed/x", true, ms(1'200),
       ms(400), ms(0), ms(0), 503},
      {"a stream whose first event comes late", "/stream/x", true, ms(-100),
       ms(350), ms(0), ms(1'500), 502},
      {"a stream without a first event", "/fixed/x", true, ms(100), ms(0),
       ms(0), ms(2'800), 502},
      {"a call sent late", "/often/x", true, ms(1'200), ms(0), ms(1'500),
       ms(1'500), 503},
      {"a call sent late that is not retryable", "/once/x", true, ms(1'200),
       ms(0), ms(1'500), ms(1'500), 503},
      {"a call that takes longer than others", "/often/x", true, ms(300), ms(0),
       ms(0), ms(2'800), 502},
      {"such a call that is not retryable", "/once/x", true, ms(300), ms(0),
       ms(0), ms(2'800), 502},
      {"a stream without a first event, at a stall", "/fixed/x", true, ms(100),
       ms(0), ms(0), ms(2'800), 502, true},
      {"a stream sent late whose upstream falls silent", "/stream/x", true,
       ms(500), ms(100), ms(0), ms(0), 503, false, true},
      {"such a stream that is not resumable", "/fixed/x", true, ms(500),
       ms(100), ms(0), ms(0), 503, false, true},
      {"a call, at a stall", "/often/x", true, ms(300), ms(0), ms(0), ms(2'800),
       502, true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    stopping_fleet fleet(ms(3'000));
    if (!r.has_engines) {
      for (const auto& engine : fleet.engines)
        fleet.store.Remove("servers/" + engine->id());
    }
    const upstreams& own = fleet.UpstreamsOf(r.path);
    for (const auto& upstream : own)
      upstream->SetEventPause(r.event_pause);
    sent_request* late = nullptr;
    sent_request* endless = nullptr;
    fleet.Run([&](asio::yield_context yield) {
      stopping_fleet::SetRunTime(own, r.run_time);
      REQUIRE((!r.has_engines || fleet.WaitForStatus(r.path, 200, yield)));
      stopping_fleet::SetRunTime(own, r.own_run_time);
      endless = fleet.BeginEndless(r.path);
      if (r.sent_at < ms(0))
        late = fleet.Begin(r.path, "late");
      Sleep(fleet.io, ms(100), yield);
      fleet.gateway->Stop();
      const auto schedule = MakeStopSchedule(clock::now(), fleet.settings);
      if (r.stalls)
        Spawn(fleet.io, "stall", [&fleet, schedule](asio::yield_context inner) {
          const time_point at = schedule.requests_end_at + kStallDelay;
          Sleep(fleet.io, at - clock::now(), inner);
          std::this_thread::sleep_for(kStall);
        });
      if (!late) {
        Sleep(fleet.io, r.sent_at, yield);
        for (const auto& upstream : own) {
          if (r.pauses)
            upstream->SetFault(testing::runner_fault::kPauses);
        }
        late = fleet.Begin(r.path, "late");
      }
      fleet.AwaitExit(yield);
    });
    fleet.AwaitResponses({late, endless});
    CHECK(late->ended);
    CHECK(late->status == r.status);
    CHECK(endless->ended);
    CHECK(endless->status == 502);
    fleet.EndRequests();
  }
}

// Guards against a late stream that is cut at the exit because nothing told how
// long it would last.
TEST_CASE("a late stream of unknown length is refused", "[responses]") {
  struct row {
    const char* name;
    milliseconds sent_at;  // after SIGTERM
    milliseconds event_pause;
    int status;
  };
  const row rows[] = {
      {"a stream sent before the stop was noticed", milliseconds(50),
       milliseconds(100), 200},
      {"a late stream", milliseconds(300), milliseconds(550), 503},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    stopping_fleet fleet(milliseconds(3'000));
    auto config = nlohmann::json::parse(testing::ConfigDocument(1));
    for (auto& service : config["services"])
      service.erase("backend");
    fleet.store.Put("op/config", config.dump());
    sent_request* late = nullptr;
    fleet.Run([&](asio::yield_context yield) {
      for (std::size_t i = 0; i < run_time_estimates::kMinSamples; ++i)
        REQUIRE(fleet.WaitForStatus("/stream/x", 200, yield));
      for (const auto& upstream : fleet.engines)
        upstream->SetEventPause(r.event_pause);
      fleet.BeginEndless("/stream/x");
      Sleep(fleet.io, milliseconds(50), yield);
      fleet.gateway->Stop();
      Sleep(fleet.io, r.sent_at, yield);
      late = fleet.Begin("/stream/x", "late");
      fleet.AwaitExit(yield);
    });
    fleet.AwaitResponses({late});
    CHECK(late->ended);
    CHECK(late->status == r.status);
    fleet.EndRequests();
  }
}

// Guards against a late stream that is cut at the exit because its upstream has
// just replaced another one and is slower than all whose runs are known.
TEST_CASE("a late stream is not cut by an upstream of unknown speed",
          "[responses]") {
  struct row {
    const char* name;
    milliseconds limit;  // from SIGTERM until the process is killed
    bool is_replaced;    // the upstreams, after SIGTERM
    milliseconds event_pause;
    int status;
  };
  // The cost model takes 43 ms for an event.
  constexpr int kEvents = 18;
  using ms = milliseconds;
  const row rows[] = {
      {"an upstream that is slower", ms(3'000), true, ms(140), 503},
      {"such an upstream, with time to spare", ms(4'500), true, ms(140), 200},
      {"an upstream of known speed", ms(3'000), false, ms(0), 200},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    stopping_fleet fleet(r.limit);
    runner_fake next(fleet.io, "next");
    next.SetEventPause(r.event_pause);
    sent_request* late = nullptr;
    fleet.Run([&](asio::yield_context yield) {
      for (std::size_t i = 0; i < 2 * run_time_estimates::kSamples; ++i)
        REQUIRE(fleet.WaitForStatus("/stream/x", 200, yield));
      fleet.BeginEndless("/stream/x");
      Sleep(fleet.io, ms(50), yield);
      fleet.gateway->Stop();
      if (r.is_replaced) {
        fleet.store.Put("servers/next", next.Entry("engines"));
        for (const auto& engine : fleet.engines)
          fleet.store.Put("servers/" + engine->id(),
                          engine->Entry("engines", true));
      }
      Sleep(fleet.io, ms(300), yield);
      late = fleet.Begin("/stream/x?events=" + std::to_string(kEvents), "late",
                         kEvents * kTokensPerEvent);
      fleet.AwaitExit(yield);
    });
    fleet.AwaitResponses({late});
    CHECK(late->ended);
    CAPTURE(next.runs(), fleet.engines[0]->runs(), fleet.engines[1]->runs());
    CHECK(late->status == r.status);
    fleet.EndRequests();
  }
}

// Guards against callers that are refused although their requests could be
// completed: perhaps no other instance is left.
TEST_CASE("a stopping instance serves what it can complete", "[path]") {
  struct row {
    const char* name;
    const char* path;
    milliseconds event_pause;
  };
  const row rows[] = {
      {"calls", "/often/x", milliseconds(0)},
      {"calls that are not retryable", "/once/x", milliseconds(0)},
      {"short streams", "/stream/x", milliseconds(20)},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    stopping_fleet fleet(milliseconds(5'000));
    for (const auto& upstream : fleet.UpstreamsOf(r.path))
      upstream->SetEventPause(r.event_pause);
    std::vector<int> statuses;
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus(r.path, 200, yield));
      fleet.BeginEndless(r.path);
      Sleep(fleet.io, milliseconds(50), yield);
      fleet.gateway->Stop();
      // Until the route's timeout ends the endless request.
      const time_point until = clock::now() + milliseconds(2'700);
      while (clock::now() < until) {
        statuses.push_back(fleet.Call(r.path, "a", yield).status);
        Sleep(fleet.io, milliseconds(100), yield);
      }
      fleet.AwaitExit(yield);
    });
    fleet.EndRequests();
    CHECK(statuses.size() >= 10);
    CHECK(statuses == std::vector<int>(statuses.size(), 200));
  }
}

// Guards against a second signal that shortens or repeats the shutdown.
TEST_CASE("a second signal does not change a shutdown", "[path]") {
  stopping_fleet fleet(milliseconds(3'000));
  sent_request* slow = nullptr;
  time_point stopped_at;
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    stopping_fleet::SetRunTime(fleet.plain, milliseconds(1'500));
    slow = fleet.Begin("/once/x", "slow");
    Sleep(fleet.io, milliseconds(100), yield);
    fleet.gateway->Stop();
    Sleep(fleet.io, milliseconds(700), yield);
    fleet.gateway->Stop();
    stopped_at = clock::now();
    fleet.AwaitExit(yield);
  });
  fleet.AwaitResponses({slow});
  CHECK(slow->status == 200);
  CHECK(clock::now() - stopped_at < milliseconds(1'500));
}

// Guards against a request that is cut since its body arrives while the
// instance stops.
TEST_CASE("a request that arrives in parts during a shutdown has a response",
          "[path]") {
  struct row {
    const char* name;
    milliseconds last_part_at;  // after SIGTERM
    std::string_view status_line;
  };
  const row rows[] = {
      {"within the grace", milliseconds(100), "HTTP/1.1 200"},
      {"after the grace", milliseconds(900), "HTTP/1.1 200"},
      {"shortly before the exit", milliseconds(2'100), "HTTP/1.1 503"},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    stopping_fleet fleet(milliseconds(3'000));
    std::string received;
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      tcp::socket socket(fleet.io);
      socket.async_connect(*ParseTcpEndpoint(fleet.settings.listen), yield);
      const std::string first =
          "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: parts\r\n"
          "X-Deadline-Ms: 9000\r\nAuthorization: Token key\r\n"
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
      asio::async_write(socket, asio::buffer(first), yield);
      Sleep(fleet.io, milliseconds(50), yield);
      fleet.gateway->Stop();
      Sleep(fleet.io, r.last_part_at, yield);
      asio::async_write(socket, asio::buffer("0\r\n\r\n", 5), yield);
      boost::system::error_code error;
      std::string bytes(4096, '\0');
      while (!error) {
        const std::size_t size =
            socket.async_read_some(asio::buffer(bytes), yield[error]);
        received.append(bytes, 0, size);
      }
    });
    CHECK(received.substr(0, r.status_line.size()) == r.status_line);
    CHECK(received.find("Connection: close") != std::string::npos);
  }
}

// Guards against estimates that follow the prediction only.
TEST_CASE("run times are estimated by recent requests of the route") {
  struct row {
    const char* name;
    std::vector<double> measured_ms;  // of requests predicted to take 100 ms
    double upper_bound_ms;            // for a prediction of 200 ms
    double certain_bound_ms;
  };
  const std::vector<double> many(run_time_estimates::kSamples, 150);
  const std::vector<double> many_short(run_time_estimates::kSamples, 50);
  const row rows[] = {
      {"nothing is known", {}, 200 * kUnknownFactor, 300},
      {"one short request", {50}, 200 * kUnknownFactor, 300},
      {"one long request", {200}, 400, 400},
      {"three short requests", {50, 40, 20}, 200 * kUnknownFactor, 300},
      {"four short requests", {50, 40, 20, 30}, 100, 300},
      {"many short requests", many_short, 100, 100},
      {"the slowest of some", {50, 300, 120}, 600, 600},
      {"the slowest of many", many, 300, 300},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    run_time_estimates estimates(kUnknownFactor);
    estimates.Record("route", 100, 10'000);
    for (std::size_t i = 0; i < run_time_estimates::kSamples; ++i)
      estimates.Record("other", 100, 10'000);
    run_time_estimates own(kUnknownFactor);
    for (const double measured : r.measured_ms)
      own.Record("route", 100, measured);
    CHECK(own.UpperBound("route", 200, run_time_confidence::kLikely) ==
          Approx(r.upper_bound_ms));
    CHECK(own.UpperBound("route", 200, run_time_confidence::kCertain) ==
          Approx(r.certain_bound_ms));
    // An old request no longer counts.
    for (const double measured : many)
      estimates.Record("route", 100, measured);
    for (const auto confidence :
         {run_time_confidence::kLikely, run_time_confidence::kCertain})
      CHECK(estimates.UpperBound("route", 200, confidence) == Approx(300));
  }
}

// Guards against settings that leave no time for responses.
TEST_CASE("the times of a shutdown are in order") {
  struct row {
    milliseconds grace;
    milliseconds limit;
  };
  const row rows[] = {
      {milliseconds(2'200), milliseconds(8'000)},
      {milliseconds(2'000), milliseconds(600'000)},
      {milliseconds(5'000), milliseconds(1'000)},
      {milliseconds(100), milliseconds(0)},
  };
  for (const row& r : rows) {
    instance_settings settings;
    settings.drain_grace = r.grace;
    settings.drain_limit = r.limit;
    const time_point now{std::chrono::hours(1)};
    const stop_schedule schedule = MakeStopSchedule(now, settings);
    CHECK(schedule.began_at == now);
    CHECK(schedule.began_at <= schedule.grace_ends_at);
    CHECK(schedule.grace_ends_at <= schedule.requests_end_at);
    CHECK(schedule.requests_end_at <= schedule.exits_at);
    CHECK(schedule.exits_at <= now + r.limit);
  }
}

}  // namespace
}  // namespace cactusward
