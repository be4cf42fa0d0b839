// Requests on kept connections that end without a byte of the response: the
// upstream may have run the request, or crashed on it.
#include <algorithm>
#include <map>
#include <set>

#include "tests/support/scripted_upstream.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::ResponseBytes;
using testing::runner_fake;
using testing::scripted_upstream;
using testing::small_fleet;

constexpr int kUpstreams = 4;
// More than some engines take, so that all are used.
constexpr int kConcurrentCalls = 64;
// An upstream that has crashed is avoided for a while.
constexpr milliseconds kWarmUpTimeout{10'000};
// Makes concurrent calls use different upstreams.
constexpr milliseconds kRunTime{30};

// Sends calls to `path` at once until `is_warm`.
// @return false if it is not within kWarmUpTimeout.
bool KeepConnections(small_fleet& fleet,
                     const std::string& path,
                     const std::function<bool()>& is_warm,
                     asio::yield_context yield) {
  const time_point until = clock::now() + kWarmUpTimeout;
  while (clock::now() < until) {
    int pending = kConcurrentCalls;
    for (int i = 0; i < kConcurrentCalls; ++i)
      Spawn(fleet.io, "call", [&, i](asio::yield_context inner) {
        fleet.Call(path, "warm" + std::to_string(i), inner);
        --pending;
      });
    while (pending > 0)
      Sleep(fleet.io, testing::kPollPeriod, yield);
    if (is_warm())
      return true;
  }
  return false;
}

std::string ConfigWithAttempts(int max_attempts) {
  auto config = nlohmann::json::parse(testing::ConfigDocument(1));
  for (auto& route : config["routes"])
    route["max_attempts"] = max_attempts;
  return config.dump();
}

// Upstreams that serve all requests but those with the id kLost, which end
// without an answer.
class losing_upstreams {
 public:
  static constexpr const char* kLost = "lost";
  struct trouble {
    bool on_new_connections = false;
    milliseconds run_time{0};
    bool reset = false;
  };

  losing_upstreams(small_fleet& fleet, bool is_stream, const trouble& trouble)
      : is_stream_(is_stream), trouble_(trouble) {
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back(std::make_unique<scripted_upstream>(
          fleet.io, [this, i](const http_request& request, int on_connection) {
            return Reply(i, request, on_connection);
          }));
      fleet.store.Put(
          "servers/u" + std::to_string(i),
          upstreams_.back()->Entry(is_stream ? "engines" : "plain"));
    }
  }

  bool AllHaveServed() const {
    return std::all_of(served_.begin(), served_.end(),
                       [](int count) { return count > 0; });
  }
  // Upstreams that got the request with the id kLost, in order.
  const std::vector<int>& lost_at() const { return lost_at_; }

 private:
  scripted_upstream::reply Reply(int upstream,
                                 const http_request& request,
                                 int on_connection) {
    const std::string id(request["X-Attempt-Id"]);
    scripted_upstream::reply reply;
    if (id == kLost)
      lost_at_.push_back(upstream);
    if (id == kLost && (on_connection > 0 || trouble_.on_new_connections)) {
      reply.parts.push_back({"", trouble_.run_time});
      reply.close = true;
      reply.reset = trouble_.reset;
      return reply;
    }
    ++served_[upstream];
    const std::string fields =
        "X-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\n" +
        (is_stream_ ? "Content-Type: text/event-stream\r\n" : "");
    reply.parts.push_back(
        {ResponseBytes(200, fields, "id: 1\ndata: a\n\n"), kRunTime});
    return reply;
  }

  bool is_stream_;
  trouble trouble_;
  std::array<int, kUpstreams> served_{};
  std::vector<int> lost_at_;
  std::vector<std::unique_ptr<scripted_upstream>> upstreams_;
};

