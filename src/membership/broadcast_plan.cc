#include "cactusward/broadcast_plan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>

namespace cactusward {
namespace {

// In smaller availability zones rebroadcasting saves nothing.
constexpr std::size_t kMinRebroadcastZone = 3;

}  // namespace

broadcast_plan PlanBroadcast(
    const std::vector<const member*>& live,
    const std::string& own_zone,
    const std::function<bool(const member&)>& can_rebroadcast,
    std::size_t max_direct,
    std::mt19937_64& random) {
  std::map<std::string_view, std::vector<const member*>> by_zone;
  for (const member* peer : live)
    by_zone[peer->availability_zone].push_back(peer);
  broadcast_plan plan;
  for (const auto& [zone, peers] : by_zone) {
    std::vector<const member*> rebroadcasters;
    if (zone != own_zone && peers.size() >= kMinRebroadcastZone)
      std::copy_if(peers.begin(), peers.end(),
                   std::back_inserter(rebroadcasters),
                   [&can_rebroadcast](const member* peer) {
                     return peer->state == member_state::kAlive &&
                            can_rebroadcast(*peer);
                   });
    if (rebroadcasters.empty())
      plan.direct.insert(plan.direct.end(), peers.begin(), peers.end());
    else
      plan.rebroadcasters.push_back(
          rebroadcasters[random() % rebroadcasters.size()]);
  }
  for (std::size_t i = 0; i < plan.direct.size() && i < max_direct; ++i)
    std::swap(plan.direct[i],
              plan.direct[i + random() % (plan.direct.size() - i)]);
  if (plan.direct.size() > max_direct)
    plan.direct.resize(max_direct);
  return plan;
}

}  // namespace cactusward
