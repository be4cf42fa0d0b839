// Parses the platform's instance list and the upstreams' load metrics.
#include <nlohmann/json.hpp>

#include "src/edges/json.h"
#include "src/kernel/log.h"
#include "src/services/upstream_directory.h"

namespace cactusward {
namespace {

using nlohmann::json;

constexpr std::string_view kMetricsFormat = "JSON ";

std::int64_t MetricValue(const json& metrics, const char* name) {
  const auto it = metrics.find(name);
  if (it == metrics.end() || !it->is_number())
    return 0;
  const double value = it->get<double>();
  constexpr double kMaxMetricValue = 1e15;
  return value >= 0 && value < kMaxMetricValue
             ? static_cast<std::int64_t>(value)
             : 0;
}

std::string LabelValue(const json& labels, const char* name) {
  const auto it = labels.find(name);
  return it != labels.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

}  // namespace

std::optional<load_report> ParseLoadMetrics(std::string_view header) {
  if (header.substr(0, kMetricsFormat.size()) != kMetricsFormat)
    return std::nullopt;
  const auto parsed = ParseJson(header.substr(kMetricsFormat.size()));
  if (!parsed || !parsed->is_object())
    return std::nullopt;
  const auto metrics = parsed->find("named_metrics");
  if (metrics == parsed->end() || !metrics->is_object())
    return std::nullopt;
  load_report report;
  report.waiting_tokens = MetricValue(*metrics, "waiting_tokens");
  report.waiting_long_tokens =
      MetricValue(*metrics, "waiting_low_priority_tokens");
  report.kv_used_tokens = MetricValue(*metrics, "kv_used_tokens");
  report.leaving = MetricValue(*metrics, "leaving") > 0;
  report.lag = milliseconds(MetricValue(*metrics, "lag_ms"));
  return report;
}

std::optional<std::vector<upstream_listing>> ParseInstanceList(
    std::string_view body,
    std::vector<std::string>* own_peers) {
  const auto parsed = ParseJson(body);
  if (!parsed || !parsed->is_array())
    return std::nullopt;
  std::vector<upstream_listing> listings;
  std::size_t readable = 0;
  std::size_t unreadable = 0;
  for (const json& group : *parsed) {
    if (!group.is_object() || !group.contains("targets") ||
        !group["targets"].is_array() || !group.contains("labels") ||
        !group["labels"].is_object()) {
      ++unreadable;
      continue;
    }
    const json& labels = group["labels"];
    const std::string service = LabelValue(labels, "service");
    for (const json& target : group["targets"]) {
      if (!target.is_string() || !ParseHostPort(target.get<std::string>())) {
        ++unreadable;
        continue;
      }
      ++readable;
      if (service == kOwnServiceName) {
        own_peers->push_back(target.get<std::string>());
        continue;
      }
      listings.push_back({target.get<std::string>(), service,
                          LabelValue(labels, "availability_zone"),
                          LabelValue(labels, "state") == "leaving"});
    }
  }
  if (unreadable > 0)
    Log(log_level::kWarning, "instance_list_entries_ignored",
        {{"unreadable", unreadable}, {"readable", readable}});
  // Not an empty list: that would remove all upstreams.
  if (unreadable > 0 && readable == 0)
    return std::nullopt;
  return listings;
}

}  // namespace cactusward