// Guards against a request whose answers are lost being run by more upstreams
// than its route allows, since each lost answer counted as no attempt.
TEST_CASE("a lost answer on a kept connection counts as an attempt",
          "[crashes]") {
  struct row {
    const char* name;
    const char* path;
    int max_attempts;
    losing_upstreams::trouble trouble;
  };
  using ms = milliseconds;
  const row rows[] = {
      {"closed at once", "/often/x", 2, {true, ms(0), false}},
      {"closed after the run", "/often/x", 2, {true, ms(15), false}},
      {"reset after the run", "/often/x", 2, {true, ms(15), true}},
      {"one attempt", "/often/x", 1, {true, ms(15), false}},
      {"three attempts", "/often/x", 3, {true, ms(15), true}},
      {"a stream, closed", "/stream/x", 2, {true, ms(15), false}},
      {"a stream, reset", "/stream/x", 2, {true, ms(15), true}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    losing_upstreams upstreams(fleet, r.path[1] == 's', r.trouble);
    fleet.store.Put("op/config", ConfigWithAttempts(r.max_attempts));
    http_response response;
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(KeepConnections(
          fleet, r.path, [&] { return upstreams.AllHaveServed(); }, yield));
      response = fleet.Call(r.path, losing_upstreams::kLost, yield);
    });
    CHECK(response.status == 502);
    CHECK(!upstreams.lost_at().empty());
    CHECK(upstreams.lost_at().size() <=
          static_cast<std::size_t>(r.max_attempts));
  }
}

// Guards against the opposite: upstreams close idle connections at any time,
// and a request that crosses the close must still be served.
TEST_CASE("a request that crosses the close of kept connections is served",
          "[crashes]") {
  struct row {
    const char* name;
    const char* path;
    int max_attempts;
    bool reset;
  };
  const row rows[] = {
      {"closed", "/often/x", 2, false},
      {"reset", "/often/x", 2, true},
      {"one attempt", "/often/x", 1, true},
      {"a stream", "/stream/x", 2, false},
      {"a stream with one attempt", "/stream/x", 1, false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    losing_upstreams upstreams(fleet, r.path[1] == 's',
                               {false, milliseconds(0), r.reset});
    fleet.store.Put("op/config", ConfigWithAttempts(r.max_attempts));
    http_response response;
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(KeepConnections(
          fleet, r.path, [&] { return upstreams.AllHaveServed(); }, yield));
      response = fleet.Call(r.path, losing_upstreams::kLost, yield);
    });
    CHECK(response.status == 200);
    CHECK(upstreams.lost_at().size() <=
          static_cast<std::size_t>(r.max_attempts));
  }
}

// Guards against crashes that no instance notices: a request that crashes its
// upstreams over kept connections was never refused.
TEST_CASE("a crash on a kept connection counts against the request",
          "[crashes]") {
  // The users' bound is three crashes before a request must be refused.
  constexpr int kMaxRuns = 3;
  constexpr int kCallerAttempts = 4;
  constexpr milliseconds kDowntime{300};
  struct row {
    const char* name;
    const char* path;
  };
  const row rows[] = {
      {"a call", "/often/x"},
      {"a stream", "/stream/x"},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    auto& upstreams = r.path[1] == 's' ? fleet.engines : fleet.plain;
    while (upstreams.size() < kUpstreams)
      upstreams.push_back(std::make_unique<runner_fake>(
          fleet.io, "u" + std::to_string(upstreams.size())));
    fleet.store.Put("op/config", ConfigWithAttempts(2));
    fleet.RegisterRunners();
    int crashing_runs = 0;
    std::set<std::string> served;
    for (const auto& upstream : upstreams) {
      upstream->SetRunTime(kRunTime);
      upstream->CrashOnParts({"dead"}, kDowntime);
      upstream->OnRun([&, id = upstream->id()](const http_request& request) {
        served.insert(id);
        crashing_runs += request["X-Prompt-Prefix"].empty() ? 0 : 1;
      });
    }
    http_response last;
    fleet.Run([&](asio::yield_context yield) {
      for (int i = 0; i < kCallerAttempts; ++i) {
        served.clear();
        REQUIRE(KeepConnections(
            fleet, r.path, [&] { return served.size() == kUpstreams; }, yield));
        // A part that no other request shares.
        last = fleet.CallWithParts(fleet.settings.listen, r.path, "poison",
                                   "dead:100", yield);
        Sleep(fleet.io, kDowntime + testing::kSettleTime, yield);
      }
    });
    CHECK(crashing_runs > 0);
    CHECK(crashing_runs <= kMaxRuns);
    CHECK(last.status == 503);
  }
}

}  // namespace
}  // namespace cactusward
