// Cost of placement, key ownership, membership, configuration parsing and
// authentication as the fleet and its configuration grow.
#include <benchmark/benchmark.h>

#include "cactusward/cactusward.h"

namespace cactusward {
namespace {

constexpr int kRequestsPerUpstream = 4;

std::string NumberedName(const char* kind, std::int64_t number) {
  return kind + std::to_string(number);
}

upstream_pool MakePool(std::int64_t upstreams, time_point now) {
  upstream_service service;
  service.name = "m";
  service.prefill_tokens_per_second = 15'000;
  service.kv_capacity_tokens = 450'000;
  upstream_pool pool(service, "a", ejection_settings());
  std::vector<upstream_listing> listings;
  for (std::int64_t i = 0; i < upstreams; ++i)
    listings.push_back({NumberedName("u", i), "m", "a", false});
  pool.SetListings(listings);
  for (std::int64_t i = 0; i < upstreams; ++i) {
    pool.RecordReport(NumberedName("u", i),
                      load_report{i * 100 % 9'000, 0, 50'000, false, {}}, now);
    for (int n = 0; n < kRequestsPerUpstream; ++n)
      pool.Begin({NumberedName("u", i), 2'000, 2'100, 1, false, false, now});
  }
  return pool;
}

// Chooses an upstream and records the dispatch and its end.
void ChooseAndDispatch(benchmark::State& state,
                       const std::string& policy_name) {
  const time_point now = clock::now();
  upstream_pool pool = MakePool(state.range(0), now);
  routing_settings settings;
  settings.policy = policy_name;
  settings.long_share = 1;
  settings.candidates = 4;
  settings.max_in_flight = 64;
  const auto policy = MakeRoutingPolicy(settings);
  routing_request request;
  request.prompt_tokens = 2'000;
  request.kv_tokens = 2'100;
  std::uint64_t random = 1;
  for (auto _ : state) {
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto chosen = policy->Choose(request, pool_view(&pool, now), random);
    const auto id = pool.Begin(
        {pool.AddressAt(chosen->upstream), 2'000, 2'100, 1, false, false, now});
    pool.End(id);
  }
}

void PlaceFirstToken(benchmark::State& state) {
  ChooseAndDispatch(state, "first_token");
}
BENCHMARK(PlaceFirstToken)->Arg(16)->Arg(24)->Arg(150)->Arg(1500);

void PlaceLeastTokens(benchmark::State& state) {
  ChooseAndDispatch(state, "least_tokens");
}
BENCHMARK(PlaceLeastTokens)->Arg(16)->Arg(24)->Arg(150)->Arg(1500);

void FindOwner(benchmark::State& state) {
  std::vector<std::string> names;
  for (std::int64_t i = 0; i < state.range(0); ++i)
    names.push_back(NumberedName("instance-", i));
  std::uint64_t key = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(RendezvousOwner(std::to_string(++key), names));
}
BENCHMARK(FindOwner)->Arg(9)->Arg(60)->Arg(540);

member_table MakeMemberTable(std::int64_t members, time_point now) {
  member_table table(
      {"self", 1, member_state::kAlive, "1.1.1.1:80", "1.1.1.1:81", "zone-a"},
      {}, 1);
  for (std::int64_t i = 1; i < members; ++i)
    table.Merge({NumberedName("instance-", i), 1, member_state::kAlive,
                 "10.0.0.1:8080", "10.0.0.1:8081", "zone-a"},
                now);
  return table;
}

// One probe period of one member: ten ticks, a probe sent and acknowledged.
void MembershipPeriod(benchmark::State& state) {
  time_point now = time_point() + std::chrono::hours(1);
  member_table table = MakeMemberTable(state.range(0), now);
  std::int64_t bytes = 0;
  for (auto _ : state) {
    for (int tick = 0; tick < 10; ++tick) {
      now += milliseconds(50);
      for (const auto& outgoing : table.Tick(now)) {
        const std::string encoded = EncodeGossip(outgoing.message);
        bytes += static_cast<std::int64_t>(encoded.size());
        gossip_message ack = *DecodeGossip(encoded);
        ack.kind = gossip_kind::kAck;
        ack.sender.name = "instance-1";
        ack.members.clear();
        table.Receive(ack, now);
      }
    }
  }
  state.counters["bytes_per_period"] =
      static_cast<double>(bytes) / static_cast<double>(state.iterations());
}
BENCHMARK(MembershipPeriod)->Arg(9)->Arg(60)->Arg(540)->Iterations(2000);

std::string MakeConfigDocument(std::int64_t organisations) {
  std::string text =
      R"({"defaults":{"classes":[{"name":"a","max_prompt_tokens":4096}]},)"
      R"("organisations":[)";
  for (std::int64_t i = 0; i < organisations; ++i)
    text += (i > 0 ? "," : "") + std::string(R"({"name":")") +
            NumberedName("o", i) + R"(","key_sha256":")" +
            Sha256Hex(NumberedName("k", i)) + R"("})";
  return text + "]}";
}

void ParseConfig(benchmark::State& state) {
  const std::string document = MakeConfigDocument(state.range(0));
  for (auto _ : state)
    benchmark::DoNotOptimize(ParseFleetConfig(document));
  state.counters["bytes"] = static_cast<double>(document.size());
}
BENCHMARK(ParseConfig)->Arg(10)->Arg(340);

void Authenticate(benchmark::State& state) {
  const auto config = ParseFleetConfig(MakeConfigDocument(state.range(0)));
  const std::string digest = Sha256Hex(NumberedName("k", state.range(0) - 1));
  for (auto _ : state)
    benchmark::DoNotOptimize(config->FindOrganisationByKeyDigest(digest));
}
BENCHMARK(Authenticate)->Arg(10)->Arg(340);

}  // namespace
}  // namespace cactusward

BENCHMARK_MAIN();
