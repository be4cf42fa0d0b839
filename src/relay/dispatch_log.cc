#include "src/relay/dispatch_log.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "src/kernel/log.h"

namespace cactusward {
namespace {

constexpr std::size_t kMaxLoggedUpstreams = 8;

}  // namespace

void LogHeldBack(const placement_demand& demand,
                 const std::vector<fleet_service::held_back>& upstreams,
                 milliseconds retry_after,
                 time_point now) {
  auto described = nlohmann::json::array();
  for (const fleet_service::held_back& upstream : upstreams)
    described.push_back(
        {{"upstream", upstream.upstream},
         {"backs_off", upstream.backs_off},
         {"cold", upstream.is_cold},
         {"per_second", upstream.per_second.value_or(-1)},
         {"age_ms", ToMilliseconds(upstream.age)},
         {"wait_ms",
          upstream.until ? ToMilliseconds(*upstream.until - now) : -1}});
  Log(log_level::kInfo, "request_held_back",
      {{"service", demand.service},
       {"retry_after_ms", retry_after.count()},
       {"upstreams", std::move(described)}});
}

void LogNotPlaced(const placement_demand& demand,
                  fleet_service* fleet,
                  std::size_t waiting,
                  time_point now) {
  const auto& loads = fleet->tracker().Loads(now);
  std::map<std::string_view, int> uses;
  auto described = nlohmann::json::array();
  for (const auto& upstream : fleet->Upstreams(demand.service)) {
    const std::string_view use =
        demand.tried_upstreams.count(upstream->entry.id) > 0
            ? "tried"
            : fleet->DescribeUse(*upstream, now);
    ++uses[use];
    if (described.size() == kMaxLoggedUpstreams)
      continue;
    const auto found = loads.find(upstream->key);
    const upstream_load load =
        found == loads.end() ? upstream_load() : found->second;
    described.push_back({{"upstream", upstream->entry.id},
                         {"use", use},
                         {"running", load.running},
                         {"interactive", load.interactive},
                         {"prefill_ms", load.prefill_ms},
                         {"kv_tokens", load.kv_tokens},
                         {"slowdown", upstream->health.Slowdown(now)}});
  }
  auto counts = nlohmann::json::object();
  for (const auto& [use, count] : uses)
    counts[std::string(use)] = count;
  Log(log_level::kInfo, "request_not_placed",
      {{"service", demand.service},
       {"prompt_tokens", demand.prompt ? demand.prompt->prompt_tokens : 0},
       {"objective_ms", ToMilliseconds(demand.objective_at - now)},
       {"caller_timeout_ms", ToMilliseconds(demand.caller_timeout_at - now)},
       {"waiting", waiting},
       {"uses", std::move(counts)},
       {"upstreams", std::move(described)}});
}

}  // namespace cactusward
