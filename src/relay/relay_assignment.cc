#include "src/relay/relay_assignment.h"

#include <algorithm>

namespace cactusward {

relay_assignment::~relay_assignment() {
  load_tracker& tracker = fleet_->tracker();
  tracker.End(primary.tracking_id);
  for (const target& helper : helpers)
    tracker.End(helper.tracking_id);
  fleet_->OnLoadChanged(urgent_ ? report_urgency::kSoon
                                : report_urgency::kLater);
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
