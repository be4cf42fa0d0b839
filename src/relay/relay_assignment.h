// The upstreams that a request is assigned to.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_ASSIGNMENT_H_
#define CACTUSWARD_SRC_RELAY_RELAY_ASSIGNMENT_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "src/relay/fleet_service.h"

namespace cactusward {

// The load of the upstreams includes the request until the assignment is
// destroyed.
class relay_assignment {
 public:
  struct target {
    std::shared_ptr<fleet_upstream> upstream;
    std::int64_t reserved_kv_tokens = 0;  // 0: no reservation is needed
    std::uint64_t tracking_id = 0;
  };

  relay_assignment(fleet_service* fleet, bool urgent)
      : fleet_(fleet), urgent_(urgent) {}
  // Reserves the shares of the limits of all targets, until they are spent or
  // the assignment is destroyed. Call once, when the targets are set.
  void ReserveLimits();
  ~relay_assignment();
  relay_assignment(const relay_assignment&) = delete;
  relay_assignment& operator=(const relay_assignment&) = delete;

  const std::shared_ptr<fleet_upstream>& upstream() const {
    return primary.upstream;
  }
  // Whether all targets still accept requests. The assignment may be older than
  // the announcement that a target leaves, or that it wants no requests.
  bool TargetsAcceptRequests() const;
  // Spends the shares of the limits of all targets, when the request is about
  // to be sent. Later calls have no effect if it has succeeded.
  // @return false if a limit allows no request now; nothing is spent then.
  bool TrySpendLimits(time_point now);
  // Whether the last TrySpendLimits has failed.
  bool withheld_by_limit() const { return withheld_by_limit_; }
  // Whether the upstream could not be reached, if nothing was sent: the request
  // was not withheld, and no helper may be the cause.
  bool NotSentMeansUnreachable() const {
    return helpers.empty() && !withheld_by_limit_ && TargetsAcceptRequests();
  }
  // Reports that prefill is complete on all targets. Idempotent.
  void EndPrefill();

  target primary;
  std::vector<target> helpers;
  double expected_first_event_ms = 0;  // 0 for a call without a prompt
  double prefill_ms = 0;
  double slowdown = 1;  // of the primary upstream, in the expected time

 private:
  template <typename visitor>
  void ForEachUpstream(const visitor& visit) const {
    visit(*primary.upstream);
    for (const target& helper : helpers)
      visit(*helper.upstream);
  }
  void UnreserveLimits();

  fleet_service* fleet_;
  bool urgent_;
  bool prefilling_ = true;
  bool limits_reserved_ = false;
  bool limits_spent_ = false;
  bool withheld_by_limit_ = false;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_ASSIGNMENT_H_
