// Tunnels: connections to upstreams that an instance opens for a peer. The peer
// sends an HTTP CONNECT request; after the response, the bytes of both sides
// are passed on unchanged. All that concerns a request, such as attempts, time
// limits and retries, stays with the instance that opened the tunnel.
#ifndef CACTUSWARD_SRC_EDGES_TUNNEL_H_
#define CACTUSWARD_SRC_EDGES_TUNNEL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cactusward/result.h"
#include "src/edges/caller_guard.h"
#include "src/edges/direct_connector.h"
#include "src/edges/net.h"
#include "src/edges/unauthenticated_connections.h"

namespace cactusward {

// How the request for a tunnel ended.
enum class tunnel_outcome {
  kOpen,
  kRefusedByUpstream,  // no process listens at its address
  kUnreachable,        // the peer cannot connect to the upstream either
  kDenied,             // the peer opens no tunnels now, or not to there
  kPeerGone,           // no response from the peer
};

// Name of an outcome, for logs. Thread-safe.
std::string_view NameOf(tunnel_outcome outcome);

struct tunnel_attempt {
  tunnel_outcome outcome = tunnel_outcome::kPeerGone;
  std::unique_ptr<tcp::socket> socket;  // for kOpen
};

// Requests a tunnel to `upstream` from the peer that listens on
// `tunnel_address`. @param id unique in the fleet.
tunnel_attempt OpenTunnel(direct_connector& direct,
                          const std::string& secret,
                          const std::string& tunnel_address,
                          const std::string& upstream,
                          const std::string& id,
                          time_point deadline,
                          asio::yield_context yield,
                          cancel_token* cancel);

// Decides which tunnels are opened, and learns how the connections went.
class tunnel_policy {
 public:
  virtual ~tunnel_policy() = default;
  // Whether a tunnel to `upstream` may be opened now.
  virtual bool MayOpen(const std::string& upstream) const = 0;
  // A connection to `upstream` was established.
  virtual void RecordConnection(const std::string& upstream) = 0;
};

// Carries tunnels for peers. Not thread-safe.
class tunnel_server {
 public:
  // @param callers bounds unauthenticated connections and the bytes of tunnels;
  //     null: the defaults of caller_bounds.
  // Precondition: `io`, `direct` and `policy` outlive the server.
  tunnel_server(asio::io_context& io,
                std::string secret,
                direct_connector* direct,
                tunnel_policy* policy,
                std::shared_ptr<caller_guard> callers = nullptr);

  // @return false when `address` is malformed or cannot be bound.
  bool Listen(const std::string& address);
  // Number of tunnels that are open.
  int open() const { return open_; }
  // Whether the upstream has ended the connection of the tunnel `id`. The
  // answer is kept for some seconds after the end of a tunnel.
  bool EndedByUpstream(const std::string& id) const;

 private:
  struct ended_tunnel {
    std::string id;
    time_point at;
  };

  void Accept(asio::yield_context yield);
  // Reads the request of a peer, opens the tunnel and carries it.
  void Serve(const std::shared_ptr<tcp::socket>& peer,
             asio::yield_context yield);
  // Passes bytes on in both directions until one side ends.
  void Carry(const std::shared_ptr<tcp::socket>& peer,
             const std::shared_ptr<tcp::socket>& upstream,
             const std::string& id,
             asio::yield_context yield);
  void RecordEnd(const std::string& id);

  asio::io_context& io_;
  std::string secret_;
  direct_connector* direct_;
  tunnel_policy* policy_;
  std::shared_ptr<caller_guard> callers_;
  // Connections outlive the server when their coroutines are destroyed.
  std::shared_ptr<unauthenticated_connections> unauthenticated_;
  tcp::acceptor acceptor_;
  int open_ = 0;
  std::deque<ended_tunnel> ended_by_upstream_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_TUNNEL_H_
