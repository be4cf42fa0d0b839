// How requests and answers of the outside are read and written. One adapter
// implements this for each outside; the relay knows no header by name.
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

// What a caller's request says of itself.
struct caller_request {
  std::string attempt_id;                     // of this attempt of the caller
  std::string key;                            // empty: none was sent
  std::optional<milliseconds> deadline;       // how long the caller waits
  std::int64_t prompt_tokens = 0;             // 0: not a prompt
  std::int64_t max_output_tokens = 0;         // the longest answer
  std::optional<std::int64_t> last_event_id;  // the stream goes on after it

  friend bool operator==(const caller_request& a, const caller_request& b) {
    return a.attempt_id == b.attempt_id && a.key == b.key &&
           a.deadline == b.deadline && a.prompt_tokens == b.prompt_tokens &&
           a.max_output_tokens == b.max_output_tokens &&
           a.last_event_id == b.last_event_id;
  }
};

// Another upstream that reads a part of the prompt.
struct helper_address {
  std::string address;
  std::string reservation;  // of memory there; empty: none

  friend bool operator==(const helper_address& a, const helper_address& b) {
    return a.address == b.address && a.reservation == b.reservation;
  }
};

// What the relay adds to a request on its way to an upstream.
struct forward_fields {
  std::string upstream_id;   // any other upstream refuses the request
  std::string organisation;  // empty: the request has none
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

// What the header of an upstream's answer says.
struct upstream_reply {
  std::string attempt_id;       // of the request that it answers
  bool not_executed = false;    // the request was not run and will not be
  bool wrong_upstream = false;  // another upstream has this address now
  bool signed_by_upstream = false;
  bool encoded = false;  // the body is not the upstream's own
  std::string at_fault;  // address of the upstream that a failure names

  friend bool operator==(const upstream_reply& a, const upstream_reply& b) {
    return a.attempt_id == b.attempt_id && a.not_executed == b.not_executed &&
           a.wrong_upstream == b.wrong_upstream &&
           a.signed_by_upstream == b.signed_by_upstream &&
           a.encoded == b.encoded && a.at_fault == b.at_fault;
  }
};

// Memory to be set aside at an upstream.
struct reservation_request {
  std::string id;
  std::int64_t tokens = 0;
  milliseconds ttl{0};  // from its arrival

  friend bool operator==(const reservation_request& a,
                         const reservation_request& b) {
    return a.id == b.id && a.tokens == b.tokens && a.ttl == b.ttl;
  }
};

// Implementations keep no state. Thread-safe.
class relay_protocol {
 public:
  virtual ~relay_protocol() = default;

  virtual caller_request ParseRequest(const http_request& request) const = 0;
  // The request as it goes to an upstream: method, target, body and all fields
  // but those of the connection, the key and those that `fields` sets.
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

// Removes the fields that concern one connection. Thread-safe.
void RemoveConnectionFields(http::fields* fields);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_PROTOCOL_H_
