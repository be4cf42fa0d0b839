// KV memory reserved at several upstreams for one request: all or nothing,
// renewed while the request runs and released when it ends.
#ifndef CACTUSWARD_SRC_RELAY_MEMORY_RESERVATION_H_
#define CACTUSWARD_SRC_RELAY_MEMORY_RESERVATION_H_

#include <memory>
#include <string>
#include <vector>

#include "src/daemon/runtime.h"
#include "src/relay/fleet_service.h"
#include "src/relay/relay_protocol.h"

namespace cactusward {

// Not thread-safe. Owned by the coroutine that handles the request.
class memory_reservation {
 public:
  struct allocation {
    std::shared_ptr<fleet_upstream> upstream;
    std::int64_t tokens = 0;
    std::string id;
  };

  memory_reservation(runtime& runtime, const relay_protocol& protocol);
  // Releases the reservation in the background.
  ~memory_reservation();
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  // Reserves all allocations. @return kUpstreamRefused when one of them was not
  // granted, its upstream does not accept requests, `deadline` has passed or it
  // was cancelled; the destructor then releases the others.
  result<bool> Acquire(const std::string& id_prefix,
                       std::vector<allocation> allocations,
                       time_point deadline,
                       cancel_token* cancel,
                       asio::yield_context yield);
  const std::vector<allocation>& allocations() const {
    return state_->allocations;
  }

 private:
  struct state {
    explicit state(asio::io_context& io) : timer(io) {}
    std::vector<allocation> allocations;  // that were requested
    asio::steady_timer timer;
    bool active = true;
  };
  // Sends a control request, and records what the response says about the
  // requests that the upstream takes.
  // @return true, or why the upstream did not execute the control request.
  static result<bool> SendControlRequest(runtime& runtime,
                                         const relay_protocol& protocol,
                                         const fleet_upstream& upstream,
                                         outgoing_request request,
                                         cancel_token* cancel,
                                         asio::yield_context yield);
  result<bool> Reserve(const allocation& next,
                       time_point deadline,
                       cancel_token* cancel,
                       asio::yield_context yield);
  milliseconds Ttl() const;
  void StartRenewal();

  runtime& runtime_;
  const relay_protocol& protocol_;
  std::shared_ptr<state> state_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_MEMORY_RESERVATION_H_
