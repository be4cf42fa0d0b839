#include "cactusward/suspects.h"

#include <algorithm>

namespace cactusward {
namespace {

// Reports about one upstream within this time refer to the same crash.
constexpr milliseconds kSameCrashWindow{5'000};

bool IsSameCrash(std::uint32_t upstream_a,
                 time_point a,
                 std::uint32_t upstream_b,
                 time_point b) {
  return upstream_a == upstream_b && a - b < kSameCrashWindow &&
         b - a < kSameCrashWindow;
}

}  // namespace

const suspect_table::crash_list* suspect_table::Find(std::uint64_t fingerprint,
                                                     time_point now) const {
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end() || it->second.empty() ||
      now - it->second.back().at > period_)
    return nullptr;
  return &it->second;
}

std::size_t suspect_table::CrashCount(std::uint64_t fingerprint,
                                      time_point now) const {
  const crash_list* known = Find(fingerprint, now);
  return known ? known->size() : 0;
}

bool suspect_table::AddCrash(std::uint64_t fingerprint,
                             const crash& crash,
                             time_point now) {
  if (!Find(fingerprint, now))
    suspects_.erase(fingerprint);
  crash_list& known = suspects_[fingerprint];
  for (const auto& earlier : known) {
    if (IsSameCrash(earlier.upstream, earlier.at, crash.upstream, crash.at))
      return false;
  }
  known.push_back(crash);
  std::sort(known.begin(), known.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  return true;
}

bool suspect_table::IsAttributed(std::uint32_t upstream, time_point at) const {
  for (const auto& [fingerprint, known] : suspects_) {
    if (known.size() < refusal_threshold_)
      continue;
    for (const crash& crash : known) {
      if (IsSameCrash(crash.upstream, crash.at, upstream, at))
        return true;
    }
  }
  return false;
}

// Strong suspicion is never removed: two strong suspects that both ran on every
// crashed upstream cannot be told apart, and clearing one of them may crash a
// third upstream.
void suspect_table::ClearWeakSuspects(std::uint64_t refused_request) {
  const crash_list crashes = suspects_[refused_request];
  const auto is_strong = [](const crash& crash) { return crash.strong; };
  if (!std::all_of(crashes.begin(), crashes.end(), is_strong))
    return;
  const auto is_cleared = [&crashes](const crash& candidate) {
    const auto is_same = [&candidate](const crash& crash) {
      return IsSameCrash(crash.upstream, crash.at, candidate.upstream,
                         candidate.at);
    };
    return !candidate.strong &&
           std::any_of(crashes.begin(), crashes.end(), is_same);
  };
  for (auto& [fingerprint, known] : suspects_)
    known.erase(std::remove_if(known.begin(), known.end(), is_cleared),
                known.end());
}

bool suspect_table::IsStrong(const running_request& request,
                             time_point now) const {
  const crash_list* known = Find(request.fingerprint, now);
  return known && (!request.first_token_seen ||
                   std::any_of(known->begin(), known->end(),
                               [](const crash& c) { return c.strong; }));
}

std::vector<running_request> suspect_table::SelectSuspects(
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
  if (!IsAttributed(upstream, now))
    return in_flight;
  std::vector<running_request> before_first_token;
  for (const running_request& request : in_flight) {
    if (!request.first_token_seen)
      before_first_token.push_back(request);
  }
  return before_first_token;
}

std::vector<suspect_report> suspect_table::RecordCrash(
    std::uint32_t upstream,
    const std::vector<running_request>& in_flight,
    time_point now) {
  std::vector<suspect_report> changed;
  for (const running_request& request :
       SelectSuspects(upstream, in_flight, now)) {
    const bool is_strong = !request.first_token_seen;
    if (AddCrash(request.fingerprint, {upstream, now, is_strong}, now))
      changed.push_back({request.fingerprint, upstream, 0, is_strong});
  }
  for (const suspect_report& report : changed) {
    if (CrashCount(report.fingerprint, now) >= refusal_threshold_)
      ClearWeakSuspects(report.fingerprint);
  }
  return changed;
}

bool suspect_table::MergeReport(const suspect_report& report, time_point now) {
  if (report.age_ms < 0 || milliseconds(report.age_ms) > period_)
    return false;
  const time_point at = now - milliseconds(report.age_ms);
  if (!AddCrash(report.fingerprint, {report.upstream, at, report.strong}, now))
    return false;
  if (CrashCount(report.fingerprint, now) >= refusal_threshold_)
    ClearWeakSuspects(report.fingerprint);
  return true;
}

void suspect_table::RecordCompletion(std::uint64_t fingerprint) {
  const auto it = suspects_.find(fingerprint);
  if (it != suspects_.end() && it->second.size() < refusal_threshold_)
    suspects_.erase(it);
}

void suspect_table::RemoveCrash(std::uint32_t upstream, time_point at) {
  const auto is_same = [upstream, at](const crash& known) {
    return IsSameCrash(known.upstream, known.at, upstream, at);
  };
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    crash_list& known = it->second;
    known.erase(std::remove_if(known.begin(), known.end(), is_same),
                known.end());
    it = known.empty() ? suspects_.erase(it) : std::next(it);
  }
}

suspect_verdict suspect_table::VerdictFor(std::uint64_t fingerprint,
                                          time_point now) const {
  if (CrashCount(fingerprint, now) >= refusal_threshold_)
    return suspect_verdict::kRefuse;
  return IsStrong({fingerprint, true, {}, true}, now)
             ? suspect_verdict::kIsolate
             : suspect_verdict::kAllow;
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
