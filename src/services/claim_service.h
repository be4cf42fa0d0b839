// Idempotency claims of this instance. Outcomes and releases are retried in the
// background until they are stored.
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

  // Storage key of a claim: SHA-256 of the organisation and Idempotency-Key.
  static std::string KeyOf(std::string_view organisation,
                           std::string_view idempotency_key);

  // Claims `key` for a request. On success only the calling handler may
  // dispatch the request, and it must call Complete or Release.
  // @param cancel ends the wait; a claim that is made nevertheless is released.
  // @param found receives the record when an earlier request with this key has
  //     finished; the result is then kInProgress.
  // @return the record to pass to Complete or Release; otherwise
  //     kIdempotencyKeyReused, kInProgress, kOutcomeUnknown, kStoreUnavailable
  //     or, when cancelled, kDraining, and the request must not be dispatched.
  result<claim_record> Claim(const std::string& key,
                             const std::string& fingerprint,
                             time_point deadline,
                             cancel_token* cancel,
                             std::optional<claim_record>* found,
                             asio::yield_context yield);

  // Stores the outcome in the background, with retries.
  void Complete(const std::string& key,
                claim_record record,
                int status,
                const std::string& content_type,
                const std::string& body);
  // Removes a claim that was not dispatched, in the background, with retries.
  void Release(const std::string& key, const claim_record& record);

  // Handles a peer's call for a claim whose bucket this instance owns.
  nlohmann::json OnPeerCall(const nlohmann::json& request,
                            asio::yield_context yield);

  // Number of outcomes and releases not yet stored, and of claims being made.
  int pending() const { return pending_; }

 private:
  using store_operation =
      std::function<result<bool>(time_point, asio::yield_context)>;
  // Makes a claim in a coroutine of its own, so that the wait can end first.
  // @return as claim_store::Claim; kDraining when cancelled.
  result<claim_record> ClaimUnlessCancelled(const std::string& key,
                                            const claim_record& record,
                                            time_point deadline,
                                            cancel_token* cancel,
                                            asio::yield_context yield);
  void ApplySettings(const recovery_settings& settings);
  // Retries `operation` with exponential back-off, for at most kMaxPersistTime.
  void PersistWithRetry(store_operation operation);
  // @param claimant "INSTANCE/INCARNATION", as in claim_record::instance.
  bool ClaimantIsLive(const std::string& claimant) const;

  runtime& runtime_;
  config_service* config_ = nullptr;
  membership_service* membership_ = nullptr;
  peer_link* peers_;
  std::unique_ptr<direct_claim_store> direct_;
  // Stores of previous settings are kept, because operations on them may be
  // running.
  std::vector<std::unique_ptr<homed_claim_store>> homed_;
  claim_store* store_ = nullptr;
  recovery_settings settings_;
  int pending_ = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_CLAIM_SERVICE_H_
