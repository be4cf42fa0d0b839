// An upstream that ends each response by closing the connection.
#ifndef CACTUSWARD_TESTS_SUPPORT_CLOSING_UPSTREAM_H_
#define CACTUSWARD_TESTS_SUPPORT_CLOSING_UPSTREAM_H_

#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>

#include "src/edges/net.h"
#include "tests/support/platform_fakes.h"

namespace cactusward::testing {

class closing_upstream {
 public:
  enum class close_kind { kRegular, kReset };

  // Sends `response` and closes the connection.
  closing_upstream(asio::io_context& io, std::string response, close_kind close)
      : io_(io),
        address_(FreeAddress()),
        acceptor_(io, *ParseTcpEndpoint(address_)),
        response_(std::move(response)),
        close_(close) {
    Spawn(io_, "closing_upstream",
          [this](asio::yield_context yield) { Accept(yield); });
  }

  const std::string& address() const { return address_; }
  int requests() const { return requests_; }

 private:
  void Accept(asio::yield_context yield) {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(io_);
      boost::system::error_code error;
      acceptor_.async_accept(*socket, yield[error]);
      if (error)
        return;
      Spawn(io_, "closing_response", [this, socket](asio::yield_context inner) {
        Respond(*socket, inner);
      });
    }
  }

  void Respond(tcp::socket& socket, asio::yield_context yield) {
    std::string request(4096, '\0');
    boost::system::error_code error;
    socket.async_read_some(asio::buffer(request), yield[error]);
    if (error)
      return;
    ++requests_;
    asio::async_write(socket, asio::buffer(response_), yield[error]);
    // The bytes arrive before the reset.
    Sleep(io_, milliseconds(50), yield);
    if (close_ == close_kind::kReset)
      socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }

  asio::io_context& io_;
  std::string address_;
  tcp::acceptor acceptor_;
  std::string response_;
  close_kind close_;
  int requests_ = 0;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_CLOSING_UPSTREAM_H_
