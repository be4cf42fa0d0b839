// Test fixture: one instance with the product's own interface, its platform, a
// runner and a plain service in one process.
#ifndef CACTUSWARD_TESTS_SUPPORT_GATEWAY_FLEET_H_
#define CACTUSWARD_TESTS_SUPPORT_GATEWAY_FLEET_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cactusward/hash.h"
#include "src/daemon/gateway.h"
#include "src/model/platform_standin.h"
#include "src/model/runner_standin.h"
#include "src/model/service_standin.h"
#include "tests/support/platform_fakes.h"

namespace cactusward::testing {

// A caller's request and its response.
struct caller_request {
  bool ended = false;
  bool in_time = false;  // ended before the instance exited
  int status = 0;        // 0: no complete response
  std::string body;
};

// Not thread-safe.
class gateway_fleet {
 public:
  gateway_fleet()
      : client(io),
        platform_(io, milliseconds(0)),
        runner_(io, model::runner_settings()),
        service_(io, milliseconds(0)) {
    settings.instance = "test";
    settings.availability_zone = "z";
    settings.listen = FreeAddress();
    settings.peer_listen = FreeAddress();
    settings.peer_advertise = settings.peer_listen;
    settings.key_value = FreeAddress();
    settings.instance_list = settings.key_value;
    settings.peer_secret = "0123456789abcdef";
    settings.operator_key = kOperatorKey;
    runner_address = FreeAddress();
    service_address = FreeAddress();
    REQUIRE(platform_.Listen(settings.key_value));
    REQUIRE(runner_.Listen(runner_address));
    REQUIRE(service_.Listen(service_address));
  }

  // Starts the instance with Config(), waits until it serves calls, and runs
  // `body` in a coroutine until that returns or the instance exits. Then waits
  // for the requests that have not ended.
  void Run(const std::function<void(asio::yield_context)>& body) {
    instance = std::make_unique<gateway>(io, &settings);
    REQUIRE(instance->Start());
    bool ready = false;
    Spawn(io, "test", [&](asio::yield_context yield) {
      auto listings =
          nlohmann::json::array({Listing("poradna", runner_address),
                                 Listing("objednavky", service_address)});
      nlohmann::json config = Config();
      for (const auto& [service, address] : more_upstreams)
        listings.push_back(Listing(service.c_str(), address));
      for (const auto& service : more_services)
        config["services"].push_back(service);
      Send(http::verb::put, settings.instance_list, "/v1/instances", listings,
           yield);
      ready = Apply(config, 0, yield) == 200;
      for (const char* path : {kCallPath, kCompletionPath}) {
        const time_point until = clock::now() + kTimeout;
        caller_request* warm = nullptr;
        while (clock::now() < until && (!warm || warm->status != 200)) {
          warm = Begin(path);
          Await(*warm, yield);
          Sleep(io, kPoll, yield);
        }
        ready = ready && warm->status == 200;
      }
      if (ready)
        body(yield);
      io.stop();
    });
    io.run();
    REQUIRE(ready);
    for (const auto& sent : requests_)
      sent->in_time = sent->ended;
    io.restart();
    const time_point until = clock::now() + kTimeout;
    while (clock::now() < until && !AllEnded())
      io.run_for(kPoll);
  }

