// Placement of requests on upstreams. Pure functions of a view.
#ifndef CACTUSWARD_ROUTING_H_
#define CACTUSWARD_ROUTING_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cactusward/config.h"
#include "cactusward/time.h"

namespace cactusward {

// An upstream as this instance sees it. All instances list the upstreams of a
// routing_view in the same order.
struct upstream_view {
  bool accepting = true;         // neither leaving, ejected nor unreachable
  bool has_suspect = false;      // a suspect request is in flight there
  bool same_zone = true;         // in the availability zone of the instance
  double prefill_rate = 1;       // prompt tokens per second
  std::int64_t kv_capacity = 0;  // tokens
  // Estimate of prompt tokens waiting or in prefill: the last load report, less
  // what was processed since, plus what this and other instances sent since.
  std::int64_t backlog_tokens = 0;
  // Part of `backlog_tokens` that belongs to long prompts.
  std::int64_t long_backlog_tokens = 0;
  std::int64_t kv_reserved = 0;  // tokens; estimated the same way
  int in_flight = 0;             // of this instance
  int long_in_flight = 0;        // of this instance

  friend bool operator==(const upstream_view& a, const upstream_view& b) {
    return a.accepting == b.accepting && a.has_suspect == b.has_suspect &&
           a.same_zone == b.same_zone && a.prefill_rate == b.prefill_rate &&
           a.kv_capacity == b.kv_capacity &&
           a.backlog_tokens == b.backlog_tokens &&
           a.long_backlog_tokens == b.long_backlog_tokens &&
           a.kv_reserved == b.kv_reserved && a.in_flight == b.in_flight &&
           a.long_in_flight == b.long_in_flight;
  }
};

// The upstreams of one service at one moment. Immutable during a decision.
// Upstreams are evaluated on access, so that the cost of a decision that
// compares a few of them does not depend on their number.
class routing_view {
 public:
  virtual ~routing_view() = default;
  virtual std::size_t size() const = 0;
  // Precondition: `index` < size().
  virtual upstream_view At(std::size_t index) const = 0;
};

// A view of fixed values, for tests and for embedders with few upstreams.
class fixed_view : public routing_view {
 public:
  explicit fixed_view(std::vector<upstream_view> upstreams)
      : upstreams_(std::move(upstreams)) {}
  std::size_t size() const override { return upstreams_.size(); }
  upstream_view At(std::size_t index) const override {
    return upstreams_[index];
  }

 private:
  std::vector<upstream_view> upstreams_;
};

// Properties of a request that policies use.
struct routing_request {
  std::int64_t prompt_tokens = 0;
  std::int64_t kv_tokens = 0;  // prompt plus maximum output
  bool is_long = false;
  bool isolated = false;  // not on an upstream that has a suspect request
  std::uint64_t fingerprint = 0;

  friend bool operator==(const routing_request& a, const routing_request& b) {
    return a.prompt_tokens == b.prompt_tokens && a.kv_tokens == b.kv_tokens &&
           a.is_long == b.is_long && a.isolated == b.isolated &&
           a.fingerprint == b.fingerprint;
  }
};

struct placement {
  std::size_t upstream = 0;  // index in the view
  milliseconds expected_first_token{0};

  friend bool operator==(const placement& a, const placement& b) {
    return a.upstream == b.upstream &&
           a.expected_first_token == b.expected_first_token;
  }
};

// Chooses an upstream. Implementations are stateless unless documented
// otherwise. Thread-safe.
class routing_policy {
 public:
  virtual ~routing_policy() = default;

  virtual std::string_view name() const = 0;
  virtual std::string_view description() const = 0;
  // Whether requests to the engines carry a priority.
  virtual bool UsesPriorities() const = 0;

  // @param random fresh random bits for this decision.
  // @return nothing when the request has to wait.
  virtual std::optional<placement> Choose(const routing_request& request,
                                          const routing_view& view,
                                          std::uint64_t random) const = 0;
};

// Places a suspect request by rendezvous hashing of its fingerprint: all
// instances prefer the same upstream for the same request and different ones
// for different requests, so that two suspects are seldom on one upstream.
// @return nothing when no upstream without a suspect can take it. Thread-safe.
std::optional<placement> PlaceIsolated(const routing_request& request,
                                       const routing_view& view,
                                       int max_in_flight);

// Policy names accepted by MakeRoutingPolicy. Thread-safe.
const std::vector<std::string>& RoutingPolicyNames();

// Creates the policy called `settings.policy`, or null for an unknown name.
// Thread-safe.
std::unique_ptr<routing_policy> MakeRoutingPolicy(
    const routing_settings& settings);

// Expected time until the first token of `request` on `upstream`, from its
// backlog. With priorities, short requests go ahead of long prompts.
// Thread-safe.
milliseconds ExpectedFirstToken(const routing_request& request,
                                const upstream_view& upstream,
                                bool uses_priorities);

// Number of upstreams, from the front of the view, that long requests are
// confined to. At least one unless there are no upstreams. Thread-safe.
std::size_t LongPoolSize(std::size_t upstreams, double long_share);

}  // namespace cactusward

#endif  // CACTUSWARD_ROUTING_H_
