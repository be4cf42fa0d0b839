// Tests of many responses without end at once, beside sound callers, in the
// memory of the smallest instances.
#include <catch2/catch.hpp>

#include "tests/support/endless_upstream.h"
#include "tests/support/gateway_fleet.h"
#include "tests/support/memory_growth.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::endless_upstream;
using testing::gateway_fleet;
using testing::memory_growth;
using testing::small_fleet;

// Half of the memory of the smallest instances, 160 MB.
constexpr std::int64_t kMaxGrowthBytes = 80'000'000;
constexpr std::size_t kUpstreams = 8;
constexpr std::size_t kCallers = 64;
constexpr milliseconds kPlayTime{2'500};
constexpr milliseconds kSoundCallPeriod{25};
constexpr milliseconds kSoundCallTime{1'000};

const std::string kSignedHead =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Seal: s\r\n";
const std::string kManyBytes(64ULL * 1024, 'a');

using upstream_list = std::vector<std::unique_ptr<endless_upstream>>;

upstream_list MakeUpstreams(asio::io_context& io,
                            const std::string& start,
                            const std::string& repeated,
                            milliseconds pause) {
  upstream_list upstreams;
  for (std::size_t i = 0; i < kUpstreams; ++i)
    upstreams.push_back(
        std::make_unique<endless_upstream>(io, start, repeated, pause));
  return upstreams;
}

// Runs `call` again and again in kCallers coroutines until kPlayTime has
// passed, and `sound_call`, which returns whether it was served, beside them.
// @return the number of sound calls that were not served in time.
int PlayBeside(asio::io_context& io,
               const std::function<void(asio::yield_context)>& call,
               const std::function<bool(asio::yield_context)>& sound_call,
               asio::yield_context yield) {
  const time_point end = clock::now() + kPlayTime;
  std::size_t running = 0;
  for (std::size_t i = 0; i < kCallers; ++i) {
    ++running;
    Spawn(io, "call", [&, end](asio::yield_context inner) {
      while (clock::now() < end) {
        call(inner);
        Sleep(io, testing::kPollPeriod, inner);
      }
      --running;
    });
  }
  int late = 0;
  while (clock::now() < end) {
    const time_point began = clock::now();
    const bool served = sound_call(yield);
    late += served && clock::now() - began < kSoundCallTime ? 0 : 1;
    Sleep(io, kSoundCallPeriod, yield);
  }
  while (running > 0)
    Sleep(io, testing::kPollPeriod, yield);
  return late;
}

// Guards against an instance that runs out of memory, or has none left for
// sound callers, because many upstreams send bytes without end.
TEST_CASE("many endless responses at once leave room for sound callers",
          "[responses]") {
  struct row {
    const char* name;
    const char* route;  // of testing::ConfigDocument
    std::string start;
    std::string repeated;
    milliseconds pause;
  };
  const std::string events = kSignedHead +
                             "Content-Type: text/event-stream\r\n\r\n"
                             "id: 1\ndata: 1\n\ndata: ";
  const row rows[] = {
      {"bodies", "often", kSignedHead + "\r\n", "a", milliseconds(0)},
      {"bodies at a pace", "often", kSignedHead + "\r\n", kManyBytes,
       milliseconds(40)},
      {"slow bodies", "often", kSignedHead + "\r\n", kManyBytes.substr(0, 4096),
       milliseconds(40)},
      {"bodies that are not retryable", "once", kSignedHead + "\r\n",
       kManyBytes, milliseconds(40)},
      {"heads", "often", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", milliseconds(0)},
      {"heads at a pace", "often", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n",
       milliseconds(10)},
      {"events at a pace", "stream", events, kManyBytes, milliseconds(40)},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    auto config = nlohmann::json::parse(testing::ConfigDocument(1));
    for (auto* list : {&config["routes"], &config["services"]}) {
      auto faulty = (*list)[0];
      for (const auto& item : *list) {
        if (item["name"] == r.route || item["name"] == "plain")
          faulty = item;
      }
      faulty["name"] = "faulty";
      if (faulty.contains("path_prefix")) {
        faulty["path_prefix"] = "/faulty/";
        faulty["service"] = "faulty";
      }
      list->push_back(faulty);
    }
    fleet.store.Put("op/config", config.dump());
    fleet.RegisterRunners();
    const upstream_list upstreams =
        MakeUpstreams(fleet.io, r.start, r.repeated, r.pause);
    for (std::size_t i = 0; i < upstreams.size(); ++i)
      fleet.store.Put("servers/f" + std::to_string(i),
                      nlohmann::json{{"service", "faulty"},
                                     {"address", upstreams[i]->address()},
                                     {"zone", "z"},
                                     {"slots", 16},
                                     {"state", "ready"},
                                     {"born", 1}}
                          .dump());
    int unserved = 0;
    std::int64_t growth = 0;
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      const memory_growth memory(fleet.io);
      unserved = PlayBeside(
          fleet.io,
          [&](asio::yield_context inner) {
            fleet.Call("/faulty/x", "a", inner);
          },
          [&](asio::yield_context inner) {
            return fleet.Call("/often/x", "sound", inner).status == 200;
          },
          yield);
      growth = memory.bytes();
    });
    int connections = 0;
    for (const auto& upstream : upstreams)
      connections += upstream->connections();
    CHECK(connections >= static_cast<int>(kCallers / 2));
    CHECK(unserved == 0);
    CHECK(growth < kMaxGrowthBytes);
  }
}

// The same on the product's own interface, and in its probes.
TEST_CASE("many endless responses leave room on the own interface",
          "[responses]") {
  struct row {
    const char* name;
    const char* path;  // empty: only probes
    std::string start;
    std::string repeated;
    milliseconds pause;
  };
  const std::string plain_head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string events =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
  const row rows[] = {
      {"bodies of calls", "/v1/services/faulty/stock", plain_head, "a",
       milliseconds(0)},
      {"bodies of calls at a pace", "/v1/services/faulty/stock", plain_head,
       kManyBytes, milliseconds(40)},
      {"bodies of refusals", "/v1/services/faulty/stock",
       "HTTP/1.1 503 Service Unavailable\r\n\r\n", kManyBytes,
       milliseconds(40)},
      {"events", "/v1/completions", events, "a", milliseconds(0)},
      {"events at a pace", "/v1/completions", events, kManyBytes,
       milliseconds(40)},
      {"probes", "", plain_head, kManyBytes, milliseconds(1)},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    gateway_fleet fleet;
    const upstream_list upstreams =
        MakeUpstreams(fleet.io, r.start, r.repeated, r.pause);
    const bool completions = r.path == std::string("/v1/completions");
    fleet.more_services.push_back(
        completions
            ? nlohmann::json{{"name", "faulty"}, {"model", "faulty"}}
            : nlohmann::json{
                  {"name", "faulty"},
                  {"kind", "plain"},
                  {"calls", {{{"name", "stock"}, {"time_limit_ms", 2'000}}}}});
    for (const auto& upstream : upstreams) {
      if (r.path[0] != '\0')
        upstream->SetHealthy();
      fleet.more_upstreams.emplace_back("faulty", upstream->address());
    }
    int unserved = 0;
    std::int64_t growth = 0;
    fleet.Run([&](asio::yield_context yield) {
      const memory_growth memory(fleet.io);
      unserved = PlayBeside(
          fleet.io,
          [&](asio::yield_context inner) {
            if (r.path[0] == '\0')
              return;
            outgoing_request request;
            request.method = http::verb::post;
            request.target = r.path;
            request.headers = {
                {"Authorization", "Bearer " + std::string(fleet.kKey)}};
            if (completions)
              request.body = R"({"model":"faulty","prompt":"note",)"
                             R"("stream":true,"max_tokens":4})";
            fleet.client.Call(fleet.settings.listen, request,
                              clock::now() + milliseconds(3'000), inner);
          },
          [&](asio::yield_context inner) {
            const auto* sent = fleet.Begin(gateway_fleet::kCallPath);
            fleet.Await(*sent, inner);
            return sent->status == 200;
          },
          yield);
      growth = memory.bytes();
    });
    int connections = 0;
    for (const auto& upstream : upstreams)
      connections += upstream->connections();
    CHECK(connections > 0);
    CHECK(unserved == 0);
    CHECK(growth < kMaxGrowthBytes);
  }
}

}  // namespace
}  // namespace cactusward
