#include "src/relay/relay_assignment.h"

#include <algorithm>

namespace cactusward {

relay_assignment::~relay_assignment() {
  UnreserveLimits();
  load_tracker& tracker = fleet_->tracker();
  tracker.End(primary.tracking_id);
  for (const target& helper : helpers)
    tracker.End(helper.tracking_id);
  fleet_->OnLoadChanged(urgent_ ? report_urgency::kSoon
                                : report_urgency::kLater);
}

void relay_assignment::ReserveLimits() {
  limits_reserved_ = true;
  ForEachUpstream([this](const fleet_upstream& upstream) {
    fleet_->ReserveLimit(upstream);
  });
}

void relay_assignment::UnreserveLimits() {
  if (!limits_reserved_)
    return;
  limits_reserved_ = false;
  ForEachUpstream([this](const fleet_upstream& upstream) {
    fleet_->UnreserveLimit(upstream);
  });
}

bool relay_assignment::TrySpendLimits(time_point now) {
  if (limits_spent_)
    return true;
  withheld_by_limit_ = false;
  ForEachUpstream([this, now](const fleet_upstream& upstream) {
    if (!fleet_->MaySendWithinLimit(upstream, now))
      withheld_by_limit_ = true;
  });
  if (withheld_by_limit_)
    return false;
  UnreserveLimits();
  limits_spent_ = true;
  ForEachUpstream([this, now](const fleet_upstream& upstream) {
    fleet_->SpendLimit(upstream, now);
  });
  return true;
}

bool relay_assignment::TargetsAcceptRequests() const {
  const time_point now = clock::now();
  return fleet_->AcceptsRequests(*primary.upstream, now) &&
         std::all_of(helpers.begin(), helpers.end(),
                     [this, now](const target& helper) {
                       return fleet_->AcceptsRequests(*helper.upstream, now);
                     });
}

void relay_assignment::EndPrefill() {
  if (!prefilling_)
    return;
  prefilling_ = false;
  load_tracker& tracker = fleet_->tracker();
  tracker.EndPrefill(primary.tracking_id);
  for (const target& helper : helpers)
    tracker.EndPrefill(helper.tracking_id);
  // Peers deduct a short prefill by the age of their report.
  if (urgent_)
    fleet_->OnLoadChanged(report_urgency::kSoon);
}

}  // namespace cactusward
