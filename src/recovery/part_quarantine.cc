#include "cactusward/part_quarantine.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace cactusward {
namespace {

// Least evidence for a quarantine: crashes, different requests, and time in
// which a sound part would have been seen to be sound.
constexpr std::size_t kMinCrashes = 3;
constexpr std::size_t kMinRequests = 2;
constexpr milliseconds kMinSpan{500};
// All instances with requests in flight at a crash have reported it by then.
constexpr milliseconds kSettleTime{200};
// Evidence is looked at again for this long after a crash.
constexpr milliseconds kUnsettledPeriod{1'000};
// Reports about one upstream within this time refer to the same crash.
constexpr milliseconds kSameCrashWindow{1'000};
// How long a crash counts as evidence, and soundness against it.
constexpr milliseconds kEvidencePeriod{60'000};
// Delay of the first trial; doubled with each further crash.
constexpr milliseconds kTrialDelay{20'000};
constexpr int kMaxDoublings = 5;
// Instances may try one after another at this interval, which leaves time to
// report a crash.
constexpr milliseconds kTrialInterval{1'000};
// A quarantine without a trial is forgotten this long after it was due.
constexpr milliseconds kForgetPeriod{600'000};
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxSuspects = 32;
// Of all suspects of a crash together.
constexpr std::size_t kMaxPartsPerCrash = 16'384;
constexpr std::size_t kMaxQuarantines = 16;
constexpr std::size_t kMaxSoundParts = 65'536;

// Preconditions of both: the parts of `suspect` and `required` are sorted.
bool HasPart(const crash_suspect& suspect, std::uint64_t part) {
  return std::binary_search(suspect.shared_parts.begin(),
                            suspect.shared_parts.end(), part);
}

bool HasSuspectWith(const std::vector<crash_suspect>& suspects,
                    const std::vector<std::uint64_t>& required) {
  return std::any_of(suspects.begin(), suspects.end(),
                     [&required](const crash_suspect& suspect) {
                       return std::includes(suspect.shared_parts.begin(),
                                            suspect.shared_parts.end(),
                                            required.begin(), required.end());
                     });
}

// Whether `parts`, in any order, has all of `required`, which is sorted.
bool ContainsAll(const std::vector<std::uint64_t>& parts,
                 const std::vector<std::uint64_t>& required) {
  if (parts.size() < required.size())
    return false;
  std::vector<bool> found(required.size());
  std::size_t missing = required.size();
  for (const std::uint64_t part : parts) {
    const auto at = std::lower_bound(required.begin(), required.end(), part);
    if (at == required.end() || *at != part || found[at - required.begin()])
      continue;
    found[at - required.begin()] = true;
    --missing;
  }
  return missing == 0;
}

// Suspects of one crash.
using suspect_list = std::vector<const crash_suspect*>;

suspect_list SuspectsWith(const std::vector<crash_suspect>& suspects,
                          std::uint64_t part) {
  suspect_list found;
  for (const crash_suspect& suspect : suspects) {
    if (HasPart(suspect, part))
      found.push_back(&suspect);
  }
  return found;
}

// Drops the suspects without `part`. @return whether one is left of each crash;
// nothing is dropped otherwise.
bool NarrowToSuspectsWith(std::uint64_t part,
                          std::vector<suspect_list>* crashes) {
  std::vector<suspect_list> narrowed;
  narrowed.reserve(crashes->size());
  for (const suspect_list& suspects : *crashes) {
    suspect_list having;
    std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(having),
                 [part](const crash_suspect* suspect) {
                   return HasPart(*suspect, part);
                 });
    if (having.empty())
      return false;
    narrowed.push_back(std::move(having));
  }
  *crashes = std::move(narrowed);
  return true;
}

bool SharesRequest(const std::vector<crash_suspect>& a,
                   const std::vector<crash_suspect>& b) {
  return std::any_of(a.begin(), a.end(), [&b](const crash_suspect& suspect) {
    return std::any_of(b.begin(), b.end(),
                       [&suspect](const crash_suspect& other) {
                         return other.fingerprint == suspect.fingerprint;
                       });
  });
}

std::int64_t AgeMs(time_point at, time_point now) {
  return std::max<std::int64_t>(
      0, std::chrono::duration_cast<milliseconds>(now - at).count());
}

}  // namespace

// The crashes that a part is suspected of.
struct part_quarantine::part_evidence {
  std::vector<const crash*> crashes;  // by time
  std::set<std::uint64_t> fingerprints;

  bool IsSufficient() const {
    return crashes.size() >= kMinCrashes &&
           fingerprints.size() >= kMinRequests &&
           crashes.back()->at - crashes.front()->at >= kMinSpan;
  }
};

bool part_quarantine::IsSoundSince(std::uint64_t part, time_point since) const {
  const auto known = sound_at_.find(part);
  return known != sound_at_.end() && known->second > since;
}

part_quarantine::crash* part_quarantine::FindCrash(const crash_report& report,
                                                   time_point at) {
  const auto is_same = [&report, at](const crash& known) {
    if (known.upstream != report.upstream)
      return false;
    // A receiver that was paused takes an old report for a new one, but a
    // request is not sent to the same upstream twice.
    return (at - known.at < kSameCrashWindow &&
            known.at - at < kSameCrashWindow) ||
           SharesRequest(known.suspects, report.suspects);
  };
  const auto found = std::find_if(crashes_.begin(), crashes_.end(), is_same);
  return found == crashes_.end() ? nullptr : &*found;
}

bool part_quarantine::AddSuspect(const crash_suspect& suspect, crash* known) {
  std::size_t room = kMaxPartsPerCrash;
  for (const crash_suspect& other : known->suspects)
    room -= other.shared_parts.size();
  auto same = std::find_if(known->suspects.begin(), known->suspects.end(),
                           [&suspect](const crash_suspect& other) {
                             return other.fingerprint == suspect.fingerprint;
                           });
  const bool is_known = same != known->suspects.end();
  std::vector<std::uint64_t> parts = suspect.shared_parts;
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  std::vector<std::uint64_t> added;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(added),
               [&same, is_known](std::uint64_t part) {
                 return !is_known || !HasPart(*same, part);
               });
  if (added.empty() || added.size() > room ||
      (!is_known && known->suspects.size() >= kMaxSuspects))
    return false;
  if (!is_known) {
    known->suspects.push_back({suspect.fingerprint, std::move(added)});
    return true;
  }
  std::vector<std::uint64_t>& all = same->shared_parts;
  const auto middle = all.insert(all.end(), added.begin(), added.end());
  std::inplace_merge(all.begin(), middle, all.end());
  return true;
}

bool part_quarantine::MergeCrash(const crash_report& report, time_point now) {
  if (report.suspects.empty() || report.age_ms < 0 ||
      milliseconds(report.age_ms) > kEvidencePeriod)
    return false;
  const time_point at = now - milliseconds(report.age_ms);
  crash* known = FindCrash(report, at);
  if (!known) {
    const auto position = std::upper_bound(
        crashes_.begin(), crashes_.end(), at,
        [](time_point time, const crash& other) { return time < other.at; });
    known = &*crashes_.insert(position, {report.upstream, at, {}, false});
  }
  bool is_new = false;
  for (const crash_suspect& suspect : report.suspects)
    is_new = AddSuspect(suspect, known) || is_new;
  if (crashes_.size() > kMaxCrashes)
    crashes_.pop_front();
  if (!is_new)
    return false;
  AttributeCrashes();
  Evaluate(now);
  return true;
}

std::optional<part_quarantine::quarantine> part_quarantine::FindCommonParts(
    const std::vector<const crash*>& crashes,
    bool known_sound,
    time_point now) const {
  std::map<std::uint64_t, part_evidence> by_part;
  for (const crash* item : crashes) {
    for (const crash_suspect& suspect : item->suspects) {
      for (const std::uint64_t part : suspect.shared_parts) {
        if (!known_sound ? sound_at_.count(part) > 0
                         : IsSoundSince(part, item->at))
          continue;
        part_evidence& evidence = by_part[part];
        if (evidence.crashes.empty() || evidence.crashes.back() != item)
          evidence.crashes.push_back(item);
        evidence.fingerprints.insert(suspect.fingerprint);
      }
    }
  }
  const part_evidence* best = nullptr;
  quarantine found;
  for (const auto& [part, evidence] : by_part) {
    if (!evidence.IsSufficient() ||
        (best && evidence.crashes.size() <= best->crashes.size()))
      continue;
    best = &evidence;
    found.parts = {part};
  }
  if (!best)
    return std::nullopt;
  found.crashes = static_cast<std::int64_t>(best->crashes.size());
  found.first_crash = best->crashes.front()->at;
  found.last_crash = best->crashes.back()->at;
  const std::uint64_t blamed = found.parts.front();
  // By crash: the suspects that have all of the parts found so far, since one
  // request has to have all of them.
  std::vector<suspect_list> remaining;
  for (const crash* item : best->crashes) {
    if (now - item->at >= kSettleTime)
      remaining.push_back(SuspectsWith(item->suspects, blamed));
  }
  for (const auto& [part, evidence] : by_part) {
    if (part == blamed || IsSoundSince(part, found.first_crash))
      continue;
    if (evidence.crashes.size() + 1 >= kMinCrashes &&
        NarrowToSuspectsWith(part, &remaining))
      found.parts.push_back(part);
  }
  std::sort(found.parts.begin(), found.parts.end());
  return found;
}

void part_quarantine::Evaluate(time_point now) {
  std::vector<const crash*> open;
  for (const crash& item : crashes_)
    open.push_back(&item);
  for (const bool known_sound : {false, true}) {
    while (const auto found = FindCommonParts(open, known_sound, now)) {
      Adopt(*found);
      AttributeCrashes();
      // Removes at least the first of its crashes, which is settled.
      open.erase(std::remove_if(open.begin(), open.end(),
                                [&found](const crash* item) {
                                  return HasSuspectWith(item->suspects,
                                                        found->parts);
                                }),
                 open.end());
    }
  }
}

void part_quarantine::AttributeCrashes() {
  for (crash& item : crashes_) {
    if (item.attributed)
      continue;
    for (quarantine& entry : quarantines_) {
      if (!HasSuspectWith(item.suspects, entry.parts))
        continue;
      item.attributed = true;
      if (item.at <= entry.last_crash)
        break;
      ++entry.crashes;
      entry.last_crash = item.at;
      ScheduleTrial(&entry);
      break;
    }
  }
}

bool part_quarantine::Adopt(const quarantine& next) {
  for (quarantine& entry : quarantines_) {
    const bool narrows = ContainsAll(entry.parts, next.parts);
    if (!narrows && !ContainsAll(next.parts, entry.parts))
      continue;
    const bool changed = narrows && entry.parts != next.parts;
    if (changed)
      entry.parts = next.parts;
    entry.first_crash = std::min(entry.first_crash, next.first_crash);
    if (next.crashes > entry.crashes) {
      entry.crashes = next.crashes;
      entry.last_crash = next.last_crash;
      ScheduleTrial(&entry);
    } else if (next.crashes == entry.crashes) {
      // The time that a report was on its way makes a crash look later. Taking
      // the earlier estimate keeps it from adding up from peer to peer.
      entry.last_crash = std::min(entry.last_crash, next.last_crash);
    }
    return changed;
  }
  if (quarantines_.size() >= kMaxQuarantines)
    quarantines_.erase(quarantines_.begin());
  quarantines_.push_back(next);
  ScheduleTrial(&quarantines_.back());
  return true;
}

bool part_quarantine::MergeQuarantine(const quarantine_report& report,
                                      time_point now) {
  if (report.parts.empty() || report.first_crash_age_ms < 0 ||
      report.last_crash_age_ms < 0 || report.crashes < 0)
    return false;
  quarantine next;
  next.crashes = report.crashes;
  next.first_crash = now - milliseconds(report.first_crash_age_ms);
  next.last_crash = now - milliseconds(report.last_crash_age_ms);
  if (now - next.last_crash > Delay(next) + kForgetPeriod)
    return false;
  for (const std::uint64_t part : report.parts) {
    if (!IsSoundSince(part, next.first_crash))
      next.parts.push_back(part);
  }
  if (next.parts.empty())
    return false;
  std::sort(next.parts.begin(), next.parts.end());
  return Adopt(next);
}

std::vector<std::uint64_t> part_quarantine::RecordSound(
    const std::vector<std::uint64_t>& parts,
    time_point at) {
  std::vector<std::uint64_t> unknown_to_peers;
  for (const std::uint64_t part : parts) {
    const auto known = sound_at_.find(part);
    const auto since =
        known == sound_at_.end() ? time_point::min() : known->second;
    if (at <= since)
      continue;
    const bool suspected =
        std::any_of(crashes_.begin(), crashes_.end(), [&](const crash& item) {
          return item.at > since && item.at < at &&
                 !SuspectsWith(item.suspects, part).empty();
        });
    bool quarantined = false;
    for (auto entry = quarantines_.begin(); entry != quarantines_.end();) {
      const auto found =
          std::find(entry->parts.begin(), entry->parts.end(), part);
      if (found == entry->parts.end() || at <= entry->first_crash) {
        ++entry;
        continue;
      }
      quarantined = true;
      entry->parts.erase(found);
      entry = entry->parts.empty() ? quarantines_.erase(entry) : entry + 1;
    }
    if (suspected || quarantined)
      unknown_to_peers.push_back(part);
    if (known != sound_at_.end())
      known->second = at;
    else if (sound_at_.size() < kMaxSoundParts)
      sound_at_.emplace(part, at);
  }
  return unknown_to_peers;
}

std::optional<quarantine_refusal> part_quarantine::Check(
    const std::vector<std::uint64_t>& parts,
    std::optional<time_point> trial_start,
    time_point now) const {
  for (const quarantine& entry : quarantines_) {
    if (!ContainsAll(parts, entry.parts) ||
        (trial_start && entry.last_crash <= *trial_start))
      continue;
    return quarantine_refusal{
        Describe(entry, now),
        std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(
                                      entry.trial_at - now))};
  }
  return std::nullopt;
}

bool part_quarantine::BeginTrial(const std::vector<std::uint64_t>& parts,
                                 time_point now) {
  const auto applies = [&parts](const quarantine& entry) {
    return ContainsAll(parts, entry.parts);
  };
  if (std::any_of(quarantines_.begin(), quarantines_.end(),
                  [&](const quarantine& entry) {
                    return applies(entry) && now < entry.trial_at;
                  }))
    return false;
  for (quarantine& entry : quarantines_) {
    if (applies(entry))
      entry.trial_at = now + kTrialDelay;
  }
  return true;
}

duration part_quarantine::Delay(const quarantine& entry) {
  const auto doublings = std::clamp<std::int64_t>(
      entry.crashes - static_cast<std::int64_t>(kMinCrashes), 0, kMaxDoublings);
  return kTrialDelay * (1 << doublings);
}

void part_quarantine::ScheduleTrial(quarantine* entry) {
  std::uniform_real_distribution<double> spread(
      0, static_cast<double>(instances_));
  entry->trial_at =
      entry->last_crash + Delay(*entry) +
      std::chrono::duration_cast<duration>(kTrialInterval * spread(random_));
}

quarantine_report part_quarantine::Describe(const quarantine& entry,
                                            time_point now) {
  return {entry.parts, entry.crashes, AgeMs(entry.first_crash, now),
          AgeMs(entry.last_crash, now)};
}

std::vector<quarantine_report> part_quarantine::Quarantines(
    time_point now) const {
  std::vector<quarantine_report> reports;
  reports.reserve(quarantines_.size());
  for (const quarantine& entry : quarantines_)
    reports.push_back(Describe(entry, now));
  return reports;
}

std::optional<time_point> part_quarantine::SoundAt(std::uint64_t part) const {
  const auto known = sound_at_.find(part);
  if (known == sound_at_.end())
    return std::nullopt;
  return known->second;
}

std::vector<part_quarantine::attributed_crash>
part_quarantine::AttributedCrashes() const {
  std::vector<attributed_crash> attributed;
  for (const crash& item : crashes_) {
    if (item.attributed)
      attributed.push_back({item.upstream, item.at});
  }
  return attributed;
}

void part_quarantine::Update(time_point now) {
  while (!crashes_.empty() && now - crashes_.front().at > kEvidencePeriod)
    crashes_.pop_front();
  // What was not settled when the last report arrived may be now.
  if (!crashes_.empty() && now - crashes_.back().at < kUnsettledPeriod)
    Evaluate(now);
  quarantines_.erase(std::remove_if(quarantines_.begin(), quarantines_.end(),
                                    [now](const quarantine& entry) {
                                      return now - entry.last_crash >
                                             Delay(entry) + kForgetPeriod;
                                    }),
                     quarantines_.end());
  for (auto it = sound_at_.begin(); it != sound_at_.end();)
    it = now - it->second > kEvidencePeriod ? sound_at_.erase(it)
                                            : std::next(it);
}

}  // namespace cactusward
