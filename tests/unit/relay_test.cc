// Tests of request forwarding with upstream faults. The caller, the instance
// and the upstreams run in one process.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/support/closing_upstream.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::closing_upstream;
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
    runner_fault first;  // fault of the first upstream of each group
    bool both;           // the second upstream has the same fault
    int status;          // 0: the response was cut off
    int runs;            // upper bound of executions
  };
  using fault = runner_fault;
  const row rows[] = {
      {"a stream is complete", "/stream/x", fault::kNone, true, 200, 1},
      {"a non-idempotent call succeeds", "/once/x", fault::kNone, true, 200, 1},
      {"a broken stream is resumed elsewhere", "/stream/x",
       fault::kBreaksMidway, false, 200, 2},
      {"a stream without events is retried elsewhere", "/stream/x",
       fault::kBreaksAtStart, false, 200, 2},
      {"a non-resumable stream is cut off", "/fixed/x", fault::kBreaksMidway,
       true, 0, 1},
      {"a stream refused by all upstreams is not run", "/stream/x",
       fault::kRefuses, true, 503, 0},
      {"a non-idempotent call without a response is not retried", "/once/x",
       fault::kBreaksAtStart, true, 502, 1},
      {"a non-idempotent call with a broken response is not retried", "/once/x",
       fault::kBreaksMidway, true, 502, 1},
      {"a non-idempotent call refused by all upstreams is not run", "/once/x",
       fault::kRefuses, true, 503, 0},
      {"a non-idempotent call refused once is retried elsewhere", "/once/x",
       fault::kRefuses, false, 200, 1},
      {"a call misdirected to another upstream is retried", "/once/x",
       fault::kWrongInstance, false, 200, 1},
      {"an idempotent call is retried", "/often/x", fault::kBreaksAtStart,
       false, 200, 2},
      {"an unsigned response is not passed on", "/often/x", fault::kUnsigned,
       false, 200, 2},
      {"an unsigned non-idempotent response is not passed on", "/once/x",
       fault::kUnsigned, true, 502, 1},
      {"a response to another request is not passed on", "/often/x",
       fault::kCrossed, false, 200, 2},
      {"a non-idempotent call with another's response", "/once/x",
       fault::kCrossed, true, 502, 1},
      {"an error response of the upstream is passed on", "/once/x",
       fault::kFails, true, 500, 1},
      {"an idempotent call that times out is retried", "/often/x",
       fault::kSilent, false, 200, 2},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      // Which upstream is asked first is random, so that a request may not meet
      // a fault that only one of them has.
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

std::string Events(int first, int last) {
  std::string all;
  for (int i = first; i <= last; ++i)
    all += "id: " + std::to_string(i) + "\ndata: " + std::to_string(i) + "\n\n";
  return all;
}

// Guards against taking a response without a length for complete, or for broken
// off, by mistake.
TEST_CASE(
    "a response that ends with its connection is complete unless broken") {
  using close = closing_upstream::close_kind;
  struct row {
    const char* name;
    const char* path;
    std::string body;
    close end;
    bool complete;
  };
  const std::string whole = "answer of closing";
  const row rows[] = {
      {"a closed body", "/often/x", whole, close::kRegular, true},
      {"a reset body", "/often/x", whole, close::kReset, false},
      {"a closed body, not retryable", "/once/x", whole, close::kRegular, true},
      {"a reset body, not retryable", "/once/x", whole, close::kReset, false},
      {"a closed stream", "/stream/x", Events(1, 5), close::kRegular, true},
      {"a closed stream, not resumable", "/fixed/x", Events(1, 5),
       close::kRegular, true},
      {"a reset stream", "/stream/x", Events(1, 3), close::kReset, false},
      {"a reset stream, not resumable", "/fixed/x", Events(1, 3), close::kReset,
       false},
      {"a stream that ends inside an event", "/stream/x",
       Events(1, 3) + "id: 4\nda", close::kRegular, false},
      {"a stream that ends inside an event, not resumable", "/fixed/x",
       Events(1, 3) + "id: 4\ndata: 4\n", close::kRegular, false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    const bool streams = r.path[1] == 's' || r.path[1] == 'f';
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Seal: s\r\n" +
        std::string(streams ? "Content-Type: text/event-stream\r\n" : "") +
        "\r\n";
    closing_upstream upstream(fleet.io, head + r.body, r.end);
    auto entry = nlohmann::json::parse(
        fleet.engines[0]->Entry(streams ? "engines" : "plain"));
    entry["address"] = upstream.address();
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.store.Put("servers/closing", entry.dump());
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/none/", 404, yield));
      // The others, where a retry may go, are registered once this one has the
      // request.
      Spawn(fleet.io, "register", [&](asio::yield_context inner) {
        while (upstream.requests() == 0)
          Sleep(fleet.io, kPollPeriod, inner);
        fleet.RegisterRunners();
      });
      const http_response response = fleet.Call(r.path, "a", yield);
      CHECK(upstream.requests() == 1);
      const bool retryable = r.path[1] == 's' || r.path[2] == 'f';
      if (r.complete) {
        CHECK(response.body == r.body);
        CHECK(fleet.RunCount() == 0);
      } else if (retryable) {
        CHECK(response.status == 200);
        CHECK((streams ? response.body == Events(1, 5)
                       : response.body.substr(0, 9) == "answer of"));
        CHECK(fleet.RunCount() == 1);
      } else {
        // A stream that has begun is cut off.
        CHECK(response.status == (streams ? 0 : 502));
        CHECK(fleet.RunCount() == 0);
      }
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

// A configuration whose engines have a prefill rate of `tokens_per_second` and
// almost no cost of attention.
std::string FastEngineConfig(const std::string& tokens_per_second) {
  std::string config = testing::ConfigDocument(1);
  for (const auto& [slow, quick] :
       {std::pair<std::string, std::string>{"\"pairs_per_m\":0.184",
                                            "\"pairs_per_m\":0.0001"},
        {"\"read_per_s\":177000.0", "\"read_per_s\":" + tokens_per_second}})
    config.replace(config.find(slow), slow.size(), quick);
  return config;
}

// Guards against choosing a helper again that has crashed but is still listed.
TEST_CASE("a helper named as at fault is not chosen again") {
  small_fleet fleet;
  fleet.engines.push_back(std::make_unique<runner_fake>(fleet.io, "e2"));
  fleet.store.Put("op/config", FastEngineConfig("1000000.0"));
  fleet.RegisterRunners();
  for (const auto& engine : fleet.engines)
    engine->RefuseHelper(*fleet.engines[2]);
  fleet.Run([&](asio::yield_context yield) {
    // The prefill is split between two engines, which may be any two.
    for (int i = 0; i < 12; ++i)
      CHECK(fleet.Call("/stream/x", "a", yield, "key", kCallTimeout, 220'000)
                .status == 200);
  });
}

// A prompt larger than the memory of one engine must not start until its memory
// is reserved on all engines that hold a part of it.
TEST_CASE("the memory of a shared prompt is reserved before it is sent") {
  small_fleet fleet;
  fleet.store.Put("op/config", FastEngineConfig("1550000.0"));
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    CHECK(fleet.Call("/stream/x", "large", yield, "key", kCallTimeout, 330'000)
              .status == 200);
    std::size_t forwarded_count = 0;
    for (const auto& engine : fleet.engines) {
      for (const http_request& seen : engine->received_requests()) {
        ++forwarded_count;
        const std::string helpers(seen["X-Peer-Helpers"]);
        CHECK(helpers.find(engine->address() + "/large-") == 0);
        CHECK(std::count(helpers.begin(), helpers.end(), '/') == 2);
      }
    }
    CHECK(forwarded_count == 1);
    Sleep(fleet.io, kSettleTime, yield);
    for (const auto& engine : fleet.engines)
      CHECK(engine->ReservedTokens() == 0);
  });
}

// Guards against a request that is sent to one engine after the other although
// each refuses its list of helpers as malformed, and against avoiding them.
TEST_CASE("a list of helpers that an engine rejects is not sent again") {
  struct row {
    const char* tokens_per_second;
    int prompt_tokens;
    std::size_t engines;
    int accepted_entries;
    int status;
    int arrivals;
  };
  const row r = GENERATE(values<row>({
      // Half of the helpers suffice.
      {"1000000.0", 220'000, 3, 1, 200, 2},
      // It does not fit on fewer engines.
      {"1550000.0", 330'000, 2, 1, 503, 1},
      {"1550000.0", 330'000, 2, 2, 200, 1},
  }));
  CAPTURE(r.prompt_tokens, r.accepted_entries);
  small_fleet fleet;
  while (fleet.engines.size() < r.engines)
    fleet.engines.push_back(std::make_unique<runner_fake>(fleet.io, "e2"));
  fleet.store.Put("op/config", FastEngineConfig(r.tokens_per_second));
  fleet.RegisterRunners();
  for (const auto& engine : fleet.engines)
    engine->SetMaxHelperEntries(r.accepted_entries);
  fleet.Run([&](asio::yield_context yield) {
    CHECK(
        fleet
            .Call("/stream/x", "a", yield, "key", kCallTimeout, r.prompt_tokens)
            .status == r.status);
    int arrivals = 0;
    for (const auto& engine : fleet.engines)
      arrivals += engine->arrivals();
    CHECK(arrivals == r.arrivals);
    const int rejected = r.accepted_entries < 2 ? 1 : 0;
    CHECK(fleet.gateway->MetricsText().find(
              "cactusward_composed_requests_rejected " +
              std::to_string(rejected) + "\n") != std::string::npos);
    for (int i = 0; i < 4; ++i)
      CHECK(fleet.Call("/stream/x", "b", yield).status == 200);
  });
}

// Guards against a request to upstreams that announced that they leave after
// they were chosen, while memory was being reserved for the request.
TEST_CASE(
    "a request is not sent to upstreams that left since they were chosen") {
  constexpr int kPromptTokens = 330'000;  // the memory of two engines
  constexpr milliseconds kControlDelay{300};
  small_fleet fleet;
  fleet.store.Put("op/config", FastEngineConfig("1550000.0"));
  fleet.RegisterRunners();
  for (const auto& engine : fleet.engines)
    engine->SetControlDelay(kControlDelay);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
    Spawn(fleet.io, "leave", [&](asio::yield_context inner) {
      Sleep(fleet.io, kControlDelay / 2, inner);
      for (const auto& engine : fleet.engines)
        fleet.store.Put("servers/" + engine->id(),
                        engine->Entry("engines", true));
    });
    const http_response response = fleet.Call(
        "/stream/x", "large", yield, "key", kCallTimeout, kPromptTokens);
    // Either status states that the request has not run.
    CHECK((response.status == 503 || response.status == 429));
    for (const auto& engine : fleet.engines)
      CHECK(engine->arrivals() == 0);
    // The reservations are released.
    Sleep(fleet.io, kSettleTime + kControlDelay, yield);
    for (const auto& engine : fleet.engines)
      CHECK(engine->ReservedTokens() == 0);
  });
}

}  // namespace
}  // namespace cactusward
