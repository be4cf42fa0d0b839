// Requests on kept connections that end without a byte of the response: the
// upstream may have run the request, or crashed on it.
#include <set>

#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::runner_fake;
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

// Guards against crashes that no instance notices: a request that crashes its
// upstreams over kept connections was never refused.
TEST_CASE("a crash on a kept connection counts against the request", "[path]") {
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
