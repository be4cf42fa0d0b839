// Tests of evacuated availability zones: what decides which zones are
// evacuated, and that requests avoid them.
#include <nlohmann/json.hpp>

#include "cactusward/evacuation_set.h"
#include "src/edges/tunnel.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::ExtraInstanceSettings;
using testing::FreeAddress;
using testing::kCallTimeout;
using testing::kPollPeriod;
using testing::runner_fake;
using testing::small_fleet;

constexpr milliseconds kGrace{1'000};

// What an instance learns of zone "y", and whether it is evacuated then.
struct step {
  enum kind {
    kPut,
    kRemove,
    kReadWithout,      // a complete read that does not list it
    kReadWith,         // one that lists it at `listed`
    kReportEvacuated,  // by a peer
    kReportEnded,
    kExpire
  };
  kind what;
  registry_position position;
  bool evacuated;
  milliseconds at{0};
  registry_position listed{};
};

struct row {
  const char* name;
  std::vector<step> steps;
};

const row kRows[] = {
    {"put and removed",
     {{step::kPut, {1, 10}, true},
      {step::kRemove, {1, 11}, false},
      {step::kPut, {1, 12}, true}}},
    {"an older removal",
     {{step::kPut, {1, 10}, true},
      {step::kRemove, {1, 9}, true},
      {step::kReportEnded, {1, 9}, true}}},
    {"the removal arrives first",
     {{step::kRemove, {1, 11}, false},
      {step::kPut, {1, 10}, false},
      {step::kReportEvacuated, {1, 10}, false}}},
    {"an older report after the removal",
     {{step::kPut, {1, 10}, true},
      {step::kReportEnded, {1, 11}, false},
      {step::kReportEvacuated, {1, 10}, false}}},
    {"a complete read without it",
     {{step::kPut, {1, 10}, true},
      {step::kReadWithout, {1, 12}, false},
      {step::kReportEvacuated, {1, 10}, false},
      {step::kReportEvacuated, {1, 13}, true}}},
    {"an older complete read without it",
     {{step::kReportEvacuated, {1, 10}, true},
      {step::kReadWithout, {1, 9}, true},
      {step::kExpire, {}, true, kGrace}}},
    {"a complete read with it",
     {{step::kReadWith, {1, 12}, true, milliseconds(0), {1, 10}},
      {step::kReadWith, {1, 14}, true, milliseconds(0), {1, 10}},
      {step::kRemove, {1, 15}, false}}},
    {"the restored registry lacks it",
     {{step::kPut, {1, 10}, true},
      {step::kReadWithout, {2, 5}, true},
      {step::kReadWithout, {2, 6}, true, kGrace / 2},
      {step::kExpire, {}, true, kGrace - milliseconds(1)},
      {step::kExpire, {}, false, kGrace}}},
    // Guards against an evacuation that peers keep alive among each other.
    {"a peer's report in the grace period",
     {{step::kPut, {1, 10}, true},
      {step::kReadWithout, {2, 5}, true},
      {step::kReportEvacuated, {1, 10}, true, kGrace / 2},
      {step::kExpire, {}, false, kGrace}}},
    {"a peer's report after the grace period",
     {{step::kPut, {1, 10}, true},
      {step::kReadWithout, {2, 5}, true},
      {step::kExpire, {}, false, kGrace},
      {step::kReportEvacuated, {1, 10}, false, kGrace}}},
    {"the grace period of a peer has passed",
     {{step::kPut, {1, 10}, true},
      {step::kReadWithout, {2, 5}, true},
      {step::kReportEnded, {2, 5}, false}}},
    {"it is written again in the grace period",
     {{step::kPut, {1, 10}, true},
      {step::kReadWithout, {2, 5}, true},
      {step::kPut, {2, 6}, true},
      {step::kExpire, {}, true, 2 * kGrace}}},
    {"it is written again after the grace period",
     {{step::kPut, {1, 10}, true},
      {step::kReadWithout, {2, 5}, true},
      {step::kExpire, {}, false, kGrace},
      {step::kPut, {2, 6}, true, kGrace}}},
    {"the copy has an evacuation that had been removed",
     {{step::kPut, {1, 10}, true},
      {step::kRemove, {1, 11}, false},
      {step::kReadWith, {2, 10}, true, milliseconds(0), {2, 10}}}},
};

// Guards against an evacuation that an older report reverts, and against one
// that never ends.
TEST_CASE("the newest change of an evacuation decides") {
  for (const row& r : kRows) {
    CAPTURE(r.name);
    evacuation_set set(kGrace);
    const time_point start = clock::now();
    bool evacuated = false;
    for (const step& s : r.steps) {
      CAPTURE(s.what, s.position.era, s.position.revision);
      const time_point now = start + s.at;
      bool changed = false;
      switch (s.what) {
        case step::kPut:
          changed = set.Put("y", s.position, now);
          break;
        case step::kRemove:
          changed = set.Remove("y", s.position);
          break;
        case step::kReadWithout:
          changed = set.Replace({}, s.position, now);
          break;
        case step::kReadWith:
          changed = set.Replace({{"y", s.listed}}, s.position, now);
          break;
        case step::kReportEvacuated:
        case step::kReportEnded:
          changed = set.Merge(
              {"y", s.position, s.what == step::kReportEvacuated}, now);
          break;
        case step::kExpire:
          changed = set.Expire(now);
          break;
      }
      CHECK(set.Contains("y") == s.evacuated);
      CHECK(changed == (s.evacuated != evacuated));
      CHECK(set.entries().size() == (s.evacuated ? 1 : 0));
      CHECK(set.oldest().has_value() == s.evacuated);
      CHECK_FALSE(set.Contains("z"));
      evacuated = s.evacuated;
    }
    // A peer that merges all reports knows the same.
    evacuation_set peer(kGrace);
    for (const evacuation_report& report : set.Reports())
      peer.Merge(report, start);
    CHECK(peer.entries() == set.entries());
  }
}

// Within it, an evacuation must be in force everywhere.
constexpr milliseconds kEvacuationBound{5'000};
// A refusal that does not wait for an upstream.
constexpr milliseconds kAtOnce{500};
constexpr int kCalls = 20;
constexpr const char* kKey = "op/evacuate/";

// The second engine and the second plain upstream are in zone "y", the others
// in "z".
struct two_zones {
  two_zones() {
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    Register(*fleet.engines[0], "engines", "z");
    Register(*fleet.engines[1], "engines", "y");
    Register(*fleet.plain[0], "plain", "z");
    Register(*fleet.plain[1], "plain", "y");
  }
  void Register(const runner_fake& runner,
                const std::string& service,
                const std::string& zone) {
    auto entry = nlohmann::json::parse(runner.Entry(service));
    entry["zone"] = zone;
    fleet.store.Put("servers/" + runner.id(), entry.dump());
  }
  void Evacuate(const std::string& zone) { fleet.store.Put(kKey + zone, "{}"); }
  void Readmit(const std::string& zone) { fleet.store.Remove(kKey + zone); }
  // Waits until the instance that serves metrics at `address` knows `zones`
  // evacuated zones. @return false if it does not within kEvacuationBound.
  bool WaitForZones(const std::string& address,
                    int zones,
                    asio::yield_context yield) {
    const std::string line =
        "\ncactusward_evacuated_zones " + std::to_string(zones) + "\n";
    outgoing_request request;
    request.target = "/metrics";
    const time_point until = clock::now() + kEvacuationBound;
    while (clock::now() < until) {
      if (fleet.Send(address, request, kCallTimeout, yield).body.find(line) !=
          std::string::npos)
        return true;
      Sleep(fleet.io, kPollPeriod, yield);
    }
    return false;
  }
  bool WaitForZones(int zones, asio::yield_context yield) {
    return WaitForZones(fleet.settings.forwarding->metrics_listen, zones,
                        yield);
  }
  // Requests that have arrived in zone "y".
  int ArrivalsInY() const {
    return fleet.engines[1]->arrivals() + fleet.plain[1]->arrivals();
  }
  // Sends requests to the instance at `address`, all of which are served.
  // @return how many of them have arrived in zone "y".
  int CallAll(const std::string& address, asio::yield_context yield) {
    const int before = ArrivalsInY();
    for (int i = 0; i < kCalls; ++i) {
      for (const char* path : {"/often/x", "/once/x", "/stream/x"}) {
        const auto call = small_fleet::MakeCall(path, "a", "key", 1'000);
        CHECK(fleet.Send(address, call, kCallTimeout, yield).status == 200);
      }
    }
    return ArrivalsInY() - before;
  }

  small_fleet fleet;
};

// Guards against requests to a zone after its evacuation, and against a zone
// that stays unused after its readmission.
TEST_CASE("requests avoid an evacuated zone", "[evacuation]") {
  two_zones zones;
  small_fleet& fleet = zones.fleet;
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
    CHECK(zones.CallAll(fleet.settings.listen, yield) > 0);
    zones.Evacuate("y");
    REQUIRE(zones.WaitForZones(1, yield));
    CHECK(zones.CallAll(fleet.settings.listen, yield) == 0);
    zones.Evacuate("z");
    REQUIRE(zones.WaitForZones(2, yield));
    const int runs = fleet.RunCount();
    for (const char* path : {"/often/x", "/once/x", "/stream/x"}) {
      const time_point sent_at = clock::now();
      const auto refusal = fleet.Call(path, "a", yield);
      CHECK(refusal.status == 503);
      CHECK(refusal.body.find("no_upstream") != std::string::npos);
      CHECK_FALSE(refusal.retry_after.empty());
      CHECK(clock::now() - sent_at < kAtOnce);
    }
    CHECK(fleet.RunCount() == runs);
    zones.Readmit("z");
    zones.Readmit("y");
    REQUIRE(zones.WaitForZones(0, yield));
    CHECK(zones.CallAll(fleet.settings.listen, yield) > 0);
  });
}

// Guards against a queued request that takes the first upstream of a zone which
// was evacuated meanwhile.
TEST_CASE("queued requests avoid an evacuated zone", "[evacuation]") {
  two_zones zones;
  small_fleet& fleet = zones.fleet;
  fleet.store.Remove("servers/p0");
  fleet.store.Remove("servers/p1");
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/stream/x", 200, yield));
    int status = 0;
    Spawn(fleet.io, "call", [&](asio::yield_context inner) {
      status = fleet.Call("/often/x", "queued", inner).status;
    });
    Sleep(fleet.io, milliseconds(100), yield);
    zones.Evacuate("y");
    REQUIRE(zones.WaitForZones(1, yield));
    zones.Register(*fleet.plain[1], "plain", "y");
    const time_point until = clock::now() + kCallTimeout;
    while (status == 0 && clock::now() < until)
      Sleep(fleet.io, kPollPeriod, yield);
    CHECK(status == 503);
    CHECK(fleet.plain[1]->arrivals() == 0);
  });
}

