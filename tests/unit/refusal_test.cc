// Tests that a status which states that a request was not executed is only
// given to callers whose request was not.
#include <catch2/catch.hpp>

#include "tests/support/gateway_fleet.h"
#include "tests/support/scripted_upstream.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::gateway_fleet;
using testing::small_fleet;

constexpr const char* kSeal = "X-Response-Seal";

// Guards against a caller that sends a request again because of the status of
// an upstream which has executed it.
TEST_CASE("a failure that reads like a refusal is none", "[responses]") {
  struct row {
    const char* name;
    int upstream_status;
    const char* statement;  // header field of the upstream
    int status;
    bool sealed;
  };
  const row rows[] = {
      {"unavailable", 503, "", 502, false},
      {"unavailable, for a time", 503, "Retry-After: 1\r\n", 502, false},
      {"too many requests", 429, "", 502, false},
      {"request timeout", 408, "", 502, false},
      {"unavailable and not executed", 503, "X-Not-Executed: 1\r\n", 503,
       false},
      {"too many requests and not executed", 429, "X-Not-Executed: 1\r\n", 503,
       false},
      {"another upstream", 421, "", 503, false},
      {"an error", 500, "", 500, true},
      {"a gateway's error", 502, "", 502, true},
      {"a timeout", 504, "", 504, true},
      {"a bad request", 400, "", 400, true},
      {"a conflict", 409, "", 409, true},
  };
  for (const row& r : rows) {
    for (const std::string_view path : {"/once/x", "/often/x", "/stream/x"}) {
      CAPTURE(r.name, path);
      small_fleet fleet;
      fleet.store.Put("op/config", testing::ConfigDocument(1));
      int arrivals = 0;
      const auto script = [&](const http_request& request, int) {
        ++arrivals;
        const std::string id(request["X-Attempt-Id"]);
        return testing::scripted_upstream::reply{
            {{testing::ResponseBytes(r.upstream_status,
                                     "X-Attempt-Id: " + id +
                                         "\r\nX-Response-Seal: s\r\n" +
                                         r.statement,
                                     "body"),
              {}}}};
      };
      std::vector<std::unique_ptr<testing::scripted_upstream>> upstreams;
      for (const char* service : {"engines", "engines", "plain", "plain"}) {
        upstreams.push_back(
            std::make_unique<testing::scripted_upstream>(fleet.io, script));
        fleet.store.Put("servers/s" + std::to_string(upstreams.size()),
                        upstreams.back()->Entry(service));
      }
      fleet.Run([&](asio::yield_context yield) {
        outgoing_request request =
            small_fleet::MakeCall(std::string(path), "attempt", "key", 1'000);
        request.response_header = kSeal;
        const http_response response = fleet.Send(
            fleet.settings.listen, request, testing::kCallTimeout, yield);
        CHECK(response.status == r.status);
        CHECK(response.requested_header.empty() == !r.sealed);
        CHECK((response.body == "body") == r.sealed);
      });
      const bool has_run = r.status != 503;
      CHECK(arrivals > 0);
      if (has_run && path == "/once/x")
        CHECK(arrivals == 1);
    }
  }
}

// Guards against a second execution, and an untrue was_run, on the product's
// own interface.
TEST_CASE("a service's failure that reads like a refusal is none",
          "[responses]") {
  struct row {
    const char* name;
    const char* path;
    int upstream_status;
    bool executed;
    int calls;  // that fail
    int status;
    const char* was_run;
  };
  constexpr const char* kBook = gateway_fleet::kBookPath;
  constexpr const char* kStock = gateway_fleet::kCallPath;
  const row rows[] = {
      {"unavailable", kBook, 503, true, 100, 502, "unknown"},
      {"too many requests", kBook, 429, true, 100, 502, "unknown"},
      {"request timeout", kBook, 408, true, 100, 502, "unknown"},
      {"another upstream", kBook, 421, true, 100, 502, "unknown"},
      {"unavailable, repeatable", kStock, 503, true, 100, 502, "unknown"},
      {"too many requests, repeatable", kStock, 429, true, 100, 502, "unknown"},
      {"unavailable once, repeatable", kStock, 503, true, 1, 200, ""},
      {"refused once", kBook, 429, false, 1, 200, ""},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    gateway_fleet fleet;
    fleet.Run([&](asio::yield_context yield) {
      nlohmann::json faults = {{"refuse", r.calls}};
      if (r.executed)
        faults = {{"fail", r.calls}, {"fail_status", r.upstream_status}};
      fleet.SetFaults(fleet.service_address, faults, yield);
      fleet.sends_keys = r.path == kBook;
      const testing::caller_request* sent = fleet.Begin(r.path);
      fleet.Await(*sent, yield);
      CHECK(sent->status == r.status);
      const auto body = nlohmann::json::parse(sent->body, nullptr, false);
      if (r.status != 200)
        CHECK(body["error"]["was_run"] == r.was_run);
      const nlohmann::json record = fleet.RunsAt(fleet.service_address, yield);
      for (const auto& [key, runs] : record.items()) {
        CAPTURE(key);
        if (r.path == kBook)
          CHECK(runs == 1);
      }
    });
  }
}

}  // namespace
}  // namespace cactusward
