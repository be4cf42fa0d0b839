// Bounds retries to a share of first attempts.
#ifndef CACTUSWARD_RETRY_BUDGET_H_
#define CACTUSWARD_RETRY_BUDGET_H_

#include <algorithm>

namespace cactusward {

// Each first attempt earns a fraction of a retry; a retry spends a whole one.
// Not thread-safe.
class retry_budget {
 public:
  // @param ratio retries earned by one first attempt, 0..1.
  // @param reserve retries available before any were earned, and the most that
  //     can be saved up.
  retry_budget(double ratio, double reserve)
      : ratio_(ratio), reserve_(reserve), balance_(reserve) {}

  void RecordAttempt() { balance_ = std::min(reserve_, balance_ + ratio_); }
  // @return whether a retry may be made; it is then paid for.
  bool TrySpend() {
    if (balance_ < 1)
      return false;
    balance_ -= 1;
    return true;
  }
  void SetRatio(double ratio) { ratio_ = ratio; }
  double balance() const { return balance_; }

 private:
  double ratio_;
  double reserve_;
  double balance_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_RETRY_BUDGET_H_
