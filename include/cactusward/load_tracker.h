// Load of upstreams: requests of this instance and load reports of its peers.
#ifndef CACTUSWARD_LOAD_TRACKER_H_
#define CACTUSWARD_LOAD_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/time.h"

namespace cactusward {

// Load of one upstream by the requests of one or more instances.
struct upstream_load {
  std::uint32_t upstream = 0;         // UpstreamKey of its id
  int running = 0;                    // requests sent and not ended
  int interactive = 0;                // interactive ones among them
  std::int64_t max_event_gap_ms = 0;  // the strictest of them; 0: no limit
  std::int64_t prefill_ms = 0;        // pending prefill
  std::int64_t kv_tokens = 0;         // prompt and output tokens of all of them
  // Part of `prefill_ms` that does not decrease with the age of the report: a
  // prefill that is not known to be done may be overdue.
  std::int64_t overdue_prefill_ms = 0;

  friend bool operator==(const upstream_load& a, const upstream_load& b) {
    return a.upstream == b.upstream && a.running == b.running &&
           a.interactive == b.interactive &&
           a.max_event_gap_ms == b.max_event_gap_ms &&
           a.prefill_ms == b.prefill_ms && a.kv_tokens == b.kv_tokens &&
           a.overdue_prefill_ms == b.overdue_prefill_ms;
  }
};

// Adds `part` to `total`. Thread-safe.
void AddLoad(const upstream_load& part, upstream_load* total);

// A request, or a part of a split prompt, on one upstream.
struct tracked_request {
  std::uint32_t upstream = 0;
  bool interactive = false;
  bool prefill_only = false;           // on a prefill_helper
  std::int64_t max_event_gap_ms = 0;   // 0: no limit
  double prefill_ms = 0;               // expected
  double expected_first_event_ms = 0;  // from `sent_at`
  std::int64_t kv_tokens = 0;
  time_point sent_at;

  friend bool operator==(const tracked_request& a, const tracked_request& b) {
    return a.upstream == b.upstream && a.interactive == b.interactive &&
           a.prefill_only == b.prefill_only &&
           a.max_event_gap_ms == b.max_event_gap_ms &&
           a.prefill_ms == b.prefill_ms &&
           a.expected_first_event_ms == b.expected_first_event_ms &&
           a.kv_tokens == b.kv_tokens && a.sent_at == b.sent_at;
  }
};

// Orders the reports of one instance. Reports that took different ways may
// overtake each other.
struct report_order {
  std::uint64_t incarnation = 0;
  std::int64_t number = 0;  // within the incarnation; 0: not known

  // Whether a report with this order is older than one with `other`.
  bool IsBefore(const report_order& other) const {
    if (incarnation != other.incarnation)
      return incarnation < other.incarnation;
    return number > 0 && number < other.number;
  }
  friend bool operator==(const report_order& a, const report_order& b) {
    return a.incarnation == b.incarnation && a.number == b.number;
  }
};

// Not thread-safe.
class load_tracker {
 public:
  // Adds a request. @return its id, for the calls below.
  std::uint64_t Begin(const tracked_request& request);
  // The prefill of a request is done.
  void EndPrefill(std::uint64_t id);
  void End(std::uint64_t id);

  // Replaces the loads reported by the instance `peer`, unless a later report
  // is known.
  void SetPeerLoads(const std::string& peer,
                    report_order order,
                    std::vector<upstream_load> loads,
                    time_point now);
  void RemovePeer(const std::string& peer) {
    loads_at_.reset();
    peers_.erase(peer);
  }
  // Drops peer reports older than kPeerReportTtl.
  void Expire(time_point now);

  // Load of one upstream by all instances.
  upstream_load LoadOf(std::uint32_t upstream, time_point now) const;
  // Load by all instances, keyed by upstream, as it was kMaxLoadsAge before
  // `now` or later; valid until the next call of any method.
  const std::unordered_map<std::uint32_t, upstream_load>& Loads(
      time_point now) const;
  // Load by this instance alone, to report to peers, in unspecified order.
  std::vector<upstream_load> OwnLoads(time_point now) const;
  std::size_t own_requests() const { return entries_.size(); }

  // Loads decrease by one millisecond of prefill in a millisecond, which is
  // small against the times that are compared.
  static constexpr milliseconds kMaxLoadsAge{5};
  // Older reports are outdated: a few periods of the load reports.
  static constexpr milliseconds kPeerReportTtl{3'000};

 private:
  struct own_entry {
    tracked_request request;
    bool prefilling = true;
  };
  struct peer_loads {
    std::vector<upstream_load> loads;
    time_point heard_at;
    report_order order;
  };
  static upstream_load LoadOfEntry(const own_entry& own, time_point now);
  void AddPeerLoads(time_point now) const;

  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, own_entry> entries_;
  std::map<std::string, peer_loads> peers_;
  // The result of Loads; empty time: it has changed since.
  mutable std::unordered_map<std::uint32_t, upstream_load> loads_;
  mutable std::optional<time_point> loads_at_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_LOAD_TRACKER_H_
