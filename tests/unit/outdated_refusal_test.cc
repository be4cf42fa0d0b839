// Tests of what an instance answers while a newer configuration than its own
// may be in force elsewhere.
#include <thread>

#include "tests/support/gossip_peer.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::gossip_peer;
using testing::kPollPeriod;
using testing::kSettleTime;
using testing::small_fleet;

// A change takes effect everywhere within this time: the shortest
// `config_apply_ms` of the deployments.
constexpr milliseconds kApplyBound{2'000};
// Above the bound of bodies for paths without a route.
constexpr std::size_t kLargeBody = 80'000;

struct refused_call {
  const char* name;
  const char* path;
  const char* key;
  std::size_t body_bytes;
  int final_status;
};

constexpr refused_call kRefusedCalls[] = {
    {"a route that is not known", "/new/x", "key", 0, 404},
    {"a key that is not known", "/often/x", "other", 0, 401},
    {"a large body for a route that is not known", "/new/x", "key", kLargeBody,
     413},
};

http_response Send(small_fleet& fleet,
                   const refused_call& call,
                   asio::yield_context yield) {
  outgoing_request request = small_fleet::MakeCall(call.path, "a", call.key, 0);
  request.body = std::string(call.body_bytes, 'x');
  return fleet.Send(fleet.settings.listen, request, testing::kCallTimeout,
                    yield);
}

// What the instance may know of a newer configuration.
struct knowledge {
  const char* name;
  // Brings the instance into this state.
  std::function<void(small_fleet&, gossip_peer&, asio::yield_context)> enter;
  bool may_be_outdated;
};

std::vector<knowledge> States() {
  return {
      {"the registry confirms the configuration",
       [](small_fleet& fleet, gossip_peer&, asio::yield_context yield) {
         Sleep(fleet.io, kApplyBound, yield);
       },
       false},
      {"a peer has a newer one, which cannot be read",
       [](small_fleet& fleet, gossip_peer& peer, asio::yield_context yield) {
         fleet.store.SetWatchEventsSuppressed(true);
         fleet.store.SetValueReadsUnresponsive(true);
         fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
         peer.Ping(fleet.settings.peer_advertise, 0, 2);
         Sleep(fleet.io, kPollPeriod, yield);
       },
       true},
      {"the registry has been silent for longer than a change may take",
       [](small_fleet& fleet, gossip_peer&, asio::yield_context yield) {
         fleet.store.SetUnresponsive(true);
         Sleep(fleet.io, kApplyBound, yield);
       },
       true},
      {"a peer's confirmation has waited while the process stood still",
       [](small_fleet& fleet, gossip_peer& peer, asio::yield_context yield) {
         fleet.store.SetWatchEventsSuppressed(true);
         fleet.store.SetUnresponsive(true);
         peer.Ping(fleet.settings.peer_advertise, fleet.store.revision(), 1);
         std::this_thread::sleep_for(kApplyBound);
         Sleep(fleet.io, kPollPeriod, yield);
       },
       true},
  };
}

// Guards against final refusals (401, 404, 413) of what a newer configuration
// allows, by an instance that has heard of it or could not hear of it: callers
// do not send such requests again.
TEST_CASE("a configuration that may be outdated refuses nothing for good",
          "[responses]") {
  for (const knowledge& state : States()) {
    for (const refused_call& call : kRefusedCalls) {
      CAPTURE(state.name);
      CAPTURE(call.name);
      small_fleet fleet;
      fleet.store.Put("op/config", testing::ConfigDocument(1));
      fleet.RegisterRunners();
      gossip_peer peer(fleet, [](const gossip_message&) {});
      fleet.Run([&](asio::yield_context yield) {
        REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
        REQUIRE(peer.Listen());
        state.enter(fleet, peer, yield);
        const http_response response = Send(fleet, call, yield);
        CHECK(response.status ==
              (state.may_be_outdated ? 503 : call.final_status));
        CHECK(response.retry_after.empty() == !state.may_be_outdated);
        // What the configuration allows is served.
        CHECK(fleet.Call("/often/x", "b", yield).status == 200);
        // Abandoned reads end before the fixture does.
        fleet.store.SetUnresponsive(false);
        fleet.store.SetValueReadsUnresponsive(false);
        Sleep(fleet.io, kSettleTime, yield);
      });
    }
  }
}

// Guards against requests that run as a configuration allows that everybody
// else has replaced: with a key that was removed, at a service that the route
// has left.
TEST_CASE("a configuration known to be outdated serves nothing for long",
          "[responses]") {
  constexpr milliseconds kPingPeriod{100};
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  gossip_peer peer(fleet, [](const gossip_message&) {});
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
    REQUIRE(peer.Listen());
    fleet.store.SetWatchEventsSuppressed(true);
    fleet.store.SetValueReadsUnresponsive(true);
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    const time_point until = clock::now() + kApplyBound;
    while (clock::now() < until) {
      peer.Ping(fleet.settings.peer_advertise, 0, 2);
      Sleep(fleet.io, kPingPeriod, yield);
    }
    for (const char* path : {"/often/x", "/once/x", "/stream/x", "/new/x"}) {
      CAPTURE(path);
      const http_response refused = fleet.Call(path, path, yield);
      CHECK(refused.status == 503);
      CHECK_FALSE(refused.retry_after.empty());
    }
    const int runs = fleet.RunCount();
    // Serves again once it has the newer one.
    fleet.store.SetWatchEventsSuppressed(false);
    fleet.store.SetValueReadsUnresponsive(false);
    CHECK(fleet.WaitForStatus("/new/x", 200, yield));
    CHECK(fleet.Call("/often/x", "b", yield).status == 200);
    CHECK(fleet.RunCount() == runs + 2);
    Sleep(fleet.io, kSettleTime, yield);
  });
}

}  // namespace
}  // namespace cactusward
