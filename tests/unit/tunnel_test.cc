// Tests of tunnels between instances on their own.
#include <catch2/catch.hpp>

#include "src/edges/http_client.h"
#include "src/edges/tunnel.h"
#include "tests/support/closing_upstream.h"
#include "tests/support/endless_upstream.h"
#include "tests/support/invalid_responses.h"
#include "tests/support/memory_growth.h"
#include "tests/support/platform_fakes.h"
#include "tests/support/scripted_upstream.h"

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

// Guards against a tunnel whose bytes would be read as those of an upstream,
// though it does not lead to one.
TEST_CASE("an invalid response of a peer opens no tunnel") {
  struct row {
    std::string name;
    std::string response;
    tunnel_outcome outcome;
  };
  const std::string open = "Tunnel-Outcome: open\r\n";
  std::vector<row> rows = {
      {"open", "HTTP/1.1 200 OK\r\n" + open + "\r\n", tunnel_outcome::kOpen},
      {"denied", "HTTP/1.1 502 x\r\nTunnel-Outcome: denied\r\n\r\n",
       tunnel_outcome::kDenied},
      {"open, but failed", "HTTP/1.1 502 x\r\n" + open + "\r\n",
       tunnel_outcome::kPeerGone},
      {"denied, but successful",
       "HTTP/1.1 200 OK\r\nTunnel-Outcome: denied\r\n\r\n",
       tunnel_outcome::kPeerGone},
      {"no outcome", "HTTP/1.1 200 OK\r\n\r\n", tunnel_outcome::kPeerGone},
  };
  for (const testing::invalid_response& invalid : testing::InvalidResponses())
    rows.push_back(
        {invalid.name, invalid.Bytes(open, ""), tunnel_outcome::kPeerGone});
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    testing::scripted_upstream peer(io, [&r](const http_request&, int) {
      return testing::scripted_upstream::reply{{{r.response, {}}}};
    });
    direct_connector direct(io);
    Spawn(io, "test", [&](asio::yield_context yield) {
      const auto attempt =
          OpenTunnel(direct, kSecret, peer.address(), FreeAddress(), "id",
                     clock::now() + kTimeout, yield, nullptr);
      CHECK(attempt.outcome == r.outcome);
      CHECK((attempt.socket != nullptr) ==
            (r.outcome == tunnel_outcome::kOpen));
      io.stop();
    });
    io.run();
  }
}

// Connects to one address through a tunnel.
class tunnel_connector : public connector {
 public:
  tunnel_connector(asio::io_context& io,
                   direct_connector* direct,
                   std::string tunnel_address)
      : io_(io), direct_(direct), tunnel_address_(std::move(tunnel_address)) {}

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
                       asio::yield_context yield) override {
    Sleep(io_, answer_time_, yield);
    return server_ && server_->EndedByUpstream(tunnel.id);
  }
  // Sets the time until the peer answers whether the upstream ended a tunnel.
  void SetAnswerTime(milliseconds time) { answer_time_ = time; }
  // Null: the peer that carries the tunnels is gone.
  void SetServer(const tunnel_server* server) { server_ = server; }

 private:
  asio::io_context& io_;
  direct_connector* direct_;
  std::string tunnel_address_;
  milliseconds answer_time_{0};
  const tunnel_server* server_ = nullptr;
};

