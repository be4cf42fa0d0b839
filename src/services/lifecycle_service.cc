#include "src/services/lifecycle_service.h"

#include "src/kernel/log.h"
#include "src/services/claim_service.h"
#include "src/services/config_service.h"
#include "src/services/evacuation_service.h"
#include "src/services/membership_service.h"
#include "src/services/path_service.h"

namespace cactusward {
namespace {

constexpr milliseconds kDrainPollPeriod{20};
constexpr milliseconds kResponseFlushDelay{50};

}  // namespace

void lifecycle_service::Start() {
  config_ = runtime_.registry.Find<config_service>(kConfigServiceName);
  claims_ = runtime_.registry.Find<claim_service>(kClaimServiceName);
  evacuations_ =
      runtime_.registry.Find<evacuation_service>(kEvacuationServiceName);
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  paths_ = runtime_.registry.Find<path_service>(kPathServiceName);
}

bool lifecycle_service::IsReady(time_point now) const {
  return !draining() && IsUsable(now);
}

error_kind lifecycle_service::Admission(time_point now) const {
  if (schedule_ && now >= schedule_->grace_ends_at)
    return error_kind::kDraining;
  return IsUsable(now) ? error_kind::kOk : error_kind::kNotReady;
}

bool lifecycle_service::IsUsable(time_point now) const {
  return config_->IsUsable(now) && evacuations_->IsUsable(now);
}

void lifecycle_service::Drain() {
  if (draining())
    return;
  schedule_ = MakeStopSchedule(clock::now(), runtime_.settings);
  server_->AnnounceClose();
  Log(log_level::kInfo, "drain_began",
      {{"in_flight", pending_.size()}, {"receiving", server_->receiving()}});
  Spawn(runtime_.io, "drain",
        [this](asio::yield_context yield) { WaitUntilDrained(yield); });
}

bool lifecycle_service::HasPendingWork() const {
  return server_->active() > 0 || server_->receiving() > 0 ||
         claims_->pending() > 0 || paths_->carried_tunnels() > 0;
}

void lifecycle_service::WaitForPendingWork(time_point until,
                                           asio::yield_context yield) {
  while (HasPendingWork() && clock::now() < until)
    Sleep(runtime_.io, kDrainPollPeriod, yield);
}

void lifecycle_service::WaitUntilDrained(asio::yield_context yield) {
  Sleep(runtime_.io, schedule_->grace_ends_at - schedule_->began_at, yield);
  membership_->Leave();
  WaitForPendingWork(schedule_->requests_end_at, yield);
  pending_.EndAll();
  WaitForPendingWork(schedule_->exits_at, yield);
  pending_.LogEach("request_cut", clock::now());
  Log(log_level::kInfo, "drained",
      {{"in_flight", pending_.size()},
       {"receiving", server_->receiving()},
       {"unsettled_claims", claims_->pending()}});
  // Lets the sockets send responses that are already written before the process
  // exits.
  Sleep(runtime_.io, kResponseFlushDelay, yield);
  if (on_drained_)
    on_drained_();
}

}  // namespace cactusward
