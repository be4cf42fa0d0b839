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
  ~relay_assignment();
  relay_assignment(const relay_assignment&) = delete;
  relay_assignment& operator=(const relay_assignment&) = delete;

  const std::shared_ptr<fleet_upstream>& upstream() const {
    return primary.upstream;
  }
  // Whether all targets still accept requests. The assignment may be older than
  // the announcement that a target leaves, or that it wants no requests.
  bool TargetsAcceptRequests() const;
  // Reports that prefill is complete on all targets. Idempotent.
  void EndPrefill();

  target primary;
  std::vector<target> helpers;
  double expected_first_event_ms = 0;  // 0 for a call without a prompt
  double prefill_ms = 0;

 private:
  fleet_service* fleet_;
  bool urgent_;
  bool prefilling_ = true;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_ASSIGNMENT_H_
