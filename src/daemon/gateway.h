// Gateway of the daemon: owns the services and routes HTTP requests to them.
#ifndef CACTUSWARD_SRC_DAEMON_GATEWAY_H_
#define CACTUSWARD_SRC_DAEMON_GATEWAY_H_

#include <memory>

#include "src/daemon/operator_api.h"
#include "src/edges/asio_timer_service.h"
#include "src/edges/caller_guard.h"
#include "src/edges/etcd_store.h"
#include "src/edges/http_server.h"
#include "src/edges/peer_link.h"
#include "src/services/claim_service.h"
#include "src/services/config_service.h"
#include "src/services/dispatcher.h"
#include "src/services/evacuation_service.h"
#include "src/services/lifecycle_service.h"
#include "src/services/membership_service.h"
#include "src/services/path_service.h"
#include "src/services/recovery_service.h"
#include "src/services/report_service.h"
#include "src/services/upstream_directory.h"

namespace cactusward {

class gateway : public http_handler, public peer_handler {
 public:
  // Precondition: `io` and `settings` outlive the gateway.
  gateway(asio::io_context& io, instance_settings* settings);

  // @return false when a listen address cannot be bound.
  bool Start();
  // Begins graceful shutdown; stops `io` when the instance has drained.
  void Drain();
  // Takes over what can change while an instance runs. A shutdown that has
  // begun keeps its schedule.
  void Reload(const instance_settings& next);

  void Handle(http_exchange& exchange, asio::yield_context yield) override;
  std::uint64_t MaxBodyBytes(const http_request_head& head) const override;
  void OnPeerCall(const nlohmann::json& request, reply reply) override;

 private:
  // Handles completions and service calls.
  void HandleApiRequest(http_exchange& exchange, asio::yield_context yield);

  asio::io_context& io_;
  instance_settings* settings_;
  std::mt19937_64 random_;
  asio_timer_service timers_;
  http_client client_;
  etcd_store store_;
  service_registry registry_;
  runtime runtime_;
  peer_link peers_;
  config_service config_;
  evacuation_service evacuations_;
  membership_service membership_;
  path_service paths_;
  recovery_service recovery_;
  upstream_directory directory_;
  dispatcher dispatcher_;
  claim_service claims_;
  report_service report_;
  lifecycle_service lifecycle_;
  handler_services handlers_;
  std::unique_ptr<operator_api> operator_api_;
  std::shared_ptr<caller_guard> callers_;
  http_server server_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_GATEWAY_H_
