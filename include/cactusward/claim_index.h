// The claims of one bucket in memory, and the segments they are stored in.
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

// One change of one claim, as it is appended to its bucket.
struct claim_entry {
  claim_change change = claim_change::kClaim;
  std::string key;
  claim_record record;
  std::int64_t timestamp_ms = 0;  // since the Unix epoch, by the home's clock

  friend bool operator==(const claim_entry& a, const claim_entry& b) {
    return a.change == b.change && a.key == b.key && a.record == b.record &&
           a.timestamp_ms == b.timestamp_ms;
  }
};

// Encodes entries as one stored segment. Thread-safe.
std::string EncodeSegment(const std::vector<claim_entry>& entries);
// Decodes what EncodeSegment made; kInternal for anything else. Thread-safe.
result<std::vector<claim_entry>> DecodeSegment(std::string_view bytes);

// Not thread-safe.
class claim_index {
 public:
  explicit claim_index(duration retention) : retention_(retention) {}

  void SetRetention(duration retention) { retention_ = retention; }
  // Applies an entry in the order of the store. A claim of a key that is held
  // changes nothing, nor does a completion or release by another nonce.
  void Apply(const claim_entry& entry);
  // The record that holds `key` at `now_ms`.
  std::optional<claim_record> Find(const std::string& key,
                                   std::int64_t now_ms) const;
  // Forgets claims older than the retention.
  void Expire(std::int64_t now_ms);
  void Clear();
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
