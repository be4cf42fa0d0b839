#include "src/daemon/settings.h"

#include "src/config/json_reader.h"
#include "src/edges/net.h"

namespace cactusward {
namespace {

using internal::object_reader;
using internal::validation_errors;

constexpr std::size_t kMinSecretBytes = 16;
constexpr double kMaxRetryExtra = 1'000'000;
constexpr double kMinRetryWindowSeconds = 0.1;
constexpr double kMaxRetryWindowSeconds = 3600;
constexpr double kMillisecondsPerSecond = 1000;
constexpr milliseconds kMaxDrainTime = std::chrono::hours(24);
constexpr milliseconds kMaxForwardingTime = std::chrono::hours(1);
constexpr double kMaxColdOverage = 100;
constexpr double kMaxColdTolerance = 1'000'000;
constexpr double kMaxLinkMbps = 1'000'000;
constexpr std::int64_t kMaxMemoryMegabytes = 1'000'000;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kMaxPipelinedBytes = 1'000'000'000;
constexpr std::int64_t kMaxHeaderFields = 100'000;
constexpr std::int64_t kMaxBodyRate = 1'000'000'000;

// Reads an optional duration. A fraction of a millisecond is cut off.
milliseconds ReadMilliseconds(object_reader& reader,
                              std::string_view name,
                              milliseconds fallback,
                              milliseconds max) {
  return milliseconds(static_cast<std::int64_t>(
      reader.Number(name, static_cast<double>(fallback.count()), 0,
                    static_cast<double>(max.count()))));
}

std::string ReadAddress(object_reader& reader, std::string_view name) {
  std::string address = reader.RequiredString(name);
  if (!address.empty() && !ParseHostPort(address))
    reader.AddError(name, "\"" + address + "\"", "an IP number and a port");
  return address;
}

std::string ReadSourceAddress(object_reader& reader) {
  std::string address = reader.String("source_address", "");
  boost::system::error_code error;
  if (!address.empty())
    asio::ip::make_address(address, error);
  if (error)
    reader.AddError("source_address", "\"" + address + "\"", "an IP number");
  return address;
}

std::map<std::string, std::string> ReadZoneRegions(object_reader& root) {
  object_reader zones = root.Object("zones");
  std::map<std::string, std::string> regions;
  for (const std::string& zone : zones.FieldNames())
    regions[zone] = zones.RequiredString(zone);
  return regions;
}

caller_limit_settings ReadCallerLimits(object_reader reader) {
  caller_limit_settings limits;
  const auto read = [&reader](std::string_view name, std::int64_t fallback,
                              std::int64_t min, std::int64_t max) {
    return reader.Integer(name, fallback, min, max);
  };
  limits.memory_mb =
      static_cast<std::size_t>(read("memory_mb", 0, 0, kMaxMemoryMegabytes));
  limits.max_connections_per_address = static_cast<int>(
      read("max_connections_per_address", limits.max_connections_per_address, 0,
           kMaxConnections));
  limits.reserved_descriptors = static_cast<int>(read(
      "reserved_descriptors", limits.reserved_descriptors, 0, kMaxConnections));
  limits.max_pipelined_bytes = static_cast<std::size_t>(
      read("max_pipelined_bytes",
           static_cast<std::int64_t>(limits.max_pipelined_bytes), 1,
           kMaxPipelinedBytes));
  limits.max_header_fields = static_cast<int>(
      read("max_header_fields", limits.max_header_fields, 1, kMaxHeaderFields));
  limits.min_body_rate =
      read("min_body_rate", limits.min_body_rate, 0, kMaxBodyRate);
  limits.min_body_rate_window =
      ReadMilliseconds(reader, "min_body_rate_window_ms",
                       limits.min_body_rate_window, kMaxForwardingTime);
  limits.max_unread_response =
      ReadMilliseconds(reader, "max_unread_response_ms",
                       limits.max_unread_response, kMaxForwardingTime);
  limits.trusted_addresses = reader.StringArray("trusted_addresses");
  for (const std::string& address : limits.trusted_addresses) {
    boost::system::error_code error;
    asio::ip::make_address(address, error);
    if (error)
      reader.AddError("trusted_addresses", "\"" + address + "\"",
                      "an IP number");
  }
  reader.RejectUnknownFields();
  return limits;
}

log_level ReadLogLevel(object_reader& reader) {
  const std::string level =
      reader.Choice("log_level", "info", {"debug", "info", "warning", "error"});
  if (level == "debug")
    return log_level::kDebug;
  if (level == "warning")
    return log_level::kWarning;
  return level == "error" ? log_level::kError : log_level::kInfo;
}

forwarding_settings ReadForwarding(object_reader reader) {
  forwarding_settings settings;
  settings.protocol = reader.RequiredString("protocol");
  settings.readiness_listen = ReadAddress(reader, "readiness_listen");
  settings.metrics_listen = ReadAddress(reader, "metrics_listen");
  settings.registry = ReadAddress(reader, "registry");
  settings.source_address = ReadSourceAddress(reader);
  settings.retries.ratio =
      reader.Number("retry_ratio", settings.retries.ratio, 0, 1);
  settings.retries.extra_retries = reader.Number(
      "retry_extra", settings.retries.extra_retries, 0, kMaxRetryExtra);
  const double window_s =
      reader.Number("retry_window_s",
                    static_cast<double>(settings.retries.window.count()) /
                        kMillisecondsPerSecond,
                    kMinRetryWindowSeconds, kMaxRetryWindowSeconds);
  settings.retries.window = milliseconds(
      static_cast<std::int64_t>(window_s * kMillisecondsPerSecond));
  settings.reregistration_grace =
      ReadMilliseconds(reader, "registry_return_ms",
                       settings.reregistration_grace, kMaxForwardingTime);
  settings.config_apply = ReadMilliseconds(
      reader, "config_apply_ms", settings.config_apply, kMaxForwardingTime);
  settings.link_mbps =
      reader.Number("link_mbps", settings.link_mbps, 0, kMaxLinkMbps);
  settings.max_reservation =
      ReadMilliseconds(reader, "max_reservation_ms", settings.max_reservation,
                       kMaxForwardingTime);
  settings.cold.overage =
      reader.Number("cold_overage", settings.cold.overage, 0, kMaxColdOverage);
  settings.cold.tolerance = reader.Number(
      "cold_tolerance", settings.cold.tolerance, 0, kMaxColdTolerance);
  settings.ramp_up = reader.Boolean("ramp_up", settings.ramp_up);
  settings.zone_preference =
      ReadMilliseconds(reader, "zone_preference_ms", settings.zone_preference,
                       kMaxForwardingTime);
  settings.refuse_on_arrival =
      reader.Boolean("refuse_on_arrival", settings.refuse_on_arrival);
  settings.fair_queue = reader.Boolean("fair_queue", settings.fair_queue);
  reader.RejectUnknownFields();
  return settings;
}

// Adds a seed peer for each host: its IP address with this instance's peer
// port. Seeds may be outdated, so an unusable one is not an error.
void AddSeedHosts(const std::vector<std::string>& hosts,
                  instance_settings* settings) {
  const auto own = ParseHostPort(settings->peer_listen);
  for (const std::string& host : hosts) {
    const auto parsed = ParseHostPort(host);
    if (own && parsed)
      settings->seed_peers.push_back(parsed->host + ":" +
                                     std::to_string(own->port));
    else
      settings->unusable_seeds.push_back(host);
  }
}

}  // namespace

result<instance_settings> ParseSettings(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded())
    return {error_kind::kConfigInvalid, "settings: not JSON"};
  validation_errors errors;
  object_reader root(json, "", &errors);
  instance_settings settings;
  settings.instance = root.RequiredString("instance");
  settings.availability_zone = root.RequiredString("availability_zone");
  settings.region = root.String("region", "");
  settings.zone_regions = ReadZoneRegions(root);
  settings.listen = ReadAddress(root, "listen");
  settings.peer_listen = ReadAddress(root, "peer_listen");
  settings.peer_advertise = root.Has("peer_advertise")
                                ? ReadAddress(root, "peer_advertise")
                                : settings.peer_listen;
  if (root.Has("tunnel_listen"))
    settings.tunnel_listen = ReadAddress(root, "tunnel_listen");
  if (root.Has("forwarding"))
    settings.forwarding = ReadForwarding(root.Object("forwarding"));
  settings.caller_limits = ReadCallerLimits(root.Object("caller_limits"));
  object_reader secrets = root.Object("secrets");
  settings.peer_secret = secrets.RequiredString("peers", kMinSecretBytes);
  if (!settings.forwarding) {
    object_reader platform = root.Object("platform");
    settings.key_value = ReadAddress(platform, "key_value");
    settings.instance_list = ReadAddress(platform, "instance_list");
    platform.RejectUnknownFields();
    settings.operator_key =
        secrets.RequiredString("operators", kMinSecretBytes);
  }
  secrets.RejectUnknownFields();
  settings.seed_peers = root.StringArray("seed_peers");
  AddSeedHosts(root.StringArray("seed_hosts"), &settings);
  for (const std::string& peer : settings.seed_peers) {
    if (!ParseHostPort(peer))
      root.AddError("seed_peers", "\"" + peer + "\"",
                    "an IP number and a port");
  }
  settings.drain_grace = ReadMilliseconds(root, "drain_grace_ms",
                                          settings.drain_grace, kMaxDrainTime);
  settings.drain_limit = ReadMilliseconds(root, "drain_limit_ms",
                                          settings.drain_limit, kMaxDrainTime);
  settings.min_log_level = ReadLogLevel(root);
  root.RejectUnknownFields();
  if (!errors.empty())
    return {error_kind::kConfigInvalid, errors.ToString()};
  return settings;
}

bool ApplyReloadable(const instance_settings& next,
                     instance_settings* current) {
  current->seed_peers = next.seed_peers;
  current->unusable_seeds = next.unusable_seeds;
  current->drain_grace = next.drain_grace;
  current->drain_limit = next.drain_limit;
  return !(*current == next);
}

}  // namespace cactusward
