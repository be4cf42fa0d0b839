// Readiness and graceful shutdown of an instance that forwards requests.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_STOP_H_
#define CACTUSWARD_SRC_RELAY_RELAY_STOP_H_

#include <functional>
#include <optional>

#include "src/daemon/names.h"
#include "src/daemon/pending_work.h"
#include "src/daemon/runtime.h"
#include "src/edges/http_server.h"

namespace cactusward {

class catalog_service;
class membership_service;

class relay_shutdown : public service {
 public:
  // Precondition: both outlive the service.
  relay_shutdown(runtime& runtime, http_server* server)
      : runtime_(runtime), server_(server) {}

  std::string_view service_name() const override { return kRelayShutdownName; }
  void Start() override;

  // Whether the load balancer may send new connections.
  bool IsReady() const;
  bool stopping() const { return started_at_.has_value(); }
  // Whether new requests are refused because the process would exit before they
  // complete.
  bool IsRefusing() const;
  // When the process exits at the latest; nullopt while no shutdown has begun.
  std::optional<time_point> exit_at() const { return exit_at_; }
  // The requests in progress, and other work that the exit waits for.
  pending_work_list& pending() { return pending_; }
  // Begins the shutdown: readiness is withdrawn at once, while requests are
  // still served until the load balancer has noticed and all requests in
  // progress have ended. Then calls `on_stopped`. Further calls have no effect.
  void Begin(std::function<void()> on_stopped);

 private:
  void WaitUntilDrained(asio::yield_context yield);
  bool HasPendingWork() const {
    return server_->active() > 0 || !pending_.empty();
  }

  runtime& runtime_;
  http_server* server_;
  catalog_service* catalog_ = nullptr;
  membership_service* membership_ = nullptr;
  std::optional<time_point> started_at_;
  std::optional<time_point> exit_at_;
  pending_work_list pending_;
  bool refusing_ = false;  // the drain has ended; requests are refused
  std::function<void()> on_stopped_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_STOP_H_
