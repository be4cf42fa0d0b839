// What the engines of a fleet have to do: requests of this instance, and what
// the other instances say of theirs.
#ifndef CACTUSWARD_LOAD_BOARD_H_
#define CACTUSWARD_LOAD_BOARD_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/time.h"

namespace cactusward {

// The part of one instance in the load of one upstream.
struct upstream_load {
  std::uint32_t upstream = 0;      // UpstreamKey of its id
  int running = 0;                 // requests sent and not ended
  int interactive = 0;             // those among them that bear little pause
  std::int64_t pause_ms = 0;       // shortest pause that one bears; 0: none
  std::int64_t read_ms = 0;        // reading that is not done yet
  std::int64_t memory_tokens = 0;  // prompts and answers of all of them
  // Part of `read_ms` that stays however old the report is: until a reading is
  // known to be done it may be overdue.
  std::int64_t overdue_ms = 0;

  friend bool operator==(const upstream_load& a, const upstream_load& b) {
    return a.upstream == b.upstream && a.running == b.running &&
           a.interactive == b.interactive && a.pause_ms == b.pause_ms &&
           a.read_ms == b.read_ms && a.memory_tokens == b.memory_tokens &&
           a.overdue_ms == b.overdue_ms;
  }
};

// Adds `part` to `total`. Thread-safe.
void AddLoad(const upstream_load& part, upstream_load* total);

// One request, or one part of it, that occupies an upstream.
struct board_entry {
  std::uint32_t upstream = 0;
  bool interactive = false;
  bool reads_only = false;       // a helper: it writes nothing
  std::int64_t pause_ms = 0;     // 0: bears any pause
  double read_ms = 0;            // expected time to read its prompt
  double expected_first_ms = 0;  // from its sending to the end of the reading
  std::int64_t memory_tokens = 0;
  time_point sent_at;

  friend bool operator==(const board_entry& a, const board_entry& b) {
    return a.upstream == b.upstream && a.interactive == b.interactive &&
           a.reads_only == b.reads_only && a.pause_ms == b.pause_ms &&
           a.read_ms == b.read_ms &&
           a.expected_first_ms == b.expected_first_ms &&
           a.memory_tokens == b.memory_tokens && a.sent_at == b.sent_at;
  }
};

// Not thread-safe.
class load_board {
 public:
  // Accounts for a request. @return its id, for the calls below.
  std::uint64_t Begin(const board_entry& entry);
  // The reading of a request is done.
  void EndReading(std::uint64_t id);
  void End(std::uint64_t id);

  // Replaces what the instance `peer` says of its requests.
  void SetPeer(const std::string& peer,
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
  static constexpr milliseconds kPeerLife{3'000};

 private:
  struct own_entry {
    board_entry entry;
    bool reading = true;
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

#endif  // CACTUSWARD_LOAD_BOARD_H_
