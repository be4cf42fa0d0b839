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

// Guards against an interim response of a code that the HTTP library does not
// know being passed on as the final one.
TEST_CASE("interim responses of any code are skipped") {
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

}  // namespace
}  // namespace cactusward
