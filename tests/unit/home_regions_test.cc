// Tests of home regions: where requests of routes and organisations with homes
// may be handled.
#include <nlohmann/json.hpp>

#include "cactusward/home_regions.h"
#include "tests/support/relay.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using nlohmann::json;
using test::caller_faults;
using testing::ExtraInstanceSettings;
using testing::FreeAddress;
using testing::kPollPeriod;
using testing::runner_fake;
using testing::runner_fault;
using testing::small_fleet;
using names = std::vector<std::string>;

// Guards against an unknown region, or one that only one of the two lists has,
// being taken for a home.
TEST_CASE("homes of the route and the organisation both apply") {
  struct row {
    names of_route;
    names of_organisation;
    bool restricted;
    names allowed;  // of "eu", "us", "asia" and the unknown region ""
  };
  const row rows[] = {
      {{}, {}, false, {"eu", "us", "asia", ""}},
      {{"eu"}, {}, true, {"eu"}},
      {{}, {"eu", "us"}, true, {"eu", "us"}},
      {{"eu", "us"}, {"us", "asia"}, true, {"us"}},
      {{"eu"}, {"us"}, true, {}},
      {{""}, {}, true, {}},
      {{""}, {""}, true, {}},
      {{"", "eu"}, {"eu", ""}, true, {"eu"}},
  };
  for (const row& r : rows) {
    CAPTURE(r.of_route, r.of_organisation);
    const home_regions homes(r.of_route, r.of_organisation);
    CHECK(homes.restricted() == r.restricted);
    names allowed;
    for (const char* region : {"eu", "us", "asia", ""}) {
      if (homes.Allows(region))
        allowed.emplace_back(region);
    }
    CHECK(allowed == r.allowed);
  }
}

// Guards against a zone that is taken to be in this instance's region because
// the settings do not list it.
TEST_CASE("the settings assign zones to regions") {
  struct row {
    std::map<std::string, std::string> listed;
    std::string own_region;
    std::string zone;
    std::string region;
  };
  const row rows[] = {
      {{}, "eu", "own", "eu"},
      {{}, "eu", "other", ""},
      {{}, "", "own", ""},
      {{{"other", "us"}}, "eu", "other", "us"},
      {{{"other", "us"}}, "eu", "own", "eu"},
      {{{"own", "us"}}, "eu", "own", "us"},
  };
  for (const row& r : rows) {
    CAPTURE(r.listed, r.own_region, r.zone);
    CHECK(region_map("own", r.own_region, r.listed).RegionOf(r.zone) ==
          r.region);
  }
}

// More tokens than one engine holds.
constexpr int kLargePrompt = 330'000;

// A configuration whose routes, and whose organisation, have these homes; null:
// none are named.
std::string ConfigWithHomes(const json& of_routes, const json& of_holder) {
  json config = json::parse(testing::ConfigDocument(1));
  // Two engines prefill kLargePrompt within the objective.
  config["services"][0]["backend"]["read_per_s"] = 1'550'000.0;
  config["services"][0]["backend"]["pairs_per_m"] = 0.0001;
  for (json& route : config["routes"]) {
    if (!of_routes.is_null())
      route["homes"] = of_routes;
  }
  if (!of_holder.is_null())
    config["tenants"][0]["homes"] = of_holder;
  return config.dump();
}

// The first engine and plain upstream are in zone "z" of region "eu", the
// others in zone "y" of "us".
void RegisterInTwoRegions(small_fleet& fleet) {
  fleet.settings.region = "eu";
  fleet.settings.zone_regions = {{"y", "us"}};
  for (auto* group : {&fleet.engines, &fleet.plain}) {
    for (std::size_t i = 0; i < group->size(); ++i) {
      const runner_fake& runner = *(*group)[i];
      auto entry = json::parse(
          runner.Entry(group == &fleet.engines ? "engines" : "plain"));
      entry["zone"] = i == 0 ? "z" : "y";
      fleet.store.Put("servers/" + runner.id(), entry.dump());
    }
  }
}

// Guards against requests that leave their home regions, and against a mistake
// in the configuration that lets them.
TEST_CASE("requests reach only upstreams in their home regions", "[homes]") {
  struct row {
    const char* name;
    json of_routes;
    json of_holder;
    bool in_eu;
    bool in_us;
  };
  const row rows[] = {
      {"no homes", nullptr, nullptr, true, true},
      {"empty lists", json::array(), json::array(), true, true},
      {"of the route", {"eu"}, nullptr, true, false},
      {"of the organisation", nullptr, {"us"}, false, true},
      {"both, the same", {"us"}, {"us"}, false, true},
      {"both, one in common", {"eu", "us"}, {"us", "asia"}, false, true},
      {"both, none in common", {"eu"}, {"us"}, false, false},
      {"a region without upstreams", {"asia"}, nullptr, false, false},
      {"an empty name", {""}, nullptr, false, false},
      {"not a list", "eu", nullptr, false, false},
      {"not a name", nullptr, {1}, false, false},
  };
  constexpr int kCalls = 12;
  constexpr milliseconds kAtOnce{500};
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.store.Put("op/config", ConfigWithHomes(r.of_routes, r.of_holder));
    RegisterInTwoRegions(fleet);
    const bool served = r.in_eu || r.in_us;
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", served ? 200 : 503, yield));
      for (int i = 0; i < kCalls; ++i) {
        for (const char* path : {"/often/x", "/once/x", "/stream/x"}) {
          const time_point sent_at = clock::now();
          const auto response = fleet.Call(path, "a", yield);
          CHECK(response.status == (served ? 200 : 503));
          if (!served) {
            CHECK(response.body.find("no_upstream") != std::string::npos);
            CHECK(clock::now() - sent_at < kAtOnce);
          }
        }
      }
      CHECK((fleet.plain[0]->arrivals() > 0) == r.in_eu);
      CHECK((fleet.engines[0]->arrivals() > 0) == r.in_eu);
      CHECK((fleet.plain[1]->arrivals() > 0) == r.in_us);
      CHECK((fleet.engines[1]->arrivals() > 0) == r.in_us);
    });
  }
}

