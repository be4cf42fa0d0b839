#include <catch2/catch.hpp>
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

}  // namespace
}  // namespace cactusward
