// This instance's share of a fleet-wide retry budget.
#ifndef CACTUSWARD_SHARED_RETRY_BUDGET_H_
#define CACTUSWARD_SHARED_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "cactusward/time.h"

namespace cactusward {

// Fleet-wide limit: in any period of `window`, at most `ratio` retries for each
// first request, plus `extra_retries`, which may be a fraction.
struct shared_retry_settings {
  double ratio = 0.1;
  double extra_retries = 10;
  milliseconds window{10'000};

  friend bool operator==(const shared_retry_settings& a,
                         const shared_retry_settings& b) {
    return a.ratio == b.ratio && a.extra_retries == b.extra_retries &&
           a.window == b.window;
  }
};

// Grants retries so that all instances together keep the limit without
// coordination: an instance may retry `ratio` of its own requests, and spend an
// equal share of the extra retries. Not thread-safe.
class shared_retry_budget {
 public:
  explicit shared_retry_budget(const shared_retry_settings& settings)
      : settings_(settings) {}

  // Sets the number of instances that divide the extra retries. A decrease
  // takes effect only after a window, since the missing instances may be
  // partitioned and still spending. So does the first count, since an earlier
  // process of this instance may have spent the share.
  void SetInstanceCount(std::size_t count, time_point now);

  void RecordRequest(time_point now);
  // @return whether a retry may be sent now; it then counts as spent.
  bool TrySpend(time_point now);
  // Number of retries that may be sent now.
  double Available(time_point now);

 private:
  void Expire(time_point now);

  shared_retry_settings settings_;
  // Makes the share of the extra retries negligible until a count has held for
  // a window.
  static constexpr std::size_t kUnknownCount = 1'000'000;
  std::size_t instances_ = kUnknownCount;
  std::size_t pending_instances_ = kUnknownCount;
  time_point pending_since_{};
  std::deque<time_point> requests_;
  std::deque<time_point> retries_;
};

// Retry budgets by service; the limit applies to each separately. Not
// thread-safe.
class retry_budgets {
 public:
  explicit retry_budgets(const shared_retry_settings& settings)
      : initial_budget_(settings) {}

  void SetInstanceCount(std::size_t count, time_point now);
  // The budget of `service`, valid for the lifetime of this object.
  shared_retry_budget& ForService(const std::string& service);

 private:
  // Copied for a new service: instance count is set, nothing is spent.
  shared_retry_budget initial_budget_;
  std::map<std::string, shared_retry_budget> budgets_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SHARED_RETRY_BUDGET_H_
