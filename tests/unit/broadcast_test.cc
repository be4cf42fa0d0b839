// Messages to all instances: their ways between availability zones, and
// instances that pass them on.
#include <catch2/catch.hpp>
#include <set>

#include "cactusward/broadcast_plan.h"
#include "cactusward/standstill.h"
#include "src/edges/gossip_socket.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::small_fleet;

TEST_CASE("each instance gets a message, and each other zone one copy") {
  struct row {
    const char* name;
    std::vector<std::size_t> zones;  // instances by zone; the first is the own
    std::size_t older;  // instances of each zone that do not pass messages on
    std::size_t suspected;
    std::size_t direct;
    std::size_t rebroadcasters;
  };
  const row rows[] = {
      {"hundreds of instances", {38, 39, 39, 39, 39}, 0, 0, 38, 4},
      {"an upgrade has begun", {38, 39, 39, 39, 39}, 38, 0, 38, 4},
      {"before an upgrade", {25, 25, 25}, 25, 0, 75, 0},
      {"all others are suspected", {25, 25, 25}, 0, 25, 75, 0},
      {"few instances", {2, 2, 3}, 0, 0, 4, 1},
      {"one zone", {60}, 0, 0, 60, 0},
      {"alone", {0}, 0, 0, 0, 0},
      {"no instance in the own zone", {0, 4}, 0, 0, 0, 1},
      {"more direct recipients than allowed", {300, 40}, 0, 0, 128, 1},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    std::vector<member> members;
    for (std::size_t zone = 0; zone < r.zones.size(); ++zone) {
      for (std::size_t i = 0; i < r.zones[zone]; ++i) {
        member next;
        next.name = std::to_string(zone) + "-" + std::to_string(i);
        next.availability_zone = std::to_string(zone);
        // Instances that can pass messages on have a peer address here.
        next.peer_address = i < r.older ? "" : "a";
        if (i < r.suspected)
          next.state = member_state::kSuspect;
        members.push_back(next);
      }
    }
    std::vector<const member*> live;
    for (const member& each : members)
      live.push_back(&each);
    std::mt19937_64 random(1);
    const auto plan = PlanBroadcast(
        live, "0",
        [](const member& peer) { return !peer.peer_address.empty(); }, 128,
        random);
    CHECK(plan.direct.size() == r.direct);
    CHECK(plan.rebroadcasters.size() == r.rebroadcasters);
    const std::set<const member*> direct(plan.direct.begin(),
                                         plan.direct.end());
    CHECK(direct.size() == r.direct);
    std::set<std::string> zones;
    for (const member* each : plan.rebroadcasters) {
      CHECK_FALSE(each->peer_address.empty());
      CHECK(each->state == member_state::kAlive);
      CHECK(each->availability_zone != "0");
      CHECK(zones.insert(each->availability_zone).second);
    }
    if (plan.direct.size() == 128)
      continue;
    for (const member* peer : live)
      CHECK((direct.count(peer) > 0) !=
            (zones.count(peer->availability_zone) > 0));
  }
}

TEST_CASE("a standstill is noticed until what arrived meanwhile is read") {
  struct row {
    const char* name;
    int delay_ms;      // of a tick
    int suspended_ms;  // time that only the boot clock counts
    bool expected;
  };
  const row rows[] = {{"on time", 0, 0, false},
                      {"a little late", 200, 0, false},
                      {"stopped", 3'000, 0, true},
                      {"the machine was suspended", 0, 3'000, true}};
  constexpr milliseconds kPeriod{50};
  constexpr milliseconds kLongest{250};
  for (const row& r : rows) {
    CAPTURE(r.name);
    const time_point start = time_point() + std::chrono::hours(1);
    standstill meter(kPeriod, kLongest, start);
    meter.Tick(start + kPeriod, kPeriod);
    const time_point resumed = start + kPeriod * 2 + milliseconds(r.delay_ms);
    const duration boot =
        kPeriod * 2 + milliseconds(r.delay_ms) + milliseconds(r.suspended_ms);
    // Whether the tick or a datagram is handled first.
    CHECK(meter.Recently(resumed, boot) == r.expected);
    meter.Tick(resumed, boot);
    CHECK(meter.Recently(resumed, boot) == r.expected);
    for (int i = 1; i <= 10; ++i)
      meter.Tick(resumed + kPeriod * i, boot + kPeriod * i);
    CHECK_FALSE(meter.Recently(resumed + kPeriod * 10, boot + kPeriod * 10));
  }
}

// An instance without services that exchanges gossip with the one under test.
class zone_member {
 public:
  zone_member(small_fleet& fleet, std::string name, std::string zone)
      : table_({std::move(name),
                1,
                member_state::kAlive,
                testing::FreeAddress(),
                testing::FreeAddress(),
                std::move(zone),
                {}},
               {},
               1),
        socket_(fleet.io,
                fleet.settings.peer_secret,
                [this](std::string_view bytes) {
                  if (const auto message = DecodeGossip(bytes))
                    received.push_back(*message);
                }) {
    REQUIRE(socket_.Listen(table_.self().peer_address));
  }
  void Join(const std::string& address) {
    socket_.Send(address, EncodeGossip(table_.JoinPing(address).message));
  }
  gossip_message Update(std::int64_t order) {
    gossip_message update = table_.BuildMessage(gossip_kind::kUpdate);
    update.order = order;
    update.loads = {{7, 3, 3, 250, 100, 50, 0}};
    return update;
  }
  void RequestRebroadcast(const std::string& address,
                          const std::string& rebroadcast) {
    gossip_message request = table_.BuildMessage(gossip_kind::kUpdate);
    request.rebroadcast = rebroadcast;
    socket_.Send(address, EncodeGossip(request));
  }
  int CountFrom(const std::string& name, std::int64_t order) const {
    return static_cast<int>(std::count_if(
        received.begin(), received.end(), [&](const gossip_message& message) {
          return message.sender.name == name && message.order == order;
        }));
  }

  std::vector<gossip_message> received;

 private:
  member_table table_;
  gossip_socket socket_;
};

TEST_CASE("a message of another zone is passed on within the own zone") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  const std::string& own_zone = fleet.settings.availability_zone;
  zone_member sender(fleet, "sender", "other");
  zone_member neighbour(fleet, "neighbour", own_zone);
  zone_member stranger(fleet, "stranger", "third");
  fleet.Run([&](asio::yield_context yield) {
    const std::string& address = fleet.settings.peer_listen;
    for (zone_member* each : {&sender, &neighbour, &stranger})
      each->Join(address);
    Sleep(fleet.io, testing::kPollPeriod * 5, yield);
    constexpr std::int64_t kOrder = 900;
    const std::string update = EncodeGossip(sender.Update(kOrder));
    sender.RequestRebroadcast(address, update);
    // What cannot be read is not passed on.
    sender.RequestRebroadcast(address, "x" + update);
    Sleep(fleet.io, testing::kPollPeriod * 10, yield);
    CHECK(neighbour.CountFrom("sender", kOrder) == 1);
    CHECK(stranger.CountFrom("sender", kOrder) == 0);
    CHECK(sender.CountFrom("sender", kOrder) == 0);
    CHECK(fleet.gateway->MetricsText().find(
              "cactusward_rebroadcast_messages 1\n") != std::string::npos);
  });
}

}  // namespace
}  // namespace cactusward
