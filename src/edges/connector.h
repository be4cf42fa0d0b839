// Interface for opening connections to upstreams.
#ifndef CACTUSWARD_SRC_EDGES_CONNECTOR_H_
#define CACTUSWARD_SRC_EDGES_CONNECTOR_H_

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
  // Whether an idle connection to `address` may carry another request.
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
