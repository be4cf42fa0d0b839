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
// Two groups of instances that do not see each other divide the limit of a cold
// upstream.
constexpr double kColdGroups = 2;
// Share of a group's part that its holders use. The rest is left for instances
// that disagree for a moment about who holds a share, and for requests that
// take unequal times to the upstream.
constexpr double kColdUse = 0.9;
// Requests of one holder in a second: one saved up, and its steady rate. Many
// holders with little each leave fewer instances without a share.
constexpr double kColdHolderRequests = 2.25;
constexpr double kColdBurst = 1;
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

limit_share DivideColdLimit(double per_second,
                            const cold_settings& settings,
                            std::size_t instances) {
  const double group_requests =
      (per_second * settings.overage + settings.tolerance) / kColdGroups;
  limit_share share;
  if (group_requests < kColdBurst)
    return share;
  const double used = std::max(kColdUse * group_requests, kColdBurst);
  share.holders = static_cast<std::size_t>(
      std::min(static_cast<double>(instances),
               std::max(std::floor(used / kColdHolderRequests), 1.0)));
  const auto holders = static_cast<double>(share.holders);
  share.burst = kColdBurst;
  // A rate below one a second adds no second request to any second.
  share.per_second = std::max(std::min(used / holders - kColdBurst,
                                       kSteadyShare * per_second / holders),
                              kMinPerSecond);
  return share;
}

time_point ColdUntilByEntry(time_point known_until,
                            milliseconds remaining,
                            time_point now) {
  return remaining.count() > 0 ? std::max(known_until, now + remaining) : now;
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
  for (auto& [upstream, limit] : cold_)
    Divide(upstream, &limit, now);
}

void upstream_limits::Divide(std::uint32_t upstream,
                             known_limit* limit,
                             time_point now) const {
  if (limit->per_second)
    AssignShare(upstream, DivideLimit(*limit->per_second, InstanceCount()),
                &limit->bucket, now);
}

void upstream_limits::Divide(std::uint32_t upstream,
                             cold_limit* limit,
                             time_point now) const {
  AssignShare(
      upstream,
      DivideColdLimit(limit->per_second, cold_settings_, InstanceCount()),
      &limit->bucket, std::max(now, peers_known_at_));
}

void upstream_limits::AssignShare(std::uint32_t upstream,
                                  const limit_share& share,
                                  token_bucket* bucket,
                                  time_point now) const {
  bucket->Refill(now);
  const bool was_holder = bucket->is_holder;
  bucket->share = share;
  // The holders are the instances with the highest hashes.
  const auto rank = [upstream](const std::string& name) {
    return Hash64(name, upstream);
  };
  const std::uint64_t own = rank(self_);
  const auto ahead = static_cast<std::size_t>(std::count_if(
      instances_.begin(), instances_.end(), [&](const auto& instance) {
        return instance.first != self_ && rank(instance.first) > own;
      }));
  bucket->is_holder = ahead < share.holders;
  // The previous holder may just have sent.
  if (!was_holder)
    bucket->tokens = 0;
  bucket->tokens = std::min(bucket->tokens, share.burst);
}

void upstream_limits::token_bucket::Refill(time_point now) {
  const double seconds =
      ToMilliseconds(std::max(now - tokens_at, duration(0))) / kMilli;
  tokens = std::min(share.burst, tokens + seconds * share.per_second);
  tokens_at = std::max(tokens_at, now);
}

std::optional<time_point> upstream_limits::token_bucket::NextGrant(
    int reserved,
    time_point now) const {
  if (!is_holder)
    return std::nullopt;
  token_bucket bucket = *this;
  bucket.Refill(now);
  const double needed = 1 + reserved;
  if (bucket.tokens >= needed)
    return now;
  const double seconds = (needed - bucket.tokens) / bucket.share.per_second;
  return bucket.tokens_at + std::chrono::duration_cast<duration>(
                                std::chrono::duration<double>(seconds));
}

