// Fleet configuration: one set of defaults and a short list of exceptions, each
// with its reason. Values are immutable once parsed.
#ifndef CACTUSWARD_CONFIG_H_
#define CACTUSWARD_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cactusward/result.h"
#include "cactusward/time.h"

namespace cactusward {

// Class name under which calls of plain services are measured.
inline constexpr std::string_view kPlainCallClass = "call";

// Limits for requests of one class of prompt length.
struct length_class {
  std::string name;
  std::int64_t max_prompt_tokens = 0;  // inclusive upper bound of the class
  milliseconds first_token{0};         // objective, for the burn report
  milliseconds time_limit{0};          // maximum duration of a request
  int max_queued = 0;                  // per instance
  bool is_long = false;  // confined to the `long_share` of upstreams

  friend bool operator==(const length_class& a, const length_class& b) {
    return a.name == b.name && a.max_prompt_tokens == b.max_prompt_tokens &&
           a.first_token == b.first_token && a.time_limit == b.time_limit &&
           a.max_queued == b.max_queued && a.is_long == b.is_long;
  }
};

// Fleet-wide limits of one organisation.
struct organisation_limits {
  int max_concurrent = 0;
  int max_queued = 0;  // per instance
  std::int64_t tokens_per_second = 0;

  friend bool operator==(const organisation_limits& a,
                         const organisation_limits& b) {
    return a.max_concurrent == b.max_concurrent &&
           a.max_queued == b.max_queued &&
           a.tokens_per_second == b.tokens_per_second;
  }
};

// An organisation, the digest of its key and its limits, with exceptions
// applied.
struct organisation {
  std::string name;
  std::string key_sha256;  // lower-case hexadecimal
  organisation_limits limits;

  friend bool operator==(const organisation& a, const organisation& b) {
    return a.name == b.name && a.key_sha256 == b.key_sha256 &&
           a.limits == b.limits;
  }
};

enum class service_kind { kModel, kPlain };

// A call of a plain service.
struct service_call {
  std::string name;
  bool repeatable = true;
  milliseconds time_limit{0};

  friend bool operator==(const service_call& a, const service_call& b) {
    return a.name == b.name && a.repeatable == b.repeatable &&
           a.time_limit == b.time_limit;
  }
};

// A group of interchangeable upstreams.
struct upstream_service {
  std::string name;
  service_kind kind = service_kind::kModel;
  std::string model;  // kModel only
  std::int64_t prefill_tokens_per_second = 0;
  std::int64_t kv_capacity_tokens = 0;
  std::vector<service_call> calls;  // kPlain only
  bool checks_fencing = false;

  friend bool operator==(const upstream_service& a, const upstream_service& b) {
    return a.name == b.name && a.kind == b.kind && a.model == b.model &&
           a.prefill_tokens_per_second == b.prefill_tokens_per_second &&
           a.kv_capacity_tokens == b.kv_capacity_tokens && a.calls == b.calls &&
           a.checks_fencing == b.checks_fencing;
  }
};

struct routing_settings {
  std::string policy;     // a name that MakeRoutingPolicy accepts
  double long_share = 0;  // of a service's upstreams, for long requests, 0..1
  int candidates = 0;     // upstreams compared for one placement
  int max_in_flight = 0;  // requests of one instance at one upstream

  friend bool operator==(const routing_settings& a, const routing_settings& b) {
    return a.policy == b.policy && a.long_share == b.long_share &&
           a.candidates == b.candidates && a.max_in_flight == b.max_in_flight;
  }
};

struct request_limits {
  std::int64_t max_prompt_tokens = 0;
  std::int64_t max_body_bytes = 0;
  int max_output_tokens = 0;
  milliseconds min_deadline{0};
  milliseconds max_deadline{0};

  friend bool operator==(const request_limits& a, const request_limits& b) {
    return a.max_prompt_tokens == b.max_prompt_tokens &&
           a.max_body_bytes == b.max_body_bytes &&
           a.max_output_tokens == b.max_output_tokens &&
           a.min_deadline == b.min_deadline && a.max_deadline == b.max_deadline;
  }
};

struct recovery_settings {
  int max_attempts = 0;
  double retry_ratio = 0;  // retries allowed per first attempt
  milliseconds suspect_period{0};
  double max_ejected_share = 0;
  milliseconds claim_retention{0};
  int claim_buckets = 0;            // 0: one write per claim
  int claim_writes_per_second = 0;  // of all buckets together

