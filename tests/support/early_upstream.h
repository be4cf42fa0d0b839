// An upstream that responds before it has read the whole request.
#ifndef CACTUSWARD_TESTS_SUPPORT_EARLY_UPSTREAM_H_
#define CACTUSWARD_TESTS_SUPPORT_EARLY_UPSTREAM_H_

#include <boost/asio/write.hpp>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/edges/net.h"

namespace cactusward::testing {

// How the upstream ends its connection, with unread bytes of the request.
enum class early_end {
  kReset,       // at once
  kClosed,      // which the kernel makes a reset, because of the unread bytes
  kHalfClosed,  // ends the response regularly, and resets some time later
};

struct early_response {
  std::string bytes;
  early_end end = early_end::kReset;
  // Bytes of the request's body that are read before the response.
  std::size_t read_before = 0;
  // Reads on in this time between the response and the end, or only waits.
  milliseconds delay{0};
  bool reads_on = false;
};

// Answers each request in the same way. Not thread-safe.
class early_upstream {
 public:
  explicit early_upstream(asio::io_context& io)
      : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    // So that the request is still being written at the end.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kBufferBytes));
    Spawn(io_, "early_upstream",
          [this](asio::yield_context yield) { Accept(yield); });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  // Returns the store's entry for this upstream.
  std::string Entry(const std::string& service) const {
    return R"({"service":")" + service + R"(","address":")" + address() +
           R"(","zone":"z","slots":16,"state":"ready","born":1})";
  }
  void SetResponse(early_response response) { response_ = std::move(response); }
  int arrivals() const { return arrivals_; }

 private:
  static constexpr int kBufferBytes = 64 * 1024;
  // How long the response is readable before a late reset.
  static constexpr milliseconds kResetDelay{100};

  void Accept(asio::yield_context yield) {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(io_);
      boost::system::error_code error;
      acceptor_.async_accept(*socket, yield[error]);
      if (error)
        return;
      Spawn(io_, "early_response", [this, socket](asio::yield_context inner) {
        Serve(*socket, inner);
      });
    }
  }

  void Serve(tcp::socket& socket, asio::yield_context yield) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    http::request_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(socket, buffer, parser, yield[error]);
    // A connection without a request is only tested.
    if (error)
      return;
    ++arrivals_;
    const early_response response = response_;
    std::vector<char> bytes(kBufferBytes);
    for (std::size_t read = buffer.size();
         read < response.read_before && !error;)
      read += socket.async_read_some(asio::buffer(bytes), yield[error]);
    asio::async_write(socket, asio::buffer(response.bytes), yield[error]);
    const time_point end = clock::now() + response.delay;
    if (response.reads_on) {
      deadline_guard guard(&socket, end);
      while (!error && !guard.expired())
        socket.async_read_some(asio::buffer(bytes), yield[error]);
    } else if (response.delay > milliseconds(0)) {
      Sleep(io_, response.delay, yield);
    }
    if (response.end == early_end::kHalfClosed) {
      socket.shutdown(tcp::socket::shutdown_send, error);
      Sleep(io_, kResetDelay, yield);
    }
    if (response.end != early_end::kClosed)
      socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  early_response response_;
  int arrivals_ = 0;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_EARLY_UPSTREAM_H_
