// Placement of requests on upstreams: pure functions of a view and a time.
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

// One upstream as an instance sees it. The order of upstreams in a
// routing_view is the same at every instance.
struct upstream_view {
  bool accepting = true;         // neither leaving, ejected nor unreachable
  bool has_suspect = false;      // a suspected request is in flight there
  bool same_zone = true;         // in the availability zone of the instance
  double prefill_rate = 1;       // prompt tokens a second
  std::int64_t kv_capacity = 0;  // tokens
  // Expected waiting prompt tokens, those being processed included: the
  // report, aged, corrected by what this and other instances have sent since.
  std::int64_t backlog_tokens = 0;
  // The part of `backlog_tokens` that belongs to long work.
  std::int64_t long_backlog_tokens = 0;
  std::int64_t kv_reserved = 0;  // tokens, by the same estimate
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

// The upstreams of one service at one moment. Immutable while a decision is
// made; upstreams are evaluated when looked at, so that a decision that
// compares a few of them costs the same whatever their number.
class routing_view {
 public:
  virtual ~routing_view() = default;
  virtual std::size_t size() const = 0;
  // Precondition: `index` < size().
  virtual upstream_view At(std::size_t index) const = 0;
};

// A view over values, for tests and embedders with few upstreams.
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

// What a policy needs to know of a request.
struct routing_request {
  std::int64_t prompt_tokens = 0;
  std::int64_t kv_tokens = 0;  // prompt and the longest output
  bool is_long = false;
  bool isolated = false;  // not beside another suspect
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

// Chooses an upstream. Implementations keep no state that a decision depends
// on, except where their contract says so. Thread-safe unless said otherwise.
class routing_policy {
 public:
  virtual ~routing_policy() = default;

  virtual std::string_view name() const = 0;
  virtual std::string_view description() const = 0;
  // Whether requests carry a priority to the engines.
  virtual bool UsesPriorities() const = 0;

  // @param random fresh random bits for this decision.
  // @return the placement, or nothing when the request should wait.
  virtual std::optional<placement> Choose(const routing_request& request,
                                          const routing_view& view,
                                          std::uint64_t random) const = 0;
};

// Places a suspected request: different requests prefer different upstreams,
// and every instance agrees on the order, so that two suspects seldom meet.
// @return nothing when no upstream without a suspect can take it. Thread-safe.
std::optional<placement> PlaceIsolated(const routing_request& request,
                                       const routing_view& view,
                                       int max_in_flight);

// Names accepted by MakeRoutingPolicy. Thread-safe.
const std::vector<std::string>& RoutingPolicyNames();

// Creates the policy called `settings.policy`, or null for an unknown name.
// Thread-safe.
std::unique_ptr<routing_policy> MakeRoutingPolicy(
    const routing_settings& settings);

// Time until the first token of `request` on `upstream`, from its estimate of
// waiting work; long work is taken to wait behind short. Thread-safe.
milliseconds ExpectedFirstToken(const routing_request& request,
                                const upstream_view& upstream,
                                bool uses_priorities);

// Number of upstreams, from the front of the view, that long work is confined
// to. At least one when there is any. Thread-safe.
std::size_t LongPoolSize(std::size_t upstreams, double long_share);

}  // namespace cactusward

#endif  // CACTUSWARD_ROUTING_H_
