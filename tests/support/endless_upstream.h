// An upstream that answers each request with bytes without end.
#ifndef CACTUSWARD_TESTS_SUPPORT_ENDLESS_UPSTREAM_H_
#define CACTUSWARD_TESTS_SUPPORT_ENDLESS_UPSTREAM_H_

#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "src/edges/net.h"
#include "tests/support/platform_fakes.h"

namespace cactusward::testing {

class endless_upstream {
 public:
  // Stops by itself after this many bytes, to protect the machine.
  static constexpr std::uint64_t kMaxBytes = 512ULL * 1024 * 1024;

  // Sends `start`, then `repeated` until the peer closes the connection, with
  // `pause` between two parts.
  endless_upstream(asio::io_context& io,
                   std::string start,
                   const std::string& repeated,
                   milliseconds pause)
      : io_(io),
        address_(FreeAddress()),
        acceptor_(io, *ParseTcpEndpoint(address_)),
        start_(std::move(start)),
        pause_(pause) {
    constexpr std::size_t kPartBytes = 64ULL * 1024;
    // Without a pause, many repetitions are sent at once.
    do {
      part_ += repeated;
    } while (pause_ == milliseconds(0) && part_.size() < kPartBytes);
    Spawn(io_, "endless_upstream",
          [this](asio::yield_context yield) { Accept(yield); });
  }

  // Answers health checks like a sound upstream.
  void SetHealthy() { healthy_ = true; }

  const std::string& address() const { return address_; }
  int connections() const { return connections_; }
  // Connections that the peer closed.
  int closed() const { return closed_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  void Accept(asio::yield_context yield) {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(io_);
      boost::system::error_code error;
      acceptor_.async_accept(*socket, yield[error]);
      if (error)
        return;
      ++connections_;
      Spawn(io_, "endless_response", [this, socket](asio::yield_context inner) {
        Respond(*socket, inner);
      });
    }
  }

  void Respond(tcp::socket& socket, asio::yield_context yield) {
    std::string request(4096, '\0');
    boost::system::error_code error;
    socket.async_read_some(asio::buffer(request), yield[error]);
    if (healthy_ && request.rfind("GET /health", 0) == 0) {
      const std::string_view response =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
      asio::async_write(socket, asio::buffer(response), yield[error]);
      return;
    }
    if (!error)
      asio::async_write(socket, asio::buffer(start_), yield[error]);
    while (!error && sent_bytes_ < kMaxBytes) {
      sent_bytes_ +=
          asio::async_write(socket, asio::buffer(part_), yield[error]);
      if (pause_ > milliseconds(0))
        Sleep(io_, pause_, yield);
    }
    closed_ += error ? 1 : 0;
  }

  asio::io_context& io_;
  std::string address_;
  tcp::acceptor acceptor_;
  std::string start_;
  std::string part_;
  milliseconds pause_;
  bool healthy_ = false;
  int connections_ = 0;
  int closed_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_ENDLESS_UPSTREAM_H_
