// Connections to upstreams, directly or through a peer.
#ifndef CACTUSWARD_SRC_SERVICES_PATH_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_PATH_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/membership.h"
#include "cactusward/upstream_paths.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/edges/connector.h"
#include "src/edges/peer_link.h"
#include "src/edges/tunnel.h"

namespace cactusward {

class membership_service;

// Opens a connection directly, and after a head start also through a peer: the
// first one to be established is used, so that no byte of a request is sent
// twice. What this shows about the paths decides how later connections are
// opened. Not thread-safe.
class path_service : public service, public connector, public tunnel_policy {
 public:
  // @param is_upstream whether an address is that of a registered upstream.
  // @param is_stopping whether this instance opens no more tunnels.
  // @param callers bounds the connections at the port for tunnels.
  // Precondition: `peers` and what the functions refer to outlive the service.
  path_service(runtime& runtime,
               peer_link* peers,
               std::function<bool(const std::string&)> is_upstream,
               std::function<bool()> is_stopping,
               std::shared_ptr<caller_guard> callers);

  std::string_view service_name() const override { return kPathServiceName; }
  void Start() override;
  // Offers tunnels to the peers, if the settings have an address for them.
  // @return false when it cannot be bound.
  bool Listen();

  result<upstream_connection> Connect(const std::string& address,
                                      time_point deadline,
                                      asio::yield_context yield,
                                      cancel_token* cancel) override;
  result<upstream_connection> ConnectWithin(const peer_zone_filter& may_carry,
                                            const std::string& address,
                                            time_point deadline,
                                            asio::yield_context yield,
                                            cancel_token* cancel) override;
  bool MayReuseConnections(const std::string& address) const override {
    return !paths_.IsBroken(address);
  }
  bool EndedByUpstream(const tunnel_reference& tunnel,
                       asio::yield_context yield) override;

  // What a connection to an upstream shows about its process.
  enum class liveness { kAccepts, kRefuses, kUnknown };
  liveness CheckLiveness(const std::string& address,
                         time_point deadline,
                         asio::yield_context yield);
  // Finds out in the background whether the path to a silent upstream is
  // broken.
  void Suspect(const std::string& address);

  bool MayOpen(const std::string& upstream) const override;
  void RecordConnection(const std::string& upstream) override;

  // Calls of peers: where this instance offers tunnels, and how one ended.
  // @return nullopt if `request` is another call.
  std::optional<nlohmann::json> OnPeerCall(const nlohmann::json& request) const;

  // Number of tunnels that this instance carries for peers.
  int carried_tunnels() const { return server_.open(); }
  const upstream_paths& paths() const { return paths_; }
  // Number of connections that peers have opened for this instance.
  std::int64_t tunnelled_connections() const { return tunnelled_connections_; }

 private:
  // The result of asking peers for a connection.
  struct peer_result {
    std::optional<upstream_connection> connection;
    // All peers that have tried to connect to the upstream were refused.
    bool refused = false;
    // Peers have tried, without success, and not all were refused.
    bool unreachable = false;
  };
  struct known_peer {
    std::string tunnel_address;  // empty: not known
    time_point avoided_until;
    time_point opened_at;  // its last tunnel
  };

  result<upstream_connection> ConnectBoth(const peer_zone_filter& may_carry,
                                          const std::string& address,
                                          time_point deadline,
                                          asio::yield_context yield,
                                          cancel_token* cancel);
  peer_result ConnectThroughPeer(const peer_zone_filter& may_carry,
                                 const std::string& address,
                                 time_point deadline,
                                 asio::yield_context yield,
                                 cancel_token* cancel);
  // Live peers to ask, of the zones that `may_carry` accepts, in order of
  // preference.
  std::vector<member> Candidates(const peer_zone_filter& may_carry,
                                 time_point now) const;
  // Takes the next peer to ask out of `candidates`: one of an availability zone
  // in which none was unsuccessful, since a zone may be cut off as a whole.
  // Precondition: `candidates` is not empty.
  static member TakeNext(std::vector<member>* candidates,
                         const std::vector<member>& unsuccessful);
  // Asks `peer` where it offers tunnels, unless that is known.
  // @return empty if it offers none.
  std::string TunnelAddressOf(const member& peer,
                              time_point deadline,
                              asio::yield_context yield);
  void Avoid(const member& peer, duration time, bool forget_address);
  bool HasPeers() const;
  void RecordDirect(const std::string& address);
  void RecordBypass(const std::string& address,
                    std::string_view direct_failure,
                    const tunnel_reference& tunnel);
  void ProbeBrokenPaths(time_point now);

  runtime& runtime_;
  peer_link* peers_;
  std::function<bool(const std::string&)> is_upstream_;
  std::function<bool()> is_stopping_;
  membership_service* membership_ = nullptr;
  upstream_paths paths_;
  tunnel_server server_;
  std::map<std::string, known_peer> known_peers_;  // by name and incarnation
  std::map<std::string, time_point> suspected_at_;
  std::uint64_t next_tunnel_ = 1;
  std::int64_t tunnelled_connections_ = 0;
  std::unique_ptr<timer_subscription> probe_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_PATH_SERVICE_H_
