// Request limits that upstreams name for all instances together, and this
// instance's share of them.
#ifndef CACTUSWARD_UPSTREAM_LIMITS_H_
#define CACTUSWARD_UPSTREAM_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/time.h"

namespace cactusward {

// What an instance knows of the limit of one upstream.
struct limit_report {
  std::uint32_t upstream = 0;  // key of the upstream and its start
  // Requests in 1,000 seconds; -1: the upstream no longer names a limit.
  std::int64_t milli_per_second = -1;
  std::int64_t age_ms = 0;  // since the response that states it

  friend bool operator==(const limit_report& a, const limit_report& b) {
    return a.upstream == b.upstream &&
           a.milli_per_second == b.milli_per_second && a.age_ms == b.age_ms;
  }
};

// How many requests cold upstreams bear beyond the rate that they state.
struct cold_settings {
  double overage = 1.5;  // factor of the rate
  double tolerance = 5;  // requests, added to it in each second

  friend bool operator==(const cold_settings& a, const cold_settings& b) {
    return a.overage == b.overage && a.tolerance == b.tolerance;
  }
};

// How a limit is divided.
struct limit_share {
  std::size_t holders = 0;  // instances that may send
  double per_second = 0;    // of each holder
  double burst = 0;         // most requests of one holder at once

  friend bool operator==(const limit_share& a, const limit_share& b) {
    return a.holders == b.holders && a.per_second == b.per_second &&
           a.burst == b.burst;
  }
};

// Divides a limit of `per_second` among `instances`, so that in any four
// seconds all of them together send less than one and a half times the limit,
// and five requests. A low limit is divided among few: each of many would have
// to send too rarely. Precondition: `instances` is at least 1. Thread-safe.
limit_share DivideLimit(double per_second, std::size_t instances);
// Divides the limit of a cold upstream, so that in any one second two disjoint
// groups of instances, each of which divides it among its own members, together
// send at most `per_second` * overage + tolerance. No instance is a holder if
// that allows less than one request of each group. Precondition: `instances` is
// at least 1. Thread-safe.
limit_share DivideColdLimit(double per_second,
                            const cold_settings& settings,
                            std::size_t instances);

// When an upstream stops being cold, after an entry that states `remaining`. An
// entry with a shorter time than was stated before does not end the limit
// earlier: the upstream may be cold for as long as any entry of its process has
// said. Only an entry that states no remaining time ends it at once.
// @param known_until what was known before. Thread-safe.
time_point ColdUntilByEntry(time_point known_until,
                            milliseconds remaining,
                            time_point now);

// Grants requests within this instance's shares. All instances that know the
// same limits and instances select the same holders, by rendezvous hashing.
// Knowledge of a limit comes from responses and from peers; the latest wins.
//
// A request is reserved when it is placed and spends its share when it is sent.
// Between the two, the limit may begin, or become stricter, and a connection
// may take long, so that several requests are ready at once.
// Not thread-safe.
class upstream_limits {
 public:
  // @param self the name of this instance.
  explicit upstream_limits(std::string self, const cold_settings& cold = {})
      : self_(std::move(self)), cold_settings_(cold) {}

  // Sets the names of the instances that divide the limits, this one included.
  // A name that is missing keeps its share for a while: the instance may be
  // partitioned from this one and still send.
  void SetInstances(const std::vector<std::string>& names, time_point now);
  // Before `at` this instance may not know its peers, and takes no share of the
  // limits of cold upstreams.
  void SetPeersKnownAt(time_point at) { peers_known_at_ = at; }

  // Records what a response states. A response without a limit ends the known
  // one only if its request was sent after that was named.
  // @param per_second nullopt if the response names no limit.
  // @return whether the limit has changed.
  bool RecordResponse(std::uint32_t upstream,
                      std::optional<double> per_second,
                      time_point sent_at,
                      time_point now);
  // Merges a peer's report. @return whether the limit has changed.
  bool MergeReport(const limit_report& report, time_point now);

