// Memory set aside at upstreams for one request: all of it or none, renewed
// while the request runs, given back when it ends.
#ifndef CACTUSWARD_SRC_RELAY_MEMORY_RESERVATION_H_
#define CACTUSWARD_SRC_RELAY_MEMORY_RESERVATION_H_

#include <memory>
#include <string>
#include <vector>

#include "src/daemon/runtime.h"
#include "src/relay/relay_protocol.h"

namespace cactusward {

// Not thread-safe; lives on the stack of the request's coroutine.
class memory_reservation {
 public:
  struct allocation {
    std::string address;
    std::int64_t tokens = 0;
    std::string id;
  };

  memory_reservation(runtime& runtime, const relay_protocol& protocol);
  // Gives the memory back in the background.
  ~memory_reservation();
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  // Reserves all parts. @return kUpstreamRefused when one was not granted; the
  // others are given back then.
  result<bool> Acquire(const std::string& id_prefix,
                       std::vector<allocation> allocations,
                       time_point deadline,
                       asio::yield_context yield);
  const std::vector<allocation>& allocations() const {
    return state_->allocations;
  }

 private:
  struct state {
    explicit state(asio::io_context& io) : timer(io) {}
    std::vector<allocation> allocations;
    asio::steady_timer timer;
    bool active = true;
  };
  // @return true, or why the upstream did not carry out `order`.
  static result<bool> SendControlRequest(runtime& runtime,
                                         const std::string& address,
                                         const outgoing_request& request,
                                         asio::yield_context yield);
  void StartRenewal();

  runtime& runtime_;
  const relay_protocol& protocol_;
  std::shared_ptr<state> state_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_MEMORY_RESERVATION_H_
