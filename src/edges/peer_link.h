// Remote calls between instances: CBOR over WebSocket, each frame
// authenticated.
#ifndef CACTUSWARD_SRC_EDGES_PEER_LINK_H_
#define CACTUSWARD_SRC_EDGES_PEER_LINK_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cactusward/result.h"
#include "src/edges/caller_guard.h"
#include "src/edges/net.h"

namespace cactusward {

// Handles calls from other instances.
class peer_handler {
 public:
  using reply = std::function<void(const nlohmann::json&)>;
  virtual ~peer_handler() = default;
  // Implementations call `reply` exactly once, before or after returning.
  virtual void OnPeerCall(const nlohmann::json& request, reply reply) = 0;
};

// Client and server side of the calls between instances. Not thread-safe.
class peer_link {
 public:
  // @param callers bounds unauthenticated connections and the bytes of calls
  //     that are being handled; null: the defaults of caller_bounds.
  // Precondition: `io` and `handler` outlive the link.
  peer_link(asio::io_context& io,
            std::string secret,
            peer_handler* handler,
            std::shared_ptr<caller_guard> callers = nullptr);
  ~peer_link();

  // @return false when `address` is malformed or cannot be bound.
  bool Listen(const std::string& address);

  // Calls the instance at `peer_address`.
  // @return kUpstreamUnreachable or kTimedOut when no response was received;
  //     the peer may have executed the call.
  result<nlohmann::json> Call(const std::string& peer_address,
                              const nlohmann::json& request,
                              time_point deadline,
                              asio::yield_context yield);

  std::int64_t sent_bytes() const;
  std::int64_t rejected_frames() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_PEER_LINK_H_
