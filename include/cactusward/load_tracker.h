// What the engines of a fleet have to do: requests of this instance, and what
// the other instances say of theirs.
#ifndef CACTUSWARD_LOAD_TRACKER_H_
#define CACTUSWARD_LOAD_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/time.h"

namespace cactusward {

// The part of one instance in the load of one upstream.
struct upstream_load {
  std::uint32_t upstream = 0;         // UpstreamKey of its id
  int running = 0;                    // requests sent and not ended
  int interactive = 0;                // those among them that bear little pause
  std::int64_t max_event_gap_ms = 0;  // shortest pause that one bears; 0: none
  std::int64_t prefill_ms = 0;        // reading that is not done yet
  std::int64_t kv_tokens = 0;         // prompts and answers of all of them
  // Part of `prefill_ms` that stays however old the report is: until a reading
  // is known to be done it may be overdue.
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

// One request, or one part of it, that occupies an upstream.
struct tracked_request {
  std::uint32_t upstream = 0;
  bool interactive = false;
  bool prefill_only = false;          // a helper: it writes nothing
  std::int64_t max_event_gap_ms = 0;  // 0: bears any pause
  double prefill_ms = 0;              // expected time to read its prompt
  double expected_first_event_ms =
      0;  // from its sending to the end of the reading
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

// Not thread-safe.
class load_tracker {
 public:
  // Accounts for a request. @return its id, for the calls below.
  std::uint64_t Begin(const tracked_request& request);
  // The reading of a request is done.
  void EndPrefill(std::uint64_t id);
  void End(std::uint64_t id);

  // Replaces what the instance `peer` says of its requests.
  void SetPeerLoads(const std::string& peer,
                    std::vector<upstream_load> loads,
                    time_point now);
  void RemovePeer(const std::string& peer) { peers_.erase(peer); }
  // Drops reports of peers that fell silent.
  void Expire(time_point now);

  // Load of one upstream, by all instances.
  upstream_load LoadOf(std::uint32_t upstream, time_point now) const;
  // Load by all instances, by upstream.
  std::unordered_map<std::uint32_t, upstream_load> Loads(time_point now) const;
  // Load by this instance, for its peers; upstreams in no particular order.
  std::vector<upstream_load> OwnLoads(time_point now) const;
  std::size_t own_requests() const { return entries_.size(); }

  // Reports older than this say nothing about now: a few times the period at
  // which instances repeat theirs.
  static constexpr milliseconds kPeerReportTtl{3'000};

 private:
  struct own_entry {
    tracked_request request;
    bool prefilling = true;
  };
  struct peer_loads {
    std::vector<upstream_load> loads;
    time_point heard_at;
  };
  static upstream_load LoadOfEntry(const own_entry& own, time_point now);

  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, own_entry> entries_;
  std::map<std::string, peer_loads> peers_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_LOAD_TRACKER_H_
