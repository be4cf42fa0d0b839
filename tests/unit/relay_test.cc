// The whole path in one process: caller, instance, store and runners, with the
// faults of runners and store.
#include <algorithm>
#include <catch2/catch.hpp>

#include "platform/make_adapter.h"
#include "src/relay/relay_gateway.h"
#include "tests/support/platform_fakes.h"

namespace cactusward {
namespace {

using testing::runner_fake;
using testing::runner_fault;
using testing::store_fake;

constexpr milliseconds kCallTimeout{5'000};
constexpr milliseconds kSettle{400};
constexpr milliseconds kPoll{10};

// One instance, a store, two engines and two plain runners.
class small_fleet {
 public:
  small_fleet() : store(io), client(io) {
    for (int i = 0; i < 2; ++i) {
      engines.push_back(
          std::make_unique<runner_fake>(io, "e" + std::to_string(i)));
      plain.push_back(
          std::make_unique<runner_fake>(io, "p" + std::to_string(i)));
    }
    settings.instance = "test";
    settings.availability_zone = "z";
    settings.listen = testing::FreeAddress();
    settings.peer_listen = testing::FreeAddress();
    settings.peer_advertise = settings.peer_listen;
    settings.peer_secret = "0123456789abcdef";
    settings.forwarding = forwarding_settings();
    settings.forwarding->readiness_listen = testing::FreeAddress();
    settings.forwarding->metrics_listen = testing::FreeAddress();
    settings.forwarding->registry = store.address();
    settings.forwarding->retries.ratio = 1;
  }

  void List() {
    for (const auto& runner : engines)
      store.Put("servers/" + runner->id(), runner->Entry("engines"));
    for (const auto& runner : plain)
      store.Put("servers/" + runner->id(), runner->Entry("plain"));
  }

  // Runs `body` against the started instance.
  void Run(const std::function<void(asio::yield_context)>& body) {
    gateway =
        std::make_unique<relay_gateway>(io, &settings, platform::MakeAdapter);
    REQUIRE(gateway->Start());
    Spawn(io, "test", [this, &body](asio::yield_context yield) {
      Sleep(io, kSettle, yield);
      body(yield);
      io.stop();
    });
    io.run();
  }

  // Waits until `path` answers with `status`.
  bool Becomes(const std::string& path, int status, asio::yield_context yield) {
    const time_point until = clock::now() + kCallTimeout;
    while (clock::now() < until) {
      if (Call(path, "a", yield).status == status)
        return true;
      Sleep(io, kPoll, yield);
    }
    return false;
  }

  http_answer Call(const std::string& path,
                   const std::string& attempt,
                   asio::yield_context yield,
                   const std::string& key = "key",
                   milliseconds timeout = kCallTimeout,
                   int prompt_tokens = 1'000) {
    outgoing_request request;
    request.method = http::verb::post;
    request.target = path;
    request.headers = {
        {"Host", "h"},
        {"X-Attempt-Id", attempt},
        {"X-Token-Counts", std::to_string(prompt_tokens) + ",100"},
        {"X-Deadline-Ms", "3000"},
        {"Authorization", "Token " + key}};
    request.fresh_connection = true;
    const auto answer =
        client.Call(settings.listen, request, clock::now() + timeout, yield);
    // No whole answer: status 0.
    return answer ? *answer : http_answer();
  }

  int Runs() const {
    int runs = 0;
    for (const auto* group : {&engines, &plain}) {
      for (const auto& runner : *group)
        runs += runner->runs();
    }
    return runs;
  }

  asio::io_context io;
  store_fake store;
  http_client client;
  std::vector<std::unique_ptr<runner_fake>> engines;
  std::vector<std::unique_ptr<runner_fake>> plain;
  instance_settings settings;
  std::unique_ptr<relay_gateway> gateway;
};

std::string WholeStream() {
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
    fleet.List();
    fleet.Run([&](asio::yield_context yield) {
      // Which of the two is asked first is drawn, so that the fault moves to
      // the one that is.
      for (auto* group : {&fleet.engines, &fleet.plain}) {
        (*group)[0]->SetFault(r.first);
        if (r.both)
          (*group)[1]->SetFault(r.first);
      }
      const http_answer answer = fleet.Call(r.path, "attempt", yield);
      CHECK(answer.status == r.status);
      CHECK(fleet.Runs() <= r.runs);
      if (r.status == 200 && std::string(r.path) == "/stream/x")
        CHECK(answer.body == WholeStream());
      if (r.status == 200 && std::string(r.path) != "/stream/x")
        CHECK(answer.body.substr(0, 9) == "answer of");
    });
  }
}

TEST_CASE("a request arrives unchanged, and without the key") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.List();
  fleet.Run([&](asio::yield_context yield) {
    CHECK(fleet.Call("/once/x?y=z", "attempt", yield).status == 200);
    for (const auto& runner : fleet.plain) {
      for (const http_request& seen : runner->seen()) {
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
std::string QuickEngines(const std::string& tokens_per_second) {
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
  fleet.store.Put("op/config", QuickEngines("1000000.0"));
  fleet.List();
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
  fleet.store.Put("op/config", QuickEngines("1550000.0"));
  fleet.List();
  fleet.Run([&](asio::yield_context yield) {
    CHECK(fleet.Call("/stream/x", "large", yield, "key", kCallTimeout, 330'000)
              .status == 200);
    std::size_t asked = 0;
    for (const auto& engine : fleet.engines) {
      for (const http_request& seen : engine->seen()) {
        ++asked;
        const std::string helpers(seen["X-Peer-Helpers"]);
        CHECK(helpers.find(engine->address() + "/large-") == 0);
        CHECK(std::count(helpers.begin(), helpers.end(), '/') == 2);
      }
    }
    CHECK(asked == 1);
    Sleep(fleet.io, kSettle, yield);
    for (const auto& engine : fleet.engines)
      CHECK(engine->HeldTokens() == 0);
  });
}

TEST_CASE("callers are refused by what the configuration allows") {
  small_fleet fleet;
  fleet.List();
  fleet.Run([&](asio::yield_context yield) {
    // No configuration is known: it is neither wrong nor denied.
    CHECK(fleet.Call("/once/x", "a", yield).status == 503);
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    CHECK(fleet.Becomes("/once/x", 200, yield));
    CHECK(fleet.Call("/none/x", "b", yield).status == 404);
    CHECK(fleet.Call("/once/x", "c", yield, "unknown").status == 401);
    fleet.store.Put("op/config", testing::ConfigDocument(5, "new"));
    CHECK(fleet.Becomes("/new/x", 200, yield));
    // An older version never replaces a newer one.
    fleet.store.Put("op/config", testing::ConfigDocument(4));
    Sleep(fleet.io, kSettle, yield);
    CHECK(fleet.Call("/new/x", "d", yield).status == 200);
  });
}

TEST_CASE("changes come into force whatever the store does") {
  struct row {
    const char* name;
    std::function<void(store_fake&)> before;
    std::function<void(store_fake&)> after;
  };
  const row rows[] = {
      {"calm", [](store_fake&) {}, [](store_fake&) {}},
      {"watches hear nothing", [](store_fake& s) { s.SetMute(true); },
       [](store_fake&) {}},
      {"history is dropped", [](store_fake&) {},
       [](store_fake& s) { s.Compact(); }},
      {"down for a while", [](store_fake& s) { s.SetDown(true); },
       [](store_fake& s) { s.SetDown(false); }},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.List();
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.Becomes("/once/x", 200, yield));
      r.before(fleet.store);
      fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
      fleet.store.Put("servers/p0", fleet.plain[0]->Entry("plain", true));
      Sleep(fleet.io, milliseconds(50), yield);
      r.after(fleet.store);
      CHECK(fleet.Becomes("/new/x", 200, yield));
      // The runner that leaves gets nothing more.
      Sleep(fleet.io, milliseconds(100), yield);
      const int before = fleet.plain[0]->arrivals();
      for (int i = 0; i < 10; ++i)
        CHECK(fleet.Call("/once/x", "a", yield).status == 200);
      CHECK(fleet.plain[0]->arrivals() == before);
    });
  }
}

// A balancer with few instances left goes on sending to one that stops.
TEST_CASE("an instance that stops serves new connections, then refuses") {
  small_fleet fleet;
  fleet.settings.drain_grace = milliseconds(200);
  fleet.settings.drain_limit = milliseconds(3'000);
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.List();
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.Becomes("/once/x", 200, yield));
    for (const auto& runner : fleet.engines)
      runner->SetFault(runner_fault::kSilent);
    // A request in progress keeps the process alive.
    bool held_ended = false;
    Spawn(fleet.io, "held", [&](asio::yield_context inner) {
      fleet.Call("/fixed/x", "held", inner, "key", milliseconds(3'500));
      held_ended = true;
    });
    Sleep(fleet.io, milliseconds(50), yield);
    fleet.gateway->Stop();
    Sleep(fleet.io, milliseconds(400), yield);
    CHECK(fleet.Call("/once/x", "late", yield).status == 200);
    CHECK(fleet.Becomes("/once/x", 503, yield));
    // The request in progress ends before the fleet is taken down.
    while (!held_ended)
      Sleep(fleet.io, kPoll, yield);
  });
}

// Settings of one more instance, beside that of `fleet`.
instance_settings SecondSettings(const small_fleet& fleet,
                                 const std::string& registry) {
  instance_settings settings = fleet.settings;
  settings.instance = "second";
  settings.listen = testing::FreeAddress();
  settings.peer_listen = testing::FreeAddress();
  settings.peer_advertise = settings.peer_listen;
  settings.seed_peers = {fleet.settings.peer_listen};
  settings.forwarding->readiness_listen = testing::FreeAddress();
  settings.forwarding->metrics_listen = testing::FreeAddress();
  settings.forwarding->registry = registry;
  return settings;
}

TEST_CASE("a silent registry does not hold up what peers know") {
  small_fleet fleet;
  store_fake silent(fleet.io);
  for (store_fake* store : {&fleet.store, &silent}) {
    store->Put("op/config", testing::ConfigDocument(1));
    for (const auto& runner : fleet.plain)
      store->Put("servers/" + runner->id(), runner->Entry("plain"));
  }
  instance_settings settings = SecondSettings(fleet, silent.address());
  relay_gateway second(fleet.io, &settings, platform::MakeAdapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(second.Start());
    std::swap(fleet.settings.listen, settings.listen);
    REQUIRE(fleet.Becomes("/once/x", 200, yield));
    silent.SetSilent(true);
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    CHECK(fleet.Becomes("/new/x", 200, yield));
    // No question to the registry had to be given up first; the store sees
    // that within some polls.
    Sleep(fleet.io, kPoll * 5, yield);
    CHECK(silent.abandoned_reads() == 0);
    silent.SetSilent(false);
    Sleep(fleet.io, kPoll * 5, yield);
  });
}

TEST_CASE("an instance that the registry turns away hears from its peers") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.List();
  // Nobody listens there.
  instance_settings cut = SecondSettings(fleet, testing::FreeAddress());
  relay_gateway second(fleet.io, &cut, platform::MakeAdapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(second.Start());
    std::swap(fleet.settings.listen, cut.listen);
    REQUIRE(fleet.Becomes("/once/x", 200, yield));
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    CHECK(fleet.Becomes("/new/x", 200, yield));
    // Changes of upstreams come with the datagrams.
    const time_point changed_at = clock::now();
    fleet.store.Put("servers/p0", fleet.plain[0]->Entry("plain", true));
    int before = -1;
    while (before != fleet.plain[0]->arrivals() &&
           clock::now() < changed_at + kCallTimeout) {
      before = fleet.plain[0]->arrivals();
      for (int i = 0; i < 20; ++i)
        CHECK(fleet.Call("/once/x", "a", yield).status == 200);
      Sleep(fleet.io, kPoll, yield);
    }
    CHECK(before == fleet.plain[0]->arrivals());
    fleet.store.Remove("servers/p0");
    Sleep(fleet.io, kSettle, yield);
    CHECK(fleet.Call("/once/x", "a", yield).status == 200);
  });
}

TEST_CASE("a store that is away takes nothing from the fleet") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.List();
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.Becomes("/once/x", 200, yield));
    fleet.store.SetDown(true);
    Sleep(fleet.io, milliseconds(500), yield);
    for (int i = 0; i < 5; ++i)
      CHECK(fleet.Call("/once/x", "a", yield).status == 200);
  });
}

}  // namespace
}  // namespace cactusward
