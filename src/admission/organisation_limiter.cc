#include <algorithm>

#include "cactusward/admission.h"

namespace cactusward {
namespace {

// Burst size of the token bucket, in seconds of its rate.
constexpr double kBurstSeconds = 10;
// The load balancer spreads callers unevenly; shares are larger by this factor.
constexpr double kImbalanceFactor = 1.5;

}  // namespace

result<bool> organisation_limiter::Admit(const organisation& organisation,
                                         std::int64_t tokens,
                                         time_point now) {
  account& account = accounts_[organisation.name];
  const double share = instances_ == 1 ? 1.0 : kImbalanceFactor / instances_;
  const double concurrent =
      std::max(1.0, organisation.limits.max_concurrent * share);
  if (account.concurrent >= static_cast<int>(concurrent))
    return {error_kind::kOrganisationLimit,
            "concurrent requests of " + organisation.name};
  const double rate =
      static_cast<double>(organisation.limits.tokens_per_second) * share;
  const double burst = rate * kBurstSeconds;
  if (!account.refilled_at)
    account.balance = burst;
  else
    account.balance =
        std::min(burst, account.balance + rate * std::chrono::duration<double>(
                                                     now - *account.refilled_at)
                                                     .count());
  account.refilled_at = now;
  // A prompt larger than the burst is admitted when the bucket is full.
  const double needed = std::min(static_cast<double>(tokens), burst);
  if (account.balance < needed)
    return {error_kind::kOrganisationLimit,
            "tokens a second of " + organisation.name};
  account.balance -= static_cast<double>(tokens);
  ++account.concurrent;
  return true;
}

void organisation_limiter::Release(const std::string& name) {
  const auto it = accounts_.find(name);
  if (it != accounts_.end() && it->second.concurrent > 0)
    --it->second.concurrent;
}

int organisation_limiter::Concurrent(const std::string& name) const {
  const auto it = accounts_.find(name);
  return it == accounts_.end() ? 0 : it->second.concurrent;
}

}  // namespace cactusward
