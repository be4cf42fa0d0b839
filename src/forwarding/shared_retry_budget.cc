#include "cactusward/shared_retry_budget.h"

#include <algorithm>

namespace cactusward {
namespace {

// Share of the extra retries that is spent. The rest is margin: a request is
// recorded before its retries, but the windows of the instances are not
// aligned.
constexpr double kExtraRetriesMargin = 0.8;

}  // namespace

void shared_retry_budget::SetInstanceCount(std::size_t count, time_point now) {
  count = std::max<std::size_t>(count, 1);
  if (instances_ != kUnknownCount && count >= instances_) {
    instances_ = count;
    pending_instances_ = count;
    return;
  }
  if (pending_instances_ == kUnknownCount || pending_instances_ < count ||
      (instances_ != kUnknownCount && pending_instances_ != count)) {
    // While the first count grows, its window starts at the first value.
    if (instances_ != kUnknownCount || pending_instances_ == kUnknownCount)
      pending_since_ = now;
    pending_instances_ = count;
  } else if (now - pending_since_ > settings_.window) {
    instances_ = count;
  }
}

void shared_retry_budget::Expire(time_point now) {
  while (!requests_.empty() && now - requests_.front() >= settings_.window)
    requests_.pop_front();
  while (!retries_.empty() && now - retries_.front() >= settings_.window)
    retries_.pop_front();
}

void shared_retry_budget::RecordRequest(time_point now) {
  Expire(now);
  requests_.push_back(now);
}

double shared_retry_budget::Available(time_point now) {
  Expire(now);
  const double allowed =
      settings_.ratio * static_cast<double>(requests_.size()) +
      kExtraRetriesMargin * settings_.extra_retries /
          static_cast<double>(instances_);
  return allowed - static_cast<double>(retries_.size());
}

bool shared_retry_budget::TrySpend(time_point now) {
  if (Available(now) < 1)
    return false;
  retries_.push_back(now);
  return true;
}

void retry_budgets::SetInstanceCount(std::size_t count, time_point now) {
  initial_budget_.SetInstanceCount(count, now);
  for (auto& [service, budget] : budgets_)
    budget.SetInstanceCount(count, now);
}

shared_retry_budget& retry_budgets::ForService(const std::string& service) {
  return budgets_.emplace(service, initial_budget_).first->second;
}

}  // namespace cactusward
