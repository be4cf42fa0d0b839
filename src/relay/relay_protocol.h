// Interface for parsing and building the messages exchanged with callers and
// upstreams. Each platform has its own adapter; the relay does not depend on
// header names.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_PROTOCOL_H_
#define CACTUSWARD_SRC_RELAY_RELAY_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/time.h"
#include "src/edges/http_client.h"
#include "src/edges/http_server.h"

namespace cactusward {

// Request metadata sent by the caller.
struct caller_request {
  std::string attempt_id;                // of this attempt of the caller
  std::string key;                       // API key; empty if none was sent
  std::optional<milliseconds> deadline;  // time that the caller waits
  std::int64_t prompt_tokens = 0;        // 0: not a prompt
  std::int64_t max_output_tokens = 0;
  std::optional<std::int64_t> last_event_id;  // resume the stream after it
  // Identifiers of the parts of the prompt that other requests may share.
  std::vector<std::uint64_t> shared_parts;

  friend bool operator==(const caller_request& a, const caller_request& b) {
    return a.attempt_id == b.attempt_id && a.key == b.key &&
           a.deadline == b.deadline && a.prompt_tokens == b.prompt_tokens &&
           a.max_output_tokens == b.max_output_tokens &&
           a.last_event_id == b.last_event_id &&
           a.shared_parts == b.shared_parts;
  }
};

// An upstream that takes part in the prefill of a prompt.
struct helper_address {
  std::string address;
  std::string reservation;  // id of its memory reservation; empty if none

  friend bool operator==(const helper_address& a, const helper_address& b) {
    return a.address == b.address && a.reservation == b.reservation;
  }
};

// Fields that the relay sets in a request to an upstream.
struct forward_fields {
  std::string upstream_id;   // any other upstream refuses the request
  std::string organisation;  // empty if the request has none
  milliseconds time_left{0};
  std::optional<std::int64_t> last_event_id;
  std::vector<helper_address> helpers;
  std::optional<int> urgency;  // 0..9, 0 is first

  friend bool operator==(const forward_fields& a, const forward_fields& b) {
    return a.upstream_id == b.upstream_id && a.organisation == b.organisation &&
           a.time_left == b.time_left && a.last_event_id == b.last_event_id &&
           a.helpers == b.helpers && a.urgency == b.urgency;
  }
};

// Load that an upstream states.
struct stated_load {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  friend bool operator==(const stated_load& a, const stated_load& b) {
    return a.running == b.running && a.waiting == b.waiting &&
           a.slots == b.slots;
  }
};

// Metadata from the header of an upstream's response.
struct upstream_reply {
  std::string attempt_id;       // of the request that it responds to
  bool not_executed = false;    // the request was not run and will not be
  bool wrong_upstream = false;  // another upstream now has this address
  bool signed_by_upstream = false;
  bool encoded = false;  // content-encoded: not the body the upstream sent
  std::string at_fault;  // address of the upstream named as the cause
  bool leaving = false;  // the upstream will end and wants no more requests
  // Set in a refusal: for how long the upstream wants no requests from this
  // instance.
  std::optional<milliseconds> retry_after;
  // Requests a second that the upstream takes from all instances together.
  std::optional<double> request_limit;
  std::optional<stated_load> load;
  std::optional<milliseconds> cold_remaining;  // how much longer it is cold

  friend bool operator==(const upstream_reply& a, const upstream_reply& b) {
    return a.attempt_id == b.attempt_id && a.not_executed == b.not_executed &&
           a.wrong_upstream == b.wrong_upstream &&
           a.signed_by_upstream == b.signed_by_upstream &&
           a.encoded == b.encoded && a.at_fault == b.at_fault &&
           a.leaving == b.leaving && a.retry_after == b.retry_after &&
           a.request_limit == b.request_limit && a.load == b.load &&
           a.cold_remaining == b.cold_remaining;
  }
};

// KV memory to be reserved at an upstream.
struct reservation_request {
  std::string id;
  std::int64_t tokens = 0;
  milliseconds ttl{0};  // from the arrival of the request

  friend bool operator==(const reservation_request& a,
                         const reservation_request& b) {
    return a.id == b.id && a.tokens == b.tokens && a.ttl == b.ttl;
  }
};

// Implementations are stateless. Thread-safe.
class relay_protocol {
 public:
  virtual ~relay_protocol() = default;

  virtual caller_request ParseRequest(const http_request& request) const = 0;
  // Builds the request to an upstream. Method, target, body and header fields
  // are copied, except for the connection's fields, the API key and the fields
  // set from `fields`.
  virtual http_request MakeUpstreamRequest(
      const http_request& request,
      const forward_fields& fields) const = 0;
  virtual upstream_reply ParseReply(
      int status,
      const http::response_header<>& header) const = 0;
  virtual outgoing_request MakeReserveRequest(
      const reservation_request& reservation) const = 0;
  virtual outgoing_request MakeReleaseRequest(const std::string& id) const = 0;
};

// Removes the hop-by-hop header fields. Thread-safe.
void RemoveConnectionFields(http::fields* fields);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_PROTOCOL_H_
