// The path of a request in one process: caller, instance and runners, with the
// faults of runners.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::kCallTimeout;
using testing::kPollPeriod;
using testing::kSettleTime;
using testing::runner_fake;
using testing::runner_fault;
using testing::small_fleet;

std::string ExpectedStream() {
  std::string all;
  for (int i = 1; i <= runner_fake::kEvents; ++i)
    all += "id: " + std::to_string(i) + "\ndata: " + std::to_string(i) + "\n\n";
  return all;
}

TEST_CASE("requests are answered, refused or failed by what runners do") {
  struct row {
    const char* name;
    const char* path;
    runner_fault first;  // of every runner that a request may meet first
    bool both;           // the second runner has the fault, too
    int status;          // 0: cut off
    int runs;            // at most
  };
  using fault = runner_fault;
  const row rows[] = {
      {"a stream is whole", "/stream/x", fault::kNone, true, 200, 1},
      {"a booking is answered", "/once/x", fault::kNone, true, 200, 1},
      {"a broken stream goes on elsewhere", "/stream/x", fault::kBreaksMidway,
       false, 200, 2},
      {"a stream that never began goes elsewhere", "/stream/x",
       fault::kBreaksAtStart, false, 200, 2},
      {"a stream that may not be resumed is cut", "/fixed/x",
       fault::kBreaksMidway, true, 0, 1},
      {"a stream refused everywhere was not run", "/stream/x", fault::kRefuses,
       true, 503, 0},
      {"a lost booking is not repeated", "/once/x", fault::kBreaksAtStart, true,
       502, 1},
      {"a broken booking is not repeated", "/once/x", fault::kBreaksMidway,
       true, 502, 1},
      {"a booking refused everywhere was not run", "/once/x", fault::kRefuses,
       true, 503, 0},
      {"a booking refused once goes elsewhere", "/once/x", fault::kRefuses,
       false, 200, 1},
      {"an address of another upstream", "/once/x", fault::kWrongInstance,
       false, 200, 1},
      {"a look-up is repeated", "/often/x", fault::kBreaksAtStart, false, 200,
       2},
      {"an unsigned answer is not passed on", "/often/x", fault::kUnsigned,
       false, 200, 2},
      {"an unsigned booking is not passed on", "/once/x", fault::kUnsigned,
       true, 502, 1},
      {"an answer to another request", "/often/x", fault::kCrossed, false, 200,
       2},
      {"a crossed booking", "/once/x", fault::kCrossed, true, 502, 1},
      {"a failure of the runner's own", "/once/x", fault::kFails, true, 500, 1},
      {"a silent runner and a look-up", "/often/x", fault::kSilent, false, 200,
       2},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      // Which of the two is asked first is drawn, so that the fault moves to
      // the one that is.
      for (auto* group : {&fleet.engines, &fleet.plain}) {
        (*group)[0]->SetFault(r.first);
        if (r.both)
          (*group)[1]->SetFault(r.first);
      }
      const http_response response = fleet.Call(r.path, "attempt", yield);
      CHECK(response.status == r.status);
      CHECK(fleet.RunCount() <= r.runs);
      if (r.status == 200 && std::string(r.path) == "/stream/x")
        CHECK(response.body == ExpectedStream());
      if (r.status == 200 && std::string(r.path) != "/stream/x")
        CHECK(response.body.substr(0, 9) == "answer of");
    });
  }
}

TEST_CASE("a request arrives unchanged, and without the key") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    CHECK(fleet.Call("/once/x?y=z", "attempt", yield).status == 200);
    for (const auto& runner : fleet.plain) {
      for (const http_request& seen : runner->received_requests()) {
        CHECK(seen.target() == "/once/x?y=z");
        CHECK(seen["X-Attempt-Id"] == "attempt");
        CHECK(seen["X-Tenant-Name"] == "org");
        CHECK(seen["X-Expected-Instance"] == runner->id());
        CHECK(seen["Authorization"].empty());
        CHECK(std::stoi(std::string(seen["X-Deadline-Ms"])) <= 3'000);
      }
    }
  });
}

// A configuration whose engines read `tokens_per_second`, and pairs at once.
std::string FastEngineConfig(const std::string& tokens_per_second) {
  std::string config = testing::ConfigDocument(1);
  for (const auto& [slow, quick] :
       {std::pair<std::string, std::string>{"\"pairs_per_m\":0.184",
                                            "\"pairs_per_m\":0.0001"},
        {"\"read_per_s\":177000.0", "\"read_per_s\":" + tokens_per_second}})
    config.replace(config.find(slow), slow.size(), quick);
  return config;
}

// Pattern: helpers that died are still listed.
TEST_CASE("a helper at fault is not asked to help again") {
  small_fleet fleet;
  fleet.engines.push_back(std::make_unique<runner_fake>(fleet.io, "e2"));
  fleet.store.Put("op/config", FastEngineConfig("1000000.0"));
  fleet.RegisterRunners();
  for (const auto& engine : fleet.engines)
    engine->RefuseHelper(*fleet.engines[2]);
  fleet.Run([&](asio::yield_context yield) {
    // Read in two parts; any two engines may be chosen.
    for (int i = 0; i < 12; ++i)
      CHECK(fleet.Call("/stream/x", "a", yield, "key", kCallTimeout, 220'000)
                .status == 200);
  });
}

// Pattern: prompts larger than one engine's memory.
TEST_CASE("the whole memory of a shared prompt is reserved before it is sent") {
  small_fleet fleet;
  fleet.store.Put("op/config", FastEngineConfig("1550000.0"));
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    CHECK(fleet.Call("/stream/x", "large", yield, "key", kCallTimeout, 330'000)
              .status == 200);
    std::size_t asked = 0;
    for (const auto& engine : fleet.engines) {
      for (const http_request& seen : engine->received_requests()) {
        ++asked;
        const std::string helpers(seen["X-Peer-Helpers"]);
        CHECK(helpers.find(engine->address() + "/large-") == 0);
        CHECK(std::count(helpers.begin(), helpers.end(), '/') == 2);
      }
    }
    CHECK(asked == 1);
    Sleep(fleet.io, kSettleTime, yield);
    for (const auto& engine : fleet.engines)
      CHECK(engine->ReservedTokens() == 0);
  });
}

}  // namespace
}  // namespace cactusward