  friend bool operator==(const recovery_settings& a,
                         const recovery_settings& b) {
    return a.max_attempts == b.max_attempts && a.retry_ratio == b.retry_ratio &&
           a.suspect_period == b.suspect_period &&
           a.max_ejected_share == b.max_ejected_share &&
           a.claim_retention == b.claim_retention &&
           a.claim_buckets == b.claim_buckets &&
           a.claim_writes_per_second == b.claim_writes_per_second;
  }
};

// A service-level objective: the share of requests that must be good.
struct objective {
  std::string length_class;  // or "*"
  std::string organisation;  // or "*"
  double target = 0;         // 0..1, exclusive

  friend bool operator==(const objective& a, const objective& b) {
    return a.length_class == b.length_class &&
           a.organisation == b.organisation && a.target == b.target;
  }
};

// An exception to the defaults, kept for display. It is already applied to the
// organisations and services of the same fleet_config.
struct config_exception {
  std::string reason;
  std::string organisation;
  std::string service;
  std::string call;

  friend bool operator==(const config_exception& a, const config_exception& b) {
    return a.reason == b.reason && a.organisation == b.organisation &&
           a.service == b.service && a.call == b.call;
  }
};

// A complete valid configuration.
struct fleet_config {
  std::vector<length_class> classes;  // by ascending max_prompt_tokens
  std::vector<organisation> organisations;
  std::vector<upstream_service> services;
  std::vector<objective> objectives;
  std::vector<config_exception> exceptions;
  routing_settings routing;
  request_limits limits;
  recovery_settings recovery;

  friend bool operator==(const fleet_config& a, const fleet_config& b) {
    return a.classes == b.classes && a.organisations == b.organisations &&
           a.services == b.services && a.objectives == b.objectives &&
           a.exceptions == b.exceptions && a.routing == b.routing &&
           a.limits == b.limits && a.recovery == b.recovery;
  }

  // Index of the class of a prompt. A prompt beyond the last bound belongs to
  // the last class. Precondition: `classes` is not empty. Thread-safe.
  std::size_t ClassOf(std::int64_t prompt_tokens) const;
  // The organisation whose key has this digest, or null. Thread-safe.
  const organisation* FindOrganisationByKeyDigest(
      std::string_view key_sha256) const;
  // The service that serves `model`, or null. Thread-safe.
  const upstream_service* FindModel(std::string_view model) const;
  // The service called `name`, or null. Thread-safe.
  const upstream_service* FindService(std::string_view name) const;
};

// The call `name` of `service`, or null. Thread-safe.
const service_call* FindCall(const upstream_service& service,
                             std::string_view name);

// Parses and validates a complete configuration document.
// @param text JSON. Unknown fields, missing reasons and values out of range are
//     rejected.
// @return the configuration, or kConfigInvalid with every error found, one per
//     line: path of the field, value found, values allowed.
// Thread-safe.
result<fleet_config> ParseFleetConfig(std::string_view text);

// An accepted configuration as stored and as exchanged between instances.
struct config_revision {
  std::int64_t number = 0;  // increases by one with each accepted change
  std::string digest;       // SHA-256 of `document`
  std::string nonce;        // identifies the edit if its response is lost
  std::string author;
  std::string document;  // JSON as the operator wrote it

  friend bool operator==(const config_revision& a, const config_revision& b) {
    return a.number == b.number && a.digest == b.digest && a.nonce == b.nonce &&
           a.author == b.author && a.document == b.document;
  }
};

// Encodes a revision as JSON for the key-value service and for peers.
// Thread-safe.
std::string EncodeRevision(const config_revision& revision);
// Decodes the output of EncodeRevision and verifies the digest.
// @return kConfigInvalid for anything else. Thread-safe.
result<config_revision> DecodeRevision(std::string_view text);

}  // namespace cactusward

#endif  // CACTUSWARD_CONFIG_H_
