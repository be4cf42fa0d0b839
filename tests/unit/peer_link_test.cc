#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/edges/peer_link.h"
#include "tests/support/platform_fakes.h"

namespace cactusward {
namespace {

constexpr const char* kSecret = "0123456789abcdef";
constexpr milliseconds kCallTimeout{300};

class echo_handler : public peer_handler {
 public:
  void OnPeerCall(const nlohmann::json& request, reply reply) override {
    reply(request);
  }
};

// Guards against a connection that has gone silent for good and makes all later
// calls to that peer time out.
TEST_CASE("a call after one that timed out uses another connection") {
  struct row {
    const char* name;
    int silent_calls;
  };
  const row rows[] = {{"no call timed out", 0},
                      {"one call timed out", 1},
                      {"two calls timed out", 2}};
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    echo_handler handler;
    peer_link caller(io, kSecret, &handler);
    peer_link peer(io, kSecret, &handler);
    const std::string address = testing::FreeAddress();
    const nlohmann::json request = {{"op", "echo"}};
    Spawn(io, "test", [&](asio::yield_context yield) {
      // Stay open, and never respond.
      std::vector<tcp::socket> silent;
      {
        tcp::acceptor acceptor(io, *ParseTcpEndpoint(address));
        acceptor.non_blocking(true);
        for (int i = 0; i < r.silent_calls; ++i) {
          CHECK_FALSE(caller.Call(address, request, clock::now() + kCallTimeout,
                                  yield));
          boost::system::error_code none_pending;
          tcp::socket socket(io);
          acceptor.accept(socket, none_pending);
          silent.push_back(std::move(socket));
        }
      }
      REQUIRE(peer.Listen(address));
      const auto answer =
          caller.Call(address, request, clock::now() + kCallTimeout, yield);
      REQUIRE(answer);
      CHECK(*answer == request);
      io.stop();
    });
    io.run();
  }
}

constexpr std::size_t kMaxUnauthenticated = 8;
constexpr milliseconds kLongTimeout{10'000};

caller_bounds BoundsForTest() {
  caller_bounds bounds;
  bounds.max_unauthenticated = kMaxUnauthenticated;
  return bounds;
}

// The handshake of a peer, and the head of a frame of `length` bytes.
std::string HandshakeAndFrameHead(std::uint32_t length) {
  std::string bytes =
      "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  bytes += std::string("\x82\xff", 2) + std::string(4, '\0');
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>(length >> static_cast<unsigned>(shift));
  return bytes + std::string(4, '\0');
}

// Guards against callers at the port for peers that keep peers out, or that
// hold large frames there.
TEST_CASE("peers are served alongside unauthenticated connections") {
  struct row {
    const char* name;
    std::string sent;  // by each connection of the crowd
    bool ends;         // the connections are closed at once, not at the limit
    std::size_t first_call_bytes;
  };
  const row rows[] = {
      {"silent", "", false, 10},
      {"half a head", "GET / HTTP/1.1\r\nX-Half", false, 10},
      {"a head over the limit",
       "GET / HTTP/1.1\r\nX: " + std::string(5'000, 'x'), true, 10},
      {"a frame over the limit for first frames",
       HandshakeAndFrameHead(1'000'000), true, 10},
      {"an unfinished frame", HandshakeAndFrameHead(100'000) + "x", false, 10},
      {"a frame without a valid tag",
       HandshakeAndFrameHead(20) + std::string(20, 'x'), true, 10},
      {"a first call with the largest stored response", "", false, 100'000},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    echo_handler handler;
    const auto guard = std::make_shared<caller_guard>(BoundsForTest());
    peer_link peer(io, kSecret, &handler, guard);
    peer_link early(io, kSecret, &handler);
    peer_link late(io, kSecret, &handler);
    const std::string address = testing::FreeAddress();
    REQUIRE(peer.Listen(address));
    const nlohmann::json small = {{"op", "echo"}};
    const nlohmann::json first = {{"op", std::string(r.first_call_bytes, 'x')}};
    const nlohmann::json large = {{"op", std::string(3'000'000, 'x')}};
    Spawn(io, "test", [&](asio::yield_context yield) {
      CHECK(early.Call(address, small, clock::now() + kLongTimeout, yield));
      std::vector<std::unique_ptr<tcp::socket>> crowd;
      for (std::size_t i = 0; i < 3 * kMaxUnauthenticated; ++i) {
        crowd.push_back(std::make_unique<tcp::socket>(io));
        crowd.back()->connect(*ParseTcpEndpoint(address));
        boost::system::error_code ignored;
        asio::write(*crowd.back(), asio::buffer(r.sent), ignored);
      }
      CHECK(early.Call(address, small, clock::now() + kLongTimeout, yield));
      CHECK(late.Call(address, first, clock::now() + kLongTimeout, yield));
      // An authenticated peer may send large frames.
      const auto answer =
          late.Call(address, large, clock::now() + kLongTimeout, yield);
      CHECK((answer && *answer == large));
      CHECK(guard->bytes() == 0);
      const std::string metrics = guard->MetricsText();
      CAPTURE(metrics);
      CHECK((metrics.find("{cause=\"unauthenticated\"}") !=
             std::string::npos) == r.ends);
      CHECK((metrics.find("{cause=\"unauthenticated_connections\"}") !=
             std::string::npos) == !r.ends);
      io.stop();
    });
    io.run();
  }
}

// Guards against a bound on unauthenticated connections that keeps out a fleet
// that starts at once.
TEST_CASE("a whole fleet connects to one instance at once") {
  constexpr int kFleet = 540;
  asio::io_context io;
  echo_handler handler;
  peer_link peer(io, kSecret, &handler);
  const std::string address = testing::FreeAddress();
  REQUIRE(peer.Listen(address));
  std::vector<std::unique_ptr<peer_link>> fleet;
  int served = 0;
  int done = 0;
  for (int i = 0; i < kFleet; ++i) {
    fleet.push_back(std::make_unique<peer_link>(io, kSecret, &handler));
    Spawn(io, "caller",
          [&, link = fleet.back().get()](asio::yield_context yield) {
            if (link->Call(address, {{"op", "echo"}},
                           clock::now() + kLongTimeout, yield))
              ++served;
            if (++done == kFleet)
              io.stop();
          });
  }
  io.run();
  CHECK(served == kFleet);
}

}  // namespace
}  // namespace cactusward
