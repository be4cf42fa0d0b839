// Uses the routing library without the daemon: places long and short prompts on
// four upstreams and prints the chosen upstreams.
#include <cactusward/cactusward.h>

#include <cstdio>

namespace {

constexpr std::int64_t kShortPrompt = 2'000;
constexpr std::int64_t kLongPrompt = 300'000;

void PlacePrompt(cactusward::upstream_pool* pool,
                 const cactusward::routing_policy& policy,
                 std::int64_t tokens,
                 bool is_long,
                 std::uint64_t random) {
  const auto now = cactusward::clock::now();
  cactusward::routing_request request;
  request.prompt_tokens = tokens;
  request.kv_tokens = tokens;
  request.is_long = is_long;
  const auto placement =
      policy.Choose(request, cactusward::pool_view(pool, now), random);
  if (!placement) {
    std::printf("%7lld tokens wait\n", static_cast<long long>(tokens));
    return;
  }
  cactusward::dispatch dispatched;
  dispatched.address = pool->AddressAt(placement->upstream);
  dispatched.prompt_tokens = tokens;
  dispatched.kv_tokens = tokens;
  dispatched.is_long = is_long;
  dispatched.sent_at = now;
  pool->Begin(dispatched);
  std::printf("%7lld tokens go to %s, first token expected in %lld ms\n",
              static_cast<long long>(tokens), dispatched.address.c_str(),
              static_cast<long long>(placement->expected_first_token.count()));
}

}  // namespace

int main() {
  cactusward::upstream_service service;
  service.name = "poradna";
  service.prefill_tokens_per_second = 15'000;
  service.kv_capacity_tokens = 450'000;
  cactusward::upstream_pool pool(service, "brno",
                                 cactusward::ejection_settings());
  pool.SetListings({{"127.0.0.1:9001", "poradna", "brno", false},
                    {"127.0.0.1:9002", "poradna", "olomouc", false},
                    {"127.0.0.1:9003", "poradna", "zlin", false},
                    {"127.0.0.1:9004", "poradna", "brno", false}});
  cactusward::routing_settings settings;
  settings.policy = "first_token";
  settings.long_share = 0.25;
  settings.candidates = 3;
  settings.max_in_flight = 32;
  const auto policy = cactusward::MakeRoutingPolicy(settings);
  PlacePrompt(&pool, *policy, kLongPrompt, true, 1);
  PlacePrompt(&pool, *policy, kLongPrompt, true, 2);
  for (std::uint64_t i = 3; i < 7; ++i)
    PlacePrompt(&pool, *policy, kShortPrompt, false, i * 7919);
  return 0;
}
