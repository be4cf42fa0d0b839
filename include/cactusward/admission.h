// Admission control: bounded queues by length class, limits by organisation.
#ifndef CACTUSWARD_ADMISSION_H_
#define CACTUSWARD_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/config.h"
#include "cactusward/result.h"
#include "cactusward/time.h"

namespace cactusward {

// Enforces this instance's share of the fleet-wide limits of each organisation:
// concurrent requests, and a token bucket for prompt tokens. Shares are larger
// than limit / instances, since callers are spread unevenly. Not thread-safe.
class organisation_limiter {
 public:
  // Sets the number of live instances that share the limits.
  // Precondition: `instances` >= 1.
  void SetInstanceCount(int instances) { instances_ = instances; }

  // Admits one request of `tokens` prompt tokens.
  // @return kOrganisationLimit when the organisation has used its share.
  result<bool> Admit(const organisation& organisation,
                     std::int64_t tokens,
                     time_point now);
  // Ends a request that Admit admitted.
  void Release(const std::string& name);

  int Concurrent(const std::string& name) const;

 private:
  struct account {
    int concurrent = 0;
    double balance = 0;  // of the token bucket; negative after a large prompt
    std::optional<time_point> refilled_at;
  };

  std::map<std::string, account> accounts_;
  int instances_ = 1;
};

// A request waiting for an upstream.
struct queued_request {
  std::uint64_t id = 0;
  std::size_t length_class = 0;
  std::string organisation;
  std::string service;
  std::int64_t prompt_tokens = 0;
  time_point queued_at;
  time_point deadline;

  friend bool operator==(const queued_request& a, const queued_request& b) {
    return a.id == b.id && a.length_class == b.length_class &&
           a.organisation == b.organisation && a.service == b.service &&
           a.prompt_tokens == b.prompt_tokens && a.queued_at == b.queued_at &&
           a.deadline == b.deadline;
  }
};

// Depth and age of the queue of one class and organisation, for operators.
struct queue_row {
  std::string length_class;
  std::string organisation;
  int depth = 0;
  milliseconds oldest{0};

  friend bool operator==(const queue_row& a, const queue_row& b) {
    return a.length_class == b.length_class &&
           a.organisation == b.organisation && a.depth == b.depth &&
           a.oldest == b.oldest;
  }
};

// Requests waiting at this instance, bounded by class and by organisation.
// Shorter classes go first; a request joins the shortest class when a part of
// its time has passed. Organisations within a class take turns. Not
// thread-safe.
class request_queue {
 public:
  // @return kQueueFull or kOrganisationLimit when a bound is reached.
  result<bool> Push(const queued_request& request,
                    const length_class& limits,
                    int max_queued_of_organisation);
  // Removes a request. @return whether it was queued.
  bool Remove(std::uint64_t id);
  // Ids in the order of placement at `now`.
  std::vector<std::uint64_t> Order(time_point now) const;

  std::size_t size() const { return requests_.size(); }
  std::vector<queue_row> Rows(const std::vector<length_class>& classes,
                              time_point now) const;

 private:
  std::map<std::uint64_t, queued_request> requests_;
  std::map<std::size_t, int> depth_of_class_;
  std::map<std::string, int> depth_of_organisation_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_ADMISSION_H_
