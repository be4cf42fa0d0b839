// Requests suspected of crashing upstreams, and the retry budget.
#ifndef CACTUSWARD_SRC_SERVICES_RECOVERY_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_RECOVERY_SERVICE_H_

#include <memory>
#include <string>
#include <vector>

#include "cactusward/retry_budget.h"
#include "cactusward/suspects.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"

namespace cactusward {

class config_service;
class membership_service;

class recovery_service : public service {
 public:
  explicit recovery_service(runtime& runtime);

  std::string_view service_name() const override {
    return kRecoveryServiceName;
  }
  void Start() override;

  // What may be done with the request now.
  suspect_verdict VerdictFor(std::uint64_t fingerprint) const;
  // Returns the verdict, after waiting for peers' crash reports if the request
  // is suspected: a report may attribute the crash to another request.
  suspect_verdict VerdictAfterPeerReports(std::uint64_t fingerprint,
                                          asio::yield_context yield);
  // Records that an upstream crashed with these requests in flight, and tells
  // peers which are blamed.
  void RecordCrash(const std::string& address,
                   const std::vector<running_request>& in_flight);
  // Drops a crash that was attributed to something else than a request.
  void RemoveCrash(std::uint32_t upstream, time_point at) {
    suspects_.RemoveCrash(upstream, at);
  }
  // Merges a peer's report. @return whether it was new.
  bool MergeReport(const suspect_report& report);
  // Records that the request completed, which lifts a suspicion.
  void RecordCompletion(std::uint64_t fingerprint);
  // Number of suspected requests.
  std::size_t suspects() const { return suspects_.size(); }

  retry_budget& budget() { return budget_; }

 private:
  runtime& runtime_;
  membership_service* membership_ = nullptr;
  suspect_table suspects_;
  retry_budget budget_;
  std::unique_ptr<timer_subscription> expiry_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_RECOVERY_SERVICE_H_
