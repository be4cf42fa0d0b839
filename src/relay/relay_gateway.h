// The daemon that forwards requests unchanged: builds its services and connects
// them to the adapter of a platform.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_GATEWAY_H_
#define CACTUSWARD_SRC_RELAY_RELAY_GATEWAY_H_

#include <map>
#include <memory>
#include <string>

#include "src/edges/asio_timer_service.h"
#include "src/edges/caller_guard.h"
#include "src/relay/relay_run.h"
#include "src/relay/relay_stop.h"
#include "src/services/path_service.h"

namespace cactusward {

// The protocol and the registry of a platform.
struct relay_adapter {
  std::unique_ptr<relay_protocol> protocol;
  std::unique_ptr<catalog_source> catalog;
};

class relay_gateway : public http_handler, public peer_handler {
 public:
  using adapter_factory =
      std::function<relay_adapter(const forwarding_settings&, http_client*)>;

  // Precondition: `io` and `settings` outlive the gateway;
  // `settings.forwarding` is set.
  relay_gateway(asio::io_context& io,
                instance_settings* settings,
                const adapter_factory& make_adapter);

  // @return false when an address cannot be bound.
  bool Start();
  // Begins the graceful shutdown; stops `io` when it is complete.
  void Stop();
  // Applies the settings that may change while the process runs.
  void Reload(const instance_settings& next);

  void Handle(http_exchange& exchange, asio::yield_context yield) override;
  std::uint64_t MaxBodyBytes(const http_request_head& head) const override;
  void OnPeerCall(const nlohmann::json& request, reply reply) override;
  // The metrics in the Prometheus text format.
  std::string MetricsText() const;

 private:
  // Serves readiness checks and metrics.
  class monitor : public http_handler {
   public:
    explicit monitor(relay_gateway* gateway) : gateway_(gateway) {}
    void Handle(http_exchange& exchange, asio::yield_context yield) override;
    std::uint64_t MaxBodyBytes(const http_request_head& head) const override;

   private:
    relay_gateway* gateway_;
  };

  void ApplyLimits();

  asio::io_context& io_;
  instance_settings* settings_;
  std::mt19937_64 random_;
  asio_timer_service timers_;
  http_client client_;
  service_registry registry_;
  runtime runtime_;
  relay_adapter adapter_;
  std::shared_ptr<caller_guard> callers_;  // of all ports
  peer_link peers_;
  catalog_service catalog_;
  membership_service membership_;
  path_service paths_;
  recovery_service recovery_;
  quarantine_service quarantine_;
  fleet_service fleet_;
  relay_dispatcher dispatcher_;
  report_service report_;
  monitor monitor_;
  http_server server_;
  http_server readiness_server_;
  http_server metrics_server_;
  relay_shutdown shutdown_;
  retry_budgets retries_;
  buffer_pool response_buffers_;
  stall_meter stalls_;
  std::map<std::string, milliseconds> longest_deadlines_;
  relay_services request_services_;
  std::unique_ptr<timer_subscription> stall_timer_;
  std::unique_ptr<timer_subscription> retry_budget_timer_;
  std::unique_ptr<timer_subscription> idle_connection_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_GATEWAY_H_
