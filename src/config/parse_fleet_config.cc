// Parses and validates the configuration document.
#include <algorithm>
#include <set>

#include "cactusward/config.h"
#include "cactusward/routing.h"
#include "src/config/json_reader.h"
#include "src/kernel/nesting.h"

namespace cactusward {
namespace {

using internal::object_reader;
using internal::validation_errors;

constexpr std::size_t kMinReasonBytes = 10;
constexpr std::int64_t kMaxTokens = 4'000'000;
constexpr std::int64_t kMaxDurationMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxClaimBuckets = 4096;
constexpr std::int64_t kMaxRate = 1'000'000'000;
constexpr std::int64_t kMaxBodyBytes = 64LL * 1024 * 1024;
constexpr std::size_t kDigestHexLength = 64;

milliseconds ReadMilliseconds(object_reader& reader,
                              std::string_view name,
                              std::int64_t fallback,
                              std::int64_t min = 1) {
  return milliseconds(reader.Integer(name, fallback, min, kMaxDurationMs));
}

length_class ReadClass(object_reader& reader) {
  length_class result;
  result.name = reader.RequiredString("name");
  result.max_prompt_tokens =
      reader.Integer("max_prompt_tokens", 0, 1, kMaxTokens);
  result.first_token = ReadMilliseconds(reader, "first_token_ms", 960);
  result.time_limit = ReadMilliseconds(reader, "time_limit_ms", 60'000);
  result.max_queued =
      static_cast<int>(reader.Integer("max_queued", 512, 0, kMaxCount));
  result.is_long = reader.Boolean("long", false);
  if (result.max_prompt_tokens == 0)
    reader.AddError("max_prompt_tokens", "nothing", "a positive integer");
  reader.RejectUnknownFields();
  return result;
}

void ReadClasses(object_reader& defaults, fleet_config* config) {
  for (object_reader& reader : defaults.Array("classes")) {
    length_class next = ReadClass(reader);
    if (!config->classes.empty() &&
        next.max_prompt_tokens <= config->classes.back().max_prompt_tokens)
      reader.AddError("max_prompt_tokens",
                      std::to_string(next.max_prompt_tokens),
                      "more than the class before");
    config->classes.push_back(std::move(next));
  }
  if (config->classes.empty())
    defaults.AddError("classes", "no class", "at least one class");
}

// Fields that are absent from `reader` keep their value in `limits`.
void ReadOrganisationLimits(object_reader& reader,
                            organisation_limits* limits) {
  limits->max_concurrent = static_cast<int>(
      reader.Integer("max_concurrent", limits->max_concurrent, 1, kMaxCount));
  limits->max_queued = static_cast<int>(
      reader.Integer("max_queued", limits->max_queued, 0, kMaxCount));
  limits->tokens_per_second = reader.Integer(
      "tokens_per_second", limits->tokens_per_second, 1, kMaxRate);
}

void ReadRouting(object_reader reader, routing_settings* routing) {
  routing->policy =
      reader.Choice("policy", "first_token", RoutingPolicyNames());
  routing->long_share = reader.Number("long_share", 1.0, 0.0, 1.0);
  routing->candidates =
      static_cast<int>(reader.Integer("candidates", 4, 1, 64));
  routing->max_in_flight =
      static_cast<int>(reader.Integer("max_in_flight", 64, 1, kMaxCount));
  reader.RejectUnknownFields();
}

void ReadLimits(object_reader reader, request_limits* limits) {
  limits->max_prompt_tokens =
      reader.Integer("max_prompt_tokens", 1'000'000, 1, kMaxTokens);
  limits->max_body_bytes =
      reader.Integer("max_body_bytes", 8LL * 1024 * 1024, 1024, kMaxBodyBytes);
  limits->max_output_tokens =
      static_cast<int>(reader.Integer("max_output_tokens", 8192, 1, kMaxCount));
  limits->min_deadline = ReadMilliseconds(reader, "min_deadline_ms", 10);
  limits->max_deadline = ReadMilliseconds(reader, "max_deadline_ms", 3'600'000);
  if (limits->min_deadline > limits->max_deadline)
    reader.AddError("min_deadline_ms",
                    std::to_string(limits->min_deadline.count()),
                    "at most max_deadline_ms");
  reader.RejectUnknownFields();
}

void ReadRecovery(object_reader reader, recovery_settings* recovery) {
  recovery->max_attempts =
      static_cast<int>(reader.Integer("max_attempts", 3, 1, 10));
  recovery->retry_ratio = reader.Number("retry_ratio", 0.1, 0.0, 1.0);
  recovery->suspect_period =
      ReadMilliseconds(reader, "suspect_period_ms", 600'000);
  recovery->max_ejected_share =
      reader.Number("max_ejected_share", 0.3, 0.0, 1.0);
  recovery->claim_retention =
      ReadMilliseconds(reader, "claim_retention_ms", 3'600'000, 1000);
  recovery->claim_buckets =
      static_cast<int>(reader.Integer("claim_buckets", 1, 0, kMaxClaimBuckets));
  recovery->claim_writes_per_second = static_cast<int>(
      reader.Integer("claim_writes_per_second", 250, 1, kMaxCount));
  reader.RejectUnknownFields();
}

service_call ReadCall(object_reader& reader) {
  service_call call;
  call.name = reader.RequiredString("name");
  call.repeatable = reader.Boolean("repeatable", true);
  call.time_limit = ReadMilliseconds(reader, "time_limit_ms", 10'000);
  reader.RejectUnknownFields();
  return call;
}

upstream_service ReadService(object_reader& reader) {
  upstream_service service;
  service.name = reader.RequiredString("name");
  const std::string kind = reader.Choice("kind", "model", {"model", "plain"});
  service.checks_fencing = reader.Boolean("checks_fencing", false);
  if (kind == "plain") {
    service.kind = service_kind::kPlain;
    for (object_reader& call : reader.Array("calls"))
      service.calls.push_back(ReadCall(call));
  } else {
    service.model = reader.RequiredString("model");
    service.prefill_tokens_per_second =
        reader.Integer("prefill_tokens_per_second", 20'000, 1, kMaxRate);
    service.kv_capacity_tokens =
        reader.Integer("kv_capacity_tokens", 450'000, 1, kMaxRate);
  }
  reader.RejectUnknownFields();
  return service;
}

organisation ReadOrganisation(object_reader& reader,
                              const organisation_limits& defaults) {
  organisation result;
  result.name = reader.RequiredString("name");
  result.key_sha256 = reader.RequiredString("key_sha256", kDigestHexLength);
  const bool is_digest =
      result.key_sha256.size() == kDigestHexLength &&
      std::all_of(result.key_sha256.begin(), result.key_sha256.end(),
                  [](char c) {
                    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
                  });
  if (!result.key_sha256.empty() && !is_digest)
    reader.AddError("key_sha256", "no digest",
                    "64 lower-case hexadecimal digits");
  result.limits = defaults;
  reader.RejectUnknownFields();
  return result;
}

objective ReadObjective(object_reader& reader) {
  objective result;
  result.length_class = reader.String("class", "*", 1);
  result.organisation = reader.String("organisation", "*", 1);
  result.target = reader.Number("target", 0.95, 0.01, 0.99999);
  reader.RejectUnknownFields();
  return result;
}

template <typename T>
T* FindByName(std::vector<T>* items, const std::string& name) {
  for (T& item : *items) {
    if (item.name == name)
      return &item;
  }
  return nullptr;
}

void ApplyToCall(object_reader& match,
                 object_reader& set,
                 const config_exception& exception,
                 fleet_config* config) {
  auto* service = FindByName(&config->services, exception.service);
  if (!service)
    return match.AddError("service", exception.service, "a configured service");
  if (exception.call.empty()) {
    service->checks_fencing =
        set.Boolean("checks_fencing", service->checks_fencing);
    return;
  }
  auto* call = FindByName(&service->calls, exception.call);
  if (!call)
    return match.AddError("call", exception.call, "a call of this service");
  call->repeatable = set.Boolean("repeatable", call->repeatable);
  call->time_limit =
      ReadMilliseconds(set, "time_limit_ms", call->time_limit.count());
}

// Reads one exception and applies it to the organisation, service or call that
// it matches.
void ApplyException(object_reader& reader, fleet_config* config) {
  config_exception exception;
  exception.reason = reader.RequiredString("reason", kMinReasonBytes);
  object_reader match = reader.Object("match");
  object_reader set = reader.Object("set");
  exception.organisation = match.String("organisation", "");
  exception.service = match.String("service", "");
  exception.call = match.String("call", "");
  if (!exception.organisation.empty()) {
    if (auto* found =
            FindByName(&config->organisations, exception.organisation))
      ReadOrganisationLimits(set, &found->limits);
    else
      match.AddError("organisation", exception.organisation,
                     "a configured organisation");
  } else if (!exception.service.empty()) {
    ApplyToCall(match, set, exception, config);
  } else {
    reader.AddError("match", "nothing", "an organisation or a service");
  }
  match.RejectUnknownFields();
  set.RejectUnknownFields();
  reader.RejectUnknownFields();
  config->exceptions.push_back(std::move(exception));
}

template <typename T>
void CheckUnique(object_reader& root,
                 std::string_view field,
                 const std::vector<T>& items) {
  std::set<std::string> names;
  for (const T& item : items) {
    if (!names.insert(item.name).second)
      root.AddError(field, "\"" + item.name + "\" twice", "unique names");
  }
}

void CheckObjectives(object_reader& root, const fleet_config& config) {
  for (const objective& objective : config.objectives) {
    const bool known_class =
        objective.length_class == "*" ||
        objective.length_class == kPlainCallClass ||
        std::any_of(config.classes.begin(), config.classes.end(),
                    [&objective](const length_class& c) {
                      return c.name == objective.length_class;
                    });
    if (!known_class)
      root.AddError("objectives", "class \"" + objective.length_class + "\"",
                    "a configured class, call or *");
  }
}

}  // namespace

result<fleet_config> ParseFleetConfig(std::string_view text) {
  if (IsJsonTooDeep(text))
    return {error_kind::kConfigInvalid, "document: nested too deeply"};
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded())
    return {error_kind::kConfigInvalid, "document: not JSON"};
  validation_errors errors;
  fleet_config config;
  object_reader root(json, "", &errors);
  object_reader defaults = root.Object("defaults");
  ReadClasses(defaults, &config);
  organisation_limits organisation_defaults{256, 256, 1'000'000};
  object_reader limits = defaults.Object("organisation");
  ReadOrganisationLimits(limits, &organisation_defaults);
  limits.RejectUnknownFields();
  ReadRouting(defaults.Object("routing"), &config.routing);
  ReadLimits(defaults.Object("limits"), &config.limits);
  ReadRecovery(defaults.Object("recovery"), &config.recovery);
  if (config.recovery.claim_retention < config.limits.max_deadline)
    defaults.AddError("recovery.claim_retention_ms",
                      std::to_string(config.recovery.claim_retention.count()),
                      "at least limits.max_deadline_ms");
  defaults.RejectUnknownFields();
  for (object_reader& reader : root.Array("organisations"))
    config.organisations.push_back(
        ReadOrganisation(reader, organisation_defaults));
  for (object_reader& reader : root.Array("services"))
    config.services.push_back(ReadService(reader));
  for (object_reader& reader : root.Array("objectives"))
    config.objectives.push_back(ReadObjective(reader));
  CheckUnique(root, "organisations", config.organisations);
  CheckUnique(root, "services", config.services);
  CheckObjectives(root, config);
  for (object_reader& reader : root.Array("exceptions"))
    ApplyException(reader, &config);
  root.RejectUnknownFields();
  if (!errors.empty())
    return {error_kind::kConfigInvalid, errors.ToString()};
  return config;
}

}  // namespace cactusward
