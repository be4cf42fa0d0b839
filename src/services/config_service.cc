#include "src/services/config_service.h"

#include "cactusward/hash.h"
#include "src/kernel/log.h"
#include "src/kernel/run_and_clean_up.h"
#include "src/services/membership_service.h"

namespace cactusward {
namespace {

constexpr milliseconds kStoreTimeout{800};
constexpr milliseconds kPullTimeout{800};
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{1'500};
// Time between confirming reads of one instance. Longer in a large fleet, so
// that all instances together make at most kMaxFleetReadsPerSecond.
constexpr milliseconds kConfirmPeriod{1'200};
constexpr double kMaxFleetReadsPerSecond = 100;
// An instance without contact to the key-value service or a peer for longer
// stops admitting requests.
constexpr milliseconds kIsolationLimit{3'000};
constexpr double kJitter = 0.2;

}  // namespace

config_service::config_service(runtime& runtime, peer_link* peers)
    : runtime_(runtime), peers_(peers), started_at_(clock::now()) {
  tracker_.Subscribe([](const active_config& active) {
    Log(log_level::kInfo, "config_in_force",
        {{"revision", active.revision.number},
         {"digest", active.revision.digest},
         {"author", active.revision.author}});
  });
}

void config_service::Start() {
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  SpawnRestarting(runtime_.io, "config_watch",
                  [this](asio::yield_context yield) { Watch(yield); });
  SpawnRestarting(runtime_.io, "config_confirm",
                  [this](asio::yield_context yield) { Confirm(yield); });
}

void config_service::OfferRevision(const std::string& encoded) {
  const offer_outcome outcome = tracker_.Offer(encoded);
  if (outcome == offer_outcome::kAdopted && membership_)
    membership_->PushUpdates();
  if (outcome == offer_outcome::kInvalid)
    Log(log_level::kError, "config_not_understood",
        {{"kept", tracker_.Number()}});
}

void config_service::Watch(asio::yield_context yield) {
  milliseconds delay = kMinRetryDelay;
  while (true) {
    const time_point started_at = clock::now();
    runtime_.store->Watch(
        std::string(kConfigKey), seen_mod_revision_,
        [this](const stored_value& change) {
          seen_mod_revision_ = change.mod_revision;
          confirmed_at_ = clock::now();
          OfferRevision(change.value);
        },
        yield);
    if (clock::now() - started_at > kMaxRetryDelay)
      delay = kMinRetryDelay;
    Sleep(runtime_.io, delay, yield);
    delay = std::min(delay * 2, kMaxRetryDelay);
  }
}

duration config_service::ConfirmPeriod() {
  const double instances =
      membership_ ? static_cast<double>(membership_->LiveCount()) : 1;
  const double seconds =
      std::max(std::chrono::duration<double>(kConfirmPeriod).count(),
               instances / kMaxFleetReadsPerSecond);
  std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds * jitter(runtime_.random)));
}

void config_service::Confirm(asio::yield_context yield) {
  while (true) {
    const time_point asked_at = clock::now();
    const auto value = runtime_.store->Get(std::string(kConfigKey),
                                           asked_at + kStoreTimeout, yield);
    if (value) {
      // The response may be as old as the request, so the confirmation counts
      // from the time of the request.
      confirmed_at_ = std::max(confirmed_at_.value_or(asked_at), asked_at);
      // Not the highest one seen: revisions go back when the service is
      // restored, and a watch from a later one would report nothing.
      seen_mod_revision_ = value->has_value() ? (*value)->mod_revision : 0;
      if (value->has_value())
        OfferRevision((*value)->value);
      WriteBack(*value, yield);
    }
    Sleep(runtime_.io, ConfirmPeriod(), yield);
  }
}

void config_service::WriteBack(const std::optional<stored_value>& stored,
                               asio::yield_context yield) {
  const auto active = Current();
  if (!active)
    return;
  std::int64_t stored_number = 0;
  if (stored) {
    const auto known = DecodeRevision(stored->value);
    if (!known)
      return;
    stored_number = known->number;
  }
  if (stored_number >= active->revision.number)
    return;
  // Only one of all instances succeeds; an edit made meanwhile stays.
  const std::string key(kConfigKey);
  const auto swap =
      runtime_.store->CompareAndSwap(key, stored, {{key, tracker_.Encoded()}},
                                     clock::now() + kStoreTimeout, yield);
  if (swap && swap->applied)
    Log(log_level::kWarning, "config_written_back",
        {{"stored", stored_number}, {"revision", active->revision.number}});
}

void config_service::OnPeerRevision(const std::string& peer_address,
                                    std::int64_t number,
                                    std::int64_t confirmed_age_ms) {
  if (confirmed_age_ms >= 0 && number <= tracker_.Number()) {
    const time_point at = clock::now() - milliseconds(confirmed_age_ms);
    confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
  }
  if (number <= tracker_.Number() || pulling_)
    return;
  pulling_ = true;
  Spawn(runtime_.io, "config_pull",
        [this, peer_address, number](asio::yield_context yield) {
          RunAndCleanUp([&] { Pull(peer_address, number, yield); },
                        [this] { pulling_ = false; });
        });
}

void config_service::Pull(const std::string& peer_address,
                          std::int64_t number,
                          asio::yield_context yield) {
  const auto response = peers_->Call(peer_address, {{"op", "config_get"}},
                                     clock::now() + kPullTimeout, yield);
  if (!response || !response->is_object())
    return;
  const auto encoded = response->find("config");
  if (encoded == response->end() || !encoded->is_string())
    return;
  OfferRevision(encoded->get<std::string>());
  Log(log_level::kInfo, "config_pulled",
      {{"peer", peer_address},
       {"announced", number},
       {"revision", tracker_.Number()}});
}

std::int64_t config_service::ConfirmedAgeMs(time_point now) const {
  if (!confirmed_at_)
    return -1;
  return std::chrono::duration_cast<milliseconds>(now - *confirmed_at_).count();
}

bool config_service::IsUsable(time_point now) const {
  if (!tracker_.Current())
    return false;
  if (confirmed_at_ && now - *confirmed_at_ <= kIsolationLimit)
    return true;
  if (!membership_ || !membership_->HasPeers())
    return true;
  const auto last_message_at = membership_->LastMessageTime();
  return last_message_at && now - *last_message_at <= kIsolationLimit;
}

result<edit_outcome> config_service::Apply(const std::string& document,
                                           std::int64_t base,
                                           const std::string& author,
                                           time_point deadline,
                                           asio::yield_context yield) {
  const auto parsed = ParseFleetConfig(document);
  if (!parsed)
    return {parsed.kind(), parsed.detail()};
  config_revision next;
  next.number = base + 1;
  next.digest = Sha256Hex(document);
  next.nonce = MakeNonce(runtime_);
  next.author = author;
  next.document = document;
  const std::string encoded = EncodeRevision(next);
  const std::string key(kConfigKey);
  bool write_unanswered = false;
  while (clock::now() < deadline) {
    const time_point until = std::min(deadline, clock::now() + kStoreTimeout);
    const auto current = runtime_.store->Get(key, until, yield);
    if (!current) {
      Sleep(runtime_.io, kMinRetryDelay, yield);
      continue;
    }
    std::int64_t found = 0;
    if (current->has_value()) {
      const auto known = DecodeRevision((*current)->value);
      if (!known)
        return {error_kind::kInternal, "stored revision is not understood"};
      // An equal nonce means that an earlier write, whose response was lost,
      // was applied.
      if (known->nonce == next.nonce) {
        OfferRevision((*current)->value);
        return edit_outcome{next.number, next.digest};
      }
      found = known->number;
      OfferRevision((*current)->value);
    }
    // A store restored from an old backup must not roll the fleet back, so the
    // revision in force here counts as well.
    if (std::max(found, tracker_.Number()) != base) {
      if (write_unanswered && found > base)
        return {error_kind::kConfigConflict,
                "revision " + std::to_string(found) +
                    " stands; the edit may have been in force before it"};
      return {error_kind::kConfigConflict,
              "based on revision " + std::to_string(base) + ", but revision " +
                  std::to_string(std::max(found, tracker_.Number())) +
                  " is in force"};
    }
    const auto swap = runtime_.store->CompareAndSwap(
        key, *current, {{key, encoded}}, until, yield);
    if (swap && swap->applied) {
      OfferRevision(encoded);
      return edit_outcome{next.number, next.digest};
    }
    write_unanswered = write_unanswered || !swap;
    if (!swap)
      Sleep(runtime_.io, kMinRetryDelay, yield);
  }
  return {error_kind::kStoreUnavailable,
          write_unanswered ? "not settled whether the edit was accepted"
                           : "the edit was not accepted"};
}

}  // namespace cactusward
