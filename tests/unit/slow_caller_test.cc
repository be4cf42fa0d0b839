// Callers that read slowly, but without a pause, get their whole response.
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include "tests/support/scripted_upstream.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::scripted_upstream;
using testing::small_fleet;

constexpr std::size_t kBodyBytes = 6ULL * 1024 * 1024;
constexpr std::size_t kReadBytes = 64ULL * 1024;

struct read_result {
  std::size_t bytes = 0;
  bool complete = false;
  duration time{0};
};

// Reads a response to `request` at a constant rate.
read_result ReadSlowly(small_fleet& fleet,
                       const std::string& request,
                       duration total_time,
                       asio::yield_context yield) {
  tcp::socket socket(fleet.io, tcp::v4());
  boost::system::error_code error;
  socket.set_option(asio::socket_base::receive_buffer_size(8 * 1024), error);
  socket.async_connect(*ParseTcpEndpoint(fleet.settings.listen), yield[error]);
  REQUIRE_FALSE(error);
  asio::async_write(socket, asio::buffer(request), yield[error]);
  const time_point started = clock::now();
  read_result result;
  std::vector<char> buffer(kReadBytes);
  while (!error && result.bytes < kBodyBytes) {
    const double share =
        static_cast<double>(result.bytes) / static_cast<double>(kBodyBytes);
    const time_point due =
        started + std::chrono::duration_cast<duration>(total_time * share);
    if (due > clock::now())
      Sleep(fleet.io, due - clock::now(), yield);
    result.bytes += asio::async_read(socket, asio::buffer(buffer),
                                     asio::transfer_at_least(1), yield[error]);
  }
  result.complete = result.bytes >= kBodyBytes;
  result.time = clock::now() - started;
  return result;
}

TEST_CASE("a caller that reads slowly gets its whole response", "[long]") {
  small_fleet fleet;
  scripted_upstream upstream(fleet.io, [](const http_request& request, int) {
    scripted_upstream::reply reply;
    reply.parts.push_back(
        {"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: " +
         std::string(request["X-Attempt-Id"]) +
         "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
         std::string(kBodyBytes, 'x')});
    return reply;
  });
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.store.Put("servers/slow", upstream.Entry("plain"));
  fleet.Run([&](asio::yield_context yield) {
    const std::string request =
        "POST /often/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
        "X-Deadline-Ms: 12000\r\nAuthorization: Token key\r\n"
        "Content-Length: 0\r\n\r\n";
    const auto result = ReadSlowly(fleet, request, milliseconds(7'500), yield);
    CAPTURE(result.bytes, ToMilliseconds(result.time));
    CHECK(result.complete);
  });
}

}  // namespace
}  // namespace cactusward
