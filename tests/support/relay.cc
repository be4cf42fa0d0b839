#include "tests/support/relay.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace cactusward::test {
namespace {

constexpr milliseconds kPollInterval{10};
constexpr std::size_t kBufferBytes = 64 * 1024;

// Closes with a TCP reset, as when the peer has lost the connection.
void CloseWithReset(tcp::socket* socket) {
  boost::system::error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

}  // namespace

fault_proxy::fault_proxy(asio::io_context& io,
                         std::string listen,
                         std::string target)
    : io_(io),
      listen_(std::move(listen)),
      target_(std::move(target)),
      acceptor_(io),
      udp_socket_(io) {}

bool fault_proxy::Listen() {
  const auto local = ParseTcpEndpoint(listen_);
  boost::system::error_code error;
  acceptor_.open(local->protocol(), error);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(*local, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return false;
  Spawn(io_, "relay",
        [this](asio::yield_context yield) { AcceptConnections(yield); });
  return true;
}

bool fault_proxy::TargetAccepts(asio::yield_context yield) {
  tcp::socket socket(io_);
  boost::system::error_code error;
  socket.async_connect(*ParseTcpEndpoint(target_), yield[error]);
  return error != asio::error::connection_refused;
}

void fault_proxy::RefuseUntilTargetIsBack() {
  if (!acceptor_.is_open())
    return;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  Spawn(io_, "relay_wait", [this](asio::yield_context yield) {
    while (!TargetAccepts(yield) || !Listen())
      Sleep(io_, kPollInterval, yield);
  });
}

bool fault_proxy::Start() {
  if (!Listen())
    return false;
  const auto local = ParseTcpEndpoint(listen_);
  boost::system::error_code error;
  udp_socket_.open(udp::v4(), error);
  udp_socket_.bind(udp::endpoint(local->address(), local->port()), error);
  if (error)
    return false;
  Spawn(io_, "relay_datagrams",
        [this](asio::yield_context yield) { ReceiveDatagrams(yield); });
  return true;
}

void fault_proxy::AcceptConnections(asio::yield_context yield) {
  while (true) {
    auto caller_socket = std::make_shared<tcp::socket>(io_);
    boost::system::error_code error;
    acceptor_.async_accept(*caller_socket, yield[error]);
    if (error)
      return;
    if (faults_.refuse) {
      CloseWithReset(caller_socket.get());
      continue;
    }
    Spawn(io_, "relay_connection",
          [this, caller_socket](asio::yield_context y) {
            while (faults_.cut_to_target)
              Sleep(io_, kPollInterval, y);
            auto target_socket = std::make_shared<tcp::socket>(io_);
            boost::system::error_code failed;
            target_socket->async_connect(*ParseTcpEndpoint(target_), y[failed]);
            if (failed)
              return;
            connections_.erase(
                std::remove_if(connections_.begin(), connections_.end(),
                               [](const auto& w) { return w.expired(); }),
                connections_.end());
            connections_.emplace_back(caller_socket);
            connections_.emplace_back(target_socket);
            Spawn(io_, "relay_back",
                  [this, caller_socket, target_socket](asio::yield_context z) {
                    Forward(target_socket, caller_socket,
                            &faults_.cut_to_caller, true, z);
                  });
            Forward(caller_socket, target_socket, &faults_.cut_to_target, false,
                    y);
          });
  }
}

void fault_proxy::Forward(std::shared_ptr<tcp::socket> from,
                          std::shared_ptr<tcp::socket> to,
                          const bool* cut,
                          bool from_target,
                          asio::yield_context yield) {
  std::string buffer(kBufferBytes, '\0');
  boost::system::error_code error;
  while (true) {
    const std::size_t got =
        from->async_read_some(asio::buffer(buffer), yield[error]);
    if (faults_.delay > milliseconds(0))
      Sleep(io_, faults_.delay, yield);
    while (*cut)
      Sleep(io_, kPollInterval, yield);
    if (error)
      break;
    asio::async_write(*to, asio::buffer(buffer.data(), got), yield[error]);
    if (error)
      break;
  }
  if (from_target && !TargetAccepts(yield))
    RefuseUntilTargetIsBack();
  to->shutdown(tcp::socket::shutdown_send, error);
}

void fault_proxy::Reset() {
  for (const auto& weak : connections_) {
    if (const auto socket = weak.lock())
      CloseWithReset(socket.get());
  }
  connections_.clear();
}

void fault_proxy::ReceiveDatagrams(asio::yield_context yield) {
  std::string buffer(kBufferBytes, '\0');
  const auto target = ParseHostPort(target_);
  const udp::endpoint to(asio::ip::make_address(target->host), target->port);
  while (true) {
    udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t got = udp_socket_.async_receive_from(
        asio::buffer(buffer), sender, yield[error]);
    if (error == asio::error::operation_aborted)
      return;
    if (!error && !faults_.cut_to_target)
      udp_socket_.send_to(asio::buffer(buffer.data(), got), to, 0, error);
  }
}

}  // namespace cactusward::test
