#include "tests/support/relay.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace cactusward::test {
namespace {

constexpr milliseconds kCutPoll{10};
constexpr std::size_t kBufferBytes = 64 * 1024;

// Closes the connection as one that its peer lost.
void ResetSocket(tcp::socket* socket) {
  boost::system::error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

}  // namespace

relay::relay(asio::io_context& io, std::string listen, std::string target)
    : io_(io),
      listen_(std::move(listen)),
      target_(std::move(target)),
      acceptor_(io),
      datagrams_(io) {}

bool relay::Start() {
  const auto local = ParseTcpEndpoint(listen_);
  boost::system::error_code error;
  acceptor_.open(local->protocol(), error);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(*local, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return false;
  datagrams_.open(udp::v4(), error);
  datagrams_.bind(udp::endpoint(local->address(), local->port()), error);
  if (error)
    return false;
  Spawn(io_, "relay", [this](asio::yield_context yield) { Accept(yield); });
  Spawn(io_, "relay_datagrams",
        [this](asio::yield_context yield) { ReceiveDatagrams(yield); });
  return true;
}

void relay::Accept(asio::yield_context yield) {
  while (true) {
    auto inner = std::make_shared<tcp::socket>(io_);
    boost::system::error_code error;
    acceptor_.async_accept(*inner, yield[error]);
    if (error)
      return;
    if (faults_.refuse) {
      ResetSocket(inner.get());
      continue;
    }
    Spawn(io_, "relay_connection", [this, inner](asio::yield_context y) {
      while (faults_.cut_to_target)
        Sleep(io_, kCutPoll, y);
      auto outer = std::make_shared<tcp::socket>(io_);
      boost::system::error_code failed;
      outer->async_connect(*ParseTcpEndpoint(target_), y[failed]);
      if (failed)
        return;
      open_.erase(std::remove_if(open_.begin(), open_.end(),
                                 [](const auto& w) { return w.expired(); }),
                  open_.end());
      open_.emplace_back(inner);
      open_.emplace_back(outer);
      Spawn(io_, "relay_back", [this, inner, outer](asio::yield_context z) {
        Pump(outer, inner, &faults_.cut_to_caller, z);
      });
      Pump(inner, outer, &faults_.cut_to_target, y);
    });
  }
}

void relay::Pump(std::shared_ptr<tcp::socket> from,
                 std::shared_ptr<tcp::socket> to,
                 const bool* cut,
                 asio::yield_context yield) {
  std::string buffer(kBufferBytes, '\0');
  boost::system::error_code error;
  while (true) {
    const std::size_t got =
        from->async_read_some(asio::buffer(buffer), yield[error]);
    if (faults_.delay > milliseconds(0))
      Sleep(io_, faults_.delay, yield);
    while (*cut)
      Sleep(io_, kCutPoll, yield);
    if (error)
      break;
    asio::async_write(*to, asio::buffer(buffer.data(), got), yield[error]);
    if (error)
      break;
  }
  to->shutdown(tcp::socket::shutdown_send, error);
}

void relay::Reset() {
  for (const auto& weak : open_) {
    if (const auto socket = weak.lock())
      ResetSocket(socket.get());
  }
  open_.clear();
}

void relay::ReceiveDatagrams(asio::yield_context yield) {
  std::string buffer(kBufferBytes, '\0');
  const auto target = ParseHostPort(target_);
  const udp::endpoint to(asio::ip::make_address(target->host), target->port);
  while (true) {
    udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t got = datagrams_.async_receive_from(asio::buffer(buffer),
                                                          sender, yield[error]);
    if (error == asio::error::operation_aborted)
      return;
    if (!error && !faults_.cut_to_target)
      datagrams_.send_to(asio::buffer(buffer.data(), got), to, 0, error);
  }
}

}  // namespace cactusward::test
