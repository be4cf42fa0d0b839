// Suspected requests and the budget for retries.
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

  suspect_verdict VerdictFor(std::uint64_t fingerprint) const;
  // Judges again after peers had time to explain a death.
  suspect_verdict VerdictAfterPeerReports(std::uint64_t fingerprint,
                                          asio::yield_context yield);
  // An upstream died with these requests in flight.
  void RecordCrash(const std::string& address,
                   const std::vector<running_request>& in_flight);
  bool MergeReport(const suspect_report& report);
  void RecordCompletion(std::uint64_t fingerprint);
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
