#include "cactusward/evacuation_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/kernel/nesting.h"

namespace cactusward {
namespace {

// Bounds the evacuations in a gossip message, which must not be fragmented.
constexpr std::size_t kMaxZoneNameBytes = 64;

bool IsZoneCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

bool HasPosition(const std::optional<evacuation_report>& state,
                 const registry_position& at_least) {
  return state && state->position >= at_least;
}

}  // namespace

bool IsZoneName(std::string_view zone) {
  return !zone.empty() && zone.size() <= kMaxZoneNameBytes &&
         std::all_of(zone.begin(), zone.end(), IsZoneCharacter);
}

std::string EvacuationKey(std::string_view zone) {
  return std::string(kEvacuationPrefix).append(zone);
}

std::optional<std::string> ZoneOfKey(std::string_view key) {
  if (key.substr(0, kEvacuationPrefix.size()) != kEvacuationPrefix)
    return std::nullopt;
  const std::string_view zone = key.substr(kEvacuationPrefix.size());
  if (!IsZoneName(zone))
    return std::nullopt;
  return std::string(zone);
}

std::string EncodeEvacuation(const evacuation_report& state) {
  return nlohmann::json({{"number", state.position.revision},
                         {"evacuated", state.evacuated}})
      .dump();
}

result<evacuation_report> DecodeEvacuation(const std::string& zone,
                                           std::string_view value) {
  const auto invalid = [](const char* why) {
    return result<evacuation_report>(error_kind::kBadRequest, why);
  };
  if (IsJsonTooDeep(value))
    return invalid("evacuation is nested too deeply");
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_object())
    return invalid("evacuation is not a JSON object");
  const auto number = json.find("number");
  const auto evacuated = json.find("evacuated");
  if (number == json.end() || !number->is_number_integer() ||
      number->get<std::int64_t>() <= 0)
    return invalid("evacuation has no number");
  if (evacuated == json.end() || !evacuated->is_boolean())
    return invalid("evacuation has no state");
  return evacuation_report{
      zone, {0, number->get<std::int64_t>()}, evacuated->get<bool>()};
}

evacuation_report NextEvacuation(const std::string& zone,
                                 bool evacuate,
                                 const std::optional<evacuation_report>& stored,
                                 const std::optional<evacuation_report>& known,
                                 std::int64_t wall_us) {
  if (stored && stored->evacuated == evacuate &&
      !MustWriteBack(stored, known.value_or(*stored)))
    return *stored;
  std::int64_t number = std::max<std::int64_t>(wall_us, 1);
  for (const auto& state : {stored, known}) {
    if (state)
      number = std::max(number, state->position.revision + 1);
  }
  return {zone, {0, number}, evacuate};
}

bool MustWriteBack(const std::optional<evacuation_report>& stored,
                   const evacuation_report& known) {
  return !HasPosition(stored, known.position);
}

std::vector<zone_status> MergeZoneReports(const instance_evacuations& instances,
                                          const std::set<std::string>& zones) {
  std::map<std::string, zone_status> merged;
  for (const std::string& zone : zones)
    merged[zone].zone = zone;
  for (const auto& [instance, reports] : instances) {
    if (!reports)
      continue;
    for (const evacuation_report& report : *reports) {
      zone_status& status = merged[report.zone];
      status.zone = report.zone;
      if (report.position.revision <= status.number)
        continue;
      status.number = report.position.revision;
      status.evacuated = report.evacuated;
    }
  }
  std::vector<zone_status> statuses;
  for (auto& [zone, status] : merged) {
    for (const auto& [instance, reports] : instances) {
      const bool is_known =
          reports &&
          (status.number == 0 ||
           std::any_of(reports->begin(), reports->end(),
                       [&status = status](const evacuation_report& report) {
                         return report.zone == status.zone &&
                                report.position.revision >= status.number;
                       }));
      if (is_known)
        ++status.complying;
      else
        status.behind.push_back(instance);
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace cactusward
