#include "cactusward/shared_retry_budget.h"

#include <algorithm>

namespace cactusward {
namespace {

// Part of the extra that is spent: requests are recorded here before their
// repeats, but the fleet's windows are not aligned with each other.
constexpr double kUsedShareOfExtra = 0.8;

}  // namespace

void shared_retry_budget::SetInstanceCount(std::size_t count, time_point now) {
  count = std::max<std::size_t>(count, 1);
  if (instances_ != kUnknown && count >= instances_) {
    instances_ = count;
    lower_instances_ = count;
    return;
  }
  if (lower_instances_ == kUnknown || lower_instances_ < count ||
      (instances_ != kUnknown && lower_instances_ != count)) {
    // While the first count grows, the time runs from its first value.
    if (instances_ != kUnknown || lower_instances_ == kUnknown)
      lower_since_ = now;
    lower_instances_ = count;
  } else if (now - lower_since_ > settings_.window) {
    instances_ = count;
  }
}

void shared_retry_budget::Expire(time_point now) {
  while (!requests_.empty() && now - requests_.front() >= settings_.window)
    requests_.pop_front();
  while (!repeats_.empty() && now - repeats_.front() >= settings_.window)
    repeats_.pop_front();
}

void shared_retry_budget::RecordRequest(time_point now) {
  Expire(now);
  requests_.push_back(now);
}

double shared_retry_budget::Available(time_point now) {
  Expire(now);
  const double allowed =
      settings_.ratio * static_cast<double>(requests_.size()) +
      kUsedShareOfExtra * settings_.extra_retries /
          static_cast<double>(instances_);
  return allowed - static_cast<double>(repeats_.size());
}

bool shared_retry_budget::TrySpend(time_point now) {
  if (Available(now) < 1)
    return false;
  repeats_.push_back(now);
  return true;
}

void retry_budgets::SetInstanceCount(std::size_t count, time_point now) {
  fresh_.SetInstanceCount(count, now);
  for (auto& [service, budget] : budgets_)
    budget.SetInstanceCount(count, now);
}

shared_retry_budget& retry_budgets::ForService(const std::string& service) {
  return budgets_.emplace(service, fresh_).first->second;
}

}  // namespace cactusward
