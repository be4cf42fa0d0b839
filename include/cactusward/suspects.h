// Tracks requests that are suspected of crashing upstreams.
#ifndef CACTUSWARD_SUSPECTS_H_
#define CACTUSWARD_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "cactusward/membership.h"
#include "cactusward/time.h"

namespace cactusward {

// Where a request may be placed.
enum class suspect_verdict {
  kAllow,    // no restriction
  kIsolate,  // strong suspect: only where no other suspect is in flight
  kRefuse,   // must not be executed
};

// A request in flight at an upstream.
struct running_request {
  std::uint64_t fingerprint = 0;
  bool first_token_seen = false;
  // Identifiers of the parts of its prompt that other requests may share.
  std::vector<std::uint64_t> shared_parts;
  // The upstream went on after the first event.
  bool survived_start = false;

  friend bool operator==(const running_request& a, const running_request& b) {
    return a.fingerprint == b.fingerprint &&
           a.first_token_seen == b.first_token_seen &&
           a.shared_parts == b.shared_parts &&
           a.survived_start == b.survived_start;
  }
};

// Attributes crashes of upstreams to the requests that were in flight there. A
// request is a strong suspect of a crash if it had no token yet, and a weak
// suspect otherwise. A crash is attributed to strong suspects of an earlier
// crash if there are any, otherwise to weak ones; all requests in flight become
// suspects only if there are neither. A crash that is attributed to a refused
// request no longer counts against weak suspects, also if a peer reports it.
// Not thread-safe.
class suspect_table {
 public:
  // @param refusal_threshold number of crashes after which a request is
  //     refused.
  // @param period how long a suspicion lasts after its latest crash.
  suspect_table(std::size_t refusal_threshold, duration period)
      : refusal_threshold_(refusal_threshold), period_(period) {}

  // Records that `upstream` crashed with these requests in flight.
  // @return the reports to send to peers.
  std::vector<suspect_report> RecordCrash(
      std::uint32_t upstream,
      const std::vector<running_request>& in_flight,
      time_point now);

  // Merges a peer's report. @return whether it was new.
  bool MergeReport(const suspect_report& report, time_point now);

  // Records that a request completed. It is no longer a suspect, unless it is
  // already refused. Peers drop their suspicion only when it expires.
  void RecordCompletion(std::uint64_t fingerprint);

  // Drops a crash that was attributed to something else than a request.
  void RemoveCrash(std::uint32_t upstream, time_point at);

  suspect_verdict VerdictFor(std::uint64_t fingerprint, time_point now) const;
  // Number of crashes attributed to a request so far.
  std::size_t CrashCount(std::uint64_t fingerprint, time_point now) const;

  // Sets how long suspicions last, existing ones included.
  void SetPeriod(duration period) { period_ = period; }
  // Removes expired suspicions.
  void Expire(time_point now);
  std::size_t size() const { return suspects_.size(); }

 private:
  struct crash {
    std::uint32_t upstream = 0;
    time_point at;
    bool strong = false;
  };
  using crash_list = std::vector<crash>;

  const crash_list* Find(std::uint64_t fingerprint, time_point now) const;
  // @return false if the crash is already recorded.
  bool AddCrash(std::uint64_t fingerprint, const crash& crash, time_point now);
  bool IsStrong(const running_request& request, time_point now) const;
  std::vector<running_request> SelectSuspects(
      std::uint32_t upstream,
      const std::vector<running_request>& in_flight,
      time_point now) const;
  // Whether a crash of `upstream` at `at` is attributed to a refused request.
  bool IsAttributed(std::uint32_t upstream, time_point at) const;
  // Removes the crashes of `refused_request` from weak suspects, if it is a
  // strong suspect of all of them.
  void ClearWeakSuspects(std::uint64_t refused_request);

  std::size_t refusal_threshold_;
  duration period_;
  std::map<std::uint64_t, crash_list> suspects_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SUSPECTS_H_
