#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>

#include "cactusward/hash.h"
#include "cactusward/routing.h"

namespace cactusward {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr milliseconds kZonePenalty{1};
// Duration of an engine step. A request of higher priority waits until the
// current batch ends.
constexpr milliseconds kStepTime{30};

// Whether `upstream` can take `request`, regardless of its backlog.
bool CanTake(const routing_request& request,
             const upstream_view& upstream,
             int max_in_flight) {
  if (!upstream.accepting || upstream.in_flight >= max_in_flight)
    return false;
  if (request.isolated && upstream.has_suspect)
    return false;
  return upstream.kv_reserved + request.kv_tokens <= upstream.kv_capacity;
}

// Xorshift generator, cheap enough to seed for each decision.
class decision_random {
 public:
  explicit decision_random(std::uint64_t state) : state_(state | 1) {}
  std::size_t Below(std::size_t bound) {
    state_ ^= state_ << 13;
    state_ ^= state_ >> 7;
    state_ ^= state_ << 17;
    return static_cast<std::size_t>((state_ >> 11) % bound);
  }

 private:
  std::uint64_t state_;
};

// Chooses the upstream with the lowest score, ties at random.
template <typename Score>
std::optional<placement> BestOfAll(const routing_request& request,
                                   const routing_view& view,
                                   int max_in_flight,
                                   std::uint64_t random,
                                   bool uses_priorities,
                                   Score score) {
  std::optional<std::size_t> best;
  upstream_view best_view;
  if (view.size() == 0)
    return std::nullopt;
  const std::size_t start = random % view.size();
  for (std::size_t n = 0; n < view.size(); ++n) {
    const std::size_t i = (start + n) % view.size();
    const upstream_view next = view.At(i);
    if (!CanTake(request, next, max_in_flight))
      continue;
    if (best && score(next) >= score(best_view))
      continue;
    best = i;
    best_view = next;
  }
  if (!best)
    return std::nullopt;
  return placement{*best,
                   ExpectedFirstToken(request, best_view, uses_priorities)};
}

// Stateful: keeps a cursor. Thread-safe.
class round_robin_policy : public routing_policy {
 public:
  explicit round_robin_policy(const routing_settings& settings)
      : max_in_flight_(settings.max_in_flight) {}
  std::string_view name() const override { return "round_robin"; }
  std::string_view description() const override {
    return "each upstream in turn";
  }
  bool UsesPriorities() const override { return false; }
  std::optional<placement> Choose(const routing_request& request,
                                  const routing_view& view,
                                  std::uint64_t) const override {
    for (std::size_t n = 0; n < view.size(); ++n) {
      const std::size_t i = cursor_++ % view.size();
      const upstream_view next = view.At(i);
      if (CanTake(request, next, max_in_flight_))
        return placement{i, ExpectedFirstToken(request, next, false)};
    }
    return std::nullopt;
  }

 private:
  int max_in_flight_;
  mutable std::atomic<std::size_t> cursor_{0};
};

class least_requests_policy : public routing_policy {
 public:
  explicit least_requests_policy(const routing_settings& settings)
      : max_in_flight_(settings.max_in_flight) {}
  std::string_view name() const override { return "least_requests"; }
  std::string_view description() const override {
    return "the upstream with the fewest requests of this instance";
  }
  bool UsesPriorities() const override { return false; }
  std::optional<placement> Choose(const routing_request& request,
                                  const routing_view& view,
                                  std::uint64_t random) const override {
    return BestOfAll(request, view, max_in_flight_, random, false,
                     [](const upstream_view& u) { return u.in_flight; });
  }

 private:
  int max_in_flight_;
};

class least_tokens_policy : public routing_policy {
 public:
  explicit least_tokens_policy(const routing_settings& settings)
      : max_in_flight_(settings.max_in_flight) {}
  std::string_view name() const override { return "least_tokens"; }
  std::string_view description() const override {
    return "the upstream with the fewest waiting prompt tokens";
  }
  bool UsesPriorities() const override { return false; }
  std::optional<placement> Choose(const routing_request& request,
                                  const routing_view& view,
                                  std::uint64_t random) const override {
    return BestOfAll(request, view, max_in_flight_, random, false,
                     [](const upstream_view& u) { return u.backlog_tokens; });
  }

 private:
  int max_in_flight_;
};

// Confines long requests to the front of the view and compares a few random
// candidates by expected first token.
class first_token_policy : public routing_policy {
 public:
  first_token_policy(const routing_settings& settings, bool uses_priorities)
      : settings_(settings), uses_priorities_(uses_priorities) {}
  std::string_view name() const override {
    return uses_priorities_ ? "first_token" : "size_interval";
  }
  std::string_view description() const override {
    return uses_priorities_
               ? "least expected first token of a few candidates; long work "
                 "in its share of the upstreams; engine priorities"
               : "as first_token, without engine priorities";
  }
  bool UsesPriorities() const override { return uses_priorities_; }