// Guards against memory that is reserved in an evacuated zone for a request
// which was placed before.
TEST_CASE("no memory is reserved in an evacuated zone", "[evacuation]") {
  constexpr int kTokens = 330'000;  // more than one engine holds
  two_zones zones;
  small_fleet& fleet = zones.fleet;
  // Engines that prefill so many tokens within the objective.
  auto config = nlohmann::json::parse(testing::ConfigDocument(1));
  config["services"][0]["backend"]["read_per_s"] = 1'550'000.0;
  config["services"][0]["backend"]["pairs_per_m"] = 0.0001;
  fleet.store.Put("op/config", config.dump());
  for (const auto& engine : fleet.engines)
    engine->SetControlDelay(milliseconds(300));
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
    const int runs = fleet.RunCount();
    int status = 0;
    Spawn(fleet.io, "call", [&](asio::yield_context inner) {
      status = fleet.Call("/stream/x", "a", inner, "key", kCallTimeout, kTokens)
                   .status;
    });
    const auto reserved = [&fleet] {
      return fleet.engines[0]->reserve_requests() +
             fleet.engines[1]->reserve_requests();
    };
    const time_point until = clock::now() + kCallTimeout;
    while (reserved() == 0 && clock::now() < until)
      Sleep(fleet.io, milliseconds(1), yield);
    zones.Evacuate("y");
    zones.Evacuate("z");
    while (status == 0 && clock::now() < until)
      Sleep(fleet.io, kPollPeriod, yield);
    CHECK(status == 503);
    CHECK(reserved() == 1);
    CHECK(fleet.RunCount() == runs);
  });
}

