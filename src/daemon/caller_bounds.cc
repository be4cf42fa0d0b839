#include "src/daemon/caller_bounds.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace cactusward {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;
// Listeners, timers, the log, and connections that are accepted and not yet
// admitted.
constexpr std::size_t kOwnDescriptors = 32;
// A process with few descriptors still serves some callers.
constexpr std::size_t kMinConnections = 16;

// Of the descriptors that are not for callers, each of the two ports between
// instances may take a quarter before authentication.
constexpr std::size_t kUnauthenticatedDivisor = 4;
constexpr std::size_t kMinUnauthenticated = 16;
// A connection takes up to 128 KB, the largest first frame. A connection of a
// peer authenticates in two round trips, so that a fleet that starts at once
// soon gets its turn.
constexpr std::size_t kMaxUnauthenticated = 64;

}  // namespace

caller_bounds MakeCallerBounds(const caller_limit_settings& settings,
                               std::size_t physical_bytes,
                               std::size_t max_descriptors) {
  caller_bounds bounds;
  bounds.budget =
      BudgetForProcess(settings.memory_mb > 0 ? settings.memory_mb * kMegabyte
                                              : physical_bytes / 2);
  const std::size_t reserved =
      static_cast<std::size_t>(settings.reserved_descriptors) + kOwnDescriptors;
  bounds.max_connections = std::max(
      max_descriptors - std::min(reserved, max_descriptors), kMinConnections);
  bounds.max_connections_per_address =
      static_cast<std::size_t>(settings.max_connections_per_address);
  bounds.max_pipelined_bytes = settings.max_pipelined_bytes;
  bounds.max_header_fields = settings.max_header_fields;
  bounds.min_body_rate = settings.min_body_rate;
  bounds.min_body_rate_window = settings.min_body_rate_window;
  bounds.max_unread_response = settings.max_unread_response;
  bounds.trusted_addresses = {settings.trusted_addresses.begin(),
                              settings.trusted_addresses.end()};
  bounds.max_unauthenticated =
      std::clamp(static_cast<std::size_t>(settings.reserved_descriptors) /
                     kUnauthenticatedDivisor,
                 kMinUnauthenticated, kMaxUnauthenticated);
  return bounds;
}

caller_bounds MakeCallerBounds(const caller_limit_settings& settings) {
  const auto pages = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES));
  const auto page_bytes = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  return MakeCallerBounds(settings, pages * page_bytes, descriptors.rlim_cur);
}

}  // namespace cactusward