  std::optional<placement> Choose(const routing_request& request,
                                  const routing_view& view,
                                  std::uint64_t random) const override {
    if (view.size() == 0)
      return std::nullopt;
    const std::size_t pool = LongPoolSize(view.size(), settings_.long_share);
    decision_random generator(random);
    std::optional<placement> best;
    if (request.is_long) {
      best = BestOf(request, view, 0, pool, &generator, best);
    } else {
      best = BestOf(request, view, pool, view.size(), &generator, best);
      // Short requests may also use the upstreams for long ones if they would
      // wait elsewhere.
      if (!best || best->expected_first_token > IdleFirstToken(request, view))
        best = BestOf(request, view, 0, pool, &generator, best);
    }
    return best;
  }

 private:
  milliseconds IdleFirstToken(const routing_request& request,
                              const routing_view& view) const {
    upstream_view idle;
    idle.prefill_rate = view.At(0).prefill_rate;
    return ExpectedFirstToken(request, idle, uses_priorities_) + kStepTime;
  }

  // Compares `best` with up to `settings_.candidates` random upstreams of
  // [first, last) that can take the request.
  std::optional<placement> BestOf(const routing_request& request,
                                  const routing_view& view,
                                  std::size_t first,
                                  std::size_t last,
                                  decision_random* generator,
                                  std::optional<placement> best) const {
    if (first >= last)
      return best;
    const std::size_t size = last - first;
    const std::size_t start = generator->Below(size);
    const auto candidates = static_cast<std::size_t>(settings_.candidates);
    std::size_t compared = 0;
    std::size_t step = 1 + generator->Below(size);
    if (size <= candidates)
      step = 1;
    for (std::size_t n = 0; n < size && compared < candidates; ++n) {
      const std::size_t i = first + (start + n * step) % size;
      const upstream_view next = view.At(i);
      if (!CanTake(request, next, settings_.max_in_flight))
        continue;
      ++compared;
      UpdateBest(request, next, i, &best);
    }
    return best;
  }

  void UpdateBest(const routing_request& request,
                  const upstream_view& upstream,
                  std::size_t i,
                  std::optional<placement>* best) const {
    milliseconds expected =
        ExpectedFirstToken(request, upstream, uses_priorities_);
    if (!upstream.same_zone)
      expected += kZonePenalty;
    if (!*best || expected < (*best)->expected_first_token)
      *best = placement{i, expected};
  }

  routing_settings settings_;
  bool uses_priorities_;
};

}  // namespace

std::optional<placement> PlaceIsolated(const routing_request& request,
                                       const routing_view& view,
                                       int max_in_flight) {
  std::optional<placement> best;
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < view.size(); ++i) {
    const upstream_view next = view.At(i);
    if (!CanTake(request, next, max_in_flight))
      continue;
    const std::uint64_t index = i;
    const std::uint64_t score =
        Hash64({reinterpret_cast<const char*>(&index), sizeof(index)},
               request.fingerprint);
    if (best && score <= best_score)
      continue;
    best_score = score;
    best = placement{i, ExpectedFirstToken(request, next, true)};
  }
  return best;
}

milliseconds ExpectedFirstToken(const routing_request& request,
                                const upstream_view& upstream,
                                bool uses_priorities) {
  std::int64_t ahead = upstream.backlog_tokens;
  if (uses_priorities && !request.is_long)
    ahead -= std::min(ahead, upstream.long_backlog_tokens);
  const double tokens = static_cast<double>(ahead + request.prompt_tokens);
  const double ms = tokens / upstream.prefill_rate * kMillisecondsPerSecond;
  return milliseconds(static_cast<std::int64_t>(ms)) + kStepTime;
}

std::size_t LongPoolSize(std::size_t upstreams, double long_share) {
  if (upstreams == 0)
    return 0;
  const auto share = static_cast<std::size_t>(
      std::ceil(static_cast<double>(upstreams) * long_share));
  return std::clamp<std::size_t>(share, 1, upstreams);
}

const std::vector<std::string>& RoutingPolicyNames() {
  static const std::vector<std::string> names = {
      "first_token", "size_interval", "least_tokens", "least_requests",
      "round_robin"};
  return names;
}

std::unique_ptr<routing_policy> MakeRoutingPolicy(
    const routing_settings& settings) {
  if (settings.policy == "first_token")
    return std::make_unique<first_token_policy>(settings, true);
  if (settings.policy == "size_interval")
    return std::make_unique<first_token_policy>(settings, false);
  if (settings.policy == "least_tokens")
    return std::make_unique<least_tokens_policy>(settings);
  if (settings.policy == "least_requests")
    return std::make_unique<least_requests_policy>(settings);
  if (settings.policy == "round_robin")
    return std::make_unique<round_robin_policy>(settings);
  return nullptr;
}

}  // namespace cactusward