// Guards against an instance that forgets an evacuation when its process is
// replaced, or that does not learn of it while the registry is down.
TEST_CASE("an instance that starts knows the evacuations", "[evacuation]") {
  for (const bool registry_down : {false, true}) {
    CAPTURE(registry_down);
    two_zones zones;
    small_fleet& fleet = zones.fleet;
    zones.Evacuate("y");
    const instance_settings settings =
        ExtraInstanceSettings(fleet, fleet.store.address());
    instance_settings second_settings = settings;
    relay_gateway second(fleet.io, &second_settings, fleet.make_adapter);
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      // This process has been started after the key was written.
      CHECK(zones.CallAll(fleet.settings.listen, yield) == 0);
      fleet.store.SetDown(registry_down);
      REQUIRE(second.Start());
      const auto call = small_fleet::MakeCall("/often/x", "a", "key", 1'000);
      const time_point until = clock::now() + kCallTimeout;
      while (clock::now() < until &&
             fleet.Send(second_settings.listen, call, kCallTimeout, yield)
                     .status != 200)
        Sleep(fleet.io, kPollPeriod, yield);
      CHECK(zones.CallAll(second_settings.listen, yield) == 0);
      CHECK(zones.ArrivalsInY() == 0);
      // The outage does not end it.
      CHECK(zones.CallAll(fleet.settings.listen, yield) == 0);
    });
  }
}

