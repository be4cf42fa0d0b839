// Claim store in which one instance writes all claims of a bucket.
#ifndef CACTUSWARD_SRC_SERVICES_HOMED_CLAIM_STORE_H_
#define CACTUSWARD_SRC_SERVICES_HOMED_CLAIM_STORE_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cactusward/claim_bucket.h"
#include "cactusward/config.h"
#include "src/daemon/runtime.h"
#include "src/edges/peer_link.h"

namespace cactusward {

class membership_service;

// Sends each claim operation to the owner of its bucket, chosen by rendezvous
// hashing over the live instances, which batches writes to the key-value
// service. When the owner does not respond, the operation is executed locally;
// concurrent writers are safe because every write compares and swaps the
// bucket's head.
class homed_claim_store : public claim_store {
 public:
  // Precondition: `runtime`, `peers` and `membership` outlive the store.
  homed_claim_store(runtime& runtime,
                    peer_link* peers,
                    membership_service* membership,
                    const recovery_settings& settings);

  std::string_view name() const override { return "homed"; }
  void SetRetention(duration retention) override;
  result<claim_record> Claim(const std::string& key,
                             const claim_record& record,
                             time_point deadline,
                             asio::yield_context yield) override;
  result<bool> Complete(const std::string& key,
                        const claim_record& record,
                        time_point deadline,
                        asio::yield_context yield) override;
  result<bool> Release(const std::string& key,
                       const std::string& nonce,
                       time_point deadline,
                       asio::yield_context yield) override;

  // Executes a claim operation sent by a peer.
  nlohmann::json OnPeerCall(const nlohmann::json& request,
                            asio::yield_context yield);

 private:
  // One claim operation, as sent between instances.
  struct operation {
    claim_change change = claim_change::kClaim;
    std::string key;
    claim_record record;
  };

  // Executes at the owner of the bucket, or locally when that fails.
  result<claim_record> Execute(const operation& operation,
                               time_point deadline,
                               asio::yield_context yield);
  result<claim_record> ExecuteLocally(const operation& operation,
                                      time_point deadline,
                                      asio::yield_context yield);
  result<claim_record> ExecuteAtPeer(const std::string& peer_address,
                                     const operation& operation,
                                     time_point deadline,
                                     asio::yield_context yield);
  std::string BucketOf(const std::string& key) const;
  claim_bucket& Bucket(const std::string& name);

  runtime& runtime_;
  peer_link* peers_;
  membership_service* membership_;
  int bucket_count_;
  claim_bucket_settings settings_;
  std::map<std::string, std::unique_ptr<claim_bucket>> bucket_by_name_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_HOMED_CLAIM_STORE_H_
