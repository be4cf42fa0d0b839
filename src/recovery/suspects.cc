#include "cactusward/suspects.h"

#include <algorithm>

namespace cactusward {
namespace {

// Reports of one upstream within this time speak of the same death.
constexpr milliseconds kSameDeath{5'000};

bool IsSame(std::uint32_t upstream_a,
            time_point a,
            std::uint32_t upstream_b,
            time_point b) {
  return upstream_a == upstream_b && a - b < kSameDeath && b - a < kSameDeath;
}

}  // namespace

const suspect_table::deaths* suspect_table::Find(std::uint64_t fingerprint,
                                                 time_point now) const {
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end() || it->second.empty() ||
      now - it->second.back().at > period_)
    return nullptr;
  return &it->second;
}

std::size_t suspect_table::Deaths(std::uint64_t fingerprint,
                                  time_point now) const {
  const deaths* known = Find(fingerprint, now);
  return known ? known->size() : 0;
}

bool suspect_table::Add(std::uint64_t fingerprint,
                        std::uint32_t upstream,
                        time_point at,
                        time_point now) {
  if (!Find(fingerprint, now))
    suspects_.erase(fingerprint);
  deaths& known = suspects_[fingerprint];
  for (const death& earlier : known) {
    if (IsSame(earlier.upstream, earlier.at, upstream, at))
      return false;
  }
  known.push_back({upstream, at});
  std::sort(known.begin(), known.end(),
            [](const death& a, const death& b) { return a.at < b.at; });
  return true;
}

bool suspect_table::IsExplained(std::uint32_t upstream, time_point at) const {
  for (const auto& [fingerprint, known] : suspects_) {
    if (known.size() < refuse_after_)
      continue;
    for (const death& death : known) {
      if (IsSame(death.upstream, death.at, upstream, at))
        return true;
    }
  }
  return false;
}

void suspect_table::Exonerate(std::uint64_t culprit,
                              std::uint32_t upstream,
                              time_point at) {
  for (auto& [fingerprint, known] : suspects_) {
    // Two that ran wherever upstreams died cannot be told apart.
    if (fingerprint == culprit || known.size() >= refuse_after_)
      continue;
    const auto same = [upstream, at](const death& death) {
      return IsSame(death.upstream, death.at, upstream, at);
    };
    known.erase(std::remove_if(known.begin(), known.end(), same), known.end());
  }
}

std::vector<suspect_report> suspect_table::RecordDeath(
    std::uint32_t upstream,
    const std::vector<std::uint64_t>& in_flight,
    time_point now) {
  std::vector<suspect_report> changed;
  if (IsExplained(upstream, now))
    return changed;
  std::vector<std::uint64_t> blamed;
  for (std::uint64_t fingerprint : in_flight) {
    if (Find(fingerprint, now))
      blamed.push_back(fingerprint);
  }
  if (blamed.empty())
    blamed = in_flight;
  for (std::uint64_t fingerprint : blamed) {
    if (Add(fingerprint, upstream, now, now))
      changed.push_back({fingerprint, upstream, 0});
  }
  return changed;
}

bool suspect_table::Learn(const suspect_report& report, time_point now) {
  if (report.age_ms < 0 || milliseconds(report.age_ms) > period_)
    return false;
  const time_point at = now - milliseconds(report.age_ms);
  if (!Add(report.fingerprint, report.upstream, at, now))
    return false;
  if (Deaths(report.fingerprint, now) >= refuse_after_)
    Exonerate(report.fingerprint, report.upstream, at);
  return true;
}

void suspect_table::RecordFinish(std::uint64_t fingerprint) {
  const auto it = suspects_.find(fingerprint);
  if (it != suspects_.end() && it->second.size() < refuse_after_)
    suspects_.erase(it);
}

suspect_verdict suspect_table::Judge(std::uint64_t fingerprint,
                                     time_point now) const {
  const std::size_t count = Deaths(fingerprint, now);
  if (count == 0)
    return suspect_verdict::kClear;
  return count >= refuse_after_ ? suspect_verdict::kRefuse
                                : suspect_verdict::kAlone;
}

void suspect_table::Expire(time_point now) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    if (Find(it->first, now))
      ++it;
    else
      it = suspects_.erase(it);
  }
}

}  // namespace cactusward
