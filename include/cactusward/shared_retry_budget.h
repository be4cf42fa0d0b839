// One instance's part of a retry budget that the whole fleet shares.
#ifndef CACTUSWARD_SHARED_RETRY_BUDGET_H_
#define CACTUSWARD_SHARED_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "cactusward/time.h"

namespace cactusward {

// The fleet-wide rule: in any window of `window`, at most `ratio` repeats for
// each first request, and `extra` more.
struct shared_retry_settings {
  double ratio = 0.1;
  int extra_retries = 10;
  milliseconds window{10'000};

  friend bool operator==(const shared_retry_settings& a,
                         const shared_retry_settings& b) {
    return a.ratio == b.ratio && a.extra_retries == b.extra_retries &&
           a.window == b.window;
  }
};

// Spends repeats so that the sum over all instances keeps the rule without
// their talking to each other: an instance may repeat `ratio` of its own
// requests, and an equal part of the extra. Not thread-safe.
class shared_retry_budget {
 public:
  explicit shared_retry_budget(const shared_retry_settings& settings)
      : settings_(settings) {}

  // Instances among which the extra is shared out. A fall takes effect only
  // after a window, since the others may be cut off and still spending; so
  // does the first count, since an earlier process may have spent the share.
  void SetInstanceCount(std::size_t count, time_point now);

  void RecordRequest(time_point now);
  // @return whether a repeat may be sent now; it is then accounted for.
  bool TrySpend(time_point now);
  // Repeats that may be sent now.
  double Available(time_point now);

 private:
  void Expire(time_point now);

  shared_retry_settings settings_;
  // Before a count has stood for a window there is no extra to spend.
  static constexpr std::size_t kUnknownCount = 1'000'000;
  std::size_t instances_ = kUnknownCount;
  std::size_t pending_instances_ = kUnknownCount;
  time_point pending_since_{};
  std::deque<time_point> requests_;
  std::deque<time_point> retries_;
};

// The budgets of all services: the rule holds for each by itself. Not
// thread-safe.
class retry_budgets {
 public:
  explicit retry_budgets(const shared_retry_settings& settings)
      : initial_budget_(settings) {}

  void SetInstanceCount(std::size_t count, time_point now);
  // The budget of `service`, valid for the life of this object.
  shared_retry_budget& ForService(const std::string& service);

 private:
  shared_retry_budget
      initial_budget_;  // knows the instances, and spent nothing
  std::map<std::string, shared_retry_budget> budgets_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SHARED_RETRY_BUDGET_H_
