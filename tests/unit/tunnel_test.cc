// Tests of tunnels between instances on their own.
#include <catch2/catch.hpp>

#include "src/edges/http_client.h"
#include "src/edges/tunnel.h"
#include "tests/support/closing_upstream.h"
#include "tests/support/platform_fakes.h"

namespace cactusward {
namespace {

using testing::closing_upstream;
using testing::FreeAddress;

constexpr milliseconds kTimeout{2'000};
constexpr const char* kSecret = "0123456789abcdef";

class fixed_policy : public tunnel_policy {
 public:
  explicit fixed_policy(bool may_open) : may_open_(may_open) {}
  bool MayOpen(const std::string&) const override { return may_open_; }
  void RecordConnection(const std::string&) override { ++connections_; }
  int connections() const { return connections_; }

 private:
  bool may_open_;
  int connections_ = 0;
};

// Guards against a proxy that is open to everybody, and against refusals of an
// upstream that get lost on the way through a peer.
TEST_CASE("a tunnel is opened for peers, to upstreams that respond") {
  struct row {
    const char* name;
    const char* secret;
    bool may_open;
    bool upstream_listens;
    tunnel_outcome outcome;
  };
  const row rows[] = {
      {"an upstream", kSecret, true, true, tunnel_outcome::kOpen},
      {"another secret", "another-secret!!", true, true,
       tunnel_outcome::kDenied},
      {"not allowed", kSecret, false, true, tunnel_outcome::kDenied},
      {"no process listens", kSecret, true, false,
       tunnel_outcome::kRefusedByUpstream},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    direct_connector direct(io);
    fixed_policy policy(r.may_open);
    tunnel_server server(io, kSecret, &direct, &policy);
    const std::string address = FreeAddress();
    REQUIRE(server.Listen(address));
    testing::runner_fake upstream(io, "u");
    Spawn(io, "test", [&](asio::yield_context yield) {
      const auto attempt =
          OpenTunnel(direct, r.secret, address,
                     r.upstream_listens ? upstream.address() : FreeAddress(),
                     "id", clock::now() + kTimeout, yield, nullptr);
      CHECK(attempt.outcome == r.outcome);
      CHECK((attempt.socket != nullptr) ==
            (r.outcome == tunnel_outcome::kOpen));
      CHECK(policy.connections() == (r.outcome == tunnel_outcome::kOpen));
      io.stop();
    });
    io.run();
  }
}

// Connects to one address through a tunnel.
class tunnel_connector : public connector {
 public:
  tunnel_connector(direct_connector* direct, std::string tunnel_address)
      : direct_(direct), tunnel_address_(std::move(tunnel_address)) {}

  result<upstream_connection> Connect(const std::string& address,
                                      time_point deadline,
                                      asio::yield_context yield,
                                      cancel_token* cancel) override {
    auto attempt = OpenTunnel(*direct_, kSecret, tunnel_address_, address, "id",
                              deadline, yield, cancel);
    if (attempt.outcome != tunnel_outcome::kOpen)
      return error_kind::kUpstreamUnreachable;
    return upstream_connection{std::move(attempt.socket),
                               tunnel_reference{"id", "peer", "address"}};
  }
  bool MayReuseConnections(const std::string&) const override { return true; }
  bool EndedByUpstream(const tunnel_reference& tunnel,
                       time_point,
                       asio::yield_context) override {
    return server_ && server_->EndedByUpstream(tunnel.id);
  }
  // Null: the peer that carries the tunnels is gone.
  void SetServer(const tunnel_server* server) { server_ = server; }

 private:
  direct_connector* direct_;
  std::string tunnel_address_;
  const tunnel_server* server_ = nullptr;
};

// Guards against a response without a length that is taken for complete because
// the peer that carried it has ended.
TEST_CASE("the end of a tunnel is not that of the response") {
  using close = closing_upstream::close_kind;
  struct row {
    const char* name;
    close end;
    bool peer_is_gone;
    bool complete;
  };
  const row rows[] = {
      {"the upstream ends it", close::kRegular, false, true},
      {"the upstream resets it", close::kReset, false, false},
      {"the peer is gone", close::kRegular, true, false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    http_client client(io);
    fixed_policy policy(true);
    tunnel_server server(io, kSecret, &client.direct(), &policy);
    const std::string address = FreeAddress();
    REQUIRE(server.Listen(address));
    tunnel_connector through_peer(&client.direct(), address);
    through_peer.SetServer(r.peer_is_gone ? nullptr : &server);
    client.SetUpstreamConnector(&through_peer);
    closing_upstream upstream(io, "HTTP/1.1 200 OK\r\n\r\nbody", r.end);
    Spawn(io, "test", [&](asio::yield_context yield) {
      outgoing_request request;
      request.to_upstream = true;
      const auto response = client.Call(upstream.address(), request,
                                        clock::now() + kTimeout, yield);
      CHECK(response.ok() == r.complete);
      if (response)
        CHECK(response->body == "body");
      io.stop();
    });
    io.run();
  }
}

}  // namespace
}  // namespace cactusward
