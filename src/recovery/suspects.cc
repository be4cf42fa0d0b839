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
                        const death& death,
                        time_point now) {
  if (!Find(fingerprint, now))
    suspects_.erase(fingerprint);
  deaths& known = suspects_[fingerprint];
  for (const auto& earlier : known) {
    if (IsSame(earlier.upstream, earlier.at, death.upstream, death.at))
      return false;
  }
  known.push_back(death);
  std::sort(known.begin(), known.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
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

// Strong suspicion is never lifted: two strong suspects that ran wherever
// upstreams died cannot be told apart, and sparing one may cost a third.
void suspect_table::Exonerate(std::uint64_t culprit) {
  const deaths explained = suspects_[culprit];
  const auto is_strong = [](const death& death) { return death.strong; };
  if (!std::all_of(explained.begin(), explained.end(), is_strong))
    return;
  const auto is_lifted = [&explained](const death& blamed) {
    const auto is_same = [&blamed](const death& death) {
      return IsSame(death.upstream, death.at, blamed.upstream, blamed.at);
    };
    return !blamed.strong &&
           std::any_of(explained.begin(), explained.end(), is_same);
  };
  for (auto& [fingerprint, known] : suspects_)
    known.erase(std::remove_if(known.begin(), known.end(), is_lifted),
                known.end());
}

bool suspect_table::IsStrong(const running_request& request,
                             time_point now) const {
  const deaths* known = Find(request.fingerprint, now);
  return known && (!request.first_token_seen ||
                   std::any_of(known->begin(), known->end(),
                               [](const death& d) { return d.strong; }));
}

std::vector<running_request> suspect_table::Blamed(
    std::uint32_t upstream,
    const std::vector<running_request>& in_flight,
    time_point now) const {
  std::vector<running_request> strong;
  std::vector<running_request> known;
  for (const running_request& request : in_flight) {
    if (IsStrong(request, now))
      strong.push_back(request);
    if (Find(request.fingerprint, now))
      known.push_back(request);
  }
  if (!strong.empty())
    return strong;
  if (!known.empty())
    return known;
  if (!IsExplained(upstream, now))
    return in_flight;
  std::vector<running_request> without_token;
  for (const running_request& request : in_flight) {
    if (!request.first_token_seen)
      without_token.push_back(request);
  }
  return without_token;
}

std::vector<suspect_report> suspect_table::RecordDeath(
    std::uint32_t upstream,
    const std::vector<running_request>& in_flight,
    time_point now) {
  std::vector<suspect_report> changed;
  for (const running_request& request : Blamed(upstream, in_flight, now)) {
    const bool is_strong = !request.first_token_seen;
    if (Add(request.fingerprint, {upstream, now, is_strong}, now))
      changed.push_back({request.fingerprint, upstream, 0, is_strong});
  }
  for (const suspect_report& report : changed) {
    if (Deaths(report.fingerprint, now) >= refuse_after_)
      Exonerate(report.fingerprint);
  }
  return changed;
}

bool suspect_table::Learn(const suspect_report& report, time_point now) {
  if (report.age_ms < 0 || milliseconds(report.age_ms) > period_)
    return false;
  const time_point at = now - milliseconds(report.age_ms);
  if (!Add(report.fingerprint, {report.upstream, at, report.strong}, now))
    return false;
  if (Deaths(report.fingerprint, now) >= refuse_after_)
    Exonerate(report.fingerprint);
  return true;
}

void suspect_table::RecordFinish(std::uint64_t fingerprint) {
  const auto it = suspects_.find(fingerprint);
  if (it != suspects_.end() && it->second.size() < refuse_after_)
    suspects_.erase(it);
}

suspect_verdict suspect_table::Judge(std::uint64_t fingerprint,
                                     time_point now) const {
  if (Deaths(fingerprint, now) >= refuse_after_)
    return suspect_verdict::kRefuse;
  return IsStrong({fingerprint, true}, now) ? suspect_verdict::kAlone
                                            : suspect_verdict::kClear;
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
