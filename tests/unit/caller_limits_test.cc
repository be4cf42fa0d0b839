// Tests of callers that hold more than the limits allow.
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/daemon/caller_bounds.h"
#include "src/edges/http_server.h"
#include "tests/support/platform_fakes.h"

namespace cactusward {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;
constexpr milliseconds kPoll{5};

// Responds with the size of the body, or with `response_bytes` bytes.
class counting_handler : public http_handler {
 public:
  void Handle(http_exchange& exchange, asio::yield_context yield) override {
    ++requests;
    const std::size_t size = exchange.request().body().size();
    sent =
        exchange.Respond(200, "text/plain",
                         response_bytes > 0 ? std::string(response_bytes, 'r')
                                            : std::to_string(size),
                         clock::now() + std::chrono::seconds(20), yield);
    ++ended;
  }
  std::uint64_t MaxBodyBytes(const http_request_head& /*head*/) const override {
    return max_body;
  }

  std::size_t response_bytes = 0;
  std::uint64_t max_body = SIZE_MAX;
  int requests = 0;
  int ended = 0;
  bool sent = false;
};

// A server with a guard on its loop.
struct guarded_server {
  explicit guarded_server(const caller_bounds& bounds,
                          const http_server_limits& limits = {})
      : guard(std::make_shared<caller_guard>(bounds)),
        server(io, &handler, limits, guard),
        address(testing::FreeAddress()) {
    REQUIRE(server.Listen(address));
  }
  void Run(const std::function<void(asio::yield_context)>& body) {
    Spawn(io, "test", [&](asio::yield_context yield) {
      body(yield);
      io.stop();
    });
    io.run();
  }
  std::unique_ptr<tcp::socket> Connect(asio::yield_context yield) {
    auto socket = std::make_unique<tcp::socket>(io);
    socket->async_connect(*ParseTcpEndpoint(address), yield);
    return socket;
  }
  // Sends `request`. @return the connection.
  std::unique_ptr<tcp::socket> Send(const std::string& request,
                                    asio::yield_context yield) {
    auto socket = Connect(yield);
    boost::system::error_code error;
    asio::async_write(*socket, asio::buffer(request), yield[error]);
    return socket;
  }
  bool Counted(const std::string& cause) const {
    return guard->MetricsText().find("cactusward_callers_rejected{cause=\"" +
                                     cause + "\"} ") != std::string::npos;
  }

