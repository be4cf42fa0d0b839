// Test fixture: one instance with a registry and upstreams in one process.
#ifndef CACTUSWARD_TESTS_SUPPORT_SMALL_FLEET_H_
#define CACTUSWARD_TESTS_SUPPORT_SMALL_FLEET_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/make_adapter.h"
#include "src/relay/relay_gateway.h"
#include "tests/support/platform_fakes.h"

namespace cactusward::testing {

inline constexpr milliseconds kCallTimeout{5'000};
inline constexpr milliseconds kSettleTime{400};
inline constexpr milliseconds kPollPeriod{10};

// One instance, a registry, two engines and two upstreams without an engine.
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
    settings.listen = FreeAddress();
    settings.peer_listen = FreeAddress();
    settings.peer_advertise = settings.peer_listen;
    settings.peer_secret = "0123456789abcdef";
    settings.forwarding = forwarding_settings();
    settings.forwarding->readiness_listen = FreeAddress();
    settings.forwarding->metrics_listen = FreeAddress();
    settings.forwarding->registry = store.address();
    settings.forwarding->retries.ratio = 1;
  }

  void RegisterRunners() {
    for (const auto& runner : engines)
      store.Put("servers/" + runner->id(), runner->Entry("engines"));
    for (const auto& runner : plain)
      store.Put("servers/" + runner->id(), runner->Entry("plain"));
  }

  // Starts the instance and runs `body` in a coroutine.
  void Run(const std::function<void(asio::yield_context)>& body) {
    gateway = std::make_unique<relay_gateway>(io, &settings, make_adapter);
    REQUIRE(gateway->Start());
    Spawn(io, "test", [this, &body](asio::yield_context yield) {
      Sleep(io, kSettleTime, yield);
      body(yield);
      io.stop();
    });
    io.run();
  }

  // Calls `path` until the response has `status`.
  // @return false if it does not within kCallTimeout.
  bool WaitForStatus(const std::string& path,
                     int status,
                     asio::yield_context yield) {
    const time_point until = clock::now() + kCallTimeout;
    while (clock::now() < until) {
      if (Call(path, "a", yield).status == status)
        return true;
      Sleep(io, kPollPeriod, yield);
    }
    return false;
  }

  http_response Call(const std::string& path,
                     const std::string& attempt,
                     asio::yield_context yield,
                     const std::string& key = "key",
                     milliseconds timeout = kCallTimeout,
                     int prompt_tokens = 1'000) {
    return Send(settings.listen, MakeCall(path, attempt, key, prompt_tokens),
                timeout, yield);
  }

  // Calls `path` at the instance that listens on `address`, with a prompt that
  // consists of `parts`, as "id:tokens" entries.
  http_response CallWithParts(const std::string& address,
                              const std::string& path,
                              const std::string& attempt,
                              const std::string& parts,
                              asio::yield_context yield) {
    outgoing_request request = MakeCall(path, attempt, "key", 1'000);
    request.headers.emplace_back("X-Prompt-Prefix", parts);
    request.body = attempt;
    return Send(address, request, kCallTimeout, yield);
  }

  int RunCount() const {
    int runs = 0;
    for (const auto* group : {&engines, &plain}) {
      for (const auto& runner : *group)
        runs += runner->runs();
    }
    return runs;
  }

  static outgoing_request MakeCall(const std::string& path,
                                   const std::string& attempt,
                                   const std::string& key,
                                   int prompt_tokens) {
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
    return request;
  }

  http_response Send(const std::string& address,
                     const outgoing_request& request,
                     milliseconds timeout,
                     asio::yield_context yield) {
    const auto response =
        client.Call(address, request, clock::now() + timeout, yield);
    // Status 0 means that no complete response was received.
    return response ? *response : http_response();
  }

  asio::io_context io;
  store_fake store;
  http_client client;
  std::vector<std::unique_ptr<runner_fake>> engines;
  std::vector<std::unique_ptr<runner_fake>> plain;
  instance_settings settings;
  relay_gateway::adapter_factory make_adapter = platform::MakeAdapter;
  std::unique_ptr<relay_gateway> gateway;
};

// Settings of an additional instance that joins the one of `fleet`.
inline instance_settings ExtraInstanceSettings(
    const small_fleet& fleet,
    const std::string& registry,
    const std::string& name = "second") {
  instance_settings settings = fleet.settings;
  settings.instance = name;
  settings.listen = FreeAddress();
  settings.peer_listen = FreeAddress();
  settings.peer_advertise = settings.peer_listen;
  settings.seed_peers = {fleet.settings.peer_listen};
  settings.forwarding->readiness_listen = FreeAddress();
  settings.forwarding->metrics_listen = FreeAddress();
  settings.forwarding->registry = registry;
  return settings;
}

// Instances that join the one of a fleet and use the same registry.
class extra_instances {
 public:
  extra_instances(small_fleet& fleet,
                  int count,
                  const relay_gateway::adapter_factory& make_adapter) {
    for (int i = 0; i < count; ++i) {
      settings.push_back(
          std::make_unique<instance_settings>(ExtraInstanceSettings(
              fleet, fleet.store.address(), "more" + std::to_string(i))));
      gateways.push_back(std::make_unique<relay_gateway>(
          fleet.io, settings.back().get(), make_adapter));
    }
  }

  // @return whether all instances could bind their addresses.
  bool Start() const {
    return std::all_of(gateways.begin(), gateways.end(),
                       [](const auto& gateway) { return gateway->Start(); });
  }

  std::vector<std::unique_ptr<instance_settings>> settings;
  std::vector<std::unique_ptr<relay_gateway>> gateways;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_SMALL_FLEET_H_
