// Authenticated UDP datagrams between instances.
#ifndef CACTUSWARD_SRC_EDGES_GOSSIP_SOCKET_H_
#define CACTUSWARD_SRC_EDGES_GOSSIP_SOCKET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/edges/net.h"

namespace cactusward {

// Each datagram starts with an HMAC tag of its payload, keyed with the shared
// secret. Datagrams with a wrong tag are dropped and counted. Not thread-safe.
class gossip_socket {
 public:
  using handler = std::function<void(std::string_view bytes)>;
  struct counters {
    std::int64_t sent_bytes = 0;
    std::int64_t received_bytes = 0;
    std::int64_t sent = 0;
    std::int64_t received = 0;
    std::int64_t refused = 0;  // wrong tag or malformed payload
  };

  gossip_socket(asio::io_context& io, std::string secret, handler handler);

  // @return false when `address` is malformed or cannot be bound.
  bool Listen(const std::string& address);
  // Sends one datagram, best effort: errors are ignored.
  void Send(const std::string& address, std::string_view bytes) {
    SendToAll({&address}, bytes);
  }
  // Sends the same datagram to several addresses.
  void SendToAll(const std::vector<const std::string*>& addresses,
                 std::string_view bytes);
  // Counts an authenticated datagram whose payload could not be decoded.
  void CountMalformed() { ++counters_.refused; }
  const counters& totals() const { return counters_; }
  // Address from which the last datagram came. Empty before the first one.
  std::string LastSender() const;

 private:
  void ReceiveDatagrams(asio::yield_context yield);
  // @return nullptr if `address` is not an IP number and a port.
  const udp::endpoint* EndpointOf(const std::string& address);

  asio::io_context& io_;
  std::string secret_;
  handler handler_;
  udp::socket socket_;
  counters counters_;
  udp::endpoint last_sender_;
  std::unordered_map<std::string, udp::endpoint> endpoints_;  // by address
  std::array<char, 64ULL * 1024> buffer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_GOSSIP_SOCKET_H_
