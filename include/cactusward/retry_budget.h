// Limits retries to a share of first attempts.
#ifndef CACTUSWARD_RETRY_BUDGET_H_
#define CACTUSWARD_RETRY_BUDGET_H_

#include <algorithm>

namespace cactusward {

// Token bucket: each first attempt adds `ratio` tokens, each retry takes one.
// Not thread-safe.
class retry_budget {
 public:
  // @param ratio retries added by one first attempt, 0..1.
  // @param reserve initial and maximum number of available retries.
  retry_budget(double ratio, double reserve)
      : ratio_(ratio), reserve_(reserve), balance_(reserve) {}

  void RecordAttempt() { balance_ = std::min(reserve_, balance_ + ratio_); }
  // @return whether a retry may be sent; it then counts as spent.
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
