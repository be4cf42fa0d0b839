#include "cactusward/home_regions.h"

#include <algorithm>

namespace cactusward {

std::string region_map::RegionOf(const std::string& zone) const {
  const auto found = regions_.find(zone);
  if (found != regions_.end())
    return found->second;
  return zone == own_zone_ ? own_region_ : std::string();
}

home_regions::home_regions(const std::vector<std::string>& of_route,
                           const std::vector<std::string>& of_organisation)
    : restricted_(!of_route.empty() || !of_organisation.empty()) {
  const std::vector<std::string>& first =
      of_route.empty() ? of_organisation : of_route;
  for (const std::string& region : first) {
    const bool in_both =
        of_organisation.empty() ||
        std::find(of_organisation.begin(), of_organisation.end(), region) !=
            of_organisation.end();
    // An empty name would stand for an unknown region.
    if (in_both && !region.empty())
      regions_.insert(region);
  }
}

}  // namespace cactusward
