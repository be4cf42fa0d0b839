// Interface for opening connections to upstreams.
#ifndef CACTUSWARD_SRC_EDGES_CONNECTOR_H_
#define CACTUSWARD_SRC_EDGES_CONNECTOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cactusward/result.h"
#include "src/edges/net.h"

namespace cactusward {

// A tunnel through a peer, which carries one connection.
struct tunnel_reference {
  std::string id;    // unique in the fleet
  std::string peer;  // name of the instance that carries it
  std::string peer_address;

  friend bool operator==(const tunnel_reference& a, const tunnel_reference& b) {
    return a.id == b.id && a.peer == b.peer && a.peer_address == b.peer_address;
  }
};

// An established connection.
struct upstream_connection {
  std::unique_ptr<tcp::socket> socket;
  std::optional<tunnel_reference> tunnel;  // absent: directly
};

// Whether peers of an availability zone may carry a connection. Empty: all may.
// Copied into coroutines that may outlive the attempt.
using peer_zone_filter = std::function<bool(const std::string& zone)>;

// Implementations are not thread-safe.
class connector {
 public:
  virtual ~connector() = default;

  // Connects to the upstream at `address`.
  // @param cancel gives the attempt up; may be null.
  // @return kUpstreamUnreachable if there is no connection. The detail is
  //     RefusedConnectionText() only if no process listens at `address`.
  virtual result<upstream_connection> Connect(const std::string& address,
                                              time_point deadline,
                                              asio::yield_context yield,
                                              cancel_token* cancel) = 0;
  // As Connect, but only through peers that `may_carry` accepts. Connectors
  // that use no peers need not override it.
  virtual result<upstream_connection> ConnectWithin(
      const peer_zone_filter& /*may_carry*/,
      const std::string& address,
      time_point deadline,
      asio::yield_context yield,
      cancel_token* cancel) {
    return Connect(address, deadline, yield, cancel);
  }
  // Whether an idle connection to `address` may carry another request. Idle
  // connections are direct ones: a tunnel carries one request.
  virtual bool MayReuseConnections(const std::string& address) const = 0;
  // Whether the upstream itself ended the connection that `tunnel` carried. The
  // end of the tunnel alone does not tell: its peer may have crashed. Asks the
  // peer, for a bounded time.
  virtual bool EndedByUpstream(const tunnel_reference& tunnel,
                               asio::yield_context yield) = 0;
};

// The detail of a refused connection. Thread-safe.
const std::string& RefusedConnectionText();

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_CONNECTOR_H_
