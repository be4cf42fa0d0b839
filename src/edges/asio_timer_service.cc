#include "src/edges/asio_timer_service.h"

#include "src/kernel/log.h"

namespace cactusward {
namespace {

// Shared with the handler of the pending wait, which may outlive the
// subscription.
struct periodic_timer : std::enable_shared_from_this<periodic_timer> {
  periodic_timer(asio::io_context& io,
                 duration period,
                 timer_service::callback callback)
      : timer(io), period(period), callback(std::move(callback)) {}

  void Arm() {
    timer.expires_after(period);
    timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || !self->active)
            return;
          try {
            self->callback(clock::now());
          } catch (const std::exception& thrown) {
            Log(log_level::kError, "timer_failed", {{"error", thrown.what()}});
          }
          if (self->active)
            self->Arm();
        });
  }

  asio::steady_timer timer;
  duration period;
  timer_service::callback callback;
  bool active = true;
};

class asio_subscription : public timer_subscription {
 public:
  explicit asio_subscription(std::shared_ptr<periodic_timer> timer)
      : timer_(std::move(timer)) {}
  ~asio_subscription() override {
    timer_->active = false;
    timer_->timer.cancel();
  }

 private:
  std::shared_ptr<periodic_timer> timer_;
};

}  // namespace

std::unique_ptr<timer_subscription> asio_timer_service::Every(
    duration period,
    callback callback) {
  auto timer =
      std::make_shared<periodic_timer>(io_, period, std::move(callback));
  timer->Arm();
  return std::make_unique<asio_subscription>(std::move(timer));
}

}  // namespace cactusward
