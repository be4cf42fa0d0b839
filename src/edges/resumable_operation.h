// An operation that its caller may leave and come back to.
#ifndef CACTUSWARD_SRC_EDGES_RESUMABLE_OPERATION_H_
#define CACTUSWARD_SRC_EDGES_RESUMABLE_OPERATION_H_

#include <memory>
#include <optional>
#include <utility>

#include "src/edges/net.h"

namespace cactusward {

// Runs one asynchronous operation at a time. A caller whose time limit passes
// leaves it in progress, and its result is kept until a later call takes it. No
// other operation begins before then: a read would overwrite what the one
// before it received. Not thread-safe.
class resumable_operation {
 public:
  explicit resumable_operation(tcp::socket::executor_type executor)
      : executor_(std::move(executor)) {}

  // Whether a result is still to be taken, now or when the read has ended.
  bool pending() const { return in_progress_ || result_.has_value(); }

  // Waits for the pending operation, or, if there is none, for the one that
  // `start` begins with the completion handler that it is given.
  // @param owner owns this object and what the operation uses; kept alive until
  //     the operation has ended.
  // @return the result, which is pending no longer; nullopt when the operation
  //     is still in progress at `deadline`.
  template <typename Owner, typename Start>
  std::optional<boost::system::error_code> Await(
      const std::shared_ptr<Owner>& owner,
      const Start& start,
      time_point deadline,
      asio::yield_context yield) {
    if (!pending()) {
      in_progress_ = true;
      start([this, owner](const boost::system::error_code& error,
                          std::size_t = 0) {
        in_progress_ = false;
        result_ = error;
        if (waiter_)
          waiter_->cancel();
      });
    }
    if (in_progress_) {
      asio::steady_timer timer(executor_);
      waiter_ = &timer;
      WaitOn(timer, deadline, yield);
      waiter_ = nullptr;
    }
    return std::exchange(result_, std::nullopt);
  }

 private:
  tcp::socket::executor_type executor_;
  bool in_progress_ = false;
  std::optional<boost::system::error_code> result_;
  asio::steady_timer* waiter_ = nullptr;  // cancelled when it ends
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_RESUMABLE_OPERATION_H_