// Guards against a complete response that fails because its reader looked
// elsewhere before the peer said that the upstream had ended it.
TEST_CASE("a reader may leave before the end of a tunnel is confirmed") {
  asio::io_context io;
  http_client client(io);
  fixed_policy policy(true);
  tunnel_server server(io, kSecret, &client.direct(), &policy);
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  tunnel_connector through_peer(io, &client.direct(), address);
  through_peer.SetServer(&server);
  through_peer.SetAnswerTime(milliseconds(150));
  client.SetUpstreamConnector(&through_peer);
  closing_upstream upstream(io, "HTTP/1.1 200 OK\r\n\r\nbody",
                            closing_upstream::close_kind::kRegular);
  std::string body;
  error_kind kind = error_kind::kTimedOut;
  Spawn(io, "test", [&](asio::yield_context yield) {
    send_options options;
    options.to_upstream = true;
    http::request<http::string_body> message(http::verb::get, "/", 11);
    const time_point end = clock::now() + kTimeout;
    auto stream = client.Start(upstream.address(), std::move(message), options,
                               end, yield, nullptr);
    REQUIRE(stream);
    REQUIRE((*stream)->ReadHeader(end, yield));
    while (kind == error_kind::kTimedOut && clock::now() < end) {
      const auto bytes =
          (*stream)->Read(clock::now() + milliseconds(50), yield);
      kind = bytes && !bytes->empty() ? error_kind::kTimedOut : bytes.kind();
      if (bytes)
        body.append(*bytes);
      Sleep(io, milliseconds(50), yield);
    }
    io.stop();
  });
  io.run();
  CHECK(kind == error_kind::kOk);
  CHECK(body == "body");
}

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
    tunnel_connector through_peer(io, &client.direct(), address);
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

// Guards against an invalid response that is taken for a valid one because it
// comes through a peer.
TEST_CASE("an invalid response through a peer is an error") {
  for (const testing::invalid_response& r : testing::InvalidResponses()) {
    CAPTURE(r.name);
    asio::io_context io;
    http_client client(io);
    fixed_policy policy(true);
    tunnel_server server(io, kSecret, &client.direct(), &policy);
    const std::string address = FreeAddress();
    REQUIRE(server.Listen(address));
    tunnel_connector through_peer(io, &client.direct(), address);
    through_peer.SetServer(&server);
    client.SetUpstreamConnector(&through_peer);
    testing::scripted_upstream upstream(io, [&r](const http_request&, int) {
      return testing::scripted_upstream::reply{
          {{r.Bytes("X-A: b\r\n", "hello"), {}}}, true};
    });
    Spawn(io, "test", [&](asio::yield_context yield) {
      outgoing_request request;
      request.target = "/";
      request.to_upstream = true;
      CHECK(
          client
              .Call(upstream.address(), request, clock::now() + kTimeout, yield)
              .kind() == error_kind::kUpstreamGarbled);
      io.stop();
    });
    io.run();
  }
}

// Guards against a peer that keeps what endless upstreams send through it, for
// callers that read slowly or not at all.
TEST_CASE("an endless response through a peer is bounded") {
  constexpr std::int64_t kMaxGrowthBytes = 32'000'000;
  constexpr int kCallers = 64;
  constexpr std::size_t kMaxBodyBytes = 64ULL * 1024;
  constexpr milliseconds kPlayTime{1'500};
  asio::io_context io;
  http_client client(io);
  fixed_policy policy(true);
  tunnel_server server(io, kSecret, &client.direct(), &policy);
  const std::string address = FreeAddress();
  REQUIRE(server.Listen(address));
  tunnel_connector through_peer(io, &client.direct(), address);
  through_peer.SetServer(&server);
  client.SetUpstreamConnector(&through_peer);
  testing::endless_upstream upstream(io, "HTTP/1.1 200 OK\r\n\r\n", "a",
                                     milliseconds(0));
  int ended = 0;
  for (int i = 0; i < kCallers; ++i) {
    Spawn(io, "call", [&, reads = i % 2 == 0](asio::yield_context yield) {
      const time_point end = clock::now() + kPlayTime;
      outgoing_request request;
      request.to_upstream = true;
      if (reads) {
        CHECK(!client.Call(upstream.address(), request, end, yield,
                           kMaxBodyBytes));
      } else {
        const auto stream =
            client.Open(upstream.address(), request, end, yield);
        Sleep(io, end - clock::now(), yield);
      }
      ++ended;
    });
  }
  std::int64_t growth = 0;
  Spawn(io, "test", [&](asio::yield_context yield) {
    const testing::memory_growth memory(io);
    while (ended < kCallers)
      Sleep(io, milliseconds(10), yield);
    growth = memory.bytes();
    Sleep(io, milliseconds(200), yield);
    io.stop();
  });
  io.run();
  CHECK(upstream.connections() == kCallers);
  CHECK(upstream.closed() == kCallers);
  CHECK(server.open() == 0);
  CHECK(growth < kMaxGrowthBytes);
}

}  // namespace
}  // namespace cactusward
