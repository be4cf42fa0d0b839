#include "cactusward/claim_index.h"
#include "src/kernel/cbor.h"

#include <nlohmann/json.hpp>

namespace cactusward {
namespace {

using nlohmann::json;

constexpr std::size_t kEntryFields = 4;

std::int64_t Milliseconds(duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

json ToBinary(const std::string& bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

bool ReadEntry(const json& value, claim_entry* entry) {
  if (!value.is_array() || value.size() != kEntryFields ||
      !value[0].is_number_unsigned() || !value[1].is_string() ||
      !value[2].is_binary() || !value[3].is_number_integer() ||
      value[0].get<std::uint64_t>() >
          static_cast<std::uint64_t>(claim_change::kRelease))
    return false;
  const auto& bytes = value[2].get_binary();
  auto record = DecodeClaim(std::string(bytes.begin(), bytes.end()));
  if (!record)
    return false;
  *entry = {static_cast<claim_change>(value[0].get<int>()),
            value[1].get<std::string>(), std::move(*record),
            value[3].get<std::int64_t>()};
  return true;
}

}  // namespace

std::string EncodeSegment(const std::vector<claim_entry>& entries) {
  json list = json::array();
  for (const claim_entry& entry : entries)
    list.push_back(
        json::array({static_cast<int>(entry.change), entry.key,
                     ToBinary(EncodeClaim(entry.record)), entry.timestamp_ms}));
  std::string bytes;
  json::to_cbor(list, bytes);
  return bytes;
}

result<std::vector<claim_entry>> DecodeSegment(std::string_view bytes) {
  const json list = ParseCbor(bytes);
  result<std::vector<claim_entry>> malformed(error_kind::kInternal,
                                             "malformed claim segment");
  if (!list.is_array())
    return malformed;
  std::vector<claim_entry> entries;
  entries.reserve(list.size());
  for (const json& item : list) {
    claim_entry entry;
    if (!ReadEntry(item, &entry))
      return malformed;
    entries.push_back(std::move(entry));
  }
  return entries;
}

bool claim_index::IsExpired(std::int64_t timestamp_ms,
                            std::int64_t now_ms) const {
  return now_ms - timestamp_ms > Milliseconds(retention_);
}

void claim_index::Apply(const claim_entry& entry) {
  const auto it = claims_.find(entry.key);
  const bool exists = it != claims_.end();
  const bool same_claimant =
      exists && it->second.record.nonce == entry.record.nonce;
  switch (entry.change) {
    case claim_change::kClaim:
      if (exists && !IsExpired(it->second.timestamp_ms, entry.timestamp_ms))
        return;
      claims_[entry.key] = {entry.record, entry.timestamp_ms};
      expiry_queue_.emplace_back(entry.timestamp_ms, entry.key);
      return;
    case claim_change::kComplete:
      if (!exists) {
        claims_[entry.key] = {entry.record, entry.timestamp_ms};
        expiry_queue_.emplace_back(entry.timestamp_ms, entry.key);
        return;
      }
      if (same_claimant && it->second.record.state == claim_state::kClaimed)
        it->second.record = entry.record;
      return;
    case claim_change::kRelease:
      if (same_claimant && it->second.record.state == claim_state::kClaimed)
        claims_.erase(it);
      return;
  }
}

std::optional<claim_record> claim_index::Find(const std::string& key,
                                              std::int64_t now_ms) const {
  const auto it = claims_.find(key);
  if (it == claims_.end() || IsExpired(it->second.timestamp_ms, now_ms))
    return std::nullopt;
  return it->second.record;
}

void claim_index::Expire(std::int64_t now_ms) {
  while (!expiry_queue_.empty() &&
         IsExpired(expiry_queue_.front().first, now_ms)) {
    const auto it = claims_.find(expiry_queue_.front().second);
    if (it != claims_.end() && IsExpired(it->second.timestamp_ms, now_ms))
      claims_.erase(it);
    expiry_queue_.pop_front();
  }
}

std::vector<claim_entry> claim_index::MissingIn(const claim_index& other,
                                                std::int64_t now_ms) const {
  std::vector<claim_entry> missing;
  for (const auto& [key, claim] : claims_) {
    if (IsExpired(claim.timestamp_ms, now_ms))
      continue;
    const auto found = other.Find(key, now_ms);
    const bool done = claim.record.state == claim_state::kDone;
    if (!found)
      missing.push_back({done ? claim_change::kComplete : claim_change::kClaim,
                         key, claim.record, claim.timestamp_ms});
    else if (done && found->nonce == claim.record.nonce &&
             found->state == claim_state::kClaimed)
      missing.push_back(
          {claim_change::kComplete, key, claim.record, claim.timestamp_ms});
  }
  return missing;
}

void claim_index::Clear() {
  claims_.clear();
  expiry_queue_.clear();
}

}  // namespace cactusward