  // Limits an upstream that is cold until `until`, beside the limit that it
  // names; the stricter one binds. `until` not after `now` ends it.
  // Precondition: `per_second` is positive.
  // @return whether the limit has begun or ended.
  bool SetColdLimit(std::uint32_t upstream,
                    double per_second,
                    time_point until,
                    time_point now);
  // Number of upstreams that are limited because they are cold.
  std::size_t cold_size() const { return cold_.size(); }
  // Whether an upstream is limited because it is cold.
  bool IsCold(std::uint32_t upstream, time_point now) const;
  // Drops the limits of upstreams that are no longer cold. @return the
  // upstreams.
  std::vector<std::uint32_t> ExpireCold(time_point now);

  // The limit of an upstream, in requests a second; nullopt if it has none.
  std::optional<double> LimitOf(std::uint32_t upstream) const;
  // Time since the response that states the limit. Precondition: there is one.
  duration AgeOf(std::uint32_t upstream, time_point now) const;
  // When a request may be placed, after those that are reserved; nullopt if
  // this instance holds no share.
  std::optional<time_point> NextGrant(std::uint32_t upstream,
                                      time_point now) const;
  bool MayPlace(std::uint32_t upstream, time_point now) const {
    const auto next = NextGrant(upstream, now);
    return next && *next <= now;
  }
  // Sets a share aside for a request that is placed and not sent yet. Counted
  // also without a limit, since one may begin before the request is sent.
  void Reserve(std::uint32_t upstream) { ++reserved_[upstream]; }
  // Gives back what Reserve has set aside; call when the request was sent, or
  // will not be. Precondition: there is such a request.
  void Unreserve(std::uint32_t upstream);
  // Whether a reserved request may be sent now.
  bool MaySend(std::uint32_t upstream, time_point now) const;
  // Counts a request that is sent now. Precondition: MaySend.
  void Spend(std::uint32_t upstream, time_point now);
  // When a control request may be sent; nullopt if this instance holds no
  // share. Only cold upstreams limit them. They belong to requests that were
  // sent before, so that they go before those that are reserved.
  std::optional<time_point> NextControlGrant(std::uint32_t upstream,
                                             time_point now) const;
  // Counts a control request that is sent now, if the upstream is cold.
  // @return false if it may not be sent; nothing is counted then.
  bool TrySpendControl(std::uint32_t upstream, time_point now);

  // All limits that are known, and those that have ended lately.
  std::vector<limit_report> Reports(time_point now) const;
  // Number of limits in force.
  std::size_t size() const;
  // Drops limits that no response has confirmed for a long time. @return the
  // upstreams.
  std::vector<std::uint32_t> Expire(time_point now);

 private:
  // This instance's share of one limit.
  struct token_bucket {
    limit_share share;
    bool is_holder = false;
    double tokens = 0;
    time_point tokens_at;

    void Refill(time_point now);
    // When a request may be sent after `reserved` others; nullopt if this
    // instance holds no share.
    std::optional<time_point> NextGrant(int reserved, time_point now) const;
  };
  struct known_limit {
    std::optional<double> per_second;
    time_point stated_at;  // of the response
    token_bucket bucket;
  };
  struct cold_limit {
    double per_second = 0;
    time_point until;
    token_bucket bucket;
  };

  bool Set(std::uint32_t upstream,
           std::optional<double> per_second,
           time_point stated_at,
           time_point now);
  void Divide(std::uint32_t upstream, known_limit* limit, time_point now) const;
  void Divide(std::uint32_t upstream, cold_limit* limit, time_point now) const;
  void AssignShare(std::uint32_t upstream,
                   const limit_share& share,
                   token_bucket* bucket,
                   time_point now) const;
  // As NextGrant, after `reserved` other requests.
  std::optional<time_point> GrantAfter(std::uint32_t upstream,
                                       int reserved,
                                       time_point now) const;
  std::size_t InstanceCount() const {
    return instances_.empty() ? 1 : instances_.size();
  }

  std::string self_;
  cold_settings cold_settings_;
  time_point peers_known_at_{};
  std::map<std::string, time_point> instances_;  // by name: last seen live
  std::map<std::uint32_t, known_limit> limits_;
  std::map<std::uint32_t, cold_limit> cold_;
  std::map<std::uint32_t, int> reserved_;  // requests, by upstream
};

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAM_LIMITS_H_
