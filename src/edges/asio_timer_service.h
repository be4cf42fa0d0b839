// Implements timer_service on a Boost.Asio io_context.
#ifndef CACTUSWARD_SRC_EDGES_ASIO_TIMER_SERVICE_H_
#define CACTUSWARD_SRC_EDGES_ASIO_TIMER_SERVICE_H_

#include "cactusward/timer_service.h"
#include "src/edges/net.h"

namespace cactusward {

class asio_timer_service : public timer_service {
 public:
  // Precondition: `io` outlives the service and its subscriptions.
  explicit asio_timer_service(asio::io_context& io) : io_(io) {}
  std::unique_ptr<timer_subscription> Every(duration period,
                                            callback callback) override;

 private:
  asio::io_context& io_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_ASIO_TIMER_SERVICE_H_
