// Tests of an instance's configuration and list of upstreams, with registry
// faults, and of its graceful shutdown. All parts run in one process.
#include "tests/support/slow_catalog.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::extra_instances;
using testing::ExtraInstanceSettings;
using testing::kCallTimeout;
using testing::kPollPeriod;
using testing::kSettleTime;
using testing::runner_fault;
using testing::slow_catalog;
using testing::small_fleet;
using testing::store_fake;

TEST_CASE("callers are refused by what the configuration allows") {
  small_fleet fleet;
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    // Without a configuration, the instance is unavailable: it can report
    // neither an unknown path nor a missing permission.
    CHECK(fleet.Call("/once/x", "a", yield).status == 503);
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    CHECK(fleet.WaitForStatus("/once/x", 200, yield));
    CHECK(fleet.Call("/none/x", "b", yield).status == 404);
    CHECK(fleet.Call("/once/x", "c", yield, "unknown").status == 401);
    fleet.store.Put("op/config", testing::ConfigDocument(5, "new"));
    CHECK(fleet.WaitForStatus("/new/x", 200, yield));
    // An older version must not replace a newer one.
    fleet.store.Put("op/config", testing::ConfigDocument(4));
    Sleep(fleet.io, kSettleTime, yield);
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
      {"no fault", [](store_fake&) {}, [](store_fake&) {}},
      {"watches deliver no events",
       [](store_fake& s) { s.SetWatchEventsSuppressed(true); },
       [](store_fake&) {}},
      {"history is compacted", [](store_fake&) {},
       [](store_fake& s) { s.Compact(); }},
      {"temporary outage", [](store_fake& s) { s.SetDown(true); },
       [](store_fake& s) { s.SetDown(false); }},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      r.before(fleet.store);
      fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
      fleet.store.Put("servers/p0", fleet.plain[0]->Entry("plain", true));
      Sleep(fleet.io, milliseconds(50), yield);
      r.after(fleet.store);
      CHECK(fleet.WaitForStatus("/new/x", 200, yield));
      // The upstream that is leaving receives no further requests.
      Sleep(fleet.io, milliseconds(100), yield);
      const int before = fleet.plain[0]->arrivals();
      for (int i = 0; i < 10; ++i)
        CHECK(fleet.Call("/once/x", "a", yield).status == 200);
      CHECK(fleet.plain[0]->arrivals() == before);
    });
  }
}

// A load balancer that has few instances left continues to send requests to an
// instance that is shutting down.
TEST_CASE("an instance that stops serves new connections, then refuses") {
  small_fleet fleet;
  fleet.settings.drain_grace = milliseconds(200);
  fleet.settings.drain_limit = milliseconds(3'000);
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    for (const auto& runner : fleet.engines)
      runner->SetFault(runner_fault::kSilent);
    // A request in progress delays the end of the shutdown.
    bool held_ended = false;
    Spawn(fleet.io, "held", [&](asio::yield_context inner) {
      fleet.Call("/fixed/x", "held", inner, "key", milliseconds(3'500));
      held_ended = true;
    });
    Sleep(fleet.io, milliseconds(50), yield);
    fleet.gateway->Stop();
    Sleep(fleet.io, milliseconds(400), yield);
    CHECK(fleet.Call("/once/x", "late", yield).status == 200);
    CHECK(fleet.WaitForStatus("/once/x", 503, yield));
    // Wait for the request in progress before the fixture is destroyed.
    while (!held_ended)
      Sleep(fleet.io, kPollPeriod, yield);
  });
}

TEST_CASE("a graceful shutdown loses no request that arrives at its end") {
  small_fleet fleet;
  fleet.settings.drain_grace = milliseconds(100);
  fleet.settings.drain_limit = milliseconds(5'000);
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  // Longer than a process waits at exit for its last bytes to be sent.
  for (const auto& runner : fleet.plain)
    runner->SetRunTime(milliseconds(150));
  int answered = 0;
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    answered = fleet.RunCount();
    fleet.gateway->Stop();
    // The loop ends when the shutdown stops the I/O context.
    while (true) {
      answered += fleet.Call("/once/x", "a", yield).status == 200 ? 1 : 0;
      Sleep(fleet.io, kPollPeriod * 4, yield);
    }
  });
  CHECK(fleet.RunCount() == answered);
}

TEST_CASE("an unresponsive registry does not delay updates from peers") {
  small_fleet fleet;
  store_fake silent(fleet.io);
  for (store_fake* store : {&fleet.store, &silent}) {
    store->Put("op/config", testing::ConfigDocument(1));
    for (const auto& runner : fleet.plain)
      store->Put("servers/" + runner->id(), runner->Entry("plain"));
  }
  instance_settings settings = ExtraInstanceSettings(fleet, silent.address());
  relay_gateway second(fleet.io, &settings, platform::MakeAdapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(second.Start());
    std::swap(fleet.settings.listen, settings.listen);
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    silent.SetUnresponsive(true);
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    CHECK(fleet.WaitForStatus("/new/x", 200, yield));
    // The update did not wait for a registry request to time out. The fake
    // notices an abandoned request within a few polls.
    Sleep(fleet.io, kPollPeriod * 5, yield);
    CHECK(silent.abandoned_reads() == 0);
    silent.SetUnresponsive(false);
    Sleep(fleet.io, kPollPeriod * 5, yield);
  });
}

