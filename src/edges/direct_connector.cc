#include "src/edges/direct_connector.h"

#include <boost/asio/post.hpp>

namespace cactusward {

const std::string& RefusedConnectionText() {
  static const std::string text =
      boost::system::error_code(asio::error::connection_refused).message();
  return text;
}

connect_attempt::connect_attempt(asio::io_context& io,
                                 const tcp::endpoint& endpoint,
                                 const std::optional<asio::ip::address>& source)
    : io_(io),
      endpoint_(endpoint),
      source_(source),
      socket_(std::make_unique<tcp::socket>(io)) {}

void connect_attempt::Start() {
  boost::system::error_code error;
  socket_->open(endpoint_.protocol(), error);
  if (!error && source_)
    socket_->bind(tcp::endpoint(*source_, 0), error);
  if (error) {
    asio::post(io_,
               [self = shared_from_this(), error] { self->Finish(error); });
    return;
  }
  socket_->async_connect(endpoint_,
                         [self = shared_from_this()](
                             const boost::system::error_code& connect_error) {
                           self->Finish(connect_error);
                         });
}

void connect_attempt::Close() {
  boost::system::error_code ignored;
  if (socket_)
    socket_->close(ignored);
}

void connect_attempt::Finish(const boost::system::error_code& error) {
  done_ = true;
  error_ = error;
  if (!socket_->is_open() && !error_)
    error_ = asio::error::operation_aborted;
  boost::system::error_code ignored;
  if (!error_)
    socket_->set_option(tcp::no_delay(true), ignored);
  if (on_done_)
    on_done_();
}

void direct_connector::SetSourceAddress(const std::string& address) {
  source_address_.reset();
  if (!address.empty())
    source_address_ = asio::ip::make_address(address);
}

std::shared_ptr<connect_attempt> direct_connector::Start(
    const std::string& address) const {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint)
    return nullptr;
  auto attempt =
      std::make_shared<connect_attempt>(io_, *endpoint, source_address_);
  attempt->Start();
  return attempt;
}

result<upstream_connection> direct_connector::Connect(
    const std::string& address,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel) {
  if (cancel && cancel->cancelled())
    return {error_kind::kUpstreamUnreachable, "cancelled"};
  const auto attempt = Start(address);
  if (!attempt)
    return {error_kind::kUpstreamUnreachable, "not an address: " + address};
  asio::steady_timer timer(io_);
  attempt->OnDone([&timer] { timer.cancel(); });
  if (cancel)
    cancel->OnCancel([attempt] { attempt->Close(); });
  if (!attempt->done())
    WaitOn(timer, deadline, yield);
  attempt->OnDone({});
  if (cancel)
    cancel->OnCancel({});
  if (!attempt->done()) {
    attempt->Close();
    return {error_kind::kUpstreamUnreachable, "no connection in time"};
  }
  if (!attempt->succeeded())
    return {error_kind::kUpstreamUnreachable, attempt->error().message()};
  return upstream_connection{attempt->TakeSocket(), std::nullopt};
}

}  // namespace cactusward
