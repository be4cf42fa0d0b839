// Names under which the daemon's services register, and shared constants.
#ifndef CACTUSWARD_SRC_DAEMON_NAMES_H_
#define CACTUSWARD_SRC_DAEMON_NAMES_H_

#include <string_view>

namespace cactusward {

inline constexpr std::string_view kConfigServiceName = "config";
inline constexpr std::string_view kEvacuationServiceName = "evacuations";
inline constexpr std::string_view kMembershipServiceName = "membership";
inline constexpr std::string_view kDirectoryServiceName = "upstreams";
inline constexpr std::string_view kDispatcherServiceName = "dispatcher";
inline constexpr std::string_view kRecoveryServiceName = "recovery";
inline constexpr std::string_view kClaimServiceName = "claims";
inline constexpr std::string_view kReportServiceName = "report";
inline constexpr std::string_view kLifecycleServiceName = "lifecycle";
inline constexpr std::string_view kCatalogServiceName = "catalog";
inline constexpr std::string_view kQuarantineServiceName = "quarantine";
inline constexpr std::string_view kFleetServiceName = "fleet";
inline constexpr std::string_view kPathServiceName = "paths";
inline constexpr std::string_view kRelayDispatcherName = "relay_dispatcher";
inline constexpr std::string_view kRelayShutdownName = "relay_stop";

// The name under which the platform lists instances of this system.
inline constexpr std::string_view kOwnServiceName = "cactusward";
inline constexpr std::string_view kConfigKey = "cactusward/config";

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_NAMES_H_