// Guards against a peer that carries requests into an evacuated zone for an
// instance that does not know the evacuation yet.
TEST_CASE("no tunnel is opened to an evacuated zone", "[evacuation]") {
  two_zones zones;
  small_fleet& fleet = zones.fleet;
  fleet.settings.tunnel_listen = FreeAddress();
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
    const auto connect_to = [&](const runner_fake& upstream) {
      return OpenTunnel(fleet.client.direct(), fleet.settings.peer_secret,
                        fleet.settings.tunnel_listen, upstream.address(), "id",
                        clock::now() + kCallTimeout, yield, nullptr)
          .outcome;
    };
    struct row {
      bool evacuated;
      tunnel_outcome outcome;
    };
    for (const row& r :
         {row{false, tunnel_outcome::kOpen}, row{true, tunnel_outcome::kDenied},
          row{false, tunnel_outcome::kOpen}}) {
      CAPTURE(r.evacuated);
      r.evacuated ? zones.Evacuate("y") : zones.Readmit("y");
      REQUIRE(zones.WaitForZones(r.evacuated ? 1 : 0, yield));
      CHECK(connect_to(*fleet.engines[1]) == r.outcome);
      CHECK(connect_to(*fleet.plain[1]) == r.outcome);
      CHECK(connect_to(*fleet.engines[0]) == tunnel_outcome::kOpen);
    }
  });
}

// Guards against an evacuation that ends with a registry whose copy lacks it,
// and against one that the operator cannot end there.
TEST_CASE("a restored registry does not end an evacuation at once",
          "[evacuation]") {
  struct row {
    const char* name;
    bool written_again;
  };
  const row rows[] = {{"it stays lost", false}, {"it is written again", true}};
  for (const row& r : rows) {
    CAPTURE(r.name);
    two_zones zones;
    small_fleet& fleet = zones.fleet;
    fleet.settings.forwarding->reregistration_grace = milliseconds(2'500);
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      fleet.store.Backup();
      zones.Evacuate("y");
      REQUIRE(zones.WaitForZones(1, yield));
      fleet.store.Restore();
      Sleep(fleet.io, milliseconds(1'000), yield);
      CHECK(zones.CallAll(fleet.settings.listen, yield) == 0);
      if (r.written_again)
        zones.Evacuate("y");
      Sleep(fleet.io, milliseconds(3'000), yield);
      CHECK((zones.CallAll(fleet.settings.listen, yield) == 0) ==
            r.written_again);
      zones.Readmit("y");
      CHECK(zones.WaitForZones(0, yield));
    });
  }
}

}  // namespace
}  // namespace cactusward
