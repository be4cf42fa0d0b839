// Tests of how old an instance's view of the upstreams may become while the
// registry and the instance are busy with other changes.
#include "tests/support/gossip_peer.h"
#include "tests/support/slow_catalog.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::extra_instances;
using testing::gossip_peer;
using testing::kPollPeriod;
using testing::small_fleet;

// Time after which an upstream that is leaving receives no new requests: the
// shortest `drain_ms` of the deployments.
constexpr milliseconds kDrainBound{2'000};
constexpr int kExtraInstances = 5;  // so that some do not watch the registry
// Instances contact missing peers once a second.
constexpr milliseconds kJoinTime{2'500};

// A registry that rejects all reads but those of the configuration.
class config_only_catalog : public testing::slow_catalog {
 public:
  using slow_catalog::slow_catalog;

  void RejectReads() { rejects_reads_ = true; }
  result<catalog_batch> ReadUpstreams(asio::yield_context yield) override {
    if (rejects_reads_)
      return {error_kind::kStoreUnavailable, "rejected"};
    return slow_catalog::ReadUpstreams(yield);
  }
  result<registry_position> ReadPosition(asio::yield_context yield) override {
    if (rejects_reads_)
      return {error_kind::kStoreUnavailable, "rejected"};
    return slow_catalog::ReadPosition(yield);
  }

 private:
  bool rejects_reads_ = false;
};

// Guards against requests to upstreams that left seconds ago: each attempt to
// catch up fetched only the newest of many configurations.
TEST_CASE("leaving upstreams get no requests while configurations change") {
  struct row {
    const char* name;
    milliseconds decode_time;
    bool rejects_reads;
  };
  const row rows[] = {
      {"configurations take long to decode", milliseconds(300), false},
      {"the registry serves only watches and configurations", milliseconds(0),
       true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    // More changes than fit into one datagram.
    constexpr int kLeaving = 12;
    constexpr milliseconds kConfigPeriod{370};
    constexpr milliseconds kStormTime{3'500};
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    const auto put_leaving = [&fleet](bool leaving) {
      for (int i = 0; i < kLeaving; ++i)
        fleet.store.Put("servers/x" + std::to_string(i),
                        fleet.plain[0]->Entry("plain", leaving));
      fleet.store.Put("servers/p0", fleet.plain[0]->Entry("plain", leaving));
    };
    put_leaving(false);
    int decode_count = 0;
    std::vector<config_only_catalog*> catalogs;
    const extra_instances extra(
        fleet, kExtraInstances,
        [&](const forwarding_settings& settings, http_client* client) {
          relay_adapter adapter = platform::MakeAdapter(settings, client);
          auto catalog = std::make_unique<config_only_catalog>(
              std::move(adapter.catalog), r.decode_time, &decode_count);
          catalogs.push_back(catalog.get());
          adapter.catalog = std::move(catalog);
          return adapter;
        });
    time_point last_arrival;
    fleet.plain[0]->OnRun(
        [&](const http_request&) { last_arrival = clock::now(); });
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(extra.Start());
      Sleep(fleet.io, kJoinTime, yield);
      for (config_only_catalog* catalog : catalogs) {
        if (r.rejects_reads)
          catalog->RejectReads();
      }
      bool storm_ended = false;
      Spawn(fleet.io, "storm", [&](asio::yield_context inner) {
        const time_point end = clock::now() + kStormTime;
        for (int version = 2; clock::now() < end; ++version) {
          fleet.store.Put("op/config", testing::ConfigDocument(version));
          Sleep(fleet.io, kConfigPeriod, inner);
        }
        storm_ended = true;
      });
      // The storm has begun at all instances.
      Sleep(fleet.io, kConfigPeriod, yield);
      put_leaving(true);
      const time_point left_at = clock::now();
      while (!storm_ended) {
        for (const auto& settings : extra.settings) {
          std::swap(fleet.settings.listen, settings->listen);
          CHECK(fleet.Call("/often/x", "a", yield).status == 200);
          std::swap(fleet.settings.listen, settings->listen);
        }
        Sleep(fleet.io, kPollPeriod, yield);
      }
      CHECK(ToMilliseconds(last_arrival - left_at) <=
            static_cast<double>(kDrainBound.count()));
    });
  }
}

// Guards against requests to an upstream that left while a configuration that
// was published with its announcement is read or decoded.
TEST_CASE("upstream changes do not wait for a configuration") {
  struct row {
    const char* name;
    bool compacted;      // the registry is read completely
    bool config_silent;  // the configuration cannot be read
  };
  const row rows[] = {
      {"a watch delivers both", false, false},
      {"a complete read returns both", true, false},
      {"the configuration cannot be read", true, true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    constexpr milliseconds kDecodeTime{3'500};
    constexpr milliseconds kObservedTime{3'000};
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    int decode_count = 0;
    config_only_catalog* catalog = nullptr;
    fleet.make_adapter = [&](const forwarding_settings& settings,
                             http_client* client) {
      relay_adapter adapter = platform::MakeAdapter(settings, client);
      auto slow = std::make_unique<config_only_catalog>(
          std::move(adapter.catalog), milliseconds(0), &decode_count);
      catalog = slow.get();
      adapter.catalog = std::move(slow);
      return adapter;
    };
    time_point last_arrival;
    fleet.plain[0]->OnRun(
        [&](const http_request&) { last_arrival = clock::now(); });
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      catalog->SetDecodeTime(kDecodeTime);
      fleet.store.SetValueReadsUnresponsive(r.config_silent);
      fleet.store.Put("op/config", testing::ConfigDocument(2));
      fleet.store.Put("servers/p0", fleet.plain[0]->Entry("plain", true));
      if (r.compacted)
        fleet.store.Compact();
      const time_point left_at = clock::now();
      while (clock::now() < left_at + kObservedTime) {
        CHECK(fleet.Call("/often/x", "a", yield).status == 200);
        Sleep(fleet.io, kPollPeriod, yield);
      }
      CHECK(ToMilliseconds(last_arrival - left_at) <=
            static_cast<double>(kDrainBound.count()));
      // Abandoned reads end before the fixture does.
      fleet.store.SetValueReadsUnresponsive(false);
      Sleep(fleet.io, kPollPeriod * 5, yield);
    });
  }
}

// Guards against instances that reassure each other about an outdated list of
// upstreams, so that none of them asks the registry.
TEST_CASE("instances report only what they have confirmed and applied") {
  constexpr milliseconds kObservedTime{2'500};
  struct row {
    const char* name;
    bool new_config;           // the change is a slow configuration
    milliseconds watch_delay;  // of the registry
    bool peer_confirms;        // a peer confirms the revision before it
  };
  const row rows[] = {
      {"a configuration is being decoded", true, milliseconds(600), false},
      {"a peer confirmed it", false, kObservedTime, true},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    constexpr milliseconds kDecodeTime{2'000};
    constexpr milliseconds kPingPeriod{50};
    // Covers the time that a datagram spends on its way.
    constexpr milliseconds kTransitTolerance{300};
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    int decode_count = 0;
    config_only_catalog* catalog = nullptr;
    fleet.make_adapter = [&](const forwarding_settings& settings,
                             http_client* client) {
      relay_adapter adapter = platform::MakeAdapter(settings, client);
      auto slow = std::make_unique<config_only_catalog>(
          std::move(adapter.catalog), kDecodeTime, &decode_count);
      catalog = slow.get();
      adapter.catalog = std::move(slow);
      return adapter;
    };
    const std::string observed = fleet.settings.peer_advertise;
    std::int64_t revision_before = 0;
    std::optional<time_point> changed_at;
    int reports = 0;
    int false_reports = 0;
    gossip_peer peer(fleet, [&](const gossip_message& message) {
      if (message.sender.peer_address != observed ||
          message.confirmed_age_ms < 0 || !changed_at ||
          message.catalog_position.revision > revision_before)
        return;
      ++reports;
      const time_point confirmed_at =
          clock::now() - milliseconds(message.confirmed_age_ms);
      if (confirmed_at > *changed_at + kTransitTolerance)
        ++false_reports;
    });
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(peer.Listen());
      Sleep(fleet.io, kDecodeTime + testing::kSettleTime, yield);
      revision_before = fleet.store.revision();
      fleet.store.SetWatchDelay(r.watch_delay);
      // Only the watch can deliver the change.
      catalog->RejectReads();
      if (r.new_config)
        fleet.store.Put("op/config", testing::ConfigDocument(2));
      else
        fleet.store.Put("servers/p0", fleet.plain[0]->Entry("plain", true));
      changed_at = clock::now();
      while (clock::now() < *changed_at + kObservedTime) {
        peer.Ping(observed, r.peer_confirms ? revision_before : 0);
        Sleep(fleet.io, kPingPeriod, yield);
      }
    });
    CHECK(reports > 0);
    CHECK(false_reports == 0);
  }
}

// Guards against a configuration that is lost when the instance that watches
// the registry ends between its report of a later change and the decoding.
TEST_CASE("a configuration is found when a peer reported only later changes") {
  // Longer than the test waits.
  constexpr milliseconds kWatchDelay{8'000};
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  gossip_peer peer(fleet, [](const gossip_message&) {});
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
    REQUIRE(peer.Listen());
    fleet.store.SetWatchDelay(kWatchDelay);
    const std::int64_t before = fleet.store.revision();
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    const std::string entry = fleet.plain[0]->Entry("plain", true);
    fleet.store.Put("servers/p0", entry);
    peer.SendChange(fleet.settings.peer_advertise, before,
                    {"p0", fleet.store.revision(), entry});
    CHECK(fleet.WaitForStatus("/new/x", 200, yield));
  });
}

// Guards against changes of another history of the registry that are taken for
// the next ones, since their revisions follow.
TEST_CASE("changes that peers report apply only within one era") {
  struct row {
    const char* name;
    std::int64_t era;
    bool applied;
  };
  const row rows[] = {
      {"the lost history", 1, false},
      {"the registry's era", 2, true},
      {"a later era", 3, false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    constexpr int kCalls = 20;
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.store.Backup();
    fleet.store.Restore();
    REQUIRE(fleet.store.era() == 2);
    gossip_peer peer(fleet, [](const gossip_message&) {});
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      REQUIRE(peer.Listen());
      const std::int64_t known = fleet.store.revision();
      peer.SendChange(fleet.settings.peer_advertise, known,
                      {"p0", known + 1, fleet.plain[0]->Entry("plain", true)},
                      r.era);
      Sleep(fleet.io, testing::kSettleTime, yield);
      const int before = fleet.plain[0]->arrivals();
      for (int i = 0; i < kCalls; ++i)
        CHECK(fleet.Call("/often/x", "a", yield).status == 200);
      CHECK((fleet.plain[0]->arrivals() == before) == r.applied);
    });
  }
}

// Guards against a registry that confirms a configuration which it has lost.
TEST_CASE("a restored registry confirms only the configuration that it has") {
  constexpr milliseconds kObservedTime{1'200};
  constexpr milliseconds kPingPeriod{50};
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  const std::string observed = fleet.settings.peer_advertise;
  int messages = 0;
  int confirmations = 0;
  gossip_peer peer(fleet, [&](const gossip_message& message) {
    if (message.sender.peer_address != observed)
      return;
    ++messages;
    if (message.confirmed_age_ms >= 0)
      ++confirmations;
  });
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(peer.Listen());
    const auto observe = [&] {
      messages = 0;
      confirmations = 0;
      const time_point until = clock::now() + kObservedTime;
      while (clock::now() < until) {
        peer.Ping(observed, 0);
        Sleep(fleet.io, kPingPeriod, yield);
      }
      CHECK(messages > 0);
    };
    const std::string lost = testing::ConfigDocument(2, "lost");
    fleet.store.Backup();
    fleet.store.Put("op/config", lost);
    REQUIRE(fleet.WaitForStatus("/lost/x", 200, yield));
    observe();
    CHECK(confirmations == messages);
    fleet.store.Restore();
    // The registry is read again.
    Sleep(fleet.io, kObservedTime, yield);
    observe();
    CHECK(confirmations == 0);
    CHECK(fleet.Call("/lost/x", "a", yield).status == 200);
    fleet.store.Put("op/config", lost);
    Sleep(fleet.io, testing::kSettleTime, yield);
    observe();
    CHECK(confirmations == messages);
  });
}

}  // namespace
}  // namespace cactusward
