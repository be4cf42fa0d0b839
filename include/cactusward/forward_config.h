// Configuration for forwarding requests unchanged: routes by host and path,
// weighted services, API keys of organisations, limits on callers.
#ifndef CACTUSWARD_FORWARD_CONFIG_H_
#define CACTUSWARD_FORWARD_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cactusward/engine_cost.h"
#include "cactusward/time.h"

namespace cactusward {

// Kind of request on a route; decides whether it may be retried.
enum class route_kind { kIdempotent, kNonIdempotent, kStreaming };

struct weighted_service {
  std::string service;
  double weight = 1;

  friend bool operator==(const weighted_service& a, const weighted_service& b) {
    return a.service == b.service && a.weight == b.weight;
  }
};

struct forward_route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  route_kind kind = route_kind::kNonIdempotent;
  milliseconds timeout{0};    // 0: only the caller's deadline applies
  milliseconds objective{0};  // until the first byte or event of the response
  milliseconds max_event_gap{0};  // between two events; streams only
  int priority = 0;               // 0 is the most urgent
  int max_attempts = 1;           // upstreams that a request may be sent to
  bool is_public = false;         // no key required
  bool resumable = false;         // streams may resume at another upstream
  std::vector<weighted_service> services;
  // Regions in which its requests may be handled; empty: all.
  std::vector<std::string> homes;

  // Whether a request that may have been executed may be sent again.
  bool IsRetryable() const {
    return kind == route_kind::kIdempotent ||
           (kind == route_kind::kStreaming && resumable);
  }

  friend bool operator==(const forward_route& a, const forward_route& b) {
    return a.name == b.name && a.host == b.host &&
           a.path_prefix == b.path_prefix && a.kind == b.kind &&
           a.timeout == b.timeout && a.objective == b.objective &&
           a.max_event_gap == b.max_event_gap && a.priority == b.priority &&
           a.max_attempts == b.max_attempts && a.is_public == b.is_public &&
           a.resumable == b.resumable && a.services == b.services &&
           a.homes == b.homes;
  }
};

struct forward_service {
  std::string name;
  std::optional<engine_parameters> engine;  // none: a plain service
  // Requests a second that a cold upstream bears; 0: as many as any other.
  double cold_per_second = 0;
  milliseconds cold_start{0};  // how long a new process is cold

  friend bool operator==(const forward_service& a, const forward_service& b) {
    return a.name == b.name && a.engine == b.engine &&
           a.cold_per_second == b.cold_per_second &&
           a.cold_start == b.cold_start;
  }
};

// An organisation and its API keys.
struct key_holder {
  std::string organisation;
  std::vector<std::string> keys;
  std::optional<int> priority;  // overrides the route's
  // Regions in which its requests may be handled; empty: all.
  std::vector<std::string> homes;

  friend bool operator==(const key_holder& a, const key_holder& b) {
    return a.organisation == b.organisation && a.keys == b.keys &&
           a.priority == b.priority && a.homes == b.homes;
  }
};

// Limits on the size of requests and the time to receive them.
struct caller_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4ULL * 1024 * 1024;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};

  friend bool operator==(const caller_limits& a, const caller_limits& b) {
    return a.max_header_bytes == b.max_header_bytes &&
           a.max_body_bytes == b.max_body_bytes &&
           a.header_timeout == b.header_timeout &&
           a.idle_timeout == b.idle_timeout;
  }
};

// One version of the configuration with its lookup tables. Immutable, hence
// thread-safe.
class forward_config {
 public:
  // Precondition: no route has an empty prefix.
  forward_config(std::int64_t version,
                 std::vector<forward_route> routes,
                 std::vector<forward_service> services,
                 std::vector<key_holder> holders,
                 caller_limits limits);

  std::int64_t version() const { return version_; }
  const std::vector<forward_route>& routes() const { return routes_; }
  const std::vector<forward_service>& services() const { return services_; }
  const std::vector<key_holder>& holders() const { return holders_; }
  const caller_limits& limits() const { return limits_; }

  // The route with the longest prefix that begins `path` at `host`, or null.
  const forward_route* Match(std::string_view host,
                             std::string_view path) const;
  // The organisation that holds `key`, or null.
  const key_holder* FindKeyHolder(std::string_view key) const;
  // Whether requests require a key, unless their route is public.
  bool NeedsKeys() const { return !holders_.empty(); }
  const forward_service* FindService(std::string_view name) const;

  friend bool operator==(const forward_config& a, const forward_config& b) {
    return a.version_ == b.version_ && a.routes_ == b.routes_ &&
           a.services_ == b.services_ && a.holders_ == b.holders_ &&
           a.limits_ == b.limits_;
  }

 private:
  std::int64_t version_;
  std::vector<forward_route> routes_;
  std::vector<forward_service> services_;
  std::vector<key_holder> holders_;
  caller_limits limits_;
  // Index in `routes_` by host and path prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      by_host_;
  std::unordered_map<std::string, std::size_t> by_key_;
};

// Chooses a service of `route` at random by weight.
// @param random uniform random bits.
// @return empty when the route has no service. Thread-safe.
std::string_view ChooseService(const forward_route& route,
                               std::uint64_t random);

}  // namespace cactusward

#endif  // CACTUSWARD_FORWARD_CONFIG_H_
