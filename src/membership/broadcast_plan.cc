#include "cactusward/broadcast_plan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>

namespace cactusward {
namespace {

// In smaller availability zones a relay saves nothing.
constexpr std::size_t kMinRelayedZone = 3;

}  // namespace

broadcast_plan PlanBroadcast(
    const std::vector<const member*>& live,
    const std::string& own_zone,
    const std::function<bool(const member&)>& can_relay,
    std::size_t max_direct,
    std::mt19937_64& random) {
  std::map<std::string_view, std::vector<const member*>> by_zone;
  for (const member* peer : live)
    by_zone[peer->availability_zone].push_back(peer);
  broadcast_plan plan;
  for (const auto& [zone, peers] : by_zone) {
    std::vector<const member*> relays;
    if (zone != own_zone && peers.size() >= kMinRelayedZone)
      std::copy_if(peers.begin(), peers.end(), std::back_inserter(relays),
                   [&can_relay](const member* peer) {
                     return peer->state == member_state::kAlive &&
                            can_relay(*peer);
                   });
    if (relays.empty())
      plan.direct.insert(plan.direct.end(), peers.begin(), peers.end());
    else
      plan.relays.push_back(relays[random() % relays.size()]);
  }
  for (std::size_t i = 0; i < plan.direct.size() && i < max_direct; ++i)
    std::swap(plan.direct[i],
              plan.direct[i + random() % (plan.direct.size() - i)]);
  if (plan.direct.size() > max_direct)
    plan.direct.resize(max_direct);
  return plan;
}

}  // namespace cactusward
