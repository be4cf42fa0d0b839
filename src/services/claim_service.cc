#include "src/services/claim_service.h"

#include <charconv>

#include "cactusward/hash.h"
#include "src/kernel/log.h"
#include "src/kernel/run_and_clean_up.h"
#include "src/services/config_service.h"
#include "src/services/membership_service.h"

namespace cactusward {
namespace {

constexpr milliseconds kClaimTimeout{3'000};
constexpr milliseconds kPersistAttemptTimeout{1'000};
constexpr milliseconds kInitialRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{5'000};
constexpr std::chrono::minutes kMaxPersistTime{30};
constexpr std::size_t kMaxStoredBodyBytes = 64ULL * 1024;
constexpr milliseconds kDefaultRetention{3'600'000};

}  // namespace

claim_service::claim_service(runtime& runtime, peer_link* peers)
    : runtime_(runtime),
      peers_(peers),
      direct_(std::make_unique<direct_claim_store>(runtime.store,
                                                   kDefaultRetention)),
      store_(direct_.get()) {}

void claim_service::Start() {
  config_ = runtime_.registry.Find<config_service>(kConfigServiceName);
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  config_->tracker().Subscribe([this](const active_config& active) {
    ApplySettings(active.config.recovery);
  });
}

// Claims made with one bucket count are not visible with another, so operators
// must change it only while no claims are held.
void claim_service::ApplySettings(const recovery_settings& settings) {
  if (settings == settings_)
    return;
  const bool same_buckets =
      settings.claim_buckets == settings_.claim_buckets &&
      settings.claim_writes_per_second == settings_.claim_writes_per_second;
  settings_ = settings;
  direct_->SetRetention(settings.claim_retention);
  if (settings.claim_buckets == 0) {
    store_ = direct_.get();
  } else if (!same_buckets || homed_.empty()) {
    homed_.push_back(std::make_unique<homed_claim_store>(
        runtime_, peers_, membership_, settings));
    store_ = homed_.back().get();
  }
  store_->SetRetention(settings.claim_retention);
}

nlohmann::json claim_service::OnPeerCall(const nlohmann::json& request,
                                         asio::yield_context yield) {
  if (homed_.empty())
    return {{"error", ErrorResponseFor(error_kind::kNotReady).name}};
  return homed_.back()->OnPeerCall(request, yield);
}

std::string claim_service::KeyOf(std::string_view organisation,
                                 std::string_view idempotency_key) {
  std::string joined(organisation);
  joined.push_back('\n');
  joined.append(idempotency_key);
  return Sha256Hex(joined);
}

bool claim_service::ClaimantIsLive(const std::string& claimant) const {
  const auto slash = claimant.rfind('/');
  if (slash == std::string::npos)
    return false;
  const std::string name = claimant.substr(0, slash);
  std::uint64_t incarnation = 0;
  std::from_chars(claimant.data() + slash + 1,
                  claimant.data() + claimant.size(), incarnation);
  // A member refutes a suspicion by incrementing its incarnation, whereas a new
  // process starts far higher. Only a much higher incarnation is a new process.
  constexpr std::uint64_t kMaxRefutationIncrement = 100;
  return membership_->IsLive(name, incarnation) &&
         !membership_->IsLive(name, incarnation + kMaxRefutationIncrement);
}

result<claim_record> claim_service::ClaimUnlessCancelled(
    const std::string& key,
    const claim_record& record,
    time_point deadline,
    cancel_token* cancel,
    asio::yield_context yield) {
  struct wait {
    explicit wait(asio::io_context& io) : ended(io) {}
    asio::steady_timer ended;
    std::optional<result<claim_record>> holder;
    bool abandoned = false;
  };
  if (cancel->cancelled())
    return error_kind::kDraining;
  const auto waiting = std::make_shared<wait>(runtime_.io);
  ++pending_;
  Spawn(runtime_.io, "claim",
        [this, key, record, deadline, waiting](asio::yield_context inner) {
          RunAndCleanUp(
              [&] {
                waiting->holder = store_->Claim(key, record, deadline, inner);
              },
              [&] {
                --pending_;
                if (waiting->abandoned)
                  Release(key, record);
                if (!waiting->holder)
                  waiting->holder =
                      result<claim_record>(error_kind::kStoreUnavailable);
                waiting->ended.cancel();
              });
        });
  cancel->OnCancel([waiting] { waiting->ended.cancel(); });
  while (!waiting->holder && !cancel->cancelled())
    WaitOn(waiting->ended, clock::now() + kClaimTimeout, yield);
  cancel->OnCancel({});
  if (waiting->holder)
    return *waiting->holder;
  waiting->abandoned = true;
  return error_kind::kDraining;
}

result<claim_record> claim_service::Claim(const std::string& key,
                                          const std::string& fingerprint,
                                          time_point deadline,
                                          cancel_token* cancel,
                                          std::optional<claim_record>* found,
                                          asio::yield_context yield) {
  claim_record mine;
  mine.nonce = MakeNonce(runtime_);
  mine.instance =
      runtime_.settings.instance + "/" + std::to_string(runtime_.incarnation);
  mine.fingerprint = fingerprint;
  const time_point until = std::min(deadline, clock::now() + kClaimTimeout);
  auto holder = ClaimUnlessCancelled(key, mine, until, cancel, yield);
  if (holder.kind() == error_kind::kDraining)
    return holder;
  if (!holder) {
    // The write may still take effect. Without a release the caller could never
    // use this key again.
    Release(key, mine);
    return {holder.kind(), holder.detail()};
  }
  if (holder->nonce == mine.nonce)
    return mine;
  if (holder->fingerprint != fingerprint)
    return error_kind::kIdempotencyKeyReused;
  if (holder->state == claim_state::kDone) {
    *found = *holder;
    return error_kind::kInProgress;
  }
  if (!ClaimantIsLive(holder->instance))
    return {error_kind::kOutcomeUnknown,
            "the instance that ran the request is gone"};
  return error_kind::kInProgress;
}

void claim_service::PersistWithRetry(store_operation operation) {
  ++pending_;
  Spawn(runtime_.io, "claim_persist",
        [this, operation = std::move(operation)](asio::yield_context yield) {
          const time_point limit = clock::now() + kMaxPersistTime;
          milliseconds delay = kInitialRetryDelay;
          while (clock::now() < limit) {
            if (operation(clock::now() + kPersistAttemptTimeout, yield))
              break;
            Sleep(runtime_.io, delay, yield);
            delay = std::min(delay * 2, kMaxRetryDelay);
          }
          --pending_;
        });
}

void claim_service::Complete(const std::string& key,
                             claim_record record,
                             int status,
                             const std::string& content_type,
                             const std::string& body) {
  record.state = claim_state::kDone;
  record.status = status;
  record.content_type = content_type;
  record.body_dropped = body.size() > kMaxStoredBodyBytes;
  if (!record.body_dropped)
    record.body = body;
  PersistWithRetry([this, key, record = std::move(record)](
                       time_point deadline, asio::yield_context yield) {
    return store_->Complete(key, record, deadline, yield);
  });
}

void claim_service::Release(const std::string& key,
                            const claim_record& record) {
  PersistWithRetry([this, key, nonce = record.nonce](
                       time_point deadline, asio::yield_context yield) {
    return store_->Release(key, nonce, deadline, yield);
  });
}

}  // namespace cactusward
