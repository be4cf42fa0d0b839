// An upstream that sends the beginning of a response and ends the connection.
#ifndef CACTUSWARD_TESTS_SUPPORT_CUT_UPSTREAM_H_
#define CACTUSWARD_TESTS_SUPPORT_CUT_UPSTREAM_H_

#include <boost/asio/write.hpp>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "src/edges/net.h"

namespace cactusward::testing {

// Responds to requests for kWholeTarget completely, and to all others with the
// bytes that are set. Does not read the bodies of requests. Not thread-safe.
class cut_upstream {
 public:
  enum class end_kind { kRegular, kReset };

  static constexpr std::string_view kWholeTarget = "/whole";

  explicit cut_upstream(asio::io_context& io)
      : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    Spawn(io_, "cut_upstream",
          [this](asio::yield_context yield) { Accept(yield); });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void Close() { acceptor_.close(); }
  void SetResponse(std::string bytes, end_kind end) {
    response_ = std::move(bytes);
    end_ = end;
  }
  // Sets the time between the last byte and the end of the connection.
  void SetDelay(milliseconds delay) { delay_ = delay; }
  // Number of requests that were answered in part.
  int cut_requests() const { return cut_requests_; }

 private:
  void Accept(asio::yield_context yield) {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(io_);
      boost::system::error_code error;
      acceptor_.async_accept(*socket, yield[error]);
      if (error)
        return;
      Spawn(io_, "cut_response", [this, socket](asio::yield_context inner) {
        Serve(*socket, inner);
      });
    }
  }

  void Serve(tcp::socket& socket, asio::yield_context yield) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(std::numeric_limits<std::uint64_t>::max());
      http::async_read_header(socket, buffer, parser, yield[error]);
      if (error)
        return;
      const auto target = parser.get().target();
      if (std::string_view(target.data(), target.size()) != kWholeTarget)
        break;
      asio::async_write(
          socket,
          asio::buffer(std::string_view(
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")),
          yield[error]);
    }
    ++cut_requests_;
    asio::async_write(socket, asio::buffer(response_), yield[error]);
    if (delay_ > milliseconds(0))
      Sleep(io_, delay_, yield);
    if (end_ == end_kind::kReset)
      socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  std::string response_;
  end_kind end_ = end_kind::kRegular;
  milliseconds delay_{0};
  int cut_requests_ = 0;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_CUT_UPSTREAM_H_
