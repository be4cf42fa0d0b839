// Requests that wait for an upstream: their order, whether one may wait, and
// when a refused caller may try again. No network, no clock.
#ifndef CACTUSWARD_ADMISSION_QUEUE_H_
#define CACTUSWARD_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cactusward/engine_placement.h"
#include "cactusward/time.h"

namespace cactusward {

struct admission_settings {
  bool refuse_on_arrival = false;
  // Orders by the shares of organisations, and treats requests that have waited
  // for half of their queue time as the most urgent.
  bool fair_queue = false;

  friend bool operator==(const admission_settings& a,
                         const admission_settings& b) {
    return a.refuse_on_arrival == b.refuse_on_arrival &&
           a.fair_queue == b.fair_queue;
  }
};

struct waiting_request {
  std::string service;
  std::string organisation;  // empty: none
  int priority = 0;          // 0 is the most urgent
  double work_ms = 0;        // prefill, on all engines together; 0 for a call
  std::int64_t kv_tokens = 0;
  time_point arrived_at;
  time_point objective_at;
  time_point leaves_at;  // when it leaves the queue

  friend bool operator==(const waiting_request& a, const waiting_request& b) {
    return a.service == b.service && a.organisation == b.organisation &&
           a.priority == b.priority && a.work_ms == b.work_ms &&
           a.kv_tokens == b.kv_tokens && a.arrived_at == b.arrived_at &&
           a.objective_at == b.objective_at && a.leaves_at == b.leaves_at;
  }
};

// What is placed before a request.
struct queued_work {
  std::size_t requests = 0;
  double work_ms = 0;  // prefill
  std::int64_t kv_tokens = 0;

  friend bool operator==(const queued_work& a, const queued_work& b) {
    return a.requests == b.requests && a.work_ms == b.work_ms &&
           a.kv_tokens == b.kv_tokens;
  }
};

// Not thread-safe.
class admission_queue {
 public:
  explicit admission_queue(const admission_settings& settings)
      : settings_(settings) {}

  // Adds a request. @return its id, for the calls below.
  std::uint64_t Add(const waiting_request& request);
  void Remove(std::uint64_t id) { waiting_.erase(id); }
  // Ids of the waiting requests in the order in which they are to be placed.
  std::vector<std::uint64_t> Order(time_point now) const;
  // What waits for the same service and goes before the request `id`.
  // Precondition: `id` waits.
  queued_work WorkAhead(std::uint64_t id, time_point now) const;
  // Removes the request `id`, which has been placed, and counts it towards the
  // share of its organisation.
  void RemovePlaced(std::uint64_t id, time_point now);
  const admission_settings& settings() const { return settings_; }
  // Number of waiting requests by priority; a priority that had some before has
  // an entry.
  std::map<int, std::size_t> SizeByPriority() const;

 private:
  struct share {
    double work_ms = 0;  // placed while others waited, as of `at`
    time_point at;
  };
  using share_key = std::pair<std::string, std::string>;

  double PlacedWork(const share_key& key, time_point now) const;

  admission_settings settings_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, waiting_request> waiting_;
  // By service and organisation.
  std::map<share_key, share> shares_;
  std::map<int, std::size_t> priorities_;  // all seen, with the number 0
};

// Number of passes in which a prompt with `output_tokens` decodes. Thread-safe.
int DecodePasses(const engine_parameters& parameters,
                 std::int64_t output_tokens);

// A prompt and the engines that may be chosen for it.
struct admission_view {
  engine_parameters parameters;
  placement_settings placement;
  prompt_request prompt;
  // Passes in which it decodes: how long the memory of such a prompt is held.
  int decode_passes = 1;
  std::vector<engine_view> engines;
  queued_work ahead;
};

// The engines as they are expected to be after `ms`: what is queued ahead has
// been placed on them, they have prefilled, and requests have ended. Requests
// that are interactive are replaced by others of their kind, unless the prompt
// is interactive itself. Thread-safe.
std::vector<engine_view> ExpectEngines(const admission_view& view, double ms);

// Time until the prompt is expected to be placed, within its objective or as a
// best effort within its caller's time. @param limit_ms how long it may wait.
// @return nothing if it would wait in vain. Thread-safe.
std::optional<double> ExpectedWaitMs(const admission_view& view,
                                     double limit_ms);

// Whether the engines have so much room that the prompt is not refused,
// whatever its expected wait is: it could be placed if all engines were idle,
// and the loads of peers are not known yet, or nothing waits ahead of it and
// fewer than half of the slots are in use of the engines that can hold a part
// of it. Thread-safe.
bool HasSpareRoom(const admission_view& view);

// Bounds of the time to retry after: at least a few intervals of load reports,
// and well below the deadlines in use.
constexpr milliseconds kMinRetryAfter{300};
constexpr milliseconds kMaxRetryAfter{4'000};

// Time after which the prompt could be placed if it were sent again then, with
// its objective as in `view`, within the bounds above. Thread-safe.
double RoomAfterMs(const admission_view& view);

// The time to tell a caller that is refused while there is room after `room_ms`
// (RoomAfterMs): at least that, at most kMaxRetryAfter, and different for
// callers that are refused together. @param random fresh random bits.
// Thread-safe.
milliseconds RetryAfter(double room_ms, std::uint64_t random);

}  // namespace cactusward

#endif  // CACTUSWARD_ADMISSION_QUEUE_H_
