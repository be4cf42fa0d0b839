#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "cactusward/claims.h"
#include "src/kernel/cbor.h"

namespace cactusward {
namespace {

constexpr std::string_view kPrefix = "cactusward/claims/";
constexpr int kLeasesPerRetention = 4;
constexpr milliseconds kInitialBackoff{10};
constexpr milliseconds kMaxBackoff{200};
constexpr milliseconds kAttemptTimeout{500};

std::string StorageKey(const std::string& key) {
  return std::string(kPrefix) + key;
}

// Sleeps for `backoff`, but not beyond `deadline`.
void SleepFor(milliseconds backoff,
              time_point deadline,
              boost::asio::yield_context yield) {
  boost::asio::steady_timer timer(boost::asio::get_associated_executor(yield));
  timer.expires_at(std::min(clock::now() + backoff, deadline));
  boost::system::error_code ignored;
  timer.async_wait(yield[ignored]);
}

}  // namespace

std::string EncodeClaim(const claim_record& record) {
  const nlohmann::json json = {
      {"nonce", record.nonce},
      {"instance", record.instance},
      {"fingerprint", record.fingerprint},
      {"done", record.state == claim_state::kDone},
      {"status", record.status},
      {"content_type", record.content_type},
      {"body",
       nlohmann::json::binary({record.body.begin(), record.body.end()})},
      {"body_dropped", record.body_dropped}};
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  return bytes;
}

result<claim_record> DecodeClaim(std::string_view text) {
  const auto json = ParseCbor(text);
  result<claim_record> malformed(error_kind::kInternal,
                                 "malformed claim record");
  if (!json.is_object())
    return malformed;
  const auto has = [&json](const char* name, auto check) {
    const auto it = json.find(name);
    return it != json.end() && check(*it);
  };
  const auto is_string = [](const auto& v) { return v.is_string(); };
  const auto is_boolean = [](const auto& v) { return v.is_boolean(); };
  const auto is_integer = [](const auto& v) { return v.is_number_integer(); };
  const auto is_binary = [](const auto& v) { return v.is_binary(); };
  if (!has("nonce", is_string) || !has("instance", is_string) ||
      !has("fingerprint", is_string) || !has("done", is_boolean) ||
      !has("status", is_integer) || !has("content_type", is_string) ||
      !has("body", is_binary) || !has("body_dropped", is_boolean))
    return malformed;
  claim_record record;
  record.nonce = json["nonce"].get<std::string>();
  record.instance = json["instance"].get<std::string>();
  record.fingerprint = json["fingerprint"].get<std::string>();
  record.state =
      json["done"].get<bool>() ? claim_state::kDone : claim_state::kClaimed;
  record.status = json["status"].get<int>();
  record.content_type = json["content_type"].get<std::string>();
  const auto& body = json["body"].get_binary();
  record.body.assign(body.begin(), body.end());
  record.body_dropped = json["body_dropped"].get<bool>();
  return record;
}

direct_claim_store::direct_claim_store(key_value_store* store,
                                       duration retention)
    : store_(store), retention_(retention) {}

void direct_claim_store::SetRetention(duration retention) {
  if (retention == retention_)
    return;
  retention_ = retention;
  lease_ = 0;
}

result<std::int64_t> direct_claim_store::AcquireLease(
    time_point deadline,
    boost::asio::yield_context yield) {
  const time_point now = clock::now();
  const duration period = retention_ / kLeasesPerRetention;
  if (lease_ != 0 && now - lease_granted_ < period)
    return lease_;
  const auto ttl =
      std::chrono::duration_cast<milliseconds>(retention_ + period);
  auto granted = store_->GrantLease(ttl, deadline, yield);
  if (!granted)
    return granted;
  lease_ = *granted;
  lease_granted_ = now;
  return lease_;
}

result<claim_record> direct_claim_store::Claim(
    const std::string& key,
    const claim_record& record,
    time_point deadline,
    boost::asio::yield_context yield) {
  milliseconds backoff = kInitialBackoff;
  // The nonce makes the write idempotent, so a write without a response is
  // retried. The retry either stores this record or finds the record that was
  // stored first.
  while (clock::now() < deadline) {
    const time_point until = std::min(deadline, clock::now() + kAttemptTimeout);
    const auto lease = AcquireLease(until, yield);
    if (lease) {
      const auto swap = store_->CompareAndSwap(
          StorageKey(key), std::nullopt,
          {{StorageKey(key), EncodeClaim(record), *lease}}, until, yield);
      if (swap && swap->applied)
        return record;
      if (swap && swap->current)
        return DecodeClaim(swap->current->value);
      // The store may have forgotten the lease.
      if (!swap)
        lease_ = 0;
    }
    SleepFor(backoff, deadline, yield);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
  return {error_kind::kStoreUnavailable, "claim not established in time"};
}

result<bool> direct_claim_store::Complete(const std::string& key,
                                          const claim_record& record,
                                          time_point deadline,
                                          boost::asio::yield_context yield) {
  const auto current = store_->Get(StorageKey(key), deadline, yield);
  if (!current)
    return {current.kind(), current.detail()};
  // A claim that the store forgot is stored again with its outcome.
  if (current->has_value()) {
    const auto stored = DecodeClaim((*current)->value);
    if (!stored || stored->nonce != record.nonce)
      return false;
    if (stored->state == claim_state::kDone)
      return true;
  }
  const auto lease = AcquireLease(deadline, yield);
  if (!lease)
    return {lease.kind(), lease.detail()};
  const auto swap = store_->CompareAndSwap(
      StorageKey(key), *current,
      {{StorageKey(key), EncodeClaim(record), *lease}}, deadline, yield);
  if (!swap) {
    lease_ = 0;
    return {swap.kind(), swap.detail()};
  }
  return swap->applied;
}

result<bool> direct_claim_store::Release(const std::string& key,
                                         const std::string& nonce,
                                         time_point deadline,
                                         boost::asio::yield_context yield) {
  const auto current = store_->Get(StorageKey(key), deadline, yield);
  if (!current)
    return {current.kind(), current.detail()};
  if (!current->has_value())
    return true;
  const auto stored = DecodeClaim((*current)->value);
  if (!stored || stored->nonce != nonce || stored->state == claim_state::kDone)
    return true;
  const auto swap = store_->CompareAndSwap(StorageKey(key), *current,
                                           {{StorageKey(key), std::nullopt}},
                                           deadline, yield);
  if (!swap)
    return {swap.kind(), swap.detail()};
  return swap->applied;
}

}  // namespace cactusward
