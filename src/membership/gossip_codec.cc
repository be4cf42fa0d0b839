// CBOR encoding of gossip messages. Structures are encoded as positional arrays
// to keep datagrams small. A later format may only append fields: a reader
// ignores what follows the fields that it knows, and what it cannot read.
#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

#include "cactusward/membership.h"
#include "src/kernel/cbor.h"

namespace cactusward {
namespace {

using nlohmann::json;

constexpr std::size_t kBaseMessageFields = 21;
// The first format with evacuations.
constexpr int kEvacuationFormat = 9;
constexpr std::size_t kMemberFields = 6;
// Fields of later formats that are kept for one member.
constexpr std::size_t kMaxExtensionBytes = 256;
// Precedes the newest format that the sender reads in the target of messages of
// the base format, which has no other field for it. Releases that know only the
// base format use the target of ping requests alone.
constexpr std::string_view kFormatAnnouncement = "reads-format-";

bool IsInteger(const json& value) {
  return value.is_number_integer();
}

// Preconditions of both: IsInteger(value). Values out of range become the
// nearest one.
std::int64_t ToInt64(const json& value) {
  constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();
  if (value.is_number_unsigned() &&
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(kMax))
    return kMax;
  return value.get<std::int64_t>();
}

int ToInt(const json& value) {
  return static_cast<int>(
      std::clamp<std::int64_t>(ToInt64(value), std::numeric_limits<int>::min(),
                               std::numeric_limits<int>::max()));
}

json MemberToJson(const member& m, int format) {
  json encoded = json::array({m.name, m.incarnation, static_cast<int>(m.state),
                              m.address, m.peer_address, m.availability_zone});
  if (format == kBaseGossipFormat || m.extensions.empty())
    return encoded;
  json extensions = ParseCbor(m.extensions);
  if (extensions.is_array()) {
    for (json& field : extensions)
      encoded.push_back(std::move(field));
  }
  return encoded;
}

bool ReadMember(const json& value, member* out) {
  if (!value.is_array() || value.size() < kMemberFields ||
      !value[0].is_string() || !value[1].is_number_unsigned() ||
      !value[2].is_number_unsigned() || !value[3].is_string() ||
      !value[4].is_string() || !value[5].is_string())
    return false;
  const auto state = value[2].get<std::uint64_t>();
  if (state > static_cast<std::uint64_t>(member_state::kLeft))
    return false;
  *out = {value[0].get<std::string>(),
          value[1].get<std::uint64_t>(),
          static_cast<member_state>(state),
          value[3].get<std::string>(),
          value[4].get<std::string>(),
          value[5].get<std::string>(),
          {}};
  if (value.size() > kMemberFields) {
    json extensions = json::array();
    for (std::size_t i = kMemberFields; i < value.size(); ++i)
      extensions.push_back(value[i]);
    json::to_cbor(extensions, out->extensions);
    if (out->extensions.size() > kMaxExtensionBytes)
      out->extensions.clear();
  }
  return !out->name.empty();
}

// Whether `item` is an array that begins with `types.size()` fields: 'u' for
// an unsigned integer, 'i' for an integer, 'b' for a boolean, 's' for a string,
// 'a' for a list, '*' for anything.
bool HasFields(const json& item, std::string_view types) {
  if (!item.is_array() || item.size() < types.size())
    return false;
  for (std::size_t i = 0; i < types.size(); ++i) {
    const json& field = item[i];
    const bool fits =
        types[i] == 'u'   ? field.is_number_unsigned()
        : types[i] == 'i' ? IsInteger(field)
        : types[i] == 'b' ? field.is_boolean()
        : types[i] == 's' ? field.is_string()
        : types[i] == 'a'
            ? field.is_array() && field.size() <= kMaxGossipListItems
            : true;
    if (!fits)
      return false;
  }
  return true;
}

bool ReadSuspect(const json& item, suspect_report* out) {
  if (!HasFields(item, "uuib"))
    return false;
  *out = {item[0].get<std::uint64_t>(), item[1].get<std::uint32_t>(),
          ToInt64(item[2]), item[3].get<bool>()};
  return true;
}

// Reads an [upstream, amount] pair.
template <typename Report>
bool ReadPair(const json& item, Report* out) {
  if (!HasFields(item, "ui"))
    return false;
  *out = {item[0].get<std::uint32_t>(), ToInt64(item[1])};
  return true;
}

bool ReadLoad(const json& item, upstream_load* out) {
  if (!HasFields(item, "uuuuuuu"))
    return false;
  *out = {item[0].get<std::uint32_t>(),
          ToInt(item[1]),
          ToInt(item[2]),
          ToInt64(item[3]),
          ToInt64(item[4]),
          ToInt64(item[5]),
          ToInt64(item[6])};
  return true;
}

bool ReadChange(const json& item, catalog_change* out) {
  if (!HasFields(item, "si*") || (!item[2].is_string() && !item[2].is_null()))
    return false;
  out->id = item[0].get<std::string>();
  out->revision = ToInt64(item[1]);
  if (item[2].is_string())
    out->document = item[2].get<std::string>();
  return true;
}

bool ReadNumbers(const json& value, std::vector<std::uint64_t>* out) {
  if (!value.is_array() || value.size() > kMaxGossipListItems)
    return false;
  for (const json& item : value) {
    if (!item.is_number_unsigned())
      return false;
    out->push_back(item.get<std::uint64_t>());
  }
  return true;
}

bool ReadCrash(const json& item, crash_report* out) {
  if (!HasFields(item, "uia"))
    return false;
  out->upstream = item[0].get<std::uint32_t>();
  out->age_ms = ToInt64(item[1]);
  for (const json& entry : item[2]) {
    crash_suspect suspect;
    if (!HasFields(entry, "ua") ||
        !ReadNumbers(entry[1], &suspect.shared_parts))
      return false;
    suspect.fingerprint = entry[0].get<std::uint64_t>();
    out->suspects.push_back(std::move(suspect));
  }
  return true;
}

bool ReadQuarantine(const json& item, quarantine_report* out) {
  if (!HasFields(item, "aiii") || !ReadNumbers(item[0], &out->parts))
    return false;
  out->crashes = ToInt64(item[1]);
  out->first_crash_age_ms = ToInt64(item[2]);
  out->last_crash_age_ms = ToInt64(item[3]);
  return true;
}

bool ReadSoundPart(const json& item, sound_part_report* out) {
  if (!HasFields(item, "ui"))
    return false;
  *out = {item[0].get<std::uint64_t>(), ToInt64(item[1])};
  return true;
}

bool ReadLimit(const json& item, limit_report* out) {
  if (!HasFields(item, "uii"))
    return false;
  *out = {item[0].get<std::uint32_t>(), ToInt64(item[1]), ToInt64(item[2])};
  return true;
}

bool ReadEvacuation(const json& item, evacuation_report* out) {
  if (!HasFields(item, "siib"))
    return false;
  *out = {item[0].get<std::string>(),
          {ToInt64(item[1]), ToInt64(item[2])},
          item[3].get<bool>()};
  return true;
}

// Reads what is readable of a list. @return the number of items left out, or 1
// if there is no such list.
template <typename Item>
int ReadList(const json& value,
             bool (*read)(const json&, Item*),
             std::vector<Item>* out) {
  if (!value.is_array() || value.size() > kMaxGossipListItems)
    return 1;
  int left_out = 0;
  for (const json& item : value) {
    Item next;
    if (read(item, &next))
      out->push_back(std::move(next));
    else
      ++left_out;
  }
  return left_out;
}

// @return 1 if the field cannot be read, which leaves `out` unchanged.
int ReadNumber(const json& value, std::int64_t* out) {
  if (!IsInteger(value))
    return 1;
  *out = ToInt64(value);
  return 0;
}

int ReadText(const json& value, std::string* out) {
  if (!value.is_string())
    return 1;
  *out = value.get<std::string>();
  return 0;
}

// Reads the changes of upstreams. If one is unreadable, the others do not
// complete the sender's position either.
int ReadChanges(const json& after, const json& list, gossip_message* out) {
  int unreadable = ReadNumber(after, &out->changes_after);
  unreadable += ReadList(list, ReadChange, &out->changes);
  if (unreadable > 0) {
    out->changes_after = -1;
    out->changes.clear();
  }
  return unreadable;
}

// Reads the fields that follow those of the base format.
int ReadExtendedFields(const json& value, gossip_message* out) {
  int unreadable = 0;
  std::size_t next = kBaseMessageFields;
  if (next < value.size()) {
    std::int64_t newest = out->sender_format;
    unreadable += ReadNumber(value[next++], &newest);
    out->sender_format = std::max(
        out->sender_format, static_cast<int>(std::min<std::int64_t>(
                                newest, std::numeric_limits<int>::max())));
  }
  if (next < value.size())
    unreadable += ReadNumber(value[next++], &out->order);
  if (next < value.size()) {
    const json& rebroadcast = value[next++];
    if (rebroadcast.is_binary())
      out->rebroadcast.assign(rebroadcast.get_binary().begin(),
                              rebroadcast.get_binary().end());
    else
      ++unreadable;
  }
  if (next < value.size()) {
    const int left_out =
        ReadList(value[next++], ReadEvacuation, &out->evacuations);
    out->has_evacuations = left_out == 0;
    unreadable += left_out;
  }
  return unreadable;
}

// Reads the announcement from the target of a message of the base format.
int TakeAnnouncedFormat(std::string* target) {
  const std::string_view text = *target;
  if (text.substr(0, kFormatAnnouncement.size()) != kFormatAnnouncement)
    return kBaseGossipFormat;
  int announced = kBaseGossipFormat;
  std::from_chars(text.data() + kFormatAnnouncement.size(),
                  text.data() + text.size(), announced);
  target->clear();
  return std::max(announced, kBaseGossipFormat);
}

json CrashToJson(const crash_report& report) {
  json suspects = json::array();
  for (const crash_suspect& suspect : report.suspects)
    suspects.push_back(
        json::array({suspect.fingerprint, suspect.shared_parts}));
  return json::array({report.upstream, report.age_ms, std::move(suspects)});
}

}  // namespace

std::string EncodeGossip(const gossip_message& message, int format) {
  json members = json::array();
  for (const member& item : message.members)
    members.push_back(MemberToJson(item, format));
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
  std::string target = message.target;
  if (format == kBaseGossipFormat && message.kind != gossip_kind::kPingRequest)
    target = std::string(kFormatAnnouncement) +
             std::to_string(message.sender_format);
  json encoded = json::array({format,
                              static_cast<int>(message.kind),
                              message.sequence,
                              MemberToJson(message.sender, format),
                              std::move(target),
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
  if (format > kBaseGossipFormat) {
    encoded.push_back(message.sender_format);
    encoded.push_back(message.order);
    encoded.push_back(json::binary(std::vector<std::uint8_t>(
        message.rebroadcast.begin(), message.rebroadcast.end())));
  }
  if (format >= kEvacuationFormat) {
    json evacuations = json::array();
    for (const evacuation_report& item : message.evacuations)
      evacuations.push_back(
          json::array({item.zone, item.position.era, item.position.revision,
                       item.evacuated}));
    encoded.push_back(std::move(evacuations));
  }
  std::string bytes;
  json::to_cbor(encoded, bytes);
  return bytes;
}

result<gossip_message> DecodeGossip(std::string_view bytes) {
  const json value = ParseCbor(bytes);
  gossip_message message;
  if (!value.is_array() || value.size() < kBaseMessageFields ||
      !IsInteger(value[0]) || ToInt(value[0]) < kBaseGossipFormat ||
      !ReadMember(value[3], &message.sender))
    return {error_kind::kBadRequest, "malformed gossip message"};
  int unreadable = 0;
  // A kind of a later format may ask for something, but tells the same.
  message.kind = gossip_kind::kUpdate;
  if (value[1].is_number_unsigned() &&
      value[1].get<std::uint64_t>() <=
          static_cast<std::uint64_t>(gossip_kind::kUpdate))
    message.kind = static_cast<gossip_kind>(value[1].get<int>());
  else
    ++unreadable;
  if (value[2].is_number_unsigned())
    message.sequence = value[2].get<std::uint32_t>();
  else
    ++unreadable;
  unreadable += ReadText(value[4], &message.target);
  unreadable += ReadText(value[5], &message.target_address);
  unreadable += ReadNumber(value[6], &message.config_number);
  unreadable += ReadNumber(value[7], &message.confirmed_age_ms);
  unreadable += ReadList(value[8], ReadMember, &message.members);
  unreadable += ReadList(value[9], ReadSuspect, &message.suspects);
  unreadable += ReadList(value[10], ReadPair, &message.in_flight);
  unreadable += ReadList(value[11], ReadPair, &message.leaving);
  unreadable += ReadNumber(value[12], &message.catalog_position.revision);
  unreadable += ReadList(value[13], ReadLoad, &message.loads);
  unreadable += ReadChanges(value[14], value[15], &message);
  unreadable += ReadList(value[16], ReadCrash, &message.crashes);
  unreadable += ReadList(value[17], ReadQuarantine, &message.quarantines);
  unreadable += ReadList(value[18], ReadSoundPart, &message.sound_parts);
  unreadable += ReadList(value[19], ReadLimit, &message.limits);
  unreadable += ReadNumber(value[20], &message.catalog_position.era);
  if (!IsInteger(value[12]) || !IsInteger(value[20]))
    message.catalog_position = {};
  message.sender_format = std::max(ToInt(value[0]), kBaseGossipFormat);
  message.has_evacuations = false;
  if (message.sender_format > kBaseGossipFormat)
    unreadable += ReadExtendedFields(value, &message);
  else if (message.kind != gossip_kind::kPingRequest)
    message.sender_format = TakeAnnouncedFormat(&message.target);
  message.unreadable_fields = unreadable;
  return message;
}

}  // namespace cactusward