bool upstream_limits::Set(std::uint32_t upstream,
                          std::optional<double> per_second,
                          time_point stated_at,
                          time_point now) {
  auto [found, is_new] = limits_.try_emplace(upstream);
  known_limit& limit = found->second;
  if (is_new)
    limit.bucket.tokens_at = now;
  limit.stated_at = stated_at;
  if (limit.per_second == per_second)
    return false;
  limit.per_second = per_second;
  if (!per_second)
    limit.bucket.is_holder = false;
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

bool upstream_limits::SetColdLimit(std::uint32_t upstream,
                                   double per_second,
                                   time_point until,
                                   time_point now) {
  if (until <= now)
    return cold_.erase(upstream) > 0;
  const bool begins = !IsCold(upstream, now);
  cold_limit& limit = cold_[upstream];
  if (begins) {
    limit = {};
    limit.bucket.tokens_at = std::max(now, peers_known_at_);
  }
  limit.until = until;
  if (limit.per_second != per_second) {
    limit.per_second = per_second;
    Divide(upstream, &limit, now);
  }
  return begins;
}

bool upstream_limits::IsCold(std::uint32_t upstream, time_point now) const {
  const auto known = cold_.find(upstream);
  return known != cold_.end() && now < known->second.until;
}

std::vector<std::uint32_t> upstream_limits::ExpireCold(time_point now) {
  std::vector<std::uint32_t> expired;
  for (auto it = cold_.begin(); it != cold_.end();) {
    const bool is_over = it->second.until <= now;
    if (is_over)
      expired.push_back(it->first);
    it = is_over ? cold_.erase(it) : std::next(it);
  }
  return expired;
}

std::optional<time_point> upstream_limits::NextGrant(std::uint32_t upstream,
                                                     time_point now) const {
  const auto reserved = reserved_.find(upstream);
  return GrantAfter(upstream,
                    reserved == reserved_.end() ? 0 : reserved->second, now);
}

std::optional<time_point> upstream_limits::GrantAfter(std::uint32_t upstream,
                                                      int reserved,
                                                      time_point now) const {
  std::optional<time_point> granted = now;
  const auto known = limits_.find(upstream);
  if (known != limits_.end() && known->second.per_second)
    granted = known->second.bucket.NextGrant(reserved, now);
  if (!granted || !IsCold(upstream, now))
    return granted;
  const cold_limit& cold = cold_.at(upstream);
  const auto cold_grant = now < peers_known_at_
                              ? std::nullopt
                              : cold.bucket.NextGrant(reserved, now);
  if (!cold_grant)
    return std::nullopt;
  return std::max(*granted, std::min(*cold_grant, cold.until));
}

void upstream_limits::Unreserve(std::uint32_t upstream) {
  const auto reserved = reserved_.find(upstream);
  if (--reserved->second == 0)
    reserved_.erase(reserved);
}

bool upstream_limits::MaySend(std::uint32_t upstream, time_point now) const {
  const auto granted = GrantAfter(upstream, 0, now);
  return granted && *granted <= now;
}

void upstream_limits::Spend(std::uint32_t upstream, time_point now) {
  const auto spend = [now](token_bucket* bucket) {
    bucket->Refill(now);
    bucket->tokens -= 1;
  };
  const auto known = limits_.find(upstream);
  if (known != limits_.end() && known->second.per_second)
    spend(&known->second.bucket);
  const auto cold = cold_.find(upstream);
  if (cold != cold_.end())
    spend(&cold->second.bucket);
}

std::optional<time_point> upstream_limits::NextControlGrant(
    std::uint32_t upstream,
    time_point now) const {
  if (!IsCold(upstream, now))
    return now;
  const cold_limit& cold = cold_.at(upstream);
  const auto granted =
      now < peers_known_at_ ? std::nullopt : cold.bucket.NextGrant(0, now);
  return granted ? std::min(*granted, cold.until) : granted;
}

bool upstream_limits::TrySpendControl(std::uint32_t upstream, time_point now) {
  const auto granted = NextControlGrant(upstream, now);
  if (!granted || *granted > now)
    return false;
  if (IsCold(upstream, now))
    Spend(upstream, now);
  return true;
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
