// Connections from this host.
#ifndef CACTUSWARD_SRC_EDGES_DIRECT_CONNECTOR_H_
#define CACTUSWARD_SRC_EDGES_DIRECT_CONNECTOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/edges/connector.h"

namespace cactusward {

// A connection that is being established in the background. Not thread-safe.
class connect_attempt : public std::enable_shared_from_this<connect_attempt> {
 public:
  connect_attempt(asio::io_context& io,
                  const tcp::endpoint& endpoint,
                  const std::optional<asio::ip::address>& source);

  // Precondition: not started yet.
  void Start();
  // Gives the attempt up. It is done some time later.
  void Close();
  // Sets the function that is called when the attempt is done.
  void OnDone(std::function<void()> on_done) { on_done_ = std::move(on_done); }
  bool done() const { return done_; }
  // Precondition of the following: done().
  bool succeeded() const { return !error_; }
  const boost::system::error_code& error() const { return error_; }
  std::unique_ptr<tcp::socket> TakeSocket() { return std::move(socket_); }

 private:
  void Finish(const boost::system::error_code& error);

  asio::io_context& io_;
  tcp::endpoint endpoint_;
  std::optional<asio::ip::address> source_;
  std::unique_ptr<tcp::socket> socket_;
  bool done_ = false;
  boost::system::error_code error_;
  std::function<void()> on_done_;
};

// Opens connections directly. Not thread-safe.
class direct_connector : public connector {
 public:
  explicit direct_connector(asio::io_context& io) : io_(io) {}

  // Opens connections from this address of the host; empty: from any.
  // Precondition: an IP number, or empty.
  void SetSourceAddress(const std::string& address);
  // Starts to connect to `address`. @return null if that is not an address.
  std::shared_ptr<connect_attempt> Start(const std::string& address) const;

  result<upstream_connection> Connect(const std::string& address,
                                      time_point deadline,
                                      asio::yield_context yield,
                                      cancel_token* cancel) override;
  bool MayReuseConnections(const std::string&) const override { return true; }
  bool EndedByUpstream(const tunnel_reference&, asio::yield_context) override {
    return true;
  }

 private:
  asio::io_context& io_;
  std::optional<asio::ip::address> source_address_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_DIRECT_CONNECTOR_H_
