// In-memory index of the claims of one bucket, and the encoding of its stored
// segments.
#ifndef CACTUSWARD_CLAIM_INDEX_H_
#define CACTUSWARD_CLAIM_INDEX_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/claims.h"

namespace cactusward {

enum class claim_change { kClaim, kComplete, kRelease };

// A change to one claim, as appended to its bucket.
struct claim_entry {
  claim_change change = claim_change::kClaim;
  std::string key;
  claim_record record;
  std::int64_t timestamp_ms = 0;  // Unix time, by the bucket owner's clock

  friend bool operator==(const claim_entry& a, const claim_entry& b) {
    return a.change == b.change && a.key == b.key && a.record == b.record &&
           a.timestamp_ms == b.timestamp_ms;
  }
};

// Encodes entries as one stored segment in CBOR. Thread-safe.
std::string EncodeSegment(const std::vector<claim_entry>& entries);
// Decodes the output of EncodeSegment.
// @return kInternal for anything else. Thread-safe.
result<std::vector<claim_entry>> DecodeSegment(std::string_view bytes);

// The claims of one bucket by key. Not thread-safe.
class claim_index {
 public:
  explicit claim_index(duration retention) : retention_(retention) {}

  void SetRetention(duration retention) { retention_ = retention; }
  // Applies an entry. Entries must be applied in the order in which they were
  // stored. Claiming a key that is already claimed has no effect, nor has a
  // completion or release with another nonce. Completing a key without a claim
  // claims it, as the claim may have been forgotten by the store.
  void Apply(const claim_entry& entry);
  // The claim on `key` in force at `now_ms`.
  std::optional<claim_record> Find(const std::string& key,
                                   std::int64_t now_ms) const;
  // Removes claims older than the retention.
  void Expire(std::int64_t now_ms);
  void Clear();
  // The entries that bring `other` all claims and outcomes of this index that
  // it does not have.
  std::vector<claim_entry> MissingIn(const claim_index& other,
                                     std::int64_t now_ms) const;
  std::size_t size() const { return claims_.size(); }

 private:
  struct indexed_claim {
    claim_record record;
    std::int64_t timestamp_ms = 0;
  };
  bool IsExpired(std::int64_t timestamp_ms, std::int64_t now_ms) const;

  duration retention_;
  std::unordered_map<std::string, indexed_claim> claims_;
  std::deque<std::pair<std::int64_t, std::string>> expiry_queue_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_CLAIM_INDEX_H_