// Guards against a prompt that is split over engines of several regions.
TEST_CASE("prompts are not split over regions", "[homes]") {
  struct row {
    json homes;
    bool reserves_in_us;
  };
  const row rows[] = {{nullptr, true}, {{"eu"}, false}, {{"eu", "us"}, true}};
  for (const row& r : rows) {
    CAPTURE(r.homes.dump());
    small_fleet fleet;
    fleet.store.Put("op/config", ConfigWithHomes(r.homes, nullptr));
    RegisterInTwoRegions(fleet);
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      const auto response = fleet.Call("/stream/x", "b", yield, "key",
                                       testing::kCallTimeout, kLargePrompt);
      CHECK((response.status == 200) == r.reserves_in_us);
      CHECK((fleet.engines[1]->reserve_requests() > 0) == r.reserves_in_us);
      if (!r.reserves_in_us)
        CHECK(fleet.engines[1]->arrivals() == 0);
    });
  }
}

// Guards against a retry or a resumed stream in another region.
TEST_CASE("failures do not send requests out of their home regions",
          "[homes]") {
  struct row {
    const char* name;
    const char* path;
    runner_fault fault;
  };
  const row rows[] = {
      {"a refused call", "/often/x", runner_fault::kRefuses},
      {"a failed call", "/often/x", runner_fault::kFails},
      {"a call that breaks", "/often/x", runner_fault::kBreaksAtStart},
      {"a silent upstream", "/often/x", runner_fault::kSilent},
      {"a refused stream", "/stream/x", runner_fault::kRefuses},
      {"a stream to resume", "/stream/x", runner_fault::kBreaksMidway},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.store.Put("op/config", ConfigWithHomes({"eu"}, nullptr));
    RegisterInTwoRegions(fleet);
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      for (const auto* group : {&fleet.engines, &fleet.plain})
        (*group)[0]->SetFault(r.fault);
      const int before =
          fleet.engines[0]->arrivals() + fleet.plain[0]->arrivals();
      fleet.Call(r.path, "b", yield);
      CHECK(fleet.engines[0]->arrivals() + fleet.plain[0]->arrivals() > before);
      CHECK(fleet.engines[1]->arrivals() == 0);
      CHECK(fleet.plain[1]->arrivals() == 0);
    });
  }
}

// Guards against the body of a request that is sent through a peer outside its
// home regions.
TEST_CASE("requests with homes go only through peers there", "[homes][peers]") {
  struct row {
    const char* name;
    json homes;
    std::string peer_zone;
    bool tunnelled;
  };
  const row rows[] = {
      {"no homes", nullptr, "y", true},
      {"a peer in the home region", {"eu"}, "z", true},
      {"a peer in another region", {"eu"}, "y", false},
      {"a peer in another home region", {"eu", "us"}, "y", true},
      {"a peer whose region is not known", {"eu"}, "x", false},
  };
  constexpr milliseconds kJoinTime{1'500};
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    fleet.store.Put("op/config", ConfigWithHomes(r.homes, nullptr));
    fleet.settings.region = "eu";
    fleet.settings.zone_regions = {{"y", "us"}};
    fleet.settings.forwarding->source_address = "127.0.0.2";
    // The instances are told apart by the addresses that they connect from.
    const runner_fake& upstream = *fleet.plain[0];
    const std::string address = FreeAddress();
    test::fault_proxy proxy(fleet.io, address, upstream.address());
    REQUIRE(proxy.Start());
    json entry = json::parse(upstream.Entry("plain"));
    entry["address"] = address;
    fleet.store.Put("servers/" + upstream.id(), entry.dump());
    instance_settings peer_settings =
        ExtraInstanceSettings(fleet, fleet.store.address());
    peer_settings.availability_zone = r.peer_zone;
    peer_settings.forwarding->source_address = "127.0.0.3";
    peer_settings.tunnel_listen = FreeAddress();
    relay_gateway peer(fleet.io, &peer_settings, fleet.make_adapter);
    REQUIRE(peer.Start());
    fleet.Run([&](asio::yield_context yield) {
      Sleep(fleet.io, kJoinTime, yield);
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      REQUIRE(proxy.SetCallerFaults(asio::ip::make_address_v4("127.0.0.2"),
                                    caller_faults{true, true}));
      const int before = upstream.arrivals();
      const auto response = fleet.Call("/once/x", "b", yield);
      CHECK((response.status == 200) == r.tunnelled);
      CHECK((upstream.arrivals() > before) == r.tunnelled);
    });
  }
}

}  // namespace
}  // namespace cactusward
