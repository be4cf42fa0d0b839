// Routing policies, the upstream pool, and the estimate of the first token.
#include <catch2/catch.hpp>
#include <set>

#include "cactusward/upstreams.h"

namespace cactusward {
namespace {

constexpr std::int64_t kCapacity = 450'000;

upstream_view Idle() {
  upstream_view view;
  view.prefill_rate = 20'000;
  view.kv_capacity = kCapacity;
  return view;
}

routing_settings Settings(const std::string& policy) {
  routing_settings settings;
  settings.policy = policy;
  settings.long_share = 0.25;
  settings.candidates = 4;
  settings.max_in_flight = 8;
  return settings;
}

routing_request Request(std::int64_t tokens, bool is_long) {
  routing_request request;
  request.prompt_tokens = tokens;
  request.kv_tokens = tokens + 100;
  request.is_long = is_long;
  return request;
}

// All upstreams chosen in many decisions.
std::set<std::size_t> Chosen(const routing_policy& policy,
                             const routing_request& request,
                             const std::vector<upstream_view>& upstreams) {
  std::set<std::size_t> chosen;
  const fixed_view view(upstreams);
  for (std::uint64_t random = 1; random <= 400; ++random) {
    const auto placement =
        policy.Choose(request, view, random * 0x9e3779b97f4a7c15);
    if (placement)
      chosen.insert(placement->upstream);
  }
  return chosen;
}

TEST_CASE("every policy refuses upstreams that cannot take the request") {
  const std::string name = GENERATE(from_range(RoutingPolicyNames()));
  const auto policy = MakeRoutingPolicy(Settings(name));
  REQUIRE(policy);
  CHECK(policy->name() == name);
  std::vector<upstream_view> upstreams(5, Idle());
  upstreams[0].accepting = false;
  upstreams[1].kv_reserved = kCapacity;
  upstreams[2].in_flight = 8;
  upstreams[3].has_suspect = true;
  routing_request request = Request(1000, false);
  request.isolated = true;
  CHECK(Chosen(*policy, request, upstreams) == std::set<std::size_t>{4});
  upstreams.resize(3);
  CHECK(Chosen(*policy, request, upstreams).empty());
  CHECK(Chosen(*policy, request, {}).empty());
}

TEST_CASE("an unknown policy name yields no policy") {
  CHECK(MakeRoutingPolicy(Settings("best")) == nullptr);
}

TEST_CASE("long requests stay in their share of the upstreams") {
  const auto policy = MakeRoutingPolicy(Settings("first_token"));
  const std::vector<upstream_view> upstreams(8, Idle());
  CHECK(Chosen(*policy, Request(300'000, true), upstreams) ==
        std::set<std::size_t>{0, 1});
}

TEST_CASE(
    "short requests use the upstreams for long ones when others are busy") {
  const auto policy = MakeRoutingPolicy(Settings("first_token"));
  std::vector<upstream_view> upstreams(8, Idle());
  CHECK(Chosen(*policy, Request(1000, false), upstreams).count(0) == 0);
  for (std::size_t i = 2; i < 8; ++i)
    upstreams[i].backlog_tokens = 100'000;
  CHECK(Chosen(*policy, Request(1000, false), upstreams) ==
        std::set<std::size_t>{0, 1});
}

TEST_CASE(
    "equal candidates are chosen at random, so that instances do not herd") {
  const auto policy = MakeRoutingPolicy(Settings("first_token"));
  const std::vector<upstream_view> upstreams(12, Idle());
  CHECK(Chosen(*policy, Request(1000, false), upstreams).size() == 9);
}

TEST_CASE("the expected first token follows from backlog and priorities") {
  struct row {
    std::int64_t backlog;
    std::int64_t long_backlog;
    bool is_long;
    bool priorities;
    int expected_ms;
  };
  // 20 tokens per millisecond, a prompt of 2,000 tokens, a step of 30 ms.
  const row row = GENERATE(values<struct row>({
      {0, 0, false, true, 130},
      {20'000, 0, false, true, 1130},
      {20'000, 20'000, false, true, 130},
      {20'000, 20'000, false, false, 1130},
      {20'000, 20'000, true, true, 1130},
      {20'000, 15'000, false, true, 380},
  }));
  upstream_view upstream = Idle();
  upstream.backlog_tokens = row.backlog;
  upstream.long_backlog_tokens = row.long_backlog;
  CHECK(ExpectedFirstToken(Request(2'000, row.is_long), upstream,
                           row.priorities) == milliseconds(row.expected_ms));
}

class pool_fixture {
 protected:
  pool_fixture() : pool_(Service(), "brno", ejection_settings()) {
    std::vector<upstream_listing> listings;
    for (int i = 0; i < 4; ++i)
      listings.push_back({Address(i), "poradna", "brno", false});
    listings.push_back({"127.0.0.1:99", "other", "brno", false});
    pool_.SetListings(listings);
    listings_ = listings;
  }
  static std::string Address(int i) {
    return "127.0.0.1:" + std::to_string(9000 + i);
  }
  static upstream_service Service() {
    upstream_service service;
    service.name = "poradna";
    service.prefill_tokens_per_second = 10'000;
    service.kv_capacity_tokens = kCapacity;
    return service;
  }
  upstream_view ViewOf(const std::string& address, time_point now) const {
    for (std::size_t i = 0; i < pool_.size(); ++i) {
      if (pool_.AddressAt(i) == address)
        return pool_.ViewAt(i, now);
    }
    return {};
  }
  std::uint64_t Send(int upstream, std::int64_t tokens, time_point at) {
    dispatch sent;
    sent.address = Address(upstream);
    sent.prompt_tokens = tokens;
    sent.kv_tokens = tokens + 10;
    sent.fingerprint = static_cast<std::uint64_t>(tokens);
    sent.sent_at = at;
    return pool_.Begin(sent);
  }

  upstream_pool pool_;
  std::vector<upstream_listing> listings_;
  time_point t0_ = time_point() + std::chrono::hours(1);
};

TEST_CASE_METHOD(pool_fixture, "a pool accounts for its dispatches") {
  const auto id = Send(0, 5'000, t0_);
  Send(0, 1'000, t0_);
  CHECK(ViewOf(Address(0), t0_).backlog_tokens == 6'000);
  CHECK(ViewOf(Address(0), t0_).kv_reserved == 6'020);
  CHECK(pool_.InFlightAt(Address(0)).size() == 2);
  pool_.RecordFirstToken(id);
  pool_.RecordFirstToken(id);
  CHECK(ViewOf(Address(0), t0_).backlog_tokens == 1'000);
  pool_.End(id);
  pool_.End(id);
  CHECK(ViewOf(Address(0), t0_).kv_reserved == 1'010);
  CHECK(ViewOf(Address(0), t0_).in_flight == 1);
}

TEST_CASE_METHOD(pool_fixture,
                 "a load report is corrected by its age and later dispatches") {
  load_report report;
  report.waiting_tokens = 8'000;
  report.lag = milliseconds(200);
  Send(0, 500, t0_ - milliseconds(900));
  pool_.RecordReport(Address(0), report, t0_);
  // 200 ms old, at 10 tokens per millisecond: 6,000 of 8,000 remain.
  CHECK(ViewOf(Address(0), t0_).backlog_tokens == 6'000);
  CHECK(ViewOf(Address(0), t0_ + milliseconds(500)).backlog_tokens == 1'000);
  Send(0, 700, t0_);
  CHECK(ViewOf(Address(0), t0_).backlog_tokens == 6'700);
}

TEST_CASE_METHOD(pool_fixture, "peers' requests count as waiting") {
  pool_.SetPeerBacklog({{UpstreamKey(Address(1)), 3'000}});
  Send(1, 500, t0_);
  CHECK(ViewOf(Address(1), t0_).backlog_tokens == 3'500);
  CHECK(ViewOf(Address(0), t0_).backlog_tokens == 0);
}

TEST_CASE_METHOD(pool_fixture, "ejection stays within its share") {
  for (int i = 0; i < 4; ++i) {
    for (int failure = 0; failure < 3; ++failure)
      pool_.RecordFailure(Address(i), t0_);
  }
  int ejected = 0;
  for (const auto& row : pool_.Rows(t0_))
    ejected += row.ejected ? 1 : 0;
  CHECK(ejected == 1);
  CHECK(ViewOf(Address(0), t0_ + milliseconds(600)).accepting);
}

TEST_CASE_METHOD(pool_fixture, "an upstream that leaves is not accepting") {
  const bool by_platform = GENERATE(true, false);
  if (by_platform) {
    listings_[2].leaving = true;
    pool_.SetListings(listings_);
    CHECK_FALSE(ViewOf(Address(2), t0_).accepting);
    return;
  }
  CHECK(pool_.RecordLeaving(UpstreamKey(Address(2)), t0_, t0_));
  CHECK_FALSE(pool_.RecordLeaving(UpstreamKey(Address(2)), t0_, t0_));
  CHECK_FALSE(ViewOf(Address(2), t0_ + milliseconds(5'000)).accepting);
  CHECK(pool_.LeavingReports(t0_).size() == 1);
  // A later report of the upstream overrides those of peers.
  pool_.RecordReport(Address(2), load_report(), t0_ + milliseconds(500));
  CHECK(ViewOf(Address(2), t0_ + milliseconds(500)).accepting);
  CHECK_FALSE(pool_.RecordLeaving(UpstreamKey(Address(2)), t0_,
                                  t0_ + milliseconds(600)));
}

// Guards against requests to a leaving upstream whose refusals have no report.
TEST_CASE_METHOD(pool_fixture, "a response without a report changes none") {
  load_report report;
  report.waiting_tokens = 8'000;
  report.leaving = true;
  pool_.RecordReport(Address(2), report, t0_);
  pool_.RecordReport(Address(2), std::nullopt, t0_ + milliseconds(100));
  CHECK_FALSE(ViewOf(Address(2), t0_ + milliseconds(100)).accepting);
  CHECK(ViewOf(Address(2), t0_ + milliseconds(100)).backlog_tokens == 7'000);
  CHECK(pool_.LastContact(Address(2)) == t0_ + milliseconds(100));
}

// Guards against requests to an upstream in the time for which its refusal asks
// for none.
TEST_CASE_METHOD(pool_fixture,
                 "an upstream is not accepting while backed off") {
  struct row {
    const char* name;
    std::vector<std::pair<int, int>> asked;  // received at, time; in ms
    int end_ms;
  };
  const row rows[] = {
      {"once", {{0, 500}}, 500},
      {"zero", {{0, 0}}, 0},
      {"longer", {{0, 500}, {100, 600}}, 700},
      {"shorter", {{0, 500}, {100, 200}}, 500},
  };
  const row& r = rows[GENERATE(range(0, 4))];
  CAPTURE(r.name);
  for (const auto& [received_at, time] : r.asked)
    pool_.RecordBackoff(Address(1), milliseconds(time),
                        t0_ + milliseconds(received_at));
  const time_point end = t0_ + milliseconds(r.end_ms);
  if (r.end_ms > 0)
    CHECK_FALSE(ViewOf(Address(1), end - milliseconds(1)).accepting);
  CHECK(ViewOf(Address(1), end).accepting);
  // The others may send.
  CHECK(ViewOf(Address(0), t0_).accepting);
  CHECK_FALSE(pool_.BackoffEnd(t0_));
}

TEST_CASE_METHOD(pool_fixture, "a pool backs off when no upstream is left") {
  for (int i = 0; i < 3; ++i)
    pool_.RecordBackoff(Address(i), milliseconds(500 + 100 * i), t0_);
  CHECK_FALSE(pool_.BackoffEnd(t0_));
  enum class rest { kLeaves, kUnreachable, kBacksOff };
  const rest how = GENERATE(rest::kLeaves, rest::kUnreachable, rest::kBacksOff);
  if (how == rest::kLeaves) {
    listings_[3].leaving = true;
    pool_.SetListings(listings_);
  } else if (how == rest::kUnreachable) {
    pool_.SetReachable(Address(3), false);
  } else {
    pool_.RecordBackoff(Address(3), milliseconds(300), t0_);
  }
  const milliseconds first(how == rest::kBacksOff ? 300 : 500);
  CHECK(pool_.BackoffEnd(t0_) == t0_ + first);
  CHECK_FALSE(pool_.BackoffEnd(t0_ + first));
}

// Guards against requests to an evacuated zone, and against requests that wait
// for a service whose zones are all evacuated.
TEST_CASE_METHOD(pool_fixture, "upstreams of evacuated zones do not accept") {
  for (int i : {2, 3})
    listings_[static_cast<std::size_t>(i)].availability_zone = "zlin";
  pool_.SetListings(listings_);
  evacuation_set evacuations(duration(0));
  pool_.SetEvacuations(&evacuations);
  struct row {
    evacuation_report report;
    bool first_accepts;
    bool last_accepts;
    std::size_t left;
  };
  const row rows[] = {
      {{"olomouc", {0, 1}, true}, true, true, 4},
      {{"zlin", {0, 2}, true}, true, false, 2},
      {{"brno", {0, 3}, true}, false, false, 0},
      {{"zlin", {0, 4}, false}, false, true, 2},
  };
  for (const row& r : rows) {
    CAPTURE(r.report.zone, r.report.evacuated);
    evacuations.Merge(r.report, t0_);
    CHECK(ViewOf(Address(0), t0_).accepting == r.first_accepts);
    CHECK(ViewOf(Address(3), t0_).accepting == r.last_accepts);
    CHECK(pool_.IsInEvacuatedZone(Address(3)) != r.last_accepts);
    CHECK(pool_.CountOutsideEvacuatedZones(t0_) == r.left);
    CHECK(pool_.IsEvacuated(t0_) == (r.left == 0));
  }
}

TEST_CASE_METHOD(pool_fixture, "an unlisted upstream stays while in use") {
  const auto id = Send(3, 100, t0_);
  listings_.erase(listings_.begin() + 3);
  pool_.SetListings(listings_);
  CHECK(pool_.size() == 4);
  CHECK_FALSE(ViewOf(Address(3), t0_).accepting);
  pool_.End(id);
  CHECK(pool_.size() == 3);
}

}  // namespace
}  // namespace cactusward
