#include "src/edges/gossip_socket.h"

#include "cactusward/hash.h"
#include "src/edges/listen_log.h"
#include "src/kernel/log.h"

namespace cactusward {
namespace {

constexpr std::size_t kMacBytes = 16;
constexpr int kDatagramOverheadBytes = 28;  // IPv4 and UDP headers
constexpr std::size_t kMaxKnownEndpoints = 4'096;

}  // namespace

gossip_socket::gossip_socket(asio::io_context& io,
                             std::string secret,
                             handler handler)
    : io_(io),
      secret_(std::move(secret)),
      handler_(std::move(handler)),
      socket_(io) {}

bool gossip_socket::Listen(const std::string& address) {
  const auto endpoint = ParseHostPort(address);
  if (!endpoint) {
    LogListenFailure("gossip", address, "malformed address");
    return false;
  }
  const udp::endpoint local(asio::ip::make_address(endpoint->host),
                            endpoint->port);
  boost::system::error_code error;
  socket_.open(local.protocol(), error);
  if (!error)
    socket_.bind(local, error);
  if (error) {
    LogListenFailure("gossip", address, error.message());
    return false;
  }
  socket_.non_blocking(true, error);
  Spawn(io_, "gossip",
        [this](asio::yield_context yield) { ReceiveDatagrams(yield); });
  return true;
}

const udp::endpoint* gossip_socket::EndpointOf(const std::string& address) {
  const auto known = endpoints_.find(address);
  if (known != endpoints_.end())
    return &known->second;
  const auto parsed = ParseHostPort(address);
  if (!parsed)
    return nullptr;
  // Most of them belong to processes that have ended.
  if (endpoints_.size() >= kMaxKnownEndpoints)
    endpoints_.clear();
  return &endpoints_
              .emplace(address,
                       udp::endpoint(asio::ip::make_address(parsed->host),
                                     parsed->port))
              .first->second;
}

void gossip_socket::SendToAll(const std::vector<const std::string*>& addresses,
                              std::string_view bytes) {
  if (addresses.empty())
    return;
  std::string datagram = HmacTag(secret_, bytes);
  datagram.append(bytes);
  for (const std::string* address : addresses) {
    const udp::endpoint* endpoint = EndpointOf(*address);
    if (!endpoint)
      continue;
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(datagram), *endpoint, 0, ignored);
    ++counters_.sent;
    counters_.sent_bytes +=
        static_cast<std::int64_t>(datagram.size()) + kDatagramOverheadBytes;
  }
}

std::string gossip_socket::LastSender() const {
  if (last_sender_.port() == 0)
    return {};
  return last_sender_.address().to_string() + ":" +
         std::to_string(last_sender_.port());
}

void gossip_socket::ReceiveDatagrams(asio::yield_context yield) {
  while (true) {
    boost::system::error_code error;
    const std::size_t received = socket_.async_receive_from(
        asio::buffer(buffer_), last_sender_, yield[error]);
    if (error == asio::error::operation_aborted)
      return;
    // An ICMP error for a datagram sent earlier (port unreachable); the socket
    // can still receive.
    if (error)
      continue;
    counters_.received_bytes +=
        static_cast<std::int64_t>(received) + kDatagramOverheadBytes;
    const std::string_view datagram(buffer_.data(), received);
    if (received <= kMacBytes ||
        !EqualConstantTime(datagram.substr(0, kMacBytes),
                           HmacTag(secret_, datagram.substr(kMacBytes)))) {
      ++counters_.refused;
      continue;
    }
    ++counters_.received;
    try {
      handler_(datagram.substr(kMacBytes));
    } catch (const std::exception& thrown) {
      Log(log_level::kError, "datagram_failed", {{"error", thrown.what()}});
    }
  }
}

}  // namespace cactusward
