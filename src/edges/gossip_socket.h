// Authenticated datagrams between instances.
#ifndef CACTUSWARD_SRC_EDGES_GOSSIP_SOCKET_H_
#define CACTUSWARD_SRC_EDGES_GOSSIP_SOCKET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "src/edges/net.h"

namespace cactusward {

// Each datagram carries a code of its bytes under the shared secret; others
// are dropped and counted. Not thread-safe.
class gossip_socket {
 public:
  using handler = std::function<void(std::string_view bytes)>;
  struct counters {
    std::int64_t sent_bytes = 0;
    std::int64_t received_bytes = 0;
    std::int64_t sent = 0;
    std::int64_t received = 0;
    std::int64_t refused = 0;  // wrong secret or malformed
  };

  gossip_socket(asio::io_context& io, std::string secret, handler handler);

  // @return false when the address cannot be had.
  bool Listen(const std::string& address);
  void Send(const std::string& address, std::string_view bytes);
  void CountMalformed() { ++counters_.refused; }
  const counters& totals() const { return counters_; }

 private:
  void ReceiveDatagrams(asio::yield_context yield);

  asio::io_context& io_;
  std::string secret_;
  handler handler_;
  udp::socket socket_;
  counters counters_;
  std::array<char, 64ULL * 1024> buffer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_GOSSIP_SOCKET_H_
