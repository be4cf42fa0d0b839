#include "src/services/lifecycle_service.h"

#include "src/kernel/log.h"
#include "src/services/claim_service.h"
#include "src/services/config_service.h"
#include "src/services/membership_service.h"

namespace cactusward {
namespace {

constexpr milliseconds kDrainPollPeriod{20};
constexpr milliseconds kResponseFlushDelay{50};

}  // namespace

void lifecycle_service::Start() {
  config_ = runtime_.registry.Find<config_service>(kConfigServiceName);
  claims_ = runtime_.registry.Find<claim_service>(kClaimServiceName);
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
}

bool lifecycle_service::IsReady(time_point now) const {
  return !draining() && config_->IsUsable(now);
}

error_kind lifecycle_service::Admission(time_point now) const {
  if (drain_started_at_ &&
      now - *drain_started_at_ >= runtime_.settings.drain_grace)
    return error_kind::kDraining;
  return config_->IsUsable(now) ? error_kind::kOk : error_kind::kNotReady;
}

void lifecycle_service::Drain() {
  if (draining())
    return;
  drain_started_at_ = clock::now();
  Log(log_level::kInfo, "drain_began", {{"in_flight", pending_.size()}});
  Spawn(runtime_.io, "drain",
        [this](asio::yield_context yield) { WaitUntilDrained(yield); });
}

void lifecycle_service::WaitUntilDrained(asio::yield_context yield) {
  const auto& settings = runtime_.settings;
  Sleep(runtime_.io, settings.drain_grace, yield);
  membership_->Leave();
  const time_point limit = clock::now() + settings.drain_limit;
  while ((!pending_.empty() || claims_->pending() > 0) && clock::now() < limit)
    Sleep(runtime_.io, kDrainPollPeriod, yield);
  pending_.LogEach("request_cut", clock::now());
  Log(log_level::kInfo, "drained",
      {{"in_flight", pending_.size()},
       {"unsettled_claims", claims_->pending()}});
  // Lets the sockets send responses that are already written before the process
  // exits.
  Sleep(runtime_.io, kResponseFlushDelay, yield);
  if (on_drained_)
    on_drained_();
}

}  // namespace cactusward
