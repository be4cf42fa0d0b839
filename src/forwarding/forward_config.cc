#include "cactusward/forward_config.h"

#include <numeric>

namespace cactusward {
namespace {

// Resolution of the random choice by weight.
constexpr std::uint64_t kWeightSteps = 1ULL << 20;

}  // namespace

forward_config::forward_config(std::int64_t version,
                               std::vector<forward_route> routes,
                               std::vector<forward_service> services,
                               std::vector<key_holder> holders,
                               caller_limits limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      holders_(std::move(holders)),
      limits_(limits) {
  for (std::size_t i = 0; i < routes_.size(); ++i)
    by_host_[routes_[i].host].emplace(routes_[i].path_prefix, i);
  for (std::size_t i = 0; i < holders_.size(); ++i) {
    for (const std::string& key : holders_[i].keys)
      by_key_.emplace(key, i);
  }
}

const forward_route* forward_config::Match(std::string_view host,
                                           std::string_view path) const {
  const auto at_host = by_host_.find(std::string(host));
  if (at_host == by_host_.end())
    return nullptr;
  // Prefixes end with a slash: tries each slash of the path, last one first.
  std::string prefix(path);
  while (!prefix.empty()) {
    const auto slash = prefix.rfind('/');
    if (slash == std::string::npos)
      return nullptr;
    prefix.resize(slash + 1);
    const auto found = at_host->second.find(prefix);
    if (found != at_host->second.end())
      return &routes_[found->second];
    prefix.resize(slash);
  }
  return nullptr;
}

const key_holder* forward_config::FindKeyHolder(std::string_view key) const {
  const auto found = by_key_.find(std::string(key));
  return found == by_key_.end() ? nullptr : &holders_[found->second];
}

const forward_service* forward_config::FindService(
    std::string_view name) const {
  for (const forward_service& service : services_) {
    if (service.name == name)
      return &service;
  }
  return nullptr;
}

std::string_view ChooseService(const forward_route& route,
                               std::uint64_t random) {
  if (route.services.empty())
    return {};
  const double total = std::accumulate(
      route.services.begin(), route.services.end(), 0.0,
      [](double sum, const weighted_service& s) { return sum + s.weight; });
  double point = total * static_cast<double>(random % kWeightSteps) /
                 static_cast<double>(kWeightSteps);
  for (const weighted_service& service : route.services) {
    if (point < service.weight)
      return service.service;
    point -= service.weight;
  }
  return route.services.back().service;
}

}  // namespace cactusward
