// A relay between two processes whose traffic scenarios can cut.
#ifndef CACTUSWARD_TESTS_SUPPORT_RELAY_H_
#define CACTUSWARD_TESTS_SUPPORT_RELAY_H_

#include <array>
#include <map>
#include <memory>
#include <string>

#include "src/edges/net.h"

namespace cactusward::test {

// Passes TCP connections and datagrams from one address on to another. While
// cut, bytes wait and datagrams vanish, as with a network that loses all.
class relay {
 public:
  relay(asio::io_context& io, std::string listen, std::string target);

  bool Start();
  void SetCut(bool cut) { cut_ = cut; }

 private:
  void Accept(asio::yield_context yield);
  void Pump(std::shared_ptr<tcp::socket> from,
            std::shared_ptr<tcp::socket> to,
            asio::yield_context yield);
  void ReceiveDatagrams(asio::yield_context yield);

  asio::io_context& io_;
  std::string listen_;
  std::string target_;
  tcp::acceptor acceptor_;
  udp::socket datagrams_;
  bool cut_ = false;
};

}  // namespace cactusward::test

#endif  // CACTUSWARD_TESTS_SUPPORT_RELAY_H_
