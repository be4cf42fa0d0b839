#include "src/services/homed_claim_store.h"

#include "cactusward/hash.h"
#include "src/services/membership_service.h"

namespace cactusward {
namespace {

using nlohmann::json;

constexpr milliseconds kPeerTimeout{700};
constexpr duration kSecond = std::chrono::seconds(1);

json BinaryOf(const std::string& bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

std::optional<std::string> BytesOf(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_binary())
    return std::nullopt;
  const auto& bytes = it->get_binary();
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

homed_claim_store::homed_claim_store(runtime& runtime,
                                     peer_link* peers,
                                     membership_service* membership,
                                     const recovery_settings& settings)
    : runtime_(runtime),
      peers_(peers),
      membership_(membership),
      bucket_count_(settings.claim_buckets) {
  settings_.retention = settings.claim_retention;
  settings_.write_interval =
      settings.claim_buckets * kSecond / settings.claim_writes_per_second;
}

void homed_claim_store::SetRetention(duration retention) {
  settings_.retention = retention;
  for (auto& [name, bucket] : bucket_by_name_)
    bucket->SetSettings(settings_);
}

std::string homed_claim_store::BucketOf(const std::string& key) const {
  const std::uint64_t number =
      Hash64(key) % static_cast<std::uint64_t>(bucket_count_);
  return std::to_string(bucket_count_) + "/" + std::to_string(number);
}

claim_bucket& homed_claim_store::Bucket(const std::string& name) {
  auto& bucket = bucket_by_name_[name];
  if (!bucket)
    bucket = std::make_unique<claim_bucket>(
        runtime_.io, runtime_.store, name,
        runtime_.settings.instance + "-" + std::to_string(runtime_.incarnation),
        settings_);
  return *bucket;
}

result<claim_record> homed_claim_store::ExecuteLocally(
    const operation& operation,
    time_point deadline,
    asio::yield_context yield) {
  claim_bucket& bucket = Bucket(BucketOf(operation.key));
  if (operation.change == claim_change::kClaim)
    return bucket.Claim(operation.key, operation.record, deadline, yield);
  const auto done =
      operation.change == claim_change::kComplete
          ? bucket.Complete(operation.key, operation.record, deadline, yield)
          : bucket.Release(operation.key, operation.record.nonce, deadline,
                           yield);
  if (!done)
    return {done.kind(), done.detail()};
  return operation.record;
}

result<claim_record> homed_claim_store::ExecuteAtPeer(
    const std::string& peer_address,
    const operation& operation,
    time_point deadline,
    asio::yield_context yield) {
  const time_point until = std::min(deadline, clock::now() + kPeerTimeout);
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - clock::now());
  const json request = {{"op", "claim"},
                        {"change", static_cast<int>(operation.change)},
                        {"key", operation.key},
                        {"record", BinaryOf(EncodeClaim(operation.record))},
                        {"timeout_ms", left.count()}};
  const auto response = peers_->Call(peer_address, request, until, yield);
  if (!response)
    return {response.kind(), response.detail()};
  const auto bytes =
      response->is_object() ? BytesOf(*response, "record") : std::nullopt;
  if (!bytes)
    return {error_kind::kStoreUnavailable, "the home could not settle it"};
  return DecodeClaim(*bytes);
}

result<claim_record> homed_claim_store::Execute(const operation& operation,
                                                time_point deadline,
                                                asio::yield_context yield) {
  std::vector<std::string> names;
  const auto live = membership_->Live();
  names.reserve(live.size());
  for (const member& member : live)
    names.push_back(member.name);
  if (!names.empty()) {
    const member& owner = live[RendezvousOwner(BucketOf(operation.key), names)];
    if (owner.name != runtime_.settings.instance) {
      auto settled =
          ExecuteAtPeer(owner.peer_address, operation, deadline, yield);
      if (settled)
        return settled;
    }
  }
  // If the owner did execute the operation, its nonce makes the repetition
  // harmless.
  return ExecuteLocally(operation, deadline, yield);
}

json homed_claim_store::OnPeerCall(const json& request,
                                   asio::yield_context yield) {
  const auto bytes = BytesOf(request, "record");
  const json change = request.value("change", json());
  const json key = request.value("key", json());
  const json timeout = request.value("timeout_ms", json());
  if (!bytes || !change.is_number_unsigned() || !key.is_string() ||
      !timeout.is_number_integer() ||
      change.get<std::uint64_t>() >
          static_cast<std::uint64_t>(claim_change::kRelease))
    return {{"error", ErrorResponseFor(error_kind::kBadRequest).name}};
  const auto record = DecodeClaim(*bytes);
  if (!record)
    return {{"error", ErrorResponseFor(error_kind::kBadRequest).name}};
  const auto limit = std::clamp<std::int64_t>(timeout.get<std::int64_t>(), 0,
                                              kPeerTimeout.count());
  const auto settled =
      ExecuteLocally({static_cast<claim_change>(change.get<int>()),
                      key.get<std::string>(), *record},
                     clock::now() + milliseconds(limit), yield);
  if (!settled)
    return {{"error", ErrorResponseFor(settled.kind()).name}};
  return {{"record", BinaryOf(EncodeClaim(*settled))}};
}

result<claim_record> homed_claim_store::Claim(const std::string& key,
                                              const claim_record& record,
                                              time_point deadline,
                                              asio::yield_context yield) {
  return Execute({claim_change::kClaim, key, record}, deadline, yield);
}

result<bool> homed_claim_store::Complete(const std::string& key,
                                         const claim_record& record,
                                         time_point deadline,
                                         asio::yield_context yield) {
  const auto done =
      Execute({claim_change::kComplete, key, record}, deadline, yield);
  if (!done)
    return {done.kind(), done.detail()};
  return true;
}

result<bool> homed_claim_store::Release(const std::string& key,
                                        const std::string& nonce,
                                        time_point deadline,
                                        asio::yield_context yield) {
  claim_record record;
  record.nonce = nonce;
  const auto done =
      Execute({claim_change::kRelease, key, record}, deadline, yield);
  if (!done)
    return {done.kind(), done.detail()};
  return true;
}

}  // namespace cactusward
