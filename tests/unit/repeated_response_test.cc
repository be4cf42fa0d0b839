// Guards against a response to an earlier request, written once more on a kept
// connection, being taken for the response to the next request: callers would
// be told that a request did not run which an upstream is running.
#include "tests/support/scripted_upstream.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::ResponseBytes;
using testing::scripted_upstream;
using testing::small_fleet;

constexpr char kNotExecuted[] = "X-Not-Executed: 1\r\n";

std::string Echo(const std::string& attempt) {
  return "X-Attempt-Id: " + attempt + "\r\n";
}

TEST_CASE("a refusal that is written once more refuses no other request",
          "[path]") {
  struct row {
    const char* name;
    std::string repeated;  // written when the next request has arrived
    milliseconds delay;    // of the true response
  };
  const std::string kSeal = "X-Response-Seal: s\r\n";
  const row rows[] = {
      {"refusal with the id of the earlier request",
       ResponseBytes(503, Echo("first") + kNotExecuted), milliseconds(0)},
      {"refusal without an id", ResponseBytes(503, kNotExecuted),
       milliseconds(0)},
      {"refusal without an id, true response later",
       ResponseBytes(503, kNotExecuted), milliseconds(100)},
      {"429 without an id", ResponseBytes(429, kNotExecuted), milliseconds(0)},
      {"421 without an id", ResponseBytes(421, ""), milliseconds(0)},
      {"421 with the id of the earlier request",
       ResponseBytes(421, Echo("first")), milliseconds(0)},
      {"interim response, then a refusal without an id",
       "HTTP/1.1 103 x\r\n\r\n" + ResponseBytes(503, kNotExecuted),
       milliseconds(0)},
      {"refusal with a body, without an id",
       ResponseBytes(503, kNotExecuted, "{}"), milliseconds(0)},
      {"success without an id", ResponseBytes(200, kSeal, "first"),
       milliseconds(0)},
      {"response to a control request", ResponseBytes(200, "", "{}"),
       milliseconds(0)},
  };
  for (const char* path : {"/often/x", "/once/x"}) {
    for (const row& r : rows) {
      CAPTURE(path, r.name);
      small_fleet fleet;
      int runs = 0;
      int on_kept_connections = 0;
      scripted_upstream upstream(
          fleet.io, [&](const http_request& request, int on_connection) {
            const std::string id(request["X-Attempt-Id"]);
            scripted_upstream::reply reply;
            if (id == "first") {
              reply.parts.push_back(
                  {ResponseBytes(503, Echo(id) + kNotExecuted), {}});
              return reply;
            }
            ++runs;
            on_kept_connections += on_connection > 0 ? 1 : 0;
            if (on_connection > 0)
              reply.parts.push_back({r.repeated, {}});
            reply.parts.push_back(
                {ResponseBytes(200, Echo(id) + kSeal, "second"), r.delay});
            return reply;
          });
      fleet.store.Put("op/config", testing::ConfigDocument(1));
      fleet.store.Put("servers/p9", upstream.Entry("plain"));
      fleet.Run([&](asio::yield_context yield) {
        CHECK(fleet.Call(path, "first", yield).status == 503);
        const auto second = fleet.Call(path, "second", yield);
        CAPTURE(second.status, second.body);
        CHECK(runs > 0);
        CHECK((second.status == 200 || second.status == 502));
        if (second.status == 200)
          CHECK(second.body == "second");
      });
      // A request that must not run twice is sent on a connection of its own.
      CHECK(on_kept_connections == (std::string(path) == "/often/x" ? 1 : 0));
      CHECK(runs == 1);
    }
  }
}

// Guards against an interim response of a code that the HTTP library does not
// know being passed on as the final one.
TEST_CASE("interim responses of any code are skipped", "[path]") {
  for (const int status : {100, 102, 103, 199}) {
    CAPTURE(status);
    small_fleet fleet;
    scripted_upstream upstream(fleet.io, [&](const http_request&, int) {
      return scripted_upstream::reply{
          {{"HTTP/1.1 " + std::to_string(status) + " x\r\nLink: </a>\r\n\r\n",
            {}},
           {ResponseBytes(200, Echo("a") + "X-Response-Seal: s\r\n", "body"),
            milliseconds(20)}}};
    });
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.store.Put("servers/p9", upstream.Entry("plain"));
    fleet.Run([&](asio::yield_context yield) {
      for (const char* path : {"/often/x", "/once/x"}) {
        const auto response = fleet.Call(path, "a", yield);
        CHECK(response.status == 200);
        CHECK(response.body == "body");
      }
    });
  }
}

TEST_CASE("a refusal that names its request is believed", "[path]") {
  struct row {
    const char* name;
    bool on_kept_connection;
    bool has_id;
    int status;
  };
  const row rows[] = {
      {"first on its connection, without an id", false, false, 503},
      {"first on its connection", false, true, 503},
      {"on a kept connection", true, true, 503},
      {"on a kept connection, without an id", true, false, 502}};
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    scripted_upstream upstream(fleet.io, [&](const http_request& request, int) {
      const std::string id(request["X-Attempt-Id"]);
      const bool echoes = id == "first" || r.has_id;
      return scripted_upstream::reply{
          {{ResponseBytes(503, (echoes ? Echo(id) : "") + kNotExecuted), {}}}};
    });
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.store.Put("servers/p9", upstream.Entry("plain"));
    fleet.Run([&](asio::yield_context yield) {
      if (r.on_kept_connection)
        CHECK(fleet.Call("/often/x", "first", yield).status == 503);
      CHECK(fleet.Call("/often/x", "second", yield).status == r.status);
    });
  }
}

}  // namespace
}  // namespace cactusward
