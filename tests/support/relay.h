// TCP and UDP proxy between two processes with injectable network faults.
#ifndef CACTUSWARD_TESTS_SUPPORT_RELAY_H_
#define CACTUSWARD_TESTS_SUPPORT_RELAY_H_

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/edges/net.h"

namespace cactusward::test {

// Faults that a proxy injects.
struct proxy_faults {
  bool cut_to_target = false;  // bytes are delayed, datagrams dropped
  bool cut_to_caller = false;
  bool refuse = false;  // new connections are reset
  milliseconds delay{0};
};

// Forwards TCP connections and datagrams from one address to another. While the
// target is down, connections are refused. A cut
// behaves like a network that drops all packets: connections stay open, and
// their bytes are forwarded when the cut ends.
class fault_proxy {
 public:
  fault_proxy(asio::io_context& io, std::string listen, std::string target);

  bool Start();
  void SetCut(bool cut) { faults_.cut_to_target = faults_.cut_to_caller = cut; }
  void SetFaults(const proxy_faults& faults) { faults_ = faults; }
  // Resets all connections.
  void Reset();

 private:
  bool Listen();
  bool TargetAccepts(asio::yield_context yield);
  // Stops listening until the target accepts connections again.
  void RefuseUntilTargetIsBack();
  void AcceptConnections(asio::yield_context yield);
  void Forward(std::shared_ptr<tcp::socket> from,
               std::shared_ptr<tcp::socket> to,
               const bool* cut,
               bool from_target,
               asio::yield_context yield);
  void ReceiveDatagrams(asio::yield_context yield);

  asio::io_context& io_;
  std::string listen_;
  std::string target_;
  tcp::acceptor acceptor_;
  udp::socket udp_socket_;
  proxy_faults faults_;
  std::vector<std::weak_ptr<tcp::socket>> connections_;
};

}  // namespace cactusward::test

#endif  // CACTUSWARD_TESTS_SUPPORT_RELAY_H_