TEST_CASE("a configuration that is being decoded is not asked for again") {
  constexpr int kExtraInstances = 5;  // so that some do not watch the registry
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  int decode_count = 0;
  const auto make_adapter = [&decode_count](const forwarding_settings& settings,
                                            http_client* client) {
    relay_adapter adapter = platform::MakeAdapter(settings, client);
    // Longer than the delay after which another peer is asked as well.
    adapter.catalog = std::make_unique<slow_catalog>(
        std::move(adapter.catalog), milliseconds(900), &decode_count);
    return adapter;
  };
  const extra_instances extra(fleet, kExtraInstances, make_adapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(extra.Start());
    // Instances contact missing peers once a second.
    Sleep(fleet.io, milliseconds(3'500), yield);
    decode_count = 0;
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    for (const auto& each : extra.settings) {
      std::swap(fleet.settings.listen, each->listen);
      CHECK(fleet.WaitForStatus("/new/x", 200, yield));
      std::swap(fleet.settings.listen, each->listen);
    }
    CHECK(decode_count == kExtraInstances);
  });
}

// Guards against all instances of a large fleet pulling a configuration that is
// published right after an outage from one peer: its size saturates the link of
// that peer for a long time.
TEST_CASE("a configuration after an outage comes from the registry") {
  constexpr int kExtraInstances = 5;  // so that some do not watch the registry
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  const extra_instances extra(fleet, kExtraInstances, platform::MakeAdapter);
  const auto served_no_snapshot = [&](const std::string& metrics,
                                      asio::yield_context yield) {
    outgoing_request request;
    request.target = "/metrics";
    const auto response =
        fleet.client.Call(metrics, request, clock::now() + kSettleTime, yield);
    return response && response->body.find("catalog_snapshots_served 0\n") !=
                           std::string::npos;
  };
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(extra.Start());
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    // Instances contact missing peers once a second.
    Sleep(fleet.io, milliseconds(2'500), yield);
    fleet.store.SetDown(true);
    // By then, a registry request of each instance has failed.
    Sleep(fleet.io, milliseconds(2'500), yield);
    fleet.store.SetDown(false);
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    CHECK(fleet.WaitForStatus("/new/x", 200, yield));
    for (const auto& each : extra.settings) {
      std::swap(fleet.settings.listen, each->listen);
      CHECK(fleet.WaitForStatus("/new/x", 200, yield));
      std::swap(fleet.settings.listen, each->listen);
    }
    for (const auto& each : extra.settings)
      CHECK(served_no_snapshot(each->forwarding->metrics_listen, yield));
    CHECK(served_no_snapshot(fleet.settings.forwarding->metrics_listen, yield));
  });
}

TEST_CASE(
    "an instance that cannot reach the registry gets updates from its peers") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  // No process listens on this address.
  instance_settings unreachable_settings =
      ExtraInstanceSettings(fleet, testing::FreeAddress());
  relay_gateway second(fleet.io, &unreachable_settings, platform::MakeAdapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(second.Start());
    std::swap(fleet.settings.listen, unreachable_settings.listen);
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    CHECK(fleet.WaitForStatus("/new/x", 200, yield));
    // Upstream changes arrive in gossip datagrams.
    const time_point changed_at = clock::now();
    fleet.store.Put("servers/p0", fleet.plain[0]->Entry("plain", true));
    int before = -1;
    while (before != fleet.plain[0]->arrivals() &&
           clock::now() < changed_at + kCallTimeout) {
      before = fleet.plain[0]->arrivals();
      for (int i = 0; i < 20; ++i)
        CHECK(fleet.Call("/once/x", "a", yield).status == 200);
      Sleep(fleet.io, kPollPeriod, yield);
    }
    CHECK(before == fleet.plain[0]->arrivals());
    fleet.store.Remove("servers/p0");
    Sleep(fleet.io, kSettleTime, yield);
    CHECK(fleet.Call("/once/x", "a", yield).status == 200);
  });
}

TEST_CASE("a broken answer of the store takes nothing from the fleet") {
  const char* const rows[] = {
      "{}",
      R"({"at": 1000})",
      R"({"at": 1000, "entries": {}, "events": {}})",
      // Valid as the response for a single key, so that only the missing list
      // of entries or events can be detected.
      R"({"at": 1000, "key": "op/config", "value": "", "has_more": false})",
      R"({"at": 1000, "key": "op/config", "value": "", "entries": {},
          "events": {}, "has_more": false})",
      R"({"entries": [], "events": [], "has_more": false})",
      R"({"at": 1000, "entries": [1], "events": [1], "has_more": false})",
      R"({"at": 1000, "entries": [], "events": [], "has_more": true})",
  };
  for (const char* body : rows) {
    CAPTURE(body);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      // Compaction forces a complete read of the registry.
      fleet.store.Put("other", "value");
      fleet.store.Compact();
      fleet.store.SetFixedResponseBody(body);
      Sleep(fleet.io, kSettleTime, yield);
      CHECK(fleet.Call("/once/x", "a", yield).status == 200);
      CHECK(fleet.Call("/stream/x", "b", yield).status == 200);
      fleet.store.SetFixedResponseBody({});
      fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
      CHECK(fleet.WaitForStatus("/new/x", 200, yield));
    });
  }
}

TEST_CASE("requests are served during a registry outage") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    fleet.store.SetDown(true);
    Sleep(fleet.io, milliseconds(500), yield);
    for (int i = 0; i < 5; ++i)
      CHECK(fleet.Call("/once/x", "a", yield).status == 200);
  });
}

}  // namespace
}  // namespace cactusward
