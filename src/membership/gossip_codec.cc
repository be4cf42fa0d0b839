// CBOR encoding of gossip messages. Structures are encoded as positional arrays
// to keep datagrams small.
#include <nlohmann/json.hpp>

#include "cactusward/membership.h"
#include "src/kernel/cbor.h"

namespace cactusward {
namespace {

using nlohmann::json;

constexpr int kFormatVersion = 7;
constexpr std::size_t kMessageFields = 21;
constexpr std::size_t kMemberFields = 6;
constexpr std::size_t kMaxListItems = 512;

json MemberToJson(const member& m) {
  return json::array({m.name, m.incarnation, static_cast<int>(m.state),
                      m.address, m.peer_address, m.availability_zone});
}

bool IsInteger(const json& value) {
  return value.is_number_integer();
}

bool ReadMember(const json& value, member* out) {
  if (!value.is_array() || value.size() != kMemberFields ||
      !value[0].is_string() || !value[1].is_number_unsigned() ||
      !value[2].is_number_unsigned() || !value[3].is_string() ||
      !value[4].is_string() || !value[5].is_string())
    return false;
  const auto state = value[2].get<std::uint64_t>();
  if (state > static_cast<std::uint64_t>(member_state::kLeft))
    return false;
  *out = {value[0].get<std::string>(),      value[1].get<std::uint64_t>(),
          static_cast<member_state>(state), value[3].get<std::string>(),
          value[4].get<std::string>(),      value[5].get<std::string>()};
  return !out->name.empty();
}

bool IsList(const json& value) {
  return value.is_array() && value.size() <= kMaxListItems;
}

bool ReadMembers(const json& value, std::vector<member>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    member next;
    if (!ReadMember(item, &next))
      return false;
    out->push_back(std::move(next));
  }
  return true;
}

bool ReadSuspects(const json& value, std::vector<suspect_report>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    if (!item.is_array() || item.size() != 4 || !item[0].is_number_unsigned() ||
        !item[1].is_number_unsigned() || !IsInteger(item[2]) ||
        !item[3].is_boolean())
      return false;
    out->push_back({item[0].get<std::uint64_t>(), item[1].get<std::uint32_t>(),
                    item[2].get<std::int64_t>(), item[3].get<bool>()});
  }
  return true;
}

// Reads [upstream, amount] pairs.
template <typename Report>
bool ReadPairs(const json& value, std::vector<Report>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
        !IsInteger(item[1]))
      return false;
    out->push_back({item[0].get<std::uint32_t>(), item[1].get<std::int64_t>()});
  }
  return true;
}

bool ReadLoads(const json& value, std::vector<upstream_load>* out) {
  constexpr std::size_t kLoadFields = 7;
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    if (!item.is_array() || item.size() != kLoadFields ||
        !item[0].is_number_unsigned())
      return false;
    for (std::size_t i = 1; i < kLoadFields; ++i) {
      if (!item[i].is_number_unsigned())
        return false;
    }
    out->push_back({item[0].get<std::uint32_t>(), item[1].get<int>(),
                    item[2].get<int>(), item[3].get<std::int64_t>(),
                    item[4].get<std::int64_t>(), item[5].get<std::int64_t>(),
                    item[6].get<std::int64_t>()});
  }
  return true;
}

bool ReadChanges(const json& value, std::vector<catalog_change>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    if (!item.is_array() || item.size() != 3 || !item[0].is_string() ||
        !IsInteger(item[1]) || (!item[2].is_string() && !item[2].is_null()))
      return false;
    catalog_change change;
    change.id = item[0].get<std::string>();
    change.revision = item[1].get<std::int64_t>();
    if (item[2].is_string())
      change.document = item[2].get<std::string>();
    out->push_back(std::move(change));
  }
  return true;
}

bool ReadNumbers(const json& value, std::vector<std::uint64_t>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    if (!item.is_number_unsigned())
      return false;
    out->push_back(item.get<std::uint64_t>());
  }
  return true;
}

bool ReadCrashes(const json& value, std::vector<crash_report>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    if (!item.is_array() || item.size() != 3 || !item[0].is_number_unsigned() ||
        !IsInteger(item[1]) || !IsList(item[2]))
      return false;
    crash_report report;
    report.upstream = item[0].get<std::uint32_t>();
    report.age_ms = item[1].get<std::int64_t>();
    for (const json& entry : item[2]) {
      crash_suspect suspect;
      if (!entry.is_array() || entry.size() != 2 ||
          !entry[0].is_number_unsigned() ||
          !ReadNumbers(entry[1], &suspect.shared_parts))
        return false;
      suspect.fingerprint = entry[0].get<std::uint64_t>();
      report.suspects.push_back(std::move(suspect));
    }
    out->push_back(std::move(report));
  }
  return true;
}

bool ReadQuarantines(const json& value, std::vector<quarantine_report>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    quarantine_report report;
    if (!item.is_array() || item.size() != 4 ||
        !ReadNumbers(item[0], &report.parts) || !IsInteger(item[1]) ||
        !IsInteger(item[2]) || !IsInteger(item[3]))
      return false;
    report.crashes = item[1].get<std::int64_t>();
    report.first_crash_age_ms = item[2].get<std::int64_t>();
    report.last_crash_age_ms = item[3].get<std::int64_t>();
    out->push_back(std::move(report));
  }
  return true;
}

bool ReadSoundParts(const json& value, std::vector<sound_part_report>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
        !IsInteger(item[1]))
      return false;
    out->push_back({item[0].get<std::uint64_t>(), item[1].get<std::int64_t>()});
  }
  return true;
}

