// Regions in which requests may be handled.
#ifndef CACTUSWARD_HOME_REGIONS_H_
#define CACTUSWARD_HOME_REGIONS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cactusward {

// Assigns availability zones to regions. Immutable, hence thread-safe.
class region_map {
 public:
  // @param own_region of this instance; empty: unknown.
  // @param regions region by availability zone.
  region_map(std::string own_zone,
             std::string own_region,
             std::map<std::string, std::string> regions)
      : own_zone_(std::move(own_zone)),
        own_region_(std::move(own_region)),
        regions_(std::move(regions)) {}

  // The region of an availability zone; empty: unknown.
  std::string RegionOf(const std::string& zone) const;

 private:
  std::string own_zone_;
  std::string own_region_;
  std::map<std::string, std::string> regions_;
};

// The regions in which one request may be handled. Immutable, hence
// thread-safe.
class home_regions {
 public:
  // All regions.
  home_regions() = default;
  // Those that are in each of the lists; an empty list has all regions.
  home_regions(const std::vector<std::string>& of_route,
               const std::vector<std::string>& of_organisation);

  // Whether some regions are not allowed.
  bool restricted() const { return restricted_; }
  // The allowed regions, if restricted.
  const std::set<std::string>& regions() const { return regions_; }
  // An unknown region is allowed only if all are.
  bool Allows(const std::string& region) const {
    return !restricted_ || regions_.count(region) > 0;
  }

  friend bool operator==(const home_regions& a, const home_regions& b) {
    return a.restricted_ == b.restricted_ && a.regions_ == b.regions_;
  }

 private:
  bool restricted_ = false;
  std::set<std::string> regions_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_HOME_REGIONS_H_
