// Claims on idempotency keys: the work of a key is executed at most once.
#ifndef CACTUSWARD_CLAIMS_H_
#define CACTUSWARD_CLAIMS_H_

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "cactusward/key_value_store.h"
#include "cactusward/result.h"
#include "cactusward/time.h"

namespace cactusward {

enum class claim_state { kClaimed, kDone };

// The claim on one idempotency key. Only the claimant whose nonce it carries
// may dispatch the work, and only once.
struct claim_record {
  std::string nonce;
  std::string instance;
  std::string fingerprint;  // hash of the request's body and target
  claim_state state = claim_state::kClaimed;
  int status = 0;            // kDone: HTTP status of the response
  std::string content_type;  // kDone
  std::string body;          // kDone; empty if `body_dropped`
  bool body_dropped = false;

  friend bool operator==(const claim_record& a, const claim_record& b) {
    return a.nonce == b.nonce && a.instance == b.instance &&
           a.fingerprint == b.fingerprint && a.state == b.state &&
           a.status == b.status && a.content_type == b.content_type &&
           a.body == b.body && a.body_dropped == b.body_dropped;
  }
};

// Encodes a claim as CBOR for the key-value service. Thread-safe.
std::string EncodeClaim(const claim_record& record);
// Decodes the output of EncodeClaim.
// @return kInternal for anything else. Thread-safe.
result<claim_record> DecodeClaim(std::string_view text);

// Storage of claims. Calls for the same key by the same claimant must not
// overlap.
class claim_store {
 public:
  virtual ~claim_store() = default;

  // Name of the implementation, for logs and reports.
  virtual std::string_view name() const = 0;

  // Sets how long claims made from now on are retained.
  virtual void SetRetention(duration retention) = 0;

  // Stores `record` under `key` unless the key has a record. If the response to
  // a write is lost, the outcome is determined from the store until `deadline`.
  // @return the record stored under `key`: the caller's own if the nonce is
  //     equal, otherwise another claimant's; kStoreUnavailable if neither could
  //     be established, in which case the caller must not dispatch the work and
  //     should call Release.
  virtual result<claim_record> Claim(const std::string& key,
                                     const claim_record& record,
                                     time_point deadline,
                                     boost::asio::yield_context yield) = 0;

  // Records the outcome of the claimant's own execution. Retries are up to the
  // caller.
  virtual result<bool> Complete(const std::string& key,
                                const claim_record& record,
                                time_point deadline,
                                boost::asio::yield_context yield) = 0;

  // Removes a claim whose work the claimant will not dispatch.
  // Precondition: the work was not dispatched.
  virtual result<bool> Release(const std::string& key,
                               const std::string& nonce,
                               time_point deadline,
                               boost::asio::yield_context yield) = 0;
};

// Stores each claim under a key of its own in the key-value service.
class direct_claim_store : public claim_store {
 public:
  // Precondition: `store` outlives this object. Claims are retained for
  // `retention`.
  direct_claim_store(key_value_store* store, duration retention);

  std::string_view name() const override { return "direct"; }
  void SetRetention(duration retention) override;
  result<claim_record> Claim(const std::string& key,
                             const claim_record& record,
                             time_point deadline,
                             boost::asio::yield_context yield) override;
  result<bool> Complete(const std::string& key,
                        const claim_record& record,
                        time_point deadline,
                        boost::asio::yield_context yield) override;
  result<bool> Release(const std::string& key,
                       const std::string& nonce,
                       time_point deadline,
                       boost::asio::yield_context yield) override;

 private:
  // Returns a lease that all claims of the same period share.
  result<std::int64_t> AcquireLease(time_point deadline,
                                    boost::asio::yield_context yield);

  key_value_store* store_;
  duration retention_;
  std::int64_t lease_ = 0;
  time_point lease_granted_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_CLAIMS_H_
