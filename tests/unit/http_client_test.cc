// Guards against a request that may have been executed being reported as not
// sent, which would allow a second execution.
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "src/edges/http_client.h"

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

}  // namespace
}  // namespace cactusward
