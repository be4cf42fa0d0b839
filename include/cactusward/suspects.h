// Requests suspected of making upstreams fail.
#ifndef CACTUSWARD_SUSPECTS_H_
#define CACTUSWARD_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "cactusward/membership.h"
#include "cactusward/time.h"

namespace cactusward {

// What may be done with a request.
enum class suspect_verdict {
  kAllow,    // place it anywhere
  kIsolate,  // a strong suspect: place it where no other one is in flight
  kRefuse,   // do not run it
};

// A request in flight at an upstream.
struct running_request {
  std::uint64_t fingerprint = 0;
  bool first_token_seen = false;

  friend bool operator==(const running_request& a, const running_request& b) {
    return a.fingerprint == b.fingerprint &&
           a.first_token_seen == b.first_token_seen;
  }
};

// Blames crash_list of upstreams on the requests in flight there. A request
// that had no token yet is a strong suspect, the others are weak ones. A crash
// is blamed on strong suspects of an earlier crash, else on weak ones; only
// without either does it make suspects of all. A crash that a refused request
// explains is lifted from weaker suspects, also when a peer reports it.
// Not thread-safe.
class suspect_table {
 public:
  // @param refusal_threshold crash_list after which a request is refused.
  // @param period how long a suspicion lasts after its latest crash.
  suspect_table(std::size_t refusal_threshold, duration period)
      : refusal_threshold_(refusal_threshold), period_(period) {}

  // Records that `upstream` died with these requests in flight.
  // @return what to pass on to peers.
  std::vector<suspect_report> RecordCrash(
      std::uint32_t upstream,
      const std::vector<running_request>& in_flight,
      time_point now);

  // Takes in a peer's report. @return whether it was news.
  bool MergeReport(const suspect_report& report, time_point now);

  // Records that a request finished: its suspicion is lifted, unless it is
  // refused already. Peers lift theirs by expiry.
  void RecordCompletion(std::uint64_t fingerprint);

  suspect_verdict VerdictFor(std::uint64_t fingerprint, time_point now) const;
  // CrashCount blamed on a request so far.
  std::size_t CrashCount(std::uint64_t fingerprint, time_point now) const;

  // Sets the period for all suspicions.
  void SetPeriod(duration period) { period_ = period; }
  // Drops expired suspicions.
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
  // Adds a crash; false when it is known.
  bool AddCrash(std::uint64_t fingerprint, const crash& crash, time_point now);
  bool IsStrong(const running_request& request, time_point now) const;
  std::vector<running_request> SelectSuspects(
      std::uint32_t upstream,
      const std::vector<running_request>& in_flight,
      time_point now) const;
  // Whether a refused request explains a crash of `upstream` at `at`.
  bool IsAttributed(std::uint32_t upstream, time_point at) const;
  // Lifts the blame for the crash_list of `culprit` from weak suspects.
  void ClearWeakSuspects(std::uint64_t refused_request);

  std::size_t refusal_threshold_;
  duration period_;
  std::map<std::uint64_t, crash_list> suspects_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SUSPECTS_H_