bool ReadLimits(const json& value, std::vector<limit_report>* out) {
  if (!IsList(value))
    return false;
  for (const json& item : value) {
    if (!item.is_array() || item.size() != 3 || !item[0].is_number_unsigned() ||
        !IsInteger(item[1]) || !IsInteger(item[2]))
      return false;
    out->push_back({item[0].get<std::uint32_t>(), item[1].get<std::int64_t>(),
                    item[2].get<std::int64_t>()});
  }
  return true;
}

json CrashToJson(const crash_report& report) {
  json suspects = json::array();
  for (const crash_suspect& suspect : report.suspects)
    suspects.push_back(
        json::array({suspect.fingerprint, suspect.shared_parts}));
  return json::array({report.upstream, report.age_ms, std::move(suspects)});
}

bool HasValidHeader(const json& value) {
  return value.is_array() && value.size() == kMessageFields &&
         value[0] == kFormatVersion && value[1].is_number_unsigned() &&
         value[1].get<std::uint64_t>() <=
             static_cast<std::uint64_t>(gossip_kind::kUpdate) &&
         value[2].is_number_unsigned() && value[4].is_string() &&
         value[5].is_string() && IsInteger(value[6]) && IsInteger(value[7]) &&
         IsInteger(value[12]) && IsInteger(value[14]) && IsInteger(value[20]);
}

}  // namespace

std::string EncodeGossip(const gossip_message& message) {
  json members = json::array();
  for (const member& item : message.members)
    members.push_back(MemberToJson(item));
  json suspects = json::array();
  for (const suspect_report& item : message.suspects)
    suspects.push_back(json::array(
        {item.fingerprint, item.upstream, item.age_ms, item.strong}));
  json in_flight = json::array();
  for (const in_flight_report& item : message.in_flight)
    in_flight.push_back(json::array({item.upstream, item.prefill_tokens}));
  json leaving = json::array();
  for (const leaving_report& item : message.leaving)
    leaving.push_back(json::array({item.upstream, item.age_ms}));
  json loads = json::array();
  for (const upstream_load& item : message.loads)
    loads.push_back(json::array({item.upstream, item.running, item.interactive,
                                 item.max_event_gap_ms, item.prefill_ms,
                                 item.kv_tokens, item.overdue_prefill_ms}));
  json crashes = json::array();
  for (const crash_report& item : message.crashes)
    crashes.push_back(CrashToJson(item));
  json quarantines = json::array();
  for (const quarantine_report& item : message.quarantines)
    quarantines.push_back(
        json::array({item.parts, item.crashes, item.first_crash_age_ms,
                     item.last_crash_age_ms}));
  json sound_parts = json::array();
  for (const sound_part_report& item : message.sound_parts)
    sound_parts.push_back(json::array({item.part, item.age_ms}));
  json limits = json::array();
  for (const limit_report& item : message.limits)
    limits.push_back(
        json::array({item.upstream, item.milli_per_second, item.age_ms}));
  json changes = json::array();
  for (const catalog_change& item : message.changes)
    changes.push_back(
        json::array({item.id, item.revision,
                     item.document ? json(*item.document) : json(nullptr)}));
  const json encoded = json::array({kFormatVersion,
                                    static_cast<int>(message.kind),
                                    message.sequence,
                                    MemberToJson(message.sender),
                                    message.target,
                                    message.target_address,
                                    message.config_number,
                                    message.confirmed_age_ms,
                                    std::move(members),
                                    std::move(suspects),
                                    std::move(in_flight),
                                    std::move(leaving),
                                    message.catalog_position.revision,
                                    std::move(loads),
                                    message.changes_after,
                                    std::move(changes),
                                    std::move(crashes),
                                    std::move(quarantines),
                                    std::move(sound_parts),
                                    std::move(limits),
                                    message.catalog_position.era});
  std::string bytes;
  json::to_cbor(encoded, bytes);
  return bytes;
}

result<gossip_message> DecodeGossip(std::string_view bytes) {
  const json value = ParseCbor(bytes);
  result<gossip_message> malformed(error_kind::kBadRequest,
                                   "malformed gossip message");
  if (!HasValidHeader(value))
    return malformed;
  gossip_message message;
  message.kind = static_cast<gossip_kind>(value[1].get<int>());
  message.sequence = value[2].get<std::uint32_t>();
  message.target = value[4].get<std::string>();
  message.target_address = value[5].get<std::string>();
  message.config_number = value[6].get<std::int64_t>();
  message.confirmed_age_ms = value[7].get<std::int64_t>();
  message.catalog_position = {value[20].get<std::int64_t>(),
                              value[12].get<std::int64_t>()};
  message.changes_after = value[14].get<std::int64_t>();
  if (!ReadMember(value[3], &message.sender) ||
      !ReadMembers(value[8], &message.members) ||
      !ReadSuspects(value[9], &message.suspects) ||
      !ReadPairs(value[10], &message.in_flight) ||
      !ReadPairs(value[11], &message.leaving) ||
      !ReadLoads(value[13], &message.loads) ||
      !ReadChanges(value[15], &message.changes) ||
      !ReadCrashes(value[16], &message.crashes) ||
      !ReadQuarantines(value[17], &message.quarantines) ||
      !ReadSoundParts(value[18], &message.sound_parts) ||
      !ReadLimits(value[19], &message.limits))
    return malformed;
  return message;
}

}  // namespace cactusward