  asio::io_context io;
  counting_handler handler;
  std::shared_ptr<caller_guard> guard;
  http_server server;
  std::string address;
};

// @return the first line; empty if the connection ended or nothing arrived.
std::string ReadStatus(tcp::socket& socket, asio::yield_context yield) {
  boost::system::error_code error;
  deadline_guard guard(&socket, clock::now() + milliseconds(3'000));
  std::string bytes(4096, '\0');
  bytes.resize(socket.async_read_some(asio::buffer(bytes), yield[error]));
  return bytes.substr(0, bytes.find('\r'));
}

std::string Post(std::size_t length, std::size_t sent) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + std::string(sent, 'b');
}

std::string PostChunks(std::size_t chunk, std::size_t count, bool complete) {
  std::string request =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", chunk);
  for (std::size_t i = 0; i < count; ++i)
    request += size + std::string(chunk, 'b') + "\r\n";
  return request + (complete ? "0\r\n\r\n" : "");
}

caller_bounds BoundsOf(std::size_t memory_mb) {
  caller_limit_settings settings;
  settings.memory_mb = memory_mb;
  return MakeCallerBounds(settings);
}

// Guards against limits that refuse what an instance of the smallest size can
// serve when nothing else runs.
TEST_CASE("a single large body is served on the smallest machine",
          "[callers]") {
  struct row {
    const char* name;
    std::string request;
  };
  const row rows[] = {
      {"length", Post(4 * kMegabyte, 4 * kMegabyte)},
      {"one chunk", PostChunks(4 * kMegabyte, 1, true)},
      {"chunks of 1 KB", PostChunks(1'000, 4'000, true)},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    guarded_server served(BoundsOf(112));
    served.Run([&](asio::yield_context yield) {
      const auto socket = served.Send(r.request, yield);
      CHECK(ReadStatus(*socket, yield) == "HTTP/1.1 200 OK");
    });
  }
}

// Guards against a crowd whose bodies stop short of their end and which takes
// the memory that other callers need.
TEST_CASE("a crowd of stalled bodies stays within the budget", "[callers]") {
  struct row {
    const char* name;
    std::string request;
    int crowd;
  };
  const row rows[] = {
      {"length", Post(4 * kMegabyte, 4 * kMegabyte - 100), 40},
      {"chunks of 1 KB", PostChunks(1'000, 2'000, false), 40},
      {"small bodies", Post(200'000, 199'000), 200},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    const caller_bounds bounds = BoundsOf(64);
    guarded_server served(bounds);
    std::size_t most = 0;
    served.Run([&](asio::yield_context yield) {
      std::vector<std::unique_ptr<tcp::socket>> crowd;
      for (int i = 0; i < r.crowd; ++i) {
        crowd.push_back(served.Connect(yield));
        Spawn(served.io, "crowd",
              [&served, &r,
               socket = crowd.back().get()](asio::yield_context inner) {
                boost::system::error_code ignored;
                asio::async_write(*socket, asio::buffer(r.request),
                                  inner[ignored]);
              });
      }
      const time_point until = clock::now() + milliseconds(1'500);
      while (clock::now() < until) {
        most = std::max(most, served.guard->bytes());
        Sleep(served.io, kPoll, yield);
      }
      const auto small = served.Send(Post(1'000, 1'000), yield);
      CHECK(ReadStatus(*small, yield) == "HTTP/1.1 200 OK");
      const auto large = served.Send(Post(4 * kMegabyte, 4 * kMegabyte), yield);
      CHECK(ReadStatus(*large, yield) == "HTTP/1.1 200 OK");
      for (const auto& socket : crowd)
        socket->close();
      Sleep(served.io, milliseconds(100), yield);
    });
    CHECK(most <= bounds.budget.total_bytes);
    CHECK(served.Counted("slow_sender"));
  }
}

// Guards against bodies that are read although nothing needs them, and against
// callers that keep a connection for almost no bytes.
TEST_CASE("requests outside the limits are refused", "[callers]") {
  struct row {
    const char* name;
    std::string request;
    std::string status;  // empty: the connection closes
    std::string cause;
  };
  const row rows[] = {
      {"body within the limit of the path", Post(65'536, 65'536),
       "HTTP/1.1 200 OK", ""},
      {"body that the path does not need", Post(65'537, 0),
       "HTTP/1.1 413 Payload Too Large", "large_body"},
      {"chunks that the path does not need", PostChunks(1'000, 70, false),
       "HTTP/1.1 413 Payload Too Large", "large_body"},
      {"body that stops", Post(1'000, 10), "HTTP/1.1 408 Request Timeout",
       "slow_caller"},
      {"body that is expected",
       "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
       "Content-Length: 10\r\n\r\n",
       "HTTP/1.1 100 Continue", ""},
      {"half a head", "POST /x HTTP/1.1\r\nHost",
       "HTTP/1.1 408 Request Timeout", "slow_caller"},
      {"nothing", "", "", ""},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    caller_bounds bounds = BoundsOf(112);
    bounds.min_body_rate_window = milliseconds(300);
    http_server_limits limits;
    limits.header_timeout = milliseconds(300);
    limits.idle_timeout = milliseconds(300);
    guarded_server served(bounds, limits);
    served.handler.max_body = http_handler::kSmallBodyBytes;
    served.Run([&](asio::yield_context yield) {
      const auto socket = served.Send(r.request, yield);
      CHECK(ReadStatus(*socket, yield) == r.status);
    });
    CHECK((r.cause.empty() || served.Counted(r.cause)));
  }
}

// Guards against callers that take all connections.
TEST_CASE("connections are limited", "[callers]") {
  struct row {
    const char* name;
    std::size_t in_total;
    std::size_t per_address;
    bool trusted;
    bool idle;  // else half a head was sent on each
    bool last_is_served;
    std::string cause;
  };
  const row rows[] = {
      {"none", 100, 0, false, true, true, ""},
      {"in total, idle", 5, 0, false, true, true, "idle"},
      {"in total, slow", 5, 0, false, false, true, "slow_sender"},
      {"per address", 100, 5, false, true, false, "connections_per_address"},
      {"per address, trusted", 100, 5, true, true, true, ""},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    caller_bounds bounds = BoundsOf(112);
    bounds.max_connections = r.in_total;
    bounds.max_connections_per_address = r.per_address;
    if (r.trusted)
      bounds.trusted_addresses = {"127.0.0.1"};
    guarded_server served(bounds);
    std::size_t most = 0;
    served.Run([&](asio::yield_context yield) {
      std::vector<std::unique_ptr<tcp::socket>> crowd;
      for (int i = 0; i < 10; ++i)
        crowd.push_back(
            served.Send(r.idle ? "" : "POST /x HTTP/1.1\r\n", yield));
      Sleep(served.io, milliseconds(600), yield);
      const auto last = served.Send(Post(10, 10), yield);
      CHECK((ReadStatus(*last, yield) == "HTTP/1.1 200 OK") ==
            r.last_is_served);
      most = served.guard->connections();
    });
    if (r.cause.empty())
      CHECK(most == 11);
    else
      CHECK(served.Counted(r.cause));
  }
}

// Guards against responses that are held for callers which do not read them.
TEST_CASE("an unread response ends the connection", "[callers]") {
  caller_bounds bounds = BoundsOf(112);
  bounds.max_unread_response = milliseconds(300);
  guarded_server served(bounds);
  served.handler.response_bytes = 16 * kMegabyte;
  served.Run([&](asio::yield_context yield) {
    const auto socket = served.Send(Post(10, 10), yield);
    while (served.handler.requests == 0)
      Sleep(served.io, kPoll, yield);
    CHECK(served.guard->bytes() > 16 * kMegabyte);
    const time_point until = clock::now() + milliseconds(5'000);
    while (served.handler.ended == 0 && clock::now() < until)
      Sleep(served.io, kPoll, yield);
  });
  CHECK(served.handler.ended == 1);
  CHECK_FALSE(served.handler.sent);
  CHECK(served.Counted("unread_response"));
}

// Guards against connections on which requests pile up.
TEST_CASE("too many pipelined bytes close the connection", "[callers]") {
  struct row {
    const char* name;
    int requests;
    bool closes;
  };
  const row rows[] = {{"few", 5, false}, {"many", 50, true}};
  for (const row& r : rows) {
    CAPTURE(r.name);
    caller_bounds bounds = BoundsOf(112);
    bounds.max_pipelined_bytes = 2'000;
    guarded_server served(bounds);
    served.Run([&](asio::yield_context yield) {
      std::string requests;
      for (int i = 0; i < r.requests; ++i)
        requests += Post(100, 100);
      const auto socket = served.Send(requests, yield);
      Sleep(served.io, milliseconds(300), yield);
    });
    CHECK(served.Counted("pipelined") == r.closes);
    CHECK(served.handler.requests == (r.closes ? 1 : r.requests));
  }
}

// Guards against bounds that leave no descriptors for upstreams and peers.
TEST_CASE("bounds follow from the settings and the machine", "[callers]") {
  struct row {
    const char* name;
    std::size_t memory_mb;
    std::size_t physical_mb;
    std::size_t descriptors;
    std::size_t budget;
    std::size_t connections;
  };
  const row rows[] = {
      {"smallest", 112, 8'000, 2'870, 42 * kMegabyte, 2'582},
      {"half of the machine", 0, 320, 8'192, 60 * kMegabyte, 7'904},
      {"few descriptors", 112, 8'000, 100, 42 * kMegabyte, 16},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    caller_limit_settings settings;
    settings.memory_mb = r.memory_mb;
    const auto bounds =
        MakeCallerBounds(settings, r.physical_mb * kMegabyte, r.descriptors);
    CHECK(bounds.budget.total_bytes == r.budget);
    CHECK(bounds.max_connections == r.connections);
  }
}

}  // namespace
}  // namespace cactusward
