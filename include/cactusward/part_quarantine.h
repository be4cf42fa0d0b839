// Finds the parts of prompts that crash upstreams, whatever else the requests
// hold, and quarantines them.
#ifndef CACTUSWARD_PART_QUARANTINE_H_
#define CACTUSWARD_PART_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "cactusward/crash_report.h"
#include "cactusward/time.h"

namespace cactusward {

// Requests whose prompts have all of `parts` are refused.
struct quarantine_report {
  std::vector<std::uint64_t> parts;  // sorted
  std::int64_t crashes = 0;          // attributed to them
  std::int64_t first_crash_age_ms = 0;
  std::int64_t last_crash_age_ms = 0;

  friend bool operator==(const quarantine_report& a,
                         const quarantine_report& b) {
    return a.parts == b.parts && a.crashes == b.crashes &&
           a.first_crash_age_ms == b.first_crash_age_ms &&
           a.last_crash_age_ms == b.last_crash_age_ms;
  }
};

// An upstream has survived the start of a response to a prompt with this part.
struct sound_part_report {
  std::uint64_t part = 0;
  std::int64_t age_ms = 0;

  friend bool operator==(const sound_part_report& a,
                         const sound_part_report& b) {
    return a.part == b.part && a.age_ms == b.age_ms;
  }
};

// Why a request is refused.
struct quarantine_refusal {
  quarantine_report quarantine;
  milliseconds retry_after{0};  // until the parts are tried again

  friend bool operator==(const quarantine_refusal& a,
                         const quarantine_refusal& b) {
    return a.quarantine == b.quarantine && a.retry_after == b.retry_after;
  }
};

// The evidence and the decisions of one instance. Instances that merge the same
// reports, in whatever order, refuse the same requests.
//
// Several crashes are attributed to a part if it was among the suspects of each
// and no upstream has survived it since the first. Parts that no upstream is
// known to have survived before are blamed first. Parts that accompany the
// blamed one in every case cannot be told apart from it: then only requests
// that have all of them are refused, so that requests with fewer go on and show
// which is sound.
//
// A quarantine ends when an upstream survives the part. For this an instance
// tries one request after a delay that doubles with each crash, and that is
// spread over the instances. Not thread-safe.
class part_quarantine {
 public:
  explicit part_quarantine(std::uint64_t random_seed) : random_(random_seed) {}

  // Sets the number of instances over which trials are spread.
  void SetInstanceCount(std::size_t count) { instances_ = count; }

  // Merges a crash seen by this instance or a peer. The parts of one request
  // may be spread over several reports. @return whether it holds new evidence.
  bool MergeCrash(const crash_report& report, time_point now);
  // Merges a peer's quarantine. @return false if it was known, or contradicts
  // what is known to be sound.
  bool MergeQuarantine(const quarantine_report& report, time_point now);
  // Records that an upstream has survived a prompt with these parts. @return
  // the parts for which peers may not know it: those that a crash made suspect
  // since it was last known.
  std::vector<std::uint64_t> RecordSound(
      const std::vector<std::uint64_t>& parts,
      time_point at);

  // Whether a request with these parts is refused at `now`.
  // @param trial_start when BeginTrial allowed the request, if it did.
  std::optional<quarantine_refusal> Check(
      const std::vector<std::uint64_t>& parts,
      std::optional<time_point> trial_start,
      time_point now) const;
  // Whether a request with these parts may be sent as a trial. Postpones the
  // next one.
  bool BeginTrial(const std::vector<std::uint64_t>& parts, time_point now);

  // All quarantines, to report to peers.
  std::vector<quarantine_report> Quarantines(time_point now) const;
  // When an upstream last survived the part, as far as known.
  std::optional<time_point> SoundAt(std::uint64_t part) const;
  // Crashes that are attributed to quarantined parts.
  struct attributed_crash {
    std::uint32_t upstream = 0;
    time_point at;

    friend bool operator==(const attributed_crash& a,
                           const attributed_crash& b) {
      return a.upstream == b.upstream && a.at == b.at;
    }
  };
  std::vector<attributed_crash> AttributedCrashes() const;

  // Draws conclusions from reports that have had time to arrive, and drops
  // evidence and quarantines that have expired. Call every few hundred ms.
  void Update(time_point now);

 private:
  struct crash {
    std::uint32_t upstream = 0;
    time_point at;
    std::vector<crash_suspect> suspects;  // their parts are sorted
    bool attributed = false;
  };
  struct quarantine {
    std::vector<std::uint64_t> parts;  // sorted
    std::int64_t crashes = 0;
    time_point first_crash;
    time_point last_crash;
    time_point trial_at;
  };
  struct part_evidence;

  crash* FindCrash(const crash_report& report, time_point at);
  // Adds parts of one request to the evidence, unless they exceed a limit.
  // @return whether any was new.
  static bool AddSuspect(const crash_suspect& suspect, crash* known);
  // Adds the quarantines that the recorded crashes call for.
  void Evaluate(time_point now);
  // @param known_sound whether parts may be blamed that upstreams survived
  //     before the crashes.
  std::optional<quarantine> FindCommonParts(
      const std::vector<const crash*>& crashes,
      bool known_sound,
      time_point now) const;
  // Adds a quarantine or merges it with one of a superset or subset of its
  // parts. @return whether the parts that are refused have changed.
  bool Adopt(const quarantine& next);
  // Counts crashes with a suspect that is refused now.
  void AttributeCrashes();
  void ScheduleTrial(quarantine* entry);
  bool IsSoundSince(std::uint64_t part, time_point since) const;
  static duration Delay(const quarantine& entry);
  static quarantine_report Describe(const quarantine& entry, time_point now);

  std::mt19937_64 random_;
  std::size_t instances_ = 1;
  std::deque<crash> crashes_;
  std::vector<quarantine> quarantines_;
  std::unordered_map<std::uint64_t, time_point> sound_at_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_PART_QUARANTINE_H_
