// Guards against a request that may have been executed being reported as not
// sent, which would allow a second execution.
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "src/edges/http_client.h"
#include "tests/support/scripted_upstream.h"

namespace cactusward {
namespace {

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Responds to one request, reads the next, and closes connection and port.
void ServeOnceThenClose(asio::io_context& io,
                        tcp::acceptor& acceptor,
                        asio::yield_context yield) {
  tcp::socket socket(io);
  acceptor.async_accept(socket, yield);
  std::string buffer(4096, '\0');
  socket.async_read_some(asio::buffer(buffer), yield);
  asio::async_write(socket, asio::buffer(kAnswer), yield);
  socket.async_read_some(asio::buffer(buffer), yield);
  acceptor.close();
}

TEST_CASE(
    "a request on a reused connection that closes may have been executed") {
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  http_client client(io);
  asio::spawn(io, [&](asio::yield_context yield) {
    ServeOnceThenClose(io, acceptor, yield);
  });
  error_kind second = error_kind::kOk;
  asio::spawn(io, [&](asio::yield_context yield) {
    const time_point deadline = clock::now() + std::chrono::seconds(20);
    REQUIRE(client.Call(address, {}, deadline, yield));
    second = client.Call(address, {}, deadline, yield).kind();
  });
  io.run();
  CHECK(second == error_kind::kUpstreamFailed);
}

// Guards against a request that is sent although its upstream was evacuated
// while the connection was being established.
TEST_CASE("a request that may not be sent is not sent") {
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  http_client client(io);
  std::size_t received = 1;
  error_kind kind = error_kind::kOk;
  asio::spawn(io, [&](asio::yield_context yield) {
    tcp::socket socket(io);
    acceptor.async_accept(socket, yield);
    std::string buffer(4096, '\0');
    boost::system::error_code error;
    received = socket.async_read_some(asio::buffer(buffer), yield[error]);
  });
  asio::spawn(io, [&](asio::yield_context yield) {
    outgoing_request request;
    request.may_send = [] { return false; };
    kind = client
               .Call(address, request, clock::now() + std::chrono::seconds(20),
                     yield)
               .kind();
  });
  io.run();
  CHECK(kind == error_kind::kUpstreamRefused);
  CHECK(received == 0);
}

// Guards against connections to upstreams that are gone, or bytes received on
// them, being kept for as long as the process runs.
TEST_CASE("idle connections are closed when they cannot be reused") {
  struct row {
    const char* name;
    bool peer_closes;
    std::string_view extra_bytes;
    milliseconds age;
    std::size_t left;
  };
  const row rows[] = {
      {"a young connection stays", false, "", milliseconds(0), 1},
      {"an old connection", false, "", milliseconds(10'000), 0},
      {"a connection that the peer closed", true, "", milliseconds(0), 0},
      {"a connection with bytes of no response", false, "x", milliseconds(0),
       0},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    tcp::acceptor acceptor(io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    http_client client(io);
    tcp::socket peer(io);
    std::size_t before = 0;
    std::size_t after = 0;
    asio::spawn(io, [&](asio::yield_context yield) {
      acceptor.async_accept(peer, yield);
      std::string buffer(4096, '\0');
      peer.async_read_some(asio::buffer(buffer), yield);
      asio::async_write(peer, asio::buffer(kAnswer), yield);
    });
    asio::spawn(io, [&](asio::yield_context yield) {
      const time_point deadline = clock::now() + std::chrono::seconds(20);
      REQUIRE(client.Call(address, {}, deadline, yield));
      before = client.idle_connections();
      if (!r.extra_bytes.empty())
        asio::async_write(peer, asio::buffer(r.extra_bytes), yield);
      if (r.peer_closes)
        peer.close();
      Sleep(io, milliseconds(50), yield);
      client.CloseUnusableConnections(clock::now() + r.age);
      after = client.idle_connections();
    });
    io.run();
    CHECK(before == 1);
    CHECK(after == r.left);
  }
}

TEST_CASE("a refused connection proves that nothing was sent") {
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  acceptor.close();
  http_client client(io);
  error_kind kind = error_kind::kOk;
  asio::spawn(io, [&](asio::yield_context yield) {
    kind =
        client.Call(address, {}, clock::now() + std::chrono::seconds(20), yield)
            .kind();
  });
  io.run();
  CHECK(kind == error_kind::kUpstreamUnreachable);
}

// Guards against a refusal that was meant for another request, which would make
// its caller believe that a request is not executed that is.
TEST_CASE("a response that names another request is believed in nothing") {
  struct row {
    const char* name;
    std::string_view fields;
    error_kind kind;
  };
  const row rows[] = {
      {"the request", "X-Request-Id: own\r\n", error_kind::kOk},
      {"no request", "", error_kind::kOk},
      {"another request", "X-Request-Id: other\r\n",
       error_kind::kUpstreamGarbled},
  };
  for (const row& r : rows) {
    for (const std::string_view status : {"200", "429", "503", "500"}) {
      for (const bool kept : {false, true}) {
        CAPTURE(r.name, status, kept);
        const auto script = [&](const http_request& request, int) {
          const bool first = request.target() == "/first";
          return testing::scripted_upstream::reply{
              {{testing::ResponseBytes(
                    first ? 200 : std::stoi(std::string(status)),
                    std::string(first ? "" : r.fields), "body"),
                {}}},
              false};
        };
        asio::io_context io;
        testing::scripted_upstream upstream(io, script);
        http_client client(io);
        error_kind kind = error_kind::kOk;
        std::size_t reusable = 0;
        Spawn(io, "test", [&](asio::yield_context yield) {
          const time_point deadline = clock::now() + std::chrono::seconds(20);
          outgoing_request request;
          request.headers = {{"X-Request-Id", "own"}};
          request.target = "/first";
          if (kept)
            REQUIRE(client.Call(upstream.address(), request, deadline, yield));
          request.target = "/second";
          const auto response =
              client.Call(upstream.address(), request, deadline, yield);
          kind = response ? error_kind::kOk : response.kind();
          reusable = client.idle_connections();
          io.stop();
        });
        io.run();
        CHECK(kind == r.kind);
        CHECK(reusable == (r.kind == error_kind::kOk ? 1 : 0));
      }
    }
  }
}

// Guards against the rest of a long request reaching an upstream seconds after
// it announced that it leaves.
TEST_CASE("a message is not written on when it must no longer be sent") {
  struct row {
    const char* name;
    bool may_abort_write;
    bool allowed_at_start;
    bool maybe_sent;
    error_kind kind;
  };
  const row rows[] = {
      {"before the first byte", false, false, false,
       error_kind::kUpstreamRefused},
      {"while it is written", true, true, true, error_kind::kUpstreamRefused},
      {"a message that may not be repeated is written on", false, true, true,
       error_kind::kTimedOut},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    // Accepts the connection and reads nothing.
    tcp::acceptor acceptor(io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    http_client client(io);
    send_failure failure;
    error_kind kind = error_kind::kOk;
    bool allowed = r.allowed_at_start;
    asio::spawn(io, [&](asio::yield_context yield) {
      asio::steady_timer withdrawal(io, milliseconds(150));
      withdrawal.async_wait(
          [&allowed](const boost::system::error_code&) { allowed = false; });
      // More than the buffers of both sides hold.
      http::request<http::string_body> message(http::verb::post, "/", 11);
      message.body() = std::string(64ULL * 1024 * 1024, 'x');
      message.prepare_payload();
      send_options options;
      options.may_send = [&allowed] { return allowed; };
      options.may_abort_write = r.may_abort_write;
      kind = client
                 .Send(address, std::move(message), options,
                       clock::now() + milliseconds(1'500), yield, nullptr,
                       &failure)
                 .kind();
    });
    io.run();
    CHECK(kind == r.kind);
    CHECK(failure.maybe_sent == r.maybe_sent);
  }
}

// Guards against a response that is lost because its reader looked elsewhere
// for a while.
TEST_CASE("a read that timed out can be continued") {
  struct row {
    const char* name;
    std::vector<std::string_view> parts;  // written 100 ms apart
    std::size_t idle_afterwards;
  };
  const row rows[] = {
      {"the header is late", {"", kAnswer}, 1},
      {"the header arrives in parts",
       {"HTTP/1.1 200 OK\r\nConte", "nt-Length: 2\r\n\r\nok"},
       1},
      {"the body is late",
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "ok"},
       1},
      {"the body arrives in parts",
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", "k"},
       1},
      {"chunks in parts",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no", "\r\n",
        "1;x", "=y\r\nk\r\n0\r\n", "\r\n"},
       1},
      {"after an interim response",
       {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 2",
        "00 OK\r\nContent-Length: 2\r\n\r\nok"},
       1},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    tcp::acceptor acceptor(io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    http_client client(io);
    tcp::socket peer(io);
    asio::spawn(io, [&](asio::yield_context yield) {
      acceptor.async_accept(peer, yield);
      std::string buffer(4096, '\0');
      peer.async_read_some(asio::buffer(buffer), yield);
      for (const std::string_view part : r.parts) {
        asio::async_write(peer, asio::buffer(part), yield);
        Sleep(io, milliseconds(100), yield);
      }
    });
    std::string body;
    int timeouts = 0;
    asio::spawn(io, [&](asio::yield_context yield) {
      http::request<http::string_body> message(http::verb::get, "/", 11);
      auto stream =
          client.Start(address, std::move(message), {},
                       clock::now() + std::chrono::seconds(2), yield, nullptr);
      REQUIRE(stream);
      const time_point end = clock::now() + std::chrono::seconds(5);
      const auto soon = [] { return clock::now() + milliseconds(20); };
      auto header = (*stream)->ReadHeader(soon(), yield);
      for (; !header && clock::now() < end;
           header = (*stream)->ReadHeader(soon(), yield)) {
        CHECK(header.kind() == error_kind::kTimedOut);
        ++timeouts;
      }
      REQUIRE(header);
      CHECK((*stream)->status() == 200);
      while (clock::now() < end) {
        const auto bytes = (*stream)->Read(soon(), yield);
        if (bytes && bytes->empty())
          break;
        if (bytes) {
          body.append(*bytes);
        } else {
          CHECK(bytes.kind() == error_kind::kTimedOut);
          ++timeouts;
        }
      }
    });
    io.run();
    CHECK(body == "ok");
    CHECK(timeouts > 0);
    CHECK(client.idle_connections() == r.idle_afterwards);
  }
}

// Guards against a stream that ends as complete without the bytes that arrived
// while its reader looked elsewhere.
TEST_CASE("what arrives between two reads is kept") {
  enum class ending { kOpen, kClosed, kReset };
  struct row {
    const char* name;
    std::vector<std::string_view> parts;  // each arrives between two reads
    ending end;
    error_kind kind;
    std::string_view body;
  };
  const row rows[] = {
      {"a header and a body",
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "\r\n", "o", "k"},
       ending::kOpen,
       error_kind::kOk,
       "ok"},
      {"a body until the connection closes",
       {"HTTP/1.1 200 OK\r\n\r\n", "o", "k"},
       ending::kClosed,
       error_kind::kOk,
       "ok"},
      {"bytes and the end at once",
       {"HTTP/1.1 200 OK\r\n\r\no", "k"},
       ending::kClosed,
       error_kind::kOk,
       "ok"},
      {"the frame of a chunk before its bytes",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n", "o", "k",
        "\r\n0\r\n\r\n"},
       ending::kOpen,
       error_kind::kOk,
       "ok"},
      {"a reset",
       {"HTTP/1.1 200 OK\r\n\r\n", "o", "k"},
       ending::kReset,
       error_kind::kUpstreamFailed,
       ""},
      {"a reset in the header",
       {"HTTP/1.1 200 OK\r\n"},
       ending::kReset,
       error_kind::kUpstreamFailed,
       ""},
      {"bytes that are no header",
       {"HTTP/1.1 ", "x\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok"},
       ending::kClosed,
       error_kind::kUpstreamGarbled,
       ""},
  };
  constexpr milliseconds kReadTime{10};
  constexpr milliseconds kAbsence{60};
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    tcp::acceptor acceptor(io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    http_client client(io);
    tcp::socket peer(io);
    std::size_t sent = 0;
    asio::spawn(io, [&](asio::yield_context yield) {
      acceptor.async_accept(peer, yield);
      std::string buffer(4096, '\0');
      peer.async_read_some(asio::buffer(buffer), yield);
    });
    const auto send_next = [&] {
      boost::system::error_code ignored;
      if (sent < r.parts.size()) {
        asio::write(peer, asio::buffer(r.parts[sent]), ignored);
      } else if (sent == r.parts.size() && r.end != ending::kOpen) {
        if (r.end == ending::kReset)
          peer.set_option(asio::socket_base::linger(true, 0), ignored);
        peer.close(ignored);
      }
      ++sent;
    };
    std::string body;
    error_kind kind = error_kind::kOk;
    asio::spawn(io, [&](asio::yield_context yield) {
      auto stream = client.Start(
          address, http::request<http::string_body>(http::verb::get, "/", 11),
          {}, clock::now() + std::chrono::seconds(2), yield, nullptr);
      REQUIRE(stream);
      const time_point end = clock::now() + std::chrono::seconds(5);
      bool has_header = false;
      while (clock::now() < end) {
        const time_point limit = clock::now() + kReadTime;
        result<std::string_view> bytes = std::string_view();
        if (has_header) {
          bytes = (*stream)->Read(limit, yield);
        } else if (const auto header = (*stream)->ReadHeader(limit, yield)) {
          has_header = true;
          continue;
        } else {
          bytes = {header.kind(), header.detail()};
        }
        kind = bytes.kind();
        if (bytes)
          body.append(*bytes);
        if (bytes ? bytes->empty() : kind != error_kind::kTimedOut)
          break;
        if (bytes)
          continue;
        send_next();
        Sleep(io, kAbsence, yield);
      }
    });
    io.run();
    CHECK(kind == r.kind);
    if (r.kind == error_kind::kOk)
      CHECK(body == r.body);
  }
}

// Guards against a sound upstream that reads a long request late being taken
// for a lost one.
TEST_CASE("a peer that reads late is not taken for lost") {
  struct row {
    const char* name;
    std::size_t body_bytes;
  };
  const row rows[] = {
      {"a short message", 100},
      {"more than the buffers of both sides hold", 64ULL * 1024 * 1024},
  };
  constexpr milliseconds kDeadPeerTimeout{1'000};
  constexpr milliseconds kPause{3'500};
  for (const row& r : rows) {
    CAPTURE(r.name);
    asio::io_context io;
    tcp::acceptor acceptor(io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    http_client client(io);
    asio::spawn(io, [&](asio::yield_context yield) {
      tcp::socket peer(io);
      acceptor.async_accept(peer, yield);
      Sleep(io, kPause, yield);
      boost::system::error_code error;
      std::string buffer(1024ULL * 1024, '\0');
      std::size_t received = 0;
      while (!error && received < r.body_bytes)
        received += peer.async_read_some(asio::buffer(buffer), yield[error]);
      asio::async_write(peer, asio::buffer(kAnswer), yield[error]);
    });
    error_kind kind = error_kind::kOk;
    asio::spawn(io, [&](asio::yield_context yield) {
      http::request<http::string_body> message(http::verb::post, "/", 11);
      message.body() = std::string(r.body_bytes, 'x');
      message.prepare_payload();
      send_options options;
      options.dead_peer_timeout = kDeadPeerTimeout;
      send_failure failure;
      kind = client
                 .Send(address, std::move(message), options,
                       clock::now() + std::chrono::seconds(15), yield, nullptr,
                       &failure)
                 .kind();
    });
    io.run();
    CHECK(kind == error_kind::kOk);
  }
}

}  // namespace
}  // namespace cactusward
