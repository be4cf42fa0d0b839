// Tests of how instances get a large configuration from their peers while the
// registry does not provide it.
#include <random>

#include "src/edges/json.h"
#include "src/edges/peer_link.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::extra_instances;
using testing::FreeAddress;
using testing::kPollPeriod;
using testing::kSettleTime;
using testing::small_fleet;

// A change takes effect everywhere within this time: the shortest
// `config_apply_ms` of the deployments.
constexpr milliseconds kApplyBound{2'000};
// Instances contact missing peers once a second.
constexpr milliseconds kJoinTime{2'500};
constexpr int kManyRoutes = 1'650;

// A configuration with many routes of random names.
std::string LargeConfig(int version, const std::string& extra_route = {}) {
  constexpr int kNameLength = 8;
  std::mt19937 random(1);
  auto document =
      nlohmann::json::parse(testing::ConfigDocument(version, extra_route));
  nlohmann::json route = document["routes"].back();
  for (int i = 0; i < kManyRoutes; ++i) {
    std::string name;
    for (int j = 0; j < kNameLength; ++j)
      name += static_cast<char>('a' + random() % 26);
    route["name"] = name;
    route["path_prefix"] = "/" + name + "/";
    document["routes"].push_back(route);
  }
  return WriteJson(document);
}

// Bytes of the configuration in a peer's reply, whatever its encoding.
std::size_t ConfigBytes(const nlohmann::json& reply) {
  const auto text = reply.find("config");
  const auto deflated = reply.find("config_deflated");
  return (text != reply.end() ? text->get_ref<const std::string&>().size()
                              : 0) +
         (deflated != reply.end() ? deflated->get_binary().size() : 0);
}

class no_calls : public peer_handler {
 public:
  void OnPeerCall(const nlohmann::json& /*request*/, reply reply) override {
    reply({});
  }
};

// Guards against an instance whose link is taken up by the copies of the
// configuration that its peers ask for: it serves no callers meanwhile, and its
// peers give up copies that are still being sent.
TEST_CASE("an instance sends its peers no more than its link carries",
          "[peers]") {
  constexpr int kPeers = 40;
  // An instance's link where the settings do not name one: 20 Mbit/s.
  constexpr double kLinkBytesPerMs = 2'500;
  struct row {
    const char* name;
    nlohmann::json request;
  };
  const row rows[] = {
      {"of this release",
       {{"op", "catalog_get"},
        {"config_version", 0},
        {"config_encoding", "deflate"}}},
      {"of an earlier release", {{"op", "catalog_get"}, {"config_version", 0}}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    const std::string document = LargeConfig(1);
    fleet.store.Put("op/config", document);
    fleet.RegisterRunners();
    no_calls handler;
    std::vector<std::unique_ptr<peer_link>> peers;
    for (int i = 0; i < kPeers; ++i)
      peers.push_back(std::make_unique<peer_link>(
          fleet.io, fleet.settings.peer_secret, &handler));
    std::size_t bytes = 0;
    int with_config = 0;
    int ended = 0;
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
      const time_point began_at = clock::now();
      const time_point until = began_at + kApplyBound;
      for (const auto& peer : peers) {
        Spawn(fleet.io, "peer", [&, link = peer.get()](asio::yield_context y) {
          bool has_config = false;
          while (!has_config && clock::now() < until) {
            const auto reply =
                link->Call(fleet.settings.peer_listen, r.request, until, y);
            if (reply) {
              bytes += ConfigBytes(*reply);
              has_config = ConfigBytes(*reply) > 0;
            }
            Sleep(fleet.io, milliseconds(100), y);
          }
          with_config += has_config ? 1 : 0;
          ++ended;
        });
      }
      while (ended < kPeers)
        Sleep(fleet.io, kPollPeriod, yield);
      CHECK(static_cast<double>(bytes) <=
            kLinkBytesPerMs * ToMilliseconds(clock::now() - began_at) +
                static_cast<double>(document.size()));
      // Peers that got nothing ask elsewhere, but some get it.
      CHECK(with_config > 0);
      if (r.request.contains("config_encoding"))
        CHECK(with_config == kPeers);
    });
  }
}

// Guards against configurations that are late everywhere since each instance
// sends and receives several copies as text.
TEST_CASE("a large configuration takes little of the links between instances",
          "[peers]") {
  constexpr int kExtraInstances = 12;
  constexpr std::size_t kLeastRatio = 4;
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  const extra_instances extra(fleet, kExtraInstances, platform::MakeAdapter);
  const std::string document = LargeConfig(2, "new");
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(extra.Start());
    Sleep(fleet.io, kJoinTime, yield);
    // Only watches deliver it.
    fleet.store.SetValueReadsUnresponsive(true);
    fleet.store.Put("op/config", document);
    const time_point changed_at = clock::now();
    for (const auto& each : extra.settings) {
      std::swap(fleet.settings.listen, each->listen);
      CHECK(fleet.WaitForStatus("/new/x", 200, yield));
      std::swap(fleet.settings.listen, each->listen);
    }
    CHECK(clock::now() - changed_at <= kApplyBound);
    std::size_t bytes = 0;
    for (const auto& each : extra.settings) {
      constexpr std::string_view kMetric = "cactusward_config_bytes_served ";
      outgoing_request request;
      request.target = "/metrics";
      const auto response =
          fleet.client.Call(each->forwarding->metrics_listen, request,
                            clock::now() + kSettleTime, yield);
      REQUIRE(response);
      const auto found = response->body.find(kMetric);
      REQUIRE(found != std::string::npos);
      bytes += std::stoul(response->body.substr(found + kMetric.size()));
    }
    CHECK(bytes > 0);
    CHECK(bytes <= kExtraInstances * document.size() / kLeastRatio);
    // Abandoned reads end before the fixture does.
    fleet.store.SetValueReadsUnresponsive(false);
    Sleep(fleet.io, kSettleTime, yield);
  });
}

}  // namespace
}  // namespace cactusward
