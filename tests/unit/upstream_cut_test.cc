// Tests of instances that are partitioned from all upstreams, while callers,
// the registry and their peers still reach them.
#include <catch2/catch.hpp>

#include "tests/support/relay.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using test::caller_faults;
using testing::ExtraInstanceSettings;
using testing::FreeAddress;
using testing::runner_fake;
using testing::runner_fault;
using testing::small_fleet;

// Within it, a fleet has to notice a disruption.
constexpr milliseconds kStableWindow{3'000};
constexpr milliseconds kTimelyResponse{500};
constexpr int kCalls = 8;

// A fleet of instances that reach the upstreams through proxies, which tell the
// instances apart by their source addresses.
class cut_fleet {
 public:
  explicit cut_fleet(int peers) {
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    for (auto* group : {&fleet.engines, &fleet.plain}) {
      for (const auto& runner : *group)
        AddProxy(*runner, group == &fleet.engines ? "engines" : "plain");
    }
    fleet.settings.forwarding->source_address = "127.0.0.2";
    fleet.settings.tunnel_listen = FreeAddress();
    for (int i = 0; i < peers; ++i) {
      auto settings = std::make_unique<instance_settings>(ExtraInstanceSettings(
          fleet, fleet.store.address(), "peer" + std::to_string(i)));
      settings->forwarding->source_address = "127.0.0." + std::to_string(3 + i);
      settings->tunnel_listen = FreeAddress();
      gateways.push_back(std::make_unique<relay_gateway>(
          fleet.io, settings.get(), fleet.make_adapter));
      REQUIRE(gateways.back()->Start());
      peer_settings.push_back(std::move(settings));
    }
  }

  // Sets the faults of the paths from the instance `source_address` to all
  // upstreams.
  void Cut(const std::string& source_address, const caller_faults& faults) {
    for (const auto& proxy : proxies)
      REQUIRE(proxy->SetCallerFaults(asio::ip::make_address_v4(source_address),
                                     faults));
  }
  std::string Metric(const std::string& address,
                     const std::string& name,
                     asio::yield_context yield) {
    outgoing_request request;
    request.target = "/metrics";
    const auto response =
        fleet.Send(address, request, testing::kCallTimeout, yield);
    const auto at = response.body.find("\n" + name + " ");
    if (at == std::string::npos)
      return {};
    const auto begin = at + name.size() + 2;
    return response.body.substr(begin, response.body.find('\n', begin) - begin);
  }
  std::string Metric(const std::string& name, asio::yield_context yield) {
    return Metric(fleet.settings.forwarding->metrics_listen, name, yield);
  }

  small_fleet fleet;
  std::vector<std::unique_ptr<test::fault_proxy>> proxies;
  std::vector<std::unique_ptr<instance_settings>> peer_settings;
  std::vector<std::unique_ptr<relay_gateway>> gateways;

 private:
  void AddProxy(const runner_fake& runner, const std::string& service) {
    const std::string address = FreeAddress();
    proxies.push_back(std::make_unique<test::fault_proxy>(fleet.io, address,
                                                          runner.address()));
    REQUIRE(proxies.back()->Start());
    std::string entry = runner.Entry(service);
    entry.replace(entry.find(runner.address()), runner.address().size(),
                  address);
    fleet.store.Put("servers/" + runner.id(), entry);
  }
};

const caller_faults kCutOff{true, true};
const caller_faults kNewConnectionsHang{true, false};

// Guards against requests that an instance which is cut off takes, cannot send
// anywhere and holds until their callers give up.
TEST_CASE("an instance that is cut off serves through a peer", "[peers]") {
  struct row {
    const char* name;
    const char* path;
    caller_faults faults;
    int peers;
    int cut_peers;
    bool tunnelled = true;  // otherwise on connections that live on
  };
  const row rows[] = {
      {"a stream", "/stream/x", kCutOff, 1, 0},
      {"a stream that is not resumable", "/fixed/x", kCutOff, 1, 0},
      {"a call that is not retryable", "/once/x", kCutOff, 1, 0},
      {"a retryable call", "/often/x", kCutOff, 1, 0},
      {"open connections live on", "/often/x", kNewConnectionsHang, 1, 0,
       false},
      {"open connections live on, not retryable", "/once/x",
       kNewConnectionsHang, 1, 0},
      {"most instances are cut off", "/once/x", kCutOff, 3, 2},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    cut_fleet cut(r.peers);
    small_fleet& fleet = cut.fleet;
    fleet.Run([&](asio::yield_context yield) {
      Sleep(fleet.io, milliseconds(1'000), yield);
      for (int i = 0; i < kCalls; ++i)
        CHECK(fleet.Call(r.path, "before", yield).status == 200);
      CHECK(cut.Metric("cactusward_tunnelled_connections", yield) == "0");
      cut.Cut("127.0.0.2", r.faults);
      for (int i = 0; i < r.cut_peers; ++i)
        cut.Cut("127.0.0." + std::to_string(3 + i), r.faults);
      const time_point window_end = clock::now() + kStableWindow;
      while (clock::now() < window_end)
        fleet.Call(r.path, "found", yield);
      const int runs = fleet.RunCount();
      for (int i = 0; i < kCalls; ++i) {
        const time_point sent_at = clock::now();
        CHECK(fleet.Call(r.path, "cut", yield).status == 200);
        CHECK(clock::now() - sent_at < kTimelyResponse);
      }
      CHECK(fleet.RunCount() == runs + kCalls);
      CHECK((cut.Metric("cactusward_tunnelled_connections", yield) != "0") ==
            r.tunnelled);
      cut.Cut("127.0.0.2", {});
      Sleep(fleet.io, kStableWindow, yield);
      for (int i = 0; i < kCalls; ++i)
        CHECK(fleet.Call(r.path, "after", yield).status == 200);
      const auto tunnelled =
          cut.Metric("cactusward_tunnelled_connections", yield);
      CHECK(cut.Metric("cactusward_cut_off_from_upstreams", yield) == "0");
      for (int i = 0; i < kCalls; ++i)
        fleet.Call(r.path, "after", yield);
      CHECK(cut.Metric("cactusward_tunnelled_connections", yield) == tunnelled);
    });
  }
}

// Guards against requests that wait for their deadline although no instance
// reaches an upstream.
TEST_CASE("requests are refused at once when all instances are cut off",
          "[peers]") {
  cut_fleet cut(2);
  small_fleet& fleet = cut.fleet;
  fleet.Run([&](asio::yield_context yield) {
    Sleep(fleet.io, milliseconds(1'000), yield);
    CHECK(fleet.Call("/once/x", "before", yield).status == 200);
    for (const char* source : {"127.0.0.2", "127.0.0.3", "127.0.0.4"})
      cut.Cut(source, kCutOff);
    const int runs = fleet.RunCount();
    const http_response response = fleet.Call("/once/x", "cut", yield);
    CHECK(response.status == 503);
    CHECK_FALSE(response.retry_after.empty());
    CHECK(fleet.RunCount() == runs);
    CHECK(cut.Metric("cactusward_cut_off_from_upstreams", yield) == "0");
  });
}

// Guards against a request that runs on at its upstream after its caller has
// gone, or twice, when it was sent through a peer.
TEST_CASE("what holds for a request holds on the way through a peer",
          "[peers]") {
  struct row {
    const char* name;
    const char* path;
    runner_fault fault;
    milliseconds timeout;  // of the caller
    int status;
    int runs;
  };
  using fault = runner_fault;
  const row rows[] = {
      {"a broken stream is resumed", "/stream/x", fault::kBreaksMidway,
       milliseconds(3'000), 200, 2},
      {"a broken stream that is not resumable is cut", "/fixed/x",
       fault::kBreaksMidway, milliseconds(3'000), 0, 1},
      {"a call that is not retryable runs once", "/once/x",
       fault::kBreaksAtStart, milliseconds(3'000), 502, 1},
      {"a refused call is sent elsewhere", "/once/x", fault::kRefuses,
       milliseconds(3'000), 200, 1},
      {"a caller that gives up", "/often/x", fault::kSilent, milliseconds(200),
       0, 1},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    cut_fleet cut(1);
    small_fleet& fleet = cut.fleet;
    fleet.Run([&](asio::yield_context yield) {
      cut.Cut("127.0.0.2", kCutOff);
      const time_point window_end = clock::now() + kStableWindow;
      while (clock::now() < window_end)
        fleet.Call(r.path, "found", yield);
      // Whichever is asked first has the fault.
      for (auto* group : {&fleet.engines, &fleet.plain}) {
        for (std::size_t i = 0; i < group->size(); ++i) {
          (*group)[i]->SetFault(r.fault, 1);
          runner_fake& other = *(*group)[1 - i];
          (*group)[i]->OnRun([&other](const http_request&) {
            other.SetFault(fault::kNone, 0);
          });
        }
      }
      const int runs = fleet.RunCount();
      const http_response response =
          fleet.Call(r.path, "attempt", yield, "key", r.timeout);
      if (r.fault != fault::kRefuses)
        CHECK(response.status == r.status);
      else
        CHECK((response.status == 200 || response.status == 503));
      CHECK(fleet.RunCount() <= runs + r.runs);
      Sleep(fleet.io, kTimelyResponse, yield);
      const auto& peer = *cut.peer_settings[0]->forwarding;
      CHECK(cut.Metric(peer.metrics_listen, "cactusward_carried_tunnels",
                       yield) == "0");
    });
  }
}

// Guards against responses that are cut because the peer that carries them
// stops.
TEST_CASE("a stopping instance completes what it carries for peers",
          "[peers]") {
  struct row {
    const char* name;
    const char* path;
    milliseconds run_time;
    milliseconds event_pause;
  };
  const row rows[] = {
      {"a stream", "/stream/x", milliseconds(0), milliseconds(400)},
      {"a call that is not retryable", "/once/x", milliseconds(1'500),
       milliseconds(0)},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    cut_fleet cut(1);
    small_fleet& fleet = cut.fleet;
    cut.peer_settings[0]->drain_grace = milliseconds(200);
    cut.peer_settings[0]->drain_limit = milliseconds(8'000);
    bool completed = false;
    fleet.Run([&](asio::yield_context yield) {
      cut.Cut("127.0.0.2", kCutOff);
      const time_point window_end = clock::now() + kStableWindow;
      while (clock::now() < window_end)
        fleet.Call(r.path, "found", yield);
      for (const auto* group : {&fleet.engines, &fleet.plain}) {
        for (const auto& runner : *group) {
          runner->SetRunTime(r.run_time);
          runner->SetEventPause(r.event_pause);
        }
      }
      const int runs = fleet.RunCount();
      Spawn(fleet.io, "stop", [&](asio::yield_context inner) {
        Sleep(fleet.io, milliseconds(300), inner);
        cut.gateways[0]->Stop();
      });
      const http_response response = fleet.Call(r.path, "attempt", yield);
      CHECK(response.status == 200);
      CHECK(fleet.RunCount() == runs + 1);
      completed = true;
    });
    CHECK(completed);
  }
}

}  // namespace
}  // namespace cactusward
