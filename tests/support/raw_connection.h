// Connections of a scenario's callers that need not speak HTTP correctly.
#ifndef CACTUSWARD_TESTS_SUPPORT_RAW_CONNECTION_H_
#define CACTUSWARD_TESTS_SUPPORT_RAW_CONNECTION_H_

#include <memory>
#include <string>

#include "src/edges/net.h"

namespace cactusward::test {

// Sends bytes in the background and reads only when asked to. Not thread-safe.
class raw_connection : public std::enable_shared_from_this<raw_connection> {
 public:
  // Precondition: `io` outlives the connection.
  explicit raw_connection(asio::io_context& io) : socket_(io) {}
  // Connects from the IP number `source`, unless it is empty.
  // `receive_buffer`: bytes; 0: the system's default.
  // @return whether the connection could be opened.
  bool Open(const tcp::endpoint& target,
            const std::string& source,
            int receive_buffer);
  // Sends `bytes` behind those that are still unsent.
  void Send(const std::string& bytes);
  // Returns the bytes that arrived since the last call, without waiting.
  std::string Receive();
  std::size_t unsent_bytes() const { return unsent_.size() - sent_; }
  // Whether the other side has closed the connection, as far as a send or a
  // Receive has shown.
  bool closed() const { return closed_; }
  void Close();

 private:
  void Write();

  tcp::socket socket_;
  std::string unsent_;
  std::size_t sent_ = 0;  // of unsent_
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace cactusward::test

#endif  // CACTUSWARD_TESTS_SUPPORT_RAW_CONNECTION_H_