  static nlohmann::json Config() {
    return {
        {"defaults",
         {{"classes",
           {{{"name", "short"},
             {"max_prompt_tokens", 100'000},
             {"time_limit_ms", 5'000}}}}}},
        {"organisations",
         {{{"name", "svaz"}, {"key_sha256", Sha256Hex(std::string(kKey))}}}},
        {"services",
         {{{"name", "poradna"}, {"model", "poradna"}},
          {{"name", "objednavky"},
           {"kind", "plain"},
           {"calls",
            {{{"name", "stock"}, {"time_limit_ms", 5'000}},
             {{"name", "book"},
              {"repeatable", false},
              {"time_limit_ms", 3'000}}}}}}},
        {"objectives", {{{"class", "short"}, {"target", 0.95}}}}};
  }

  // Edits the configuration, whose revision is `base`. @return the status.
  int Apply(const nlohmann::json& config, int base, asio::yield_context yield) {
    return Send(http::verb::put, settings.listen,
                "/v1/admin/config?author=a&base=" + std::to_string(base),
                config, yield);
  }

  // Sets faults of the stand-in at `address`.
  void SetFaults(const std::string& address,
                 const nlohmann::json& faults,
                 asio::yield_context yield) {
    Send(http::verb::post, address, "/control", faults, yield);
  }

  // How often the upstream at `address` ran each request, by Idempotency-Key.
  nlohmann::json RunsAt(const std::string& address, asio::yield_context yield) {
    outgoing_request request;
    request.target = "/record";
    const auto response =
        client.Call(address, request, clock::now() + kTimeout, yield);
    return response ? nlohmann::json::parse(response->body)["runs"]
                    : nlohmann::json();
  }

  // Sends a caller's request in the background. A path of a completion or of a
  // call that may not be repeated implies what such a request needs.
  caller_request* Begin(const std::string& path, int tokens = 4) {
    requests_.push_back(std::make_unique<caller_request>());
    caller_request* sent = requests_.back().get();
    Spawn(io, "caller", [this, path, tokens, sent](asio::yield_context yield) {
      outgoing_request request;
      request.method = http::verb::post;
      request.target = path;
      request.headers = {{"Authorization", "Bearer " + std::string(kKey)},
                         {"Idempotency-Key", std::to_string(next_key_++)}};
      if (!sends_keys)
        request.headers.pop_back();
      if (path == kCompletionPath) {
        request.headers.resize(1);
        request.body = nlohmann::json({{"model", "poradna"},
                                       {"prompt", "note"},
                                       {"stream", true},
                                       {"max_tokens", tokens}})
                           .dump();
      }
      const auto response =
          client.Call(settings.listen, request, clock::now() + kTimeout, yield);
      sent->status = response ? response->status : 0;
      sent->body = response ? response->body : std::string();
      sent->ended = true;
    });
    return sent;
  }

  void Await(const caller_request& sent, asio::yield_context yield) {
    while (!sent.ended)
      Sleep(io, kPoll, yield);
  }

  static constexpr const char* kCallPath = "/v1/services/objednavky/stock";
  static constexpr const char* kBookPath = "/v1/services/objednavky/book";
  static constexpr const char* kCompletionPath = "/v1/completions";
  static constexpr std::string_view kKey = "a-key-for-tests";

  asio::io_context io;
  http_client client;
  instance_settings settings;
  std::string runner_address;
  std::string service_address;
  bool sends_keys = true;  // whether calls have an Idempotency-Key
  // Beside those of Config(); to be set before Run.
  std::vector<nlohmann::json> more_services;
  std::vector<std::pair<std::string, std::string>> more_upstreams;  // addresses

 private:
  static constexpr milliseconds kTimeout{8'000};
  static constexpr milliseconds kPoll{5};
  static constexpr const char* kOperatorKey = "operator-key-for-tests";

  static nlohmann::json Listing(const char* service,
                                const std::string& address) {
    return {{"targets", {address}},
            {"labels",
             {{"service", service},
              {"availability_zone", "z"},
              {"state", "live"}}}};
  }

  int Send(http::verb method,
           const std::string& address,
           const std::string& target,
           const nlohmann::json& body,
           asio::yield_context yield) {
    outgoing_request request;
    request.method = method;
    request.target = target;
    request.body = body.dump();
    request.headers = {
        {"Authorization", "Bearer " + std::string(kOperatorKey)}};
    const auto response =
        client.Call(address, request, clock::now() + kTimeout, yield);
    return response ? response->status : 0;
  }

  bool AllEnded() const {
    return std::all_of(requests_.begin(), requests_.end(),
                       [](const auto& sent) { return sent->ended; });
  }

  model::platform_standin platform_;
  model::runner_standin runner_;
  model::service_standin service_;
  int next_key_ = 0;
  std::vector<std::unique_ptr<caller_request>> requests_;

 public:
  std::unique_ptr<gateway> instance;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_GATEWAY_FLEET_H_
