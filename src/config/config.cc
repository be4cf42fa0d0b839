#include "cactusward/config.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cactusward/hash.h"
#include "src/kernel/nesting.h"

namespace cactusward {

std::size_t fleet_config::ClassOf(std::int64_t prompt_tokens) const {
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (prompt_tokens <= classes[i].max_prompt_tokens)
      return i;
  }
  return classes.size() - 1;
}

const organisation* fleet_config::FindOrganisationByKeyDigest(
    std::string_view key_sha256) const {
  for (const organisation& candidate : organisations) {
    if (EqualConstantTime(candidate.key_sha256, key_sha256))
      return &candidate;
  }
  return nullptr;
}

const upstream_service* fleet_config::FindModel(std::string_view model) const {
  for (const upstream_service& service : services) {
    if (service.kind == service_kind::kModel && service.model == model)
      return &service;
  }
  return nullptr;
}

const upstream_service* fleet_config::FindService(std::string_view name) const {
  for (const upstream_service& service : services) {
    if (service.name == name)
      return &service;
  }
  return nullptr;
}

const service_call* FindCall(const upstream_service& service,
                             std::string_view name) {
  for (const service_call& call : service.calls) {
    if (call.name == name)
      return &call;
  }
  return nullptr;
}

std::string EncodeRevision(const config_revision& revision) {
  const nlohmann::json json = {{"revision", revision.number},
                               {"digest", revision.digest},
                               {"nonce", revision.nonce},
                               {"author", revision.author},
                               {"document", revision.document}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<config_revision> DecodeRevision(std::string_view text) {
  const auto invalid = [](const char* why) {
    return result<config_revision>(error_kind::kConfigInvalid, why);
  };
  if (IsJsonTooDeep(text))
    return invalid("revision is nested too deeply");
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object())
    return invalid("revision is not a JSON object");
  const auto string_or_empty = [&json](const char* name) {
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
  };
  const auto number = json.find("revision");
  if (number == json.end() || !number->is_number_integer())
    return invalid("revision has no number");
  config_revision revision;
  revision.number = number->get<std::int64_t>();
  revision.digest = string_or_empty("digest");
  revision.nonce = string_or_empty("nonce");
  revision.author = string_or_empty("author");
  revision.document = string_or_empty("document");
  if (revision.number <= 0 || revision.digest != Sha256Hex(revision.document))
    return invalid("revision's digest does not match its document");
  return revision;
}

}  // namespace cactusward
