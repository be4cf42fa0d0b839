#include "cactusward/upstream_limits.h"

#include <algorithm>
#include <cmath>

#include "cactusward/hash.h"

namespace cactusward {
namespace {

// In 4 s the upstream accepts 6 times the limit, and 5 requests. A steady rate
// of this share and the bursts of all holders leave a margin for instances that
// disagree for a moment about who holds a share.
constexpr double kSteadyShare = 0.9;
// The least steady rate, in requests a second: without requests nobody learns
// that a limit has ended.
constexpr double kMinPerSecond = 0.25;
constexpr double kBurstPerLimit = 2;
constexpr double kMinTotalBurst = 3;
// An instance that is no longer seen keeps its share for as long as it may take
// it to notice that it is cut off.
constexpr milliseconds kMissingInstancePeriod{10'000};
// Reports about the same limit that differ by less in time are the same: the
// time on the way must not make a report look newer each time it is passed on.
constexpr milliseconds kSameReportWindow{500};
// How long an ended limit is reported, so that all instances learn of it.
constexpr milliseconds kEndedPeriod{10'000};
// An upstream that gets no requests cannot confirm its limit.
constexpr milliseconds kUnconfirmedPeriod{120'000};
constexpr double kMilli = 1'000;
constexpr double kMaxPerSecond = 1e9;

}  // namespace

limit_share DivideLimit(double per_second, std::size_t instances) {
  const double total_burst = kBurstPerLimit * per_second + kMinTotalBurst;
  limit_share share;
  share.holders = static_cast<std::size_t>(
      std::min(static_cast<double>(instances), std::floor(total_burst)));
  const auto holders = static_cast<double>(share.holders);
  share.per_second =
      std::max(kSteadyShare * per_second, kMinPerSecond) / holders;
  share.burst = std::floor(total_burst / holders);
  return share;
}

void upstream_limits::SetInstances(const std::vector<std::string>& names,
                                   time_point now) {
  const std::size_t before = instances_.size();
  bool changed = false;
  for (const std::string& name : names) {
    changed = instances_.emplace(name, now).second || changed;
    instances_[name] = now;
  }
  for (auto it = instances_.begin(); it != instances_.end();)
    it = now - it->second > kMissingInstancePeriod ? instances_.erase(it)
                                                   : std::next(it);
  if (!changed && instances_.size() == before)
    return;
  for (auto& [upstream, limit] : limits_)
    Divide(upstream, &limit, now);
}

void upstream_limits::Divide(std::uint32_t upstream,
                             known_limit* limit,
                             time_point now) {
  if (!limit->per_second)
    return;
  Refill(limit, now);
  const bool was_holder = limit->is_holder;
  limit->share = DivideLimit(*limit->per_second,
                             std::max<std::size_t>(instances_.size(), 1));
  // The holders are the instances with the highest hashes.
  const auto rank = [upstream](const std::string& name) {
    return Hash64(name, upstream);
  };
  const std::uint64_t own = rank(self_);
  const auto ahead = static_cast<std::size_t>(std::count_if(
      instances_.begin(), instances_.end(), [&](const auto& instance) {
        return instance.first != self_ && rank(instance.first) > own;
      }));
  limit->is_holder = ahead < limit->share.holders;
  // The previous holder may just have sent.
  if (!was_holder)
    limit->tokens = 0;
  limit->tokens = std::min(limit->tokens, limit->share.burst);
}

void upstream_limits::Refill(known_limit* limit, time_point now) {
  const double seconds =
      ToMilliseconds(std::max(now - limit->tokens_at, duration(0))) / kMilli;
  limit->tokens = std::min(limit->share.burst,
                           limit->tokens + seconds * limit->share.per_second);
  limit->tokens_at = now;
}

bool upstream_limits::Set(std::uint32_t upstream,
                          std::optional<double> per_second,
                          time_point stated_at,
                          time_point now) {
  auto [found, is_new] = limits_.try_emplace(upstream);
  known_limit& limit = found->second;
  if (is_new)
    limit.tokens_at = now;
  limit.stated_at = stated_at;
  if (limit.per_second == per_second)
    return false;
  limit.per_second = per_second;
  if (!per_second)
    limit.is_holder = false;
  Divide(upstream, &limit, now);
  return true;
}

bool upstream_limits::RecordResponse(std::uint32_t upstream,
                                     std::optional<double> per_second,
                                     time_point sent_at,
                                     time_point now) {
  const auto known = limits_.find(upstream);
  if (!per_second && (known == limits_.end() || !known->second.per_second ||
                      sent_at <= known->second.stated_at))
    return false;
  // As precise as reports, so that all instances divide the same limit.
  if (per_second)
    per_second =
        std::round(std::min(*per_second, kMaxPerSecond) * kMilli) / kMilli;
  return Set(upstream, per_second, now, now);
}

bool upstream_limits::MergeReport(const limit_report& report, time_point now) {
  if (report.age_ms < 0 || milliseconds(report.age_ms) > kUnconfirmedPeriod ||
      report.milli_per_second < -1)
    return false;
  const time_point stated_at = now - milliseconds(report.age_ms);
  std::optional<double> per_second;
  if (report.milli_per_second >= 0)
    per_second = static_cast<double>(report.milli_per_second) / kMilli;
  const auto known = limits_.find(report.upstream);
  if (known == limits_.end()) {
    if (!per_second)
      return false;
  } else if (stated_at <= known->second.stated_at ||
             (per_second == known->second.per_second &&
              stated_at - known->second.stated_at < kSameReportWindow)) {
    return false;
  }
  return Set(report.upstream, per_second, stated_at, now);
}

std::optional<double> upstream_limits::LimitOf(std::uint32_t upstream) const {
  const auto known = limits_.find(upstream);
  return known == limits_.end() ? std::nullopt : known->second.per_second;
}

duration upstream_limits::AgeOf(std::uint32_t upstream, time_point now) const {
  return now - limits_.at(upstream).stated_at;
}

std::optional<time_point> upstream_limits::NextGrant(std::uint32_t upstream,
                                                     time_point now) const {
  const auto known = limits_.find(upstream);
  if (known == limits_.end() || !known->second.per_second)
    return now;
  known_limit limit = known->second;
  if (!limit.is_holder)
    return std::nullopt;
  Refill(&limit, now);
  if (limit.tokens >= 1)
    return now;
  const double seconds = (1 - limit.tokens) / limit.share.per_second;
  return now + std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(seconds));
}

void upstream_limits::Spend(std::uint32_t upstream, time_point now) {
  const auto known = limits_.find(upstream);
  if (known == limits_.end() || !known->second.per_second)
    return;
  Refill(&known->second, now);
  known->second.tokens -= 1;
}

std::vector<limit_report> upstream_limits::Reports(time_point now) const {
  std::vector<limit_report> reports;
  for (const auto& [upstream, limit] : limits_) {
    if (!limit.per_second && now - limit.stated_at > kEndedPeriod)
      continue;
    limit_report report;
    report.upstream = upstream;
    if (limit.per_second)
      report.milli_per_second =
          static_cast<std::int64_t>(std::llround(*limit.per_second * kMilli));
    report.age_ms =
        std::chrono::duration_cast<milliseconds>(now - limit.stated_at).count();
    reports.push_back(report);
  }
  return reports;
}

std::size_t upstream_limits::size() const {
  return static_cast<std::size_t>(std::count_if(
      limits_.begin(), limits_.end(),
      [](const auto& known) { return known.second.per_second.has_value(); }));
}

std::vector<std::uint32_t> upstream_limits::Expire(time_point now) {
  std::vector<std::uint32_t> expired;
  for (auto it = limits_.begin(); it != limits_.end();) {
    const bool is_over =
        now - it->second.stated_at >
        (it->second.per_second ? kUnconfirmedPeriod : kEndedPeriod);
    if (is_over && it->second.per_second)
      expired.push_back(it->first);
    it = is_over ? limits_.erase(it) : std::next(it);
  }
  return expired;
}

}  // namespace cactusward
