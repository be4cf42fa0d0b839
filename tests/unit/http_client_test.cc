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

}  // namespace
}  // namespace cactusward
