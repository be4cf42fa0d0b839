// Claims of this instance, with outcomes and releases carried out to the end.
#ifndef CACTUSWARD_SRC_SERVICES_CLAIM_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_CLAIM_SERVICE_H_

#include <memory>
#include <string>

#include "cactusward/claims.h"
#include "cactusward/config_tracker.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/services/homed_claim_store.h"

namespace cactusward {

class config_service;
class membership_service;

class claim_service : public service {
 public:
  claim_service(runtime& runtime, peer_link* peers);

  std::string_view service_name() const override { return kClaimServiceName; }
  void Start() override;

  // The key of a claim: one for each organisation and Idempotency-Key.
  static std::string KeyOf(std::string_view organisation,
                           std::string_view idempotency_key);

  // Claims `key` for a request. On success the caller alone may dispatch the
  // request, and must end with Complete or Release.
  // @param found receives the finished record when another request with this
  //     key finished; the result is then kInProgress.
  // @return the record to hand back; kIdempotencyKeyReused, kInProgress,
  //     kOutcomeUnknown or kStoreUnavailable (nothing was dispatched).
  result<claim_record> Claim(const std::string& key,
                             const std::string& fingerprint,
                             time_point deadline,
                             std::optional<claim_record>* found,
                             asio::yield_context yield);

  // Records the outcome in the background, until it is stored.
  void Complete(const std::string& key,
                claim_record record,
                int status,
                const std::string& content_type,
                const std::string& body);
  // Gives up a claim that was not dispatched, in the background.
  void Release(const std::string& key, const claim_record& record);

  // Answers a peer's call about a claim whose home is here.
  nlohmann::json OnPeerCall(const nlohmann::json& request,
                            asio::yield_context yield);

  // Outcomes and releases not stored yet.
  int pending() const { return pending_; }

 private:
  using store_operation =
      std::function<result<bool>(time_point, asio::yield_context)>;
  void ApplySettings(const recovery_settings& settings);
  void PersistWithRetry(store_operation operation);
  bool ClaimantIsLive(const std::string& claimant) const;

  runtime& runtime_;
  config_service* config_ = nullptr;
  membership_service* membership_ = nullptr;
  peer_link* peers_;
  std::unique_ptr<direct_claim_store> direct_;
  // Stores of earlier settings are kept: their operations may be under way.
  std::vector<std::unique_ptr<homed_claim_store>> homed_;
  claim_store* store_ = nullptr;
  recovery_settings settings_;
  int pending_ = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_CLAIM_SERVICE_H_
