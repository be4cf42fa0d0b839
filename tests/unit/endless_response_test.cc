// Tests of upstreams that send bytes without end: in a head, a body, a stream.
#include <sys/resource.h>

#include "cactusward/buffer_pool.h"
#include "tests/support/endless_upstream.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::endless_upstream;
using testing::kPollPeriod;
using testing::small_fleet;

// The largest resident size of the process so far.
std::int64_t PeakMemoryKib() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

const std::string kSigned =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Seal: s\r\n";
const std::string kChunkedHead = kSigned + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStreamHead =
    kSigned + "Content-Type: text/event-stream\r\n\r\n";
const std::string kFirstEvent = "id: 1\ndata: 1\n\n";

struct endless_row {
  const char* name;
  std::string start;
  std::string repeated;
  bool stream;
};

const endless_row kRows[] = {
    {"a status line", "HTTP/1.1 200 ", "a", false},
    {"bytes that are not HTTP", "", "a", false},
    {"empty lines", "", "\r\n", false},
    {"one field of a head", "HTTP/1.1 200 OK\r\nX-A: ", "a", false},
    {"the fields of a head", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
    {"a body until the connection closes", kSigned + "\r\n", "a", false},
    {"a body of announced length",
     kSigned + "Content-Length: 1000000000000\r\n\r\n", "a", false},
    {"a chunked body", kChunkedHead, "4\r\naaaa\r\n", false},
    {"a chunk extension", kChunkedHead + "4;", "a", false},
    {"the fields of a trailer", kChunkedHead + "0\r\n", "X-A: b\r\n", false},
    {"a body that an upstream did not sign", "HTTP/1.1 200 OK\r\n\r\n", "a",
     false},
    {"a body of a refusal",
     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\r\n", "a",
     false},
    {"an event", kStreamHead + kFirstEvent + "data: ", "a", true},
    {"lines of an event", kStreamHead + kFirstEvent, "data: a\n", true},
    {"events without an id", kStreamHead + kFirstEvent, "data: a\n\n", true},
    {"comments", kStreamHead + kFirstEvent, ": a\n\n", true},
    {"the same event", kStreamHead + kFirstEvent, kFirstEvent, true},
    {"blank lines", kStreamHead + kFirstEvent, "\n", true},
};

// A row played on one route, with an upstream of its own.
struct endless_case {
  const endless_row* row;
  const char* route;  // of testing::ConfigDocument
  milliseconds pause;
  std::unique_ptr<endless_upstream> upstream;
  http_response response;
  duration took{0};
  std::int64_t memory_growth_kib = 0;
  bool ended = false;
};

// The configuration of testing::ConfigDocument with one more route and service
// for each case, /case<i>/ and case<i>.
std::string CasesConfig(const std::vector<endless_case>& cases) {
  auto config = nlohmann::json::parse(testing::ConfigDocument(1));
  const auto find = [&config](const char* list, const std::string& name) {
    return *std::find_if(
        config[list].begin(), config[list].end(),
        [&name](const auto& item) { return item["name"] == name; });
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const std::string name = "case" + std::to_string(i);
    auto route = find("routes", cases[i].route);
    auto service = find("services", route["service"].get<std::string>());
    route["name"] = name;
    route["path_prefix"] = "/" + name + "/";
    route["service"] = name;
    service["name"] = name;
    config["routes"].push_back(route);
    config["services"].push_back(service);
  }
  return config.dump();
}

// Guards against an upstream that sends bytes without end, which would take
// memory without bound and keep its caller waiting.
TEST_CASE("bytes without end are cut off in time and with bounded memory") {
  constexpr std::int64_t kMaxGrowthKib = 48LL * 1024;
  small_fleet fleet;
  std::vector<endless_case> cases;
  for (const endless_row& r : kRows) {
    for (const char* route : {"once", "often", "fixed", "stream"}) {
      const std::string_view name(route);
      if (r.stream != (name == "fixed" || name == "stream"))
        continue;
      for (const milliseconds pause : {milliseconds(0), milliseconds(50)})
        cases.push_back({&r, route, pause, nullptr, {}, duration(0), 0, false});
    }
  }
  fleet.store.Put("op/config", CasesConfig(cases));
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const std::string name = "case" + std::to_string(i);
    cases[i].upstream = std::make_unique<endless_upstream>(
        fleet.io, cases[i].row->start, cases[i].row->repeated, cases[i].pause);
    fleet.store.Put("servers/" + name,
                    nlohmann::json{{"service", name},
                                   {"address", cases[i].upstream->address()},
                                   {"zone", "z"},
                                   {"slots", 16},
                                   {"state", "ready"},
                                   {"born", 1}}
                        .dump());
  }
  fleet.Run([&](asio::yield_context yield) {
    const auto play = [&fleet, &cases](std::size_t i,
                                       asio::yield_context inner) {
      const std::int64_t peak_before = PeakMemoryKib();
      const time_point started_at = clock::now();
      // The caller's own time limit is longer than the request's deadline.
      cases[i].response =
          fleet.Call("/case" + std::to_string(i) + "/x", "a", inner);
      cases[i].took = clock::now() - started_at;
      cases[i].memory_growth_kib = PeakMemoryKib() - peak_before;
      cases[i].ended = true;
    };
    // Those without a pause one after the other, so that each can send as much
    // as it may.
    for (std::size_t i = 0; i < cases.size(); ++i) {
      if (cases[i].pause == milliseconds(0))
        play(i, yield);
    }
    for (std::size_t i = 0; i < cases.size(); ++i) {
      if (cases[i].pause > milliseconds(0))
        Spawn(fleet.io, "call",
              [&play, i](asio::yield_context inner) { play(i, inner); });
    }
    const auto all_ended = [&cases] {
      return std::all_of(cases.begin(), cases.end(),
                         [](const auto& each) { return each.ended; });
    };
    while (!all_ended())
      Sleep(fleet.io, kPollPeriod, yield);
    Sleep(fleet.io, testing::kSettleTime, yield);
  });
  for (const endless_case& each : cases) {
    CAPTURE(each.row->name, each.route, each.pause.count());
    // Only a stream, which has begun by then, may be broken off (status 0).
    CHECK((each.row->stream || each.response.status >= 429));
    CHECK((each.response.status == 0 || each.response.status >= 429));
    CHECK(each.took < testing::kCallTimeout);
    CHECK(each.upstream->connections() > 0);
    CHECK(each.upstream->closed() == each.upstream->connections());
    CHECK(each.upstream->sent_bytes() < endless_upstream::kMaxBytes);
    CHECK(each.memory_growth_kib < kMaxGrowthKib);
  }
}

TEST_CASE("buffers that grow without end leave room for the others") {
  struct row {
    const char* name;
    std::size_t others;  // bytes that another buffer has
    std::size_t bytes;
    bool granted;
  };
  const row rows[] = {
      {"half of the pool", 0, 50, true},
      {"more than half of the pool", 0, 51, false},
      {"half of what another leaves", 50, 25, true},
      {"more than half of what another leaves", 50, 26, false},
      {"no bytes", 50, 0, true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    buffer_pool pool(100);
    {
      buffer_pool::share other(&pool);
      CHECK(other.Resize(r.others));
      buffer_pool::share share(&pool);
      CHECK(share.Resize(r.bytes) == r.granted);
      CHECK(pool.used() == r.others + (r.granted ? r.bytes : 0));
      // Shrinking is always granted.
      CHECK(share.Resize(0));
    }
    CHECK(pool.used() == 0);
  }
}

}  // namespace
}  // namespace cactusward
