// Division of request limits among instances, and how they learn of them.
#include "cactusward/upstream_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

namespace cactusward {
namespace {

const time_point kStart = time_point() + std::chrono::hours(10);
constexpr std::uint32_t kUpstream = 7;
constexpr double kSpanSeconds = 4;

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

// The users' bound for four seconds.
double Allowed(double per_second) {
  return 1.5 * kSpanSeconds * per_second + 5;
}

std::vector<std::string> Names(std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back("instance-" + std::to_string(i));
  return names;
}

// Sends as much as it may at `now`. @return the number of requests.
int SendAll(upstream_limits* limits, time_point now) {
  int sent = 0;
  while (limits->MaySend(kUpstream, now)) {
    limits->Spend(kUpstream, now);
    ++sent;
  }
  return sent;
}

TEST_CASE("the shares of a limit keep within it and use most of it") {
  const double per_second =
      GENERATE(0.0, 0.1, 0.3, 1.0, 1.4, 1.9, 5.0, 20.0, 333.0);
  const std::size_t instances = GENERATE(1, 2, 3, 7, 9, 76, 540);
  CAPTURE(per_second, instances);
  const limit_share share = DivideLimit(per_second, instances);
  const auto holders = static_cast<double>(share.holders);
  CHECK(share.holders >= 1);
  CHECK(share.holders <= instances);
  CHECK(share.burst >= 1);
  CHECK(holders * (share.burst + kSpanSeconds * share.per_second) <=
        Allowed(per_second));
  CHECK(holders * share.per_second >= 0.85 * per_second);
}

// Guards against instances that each take the whole limit, or more together
// while some have not learnt of it, or of each other.
TEST_CASE("all instances together keep the limit") {
  struct row {
    const char* name;
    double per_second;
    int instances;
    int restart_ms;  // between restarts of random instances; 0: none
    int missing;     // instances that the others lose sight of for two seconds
  };
  const row rows[] = {
      {"few instances", 1.4, 7, 0, 0},
      {"many instances", 1.4, 76, 0, 0},
      {"a high limit", 20, 76, 0, 0},
      {"restarts", 1.9, 7, 700, 0},
      {"restarts in a large fleet", 1.9, 76, 200, 0},
      {"instances that are cut off for a moment", 1.4, 7, 0, 3},
      {"less than one a second", 0.3, 76, 500, 10},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    std::mt19937_64 random(3);
    const auto names = Names(static_cast<std::size_t>(r.instances));
    std::vector<upstream_limits> fleet;
    for (const std::string& name : names)
      fleet.emplace_back(name);
    // One instance learns of the limit, the others from it and each other.
    fleet[0].SetInstances(names, At(0));
    fleet[0].RecordResponse(kUpstream, r.per_second, At(-100), At(0));
    std::deque<int> sent_at;
    std::size_t most = 0;
    constexpr int kStepMs = 20;
    constexpr int kStableWindowMs = 3'000;
    for (int ms = 0; ms < 20'000; ms += kStepMs) {
      if (r.restart_ms > 0 && ms % r.restart_ms == 0) {
        const auto which = random() % fleet.size();
        fleet[which] = upstream_limits(names[which]);
      }
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        // The first ones see all, but are not seen by the others.
        const bool is_cut =
            static_cast<int>(i) >= r.missing && ms > 8'000 && ms < 10'000;
        fleet[i].SetInstances(is_cut
                                  ? std::vector<std::string>(
                                        names.begin() + r.missing, names.end())
                                  : names,
                              At(ms));
        auto& peer = fleet[random() % fleet.size()];
        if (ms % 100 == 0)
          for (const limit_report& report : fleet[i].Reports(At(ms)))
            peer.MergeReport(report, At(ms + 2));
        if (!fleet[i].LimitOf(kUpstream))
          continue;
        for (int n = SendAll(&fleet[i], At(ms)); n > 0; --n) {
          if (ms >= kStableWindowMs)
            sent_at.push_back(ms);
          fleet[i].RecordResponse(kUpstream, r.per_second, At(ms - 50), At(ms));
        }
      }
      while (!sent_at.empty() && ms - sent_at.front() >= kSpanSeconds * 1'000)
        sent_at.pop_front();
      most = std::max(most, sent_at.size());
    }
    CHECK(static_cast<double>(most) <= Allowed(r.per_second));
    // And it is used.
    CHECK(static_cast<double>(most) >= 0.5 * kSpanSeconds * r.per_second);
    CHECK(std::all_of(fleet.begin(), fleet.end(), [](const auto& each) {
      return each.LimitOf(kUpstream).has_value();
    }));
  }
}

TEST_CASE("a limit lasts for as long as responses name it") {
  struct row {
    const char* name;
    std::optional<double> stated;
    int sent_ms;  // the limit was named at 0
    std::optional<double> limit;
  };
  const row rows[] = {
      {"a response without it ends it", {}, 10, {}},
      {"not one to a request sent before", {}, -10, 2.0},
      {"the same limit", 2.0, 10, 2.0},
      {"another limit, also to a request sent before", 0.5, -10, 0.5},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    upstream_limits limits("instance-0");
    limits.SetInstances(Names(2), At(0));
    CHECK(limits.RecordResponse(kUpstream, 2.0, At(-50), At(0)));
    CHECK(limits.RecordResponse(kUpstream, r.stated, At(r.sent_ms), At(100)) ==
          (r.limit != 2.0));
    CHECK(limits.LimitOf(kUpstream) == r.limit);
    // Peers learn of it either way.
    upstream_limits peer("instance-1");
    peer.SetInstances(Names(2), At(0));
    peer.MergeReport({kUpstream, 2'000, 150}, At(100));
    for (const limit_report& report : limits.Reports(At(110)))
      peer.MergeReport(report, At(112));
    CHECK(peer.LimitOf(kUpstream) == r.limit);
  }
}

TEST_CASE("invalid and outdated reports are ignored") {
  upstream_limits limits("instance-0");
  limits.RecordResponse(kUpstream, 2.0, At(-50), At(0));
  const limit_report report = GENERATE(
      limit_report{kUpstream, 1'000, -1}, limit_report{kUpstream, -2, 0},
      limit_report{kUpstream, -1, 500}, limit_report{kUpstream, 9'000, 500},
      limit_report{kUpstream, 9'000, INT64_MAX / 2},
      limit_report{kUpstream, 2'000, 50});
  CHECK_FALSE(limits.MergeReport(report, At(100)));
  CHECK(limits.LimitOf(kUpstream) == 2.0);
}

// Guards against a report that looks newer each time that it is passed on, so
// that an upstream that is gone keeps its limit for ever.
TEST_CASE("passing a limit on does not renew it") {
  upstream_limits a("a");
  upstream_limits b("b");
  a.RecordResponse(kUpstream, 2.0, At(-50), At(0));
  for (int ms = 10; ms < 20'000; ms += 20) {
    for (const limit_report& report : a.Reports(At(ms)))
      b.MergeReport(report, At(ms + 5));
    for (const limit_report& report : b.Reports(At(ms + 10)))
      a.MergeReport(report, At(ms + 15));
  }
  CHECK(a.Reports(At(20'000)).front().age_ms >= 19'900);
  CHECK(a.Expire(At(20'000)).empty());
  CHECK(a.Expire(At(200'000)) == std::vector<std::uint32_t>{kUpstream});
  CHECK_FALSE(a.LimitOf(kUpstream));
}

TEST_CASE("an instance knows when it may send next, or that it may not") {
  int holders = 0;
  const auto names = Names(20);
  for (const std::string& name : names) {
    upstream_limits limits(name);
    limits.SetInstances(names, At(0));
    limits.RecordResponse(kUpstream, 1.0, At(-50), At(0));
    const auto next = limits.NextGrant(kUpstream, At(0));
    CHECK_FALSE(limits.MaySend(kUpstream, At(0)));
    if (!next)
      continue;
    ++holders;
    CHECK(limits.MaySend(kUpstream, *next + milliseconds(1)));
    // Upstreams without a limit are not held back.
    CHECK(limits.MaySend(kUpstream + 1, At(0)));
  }
  CHECK(holders == 5);
}

// A fleet that sends to one cold upstream as much as it may.
struct cold_row {
  const char* name;
  int instances;
  double per_second;
  cold_settings settings;
  int restart_ms;       // between restarts of random instances; 0: none
  bool renames;         // a restarted instance has a new name
  int split_ms;         // two halves do not see each other from then; 0: never
  int cold_again_ms;    // between two times at which it is cold again
  int all_restart_ms;   // when all instances restart; 0: never
  double least_served;  // requests a second; 0: any number
};

class cold_fleet {
 public:
  cold_fleet(const cold_row& row, std::uint64_t seed)
      : row_(row), random_(seed) {
    for (const std::string& name :
         Names(static_cast<std::size_t>(row.instances)))
      fleet_.push_back(
          {name, upstream_limits(name, row.settings), -kUnknownMs});
    for (std::size_t i = 0; i < fleet_.size(); ++i)
      Learn(i, 0);
  }

  // @return when requests arrive at the upstream, in order.
  std::vector<int> Run() {
    for (int ms = 0; ms < kEndMs; ms += kStepMs) {
      if (ms == row_.all_restart_ms && ms > 0) {
        for (std::size_t i = 0; i < fleet_.size(); ++i)
          Restart(i, ms);
      }
      if (row_.restart_ms > 0 && ms % row_.restart_ms == 0)
        Restart(random_() % fleet_.size(), ms);
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        // Not all instances are informed at the same time.
        if ((ms + static_cast<int>(i) * kStepMs) % kInformMs == 0)
          Learn(i, ms);
        Send(i, ms);
      }
    }
    std::sort(arrivals_.begin(), arrivals_.end());
    return arrivals_;
  }

  static constexpr int kEndMs = 40'000;

 private:
  static constexpr int kStepMs = 10;
  static constexpr int kInformMs = 250;
  static constexpr int kUnknownMs = 2'000;  // after the start of an instance
  static constexpr int kDiscoveryMs = 1'000;
  static constexpr int kMaxDelayMs = 30;  // on the way to the upstream

  struct instance {
    std::string name;
    upstream_limits limits;
    int started_ms;
  };

  bool Sees(std::size_t from, std::size_t to, int ms) const {
    const bool split = row_.split_ms > 0 && ms >= row_.split_ms;
    if (split && from % 2 != to % 2)
      return false;
    return from == to || (ms - fleet_[from].started_ms >= kDiscoveryMs &&
                          ms - fleet_[to].started_ms >= kDiscoveryMs);
  }
  void Learn(std::size_t index, int ms) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (Sees(index, i, ms))
        names.push_back(fleet_[i].name);
    }
    upstream_limits& limits = fleet_[index].limits;
    limits.SetInstances(names, At(ms));
    const int last_cold = row_.cold_again_ms > 0
                              ? ms / row_.cold_again_ms * row_.cold_again_ms
                              : 0;
    const int until =
        row_.cold_again_ms > 0 ? last_cold + row_.cold_again_ms : 2 * kEndMs;
    limits.SetColdLimit(kUpstream, row_.per_second, At(until), At(ms));
  }
  void Restart(std::size_t index, int ms) {
    instance& restarted = fleet_[index];
    if (row_.renames)
      restarted.name += "+";
    restarted.limits = upstream_limits(restarted.name, row_.settings);
    restarted.limits.SetPeersKnownAt(At(ms + kUnknownMs));
    restarted.started_ms = ms;
    Learn(index, ms);
  }
  void Send(std::size_t index, int ms) {
    // It is warm for this instance until that hears that it is cold again.
    if (!fleet_[index].limits.IsCold(kUpstream, At(ms)))
      return;
    for (int n = SendAll(&fleet_[index].limits, At(ms)); n > 0; --n)
      arrivals_.push_back(ms + static_cast<int>(random_() % kMaxDelayMs));
  }

  cold_row row_;
  std::mt19937_64 random_;
  std::vector<instance> fleet_;
  std::vector<int> arrivals_;
};

// Most arrivals in any span of one second.
int MostInOneSecond(const std::vector<int>& arrivals) {
  constexpr int kSecondMs = 1'000;
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= kSecondMs)
      ++first;
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

// Guards against a cold upstream that crashes under the sum of what instances
// send that have restarted, or that believe that they are the whole fleet.
TEST_CASE("all instances together keep the limit of a cold upstream") {
  const cold_settings usual;
  const cold_row rows[] = {
      {"one instance", 1, 17, usual, 0, false, 0, 0, 0, 10},
      {"few instances", 3, 17, usual, 0, false, 0, 0, 0, 7},
      {"many instances", 78, 17, usual, 0, false, 0, 0, 0, 7},
      {"restarts", 78, 17, usual, 500, false, 0, 0, 0, 5},
      {"restarts under new names", 78, 17, usual, 900, true, 0, 0, 0, 1},
      {"all restart", 109, 17, usual, 0, false, 0, 0, 8'000, 5},
      {"all restart under new names", 78, 17, usual, 0, true, 0, 0, 8'000, 1},
      {"two groups", 78, 17, usual, 0, false, 5'000, 0, 0, 7},
      {"two groups of few", 4, 17, usual, 0, false, 5'000, 0, 0, 7},
      {"two groups with restarts", 78, 17, usual, 700, false, 5'000, 0, 0, 5},
      {"cold again and again", 78, 17, usual, 0, false, 5'000, 3'000, 0, 4},
      {"a high limit", 109, 200, usual, 0, false, 5'000, 0, 0, 100},
      {"a low limit", 109, 1, usual, 300, false, 5'000, 0, 0, 0},
      {"a low limit without tolerance",
       78,
       2,
       {1.5, 0},
       0,
       false,
       5'000,
       0,
       0,
       0},
      {"no request of each group fits",
       78,
       1,
       {1.5, 0},
       0,
       false,
       5'000,
       0,
       0,
       0},
  };
  const std::uint64_t seed = GENERATE(1, 2);
  for (const cold_row& r : rows) {
    CAPTURE(r.name, seed);
    const auto arrivals = cold_fleet(r, seed).Run();
    CHECK(MostInOneSecond(arrivals) <=
          r.per_second * r.settings.overage + r.settings.tolerance);
    CHECK(static_cast<double>(arrivals.size()) >=
          r.least_served * cold_fleet::kEndMs / 1'000);
  }
}

TEST_CASE("the shares of a cold limit leave half of it to another group") {
  const double per_second = GENERATE(1.0, 3.0, 8.0, 17.0, 60.0, 333.0);
  const std::size_t instances = GENERATE(1, 2, 7, 78, 109, 540);
  CAPTURE(per_second, instances);
  const cold_settings settings;
  const limit_share share = DivideColdLimit(per_second, settings, instances);
  CHECK(share.holders >= 1);
  CHECK(share.holders <= instances);
  CHECK(share.burst >= 1);
  CHECK(2 * static_cast<double>(share.holders) *
            (share.burst + share.per_second) <
        per_second * settings.overage + settings.tolerance);
}

TEST_CASE("the stricter of the two limits of an upstream binds") {
  struct row {
    const char* name;
    std::optional<double> named;
    std::optional<double> cold;
    int cold_until_ms;
    int at_ms;
    int peers_known_ms;
    bool holds_share;
    int most;  // requests in the second before `at_ms`
  };
  const row rows[] = {
      {"neither", {}, {}, 0, 2'000, 0, true, 1'000},
      {"the cold one", {}, 17.0, 9'000, 2'000, 0, true, 14},
      {"the named one", 2.0, 17.0, 9'000, 2'000, 0, true, 8},
      {"the cold one beside a higher one", 500.0, 17.0, 9'000, 2'000, 0, true,
       14},
      {"the cold one has ended", {}, 17.0, 500, 2'000, 0, true, 1'000},
      {"peers are not known", {}, 17.0, 9'000, 2'000, 3'000, false, 0},
      {"peers are known by now", {}, 17.0, 9'000, 4'000, 3'000, true, 14},
      {"peers do not matter without it", {}, {}, 0, 2'000, 3'000, true, 1'000},
      {"a very low cold one", {}, 0.001, 9'000, 6'000, 0, true, 1},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    upstream_limits limits("instance-0");
    limits.SetPeersKnownAt(At(r.peers_known_ms));
    limits.SetInstances(Names(1), At(0));
    if (r.named)
      limits.RecordResponse(kUpstream, r.named, At(-50), At(0));
    if (r.cold)
      CHECK(
          limits.SetColdLimit(kUpstream, *r.cold, At(r.cold_until_ms), At(0)));
    CHECK(limits.cold_size() == (r.cold ? 1 : 0));
    int sent = 0;
    for (int ms = r.at_ms - 1'000; ms < r.at_ms; ++ms) {
      if (!limits.MaySend(kUpstream, At(ms)))
        continue;
      limits.Spend(kUpstream, At(ms));
      ++sent;
    }
    CHECK(sent <= r.most);
    CHECK((sent > 0) == (r.most > 0));
    CHECK(limits.NextGrant(kUpstream, At(r.at_ms)).has_value() ==
          r.holds_share);
  }
}

TEST_CASE("a cold limit begins and ends with what the entries say") {
  upstream_limits limits("instance-0");
  CHECK_FALSE(limits.SetColdLimit(kUpstream, 17, At(0), At(0)));
  CHECK(limits.SetColdLimit(kUpstream, 17, At(3'000), At(0)));
  CHECK_FALSE(limits.SetColdLimit(kUpstream, 17, At(2'900), At(500)));
  CHECK(limits.IsCold(kUpstream, At(2'899)));
  CHECK(limits.ExpireCold(At(2'899)).empty());
  CHECK_FALSE(limits.IsCold(kUpstream, At(2'900)));
  CHECK(limits.ExpireCold(At(2'900)) == std::vector<std::uint32_t>{kUpstream});
  CHECK(limits.SetColdLimit(kUpstream, 17, At(6'000), At(3'000)));
  CHECK(limits.SetColdLimit(kUpstream, 17, At(3'500), At(3'500)));
  CHECK(limits.cold_size() == 0);
  CHECK(limits.MaySend(kUpstream, At(3'500)));
  // It is no limit that peers have to learn of.
  CHECK(limits.Reports(At(3'500)).empty());
}

// Guards against a limit that ends before the time that an earlier entry has
// stated (soak, seed 74: ten requests in a second, 12 ms before that time).
TEST_CASE("a shorter cold time does not replace a longer one") {
  struct row {
    const char* name;
    int known_until_ms;
    int remaining_ms;
    int until_ms;
  };
  const row rows[] = {
      {"becomes cold", 0, 3'000, 4'000}, {"counts down", 4'000, 2'990, 4'000},
      {"shorter", 9'000, 3'000, 9'000},  {"longer", 2'000, 3'000, 4'000},
      {"warm", 9'000, 0, 1'000},         {"stays warm", 0, 0, 1'000}};
  for (const row& r : rows) {
    CAPTURE(r.name);
    CHECK(ColdUntilByEntry(At(r.known_until_ms), milliseconds(r.remaining_ms),
                           At(1'000)) == At(r.until_ms));
  }
}

// Requests that are placed at one time and sent at a later one.
struct delayed_row {
  const char* name;
  int cold_at_ms;         // when this instance learns that the upstream is cold
  int max_delay_ms;       // between placement and sending
  bool sent_together;     // all that are ready, once in 900 ms
  int control_period_ms;  // 0: no control requests
};

// Sends what may be sent. @return times of what was sent to the cold upstream.
std::vector<int> SendDelayed(const delayed_row& row, std::uint64_t seed) {
  constexpr int kTogetherMs = 900;
  constexpr int kEndMs = 20'000;
  std::mt19937_64 random(seed);
  upstream_limits limits("instance-0");
  limits.SetInstances(Names(1), At(0));
  std::multiset<int> placed;  // times of sending
  std::vector<int> sent;
  for (int ms = 0; ms < kEndMs; ms += 5) {
    if (ms == row.cold_at_ms)
      limits.SetColdLimit(kUpstream, 17, At(2 * kEndMs), At(ms));
    const bool is_cold = limits.IsCold(kUpstream, At(ms));
    if (limits.MayPlace(kUpstream, At(ms))) {
      limits.Reserve(kUpstream);
      const int at = ms + static_cast<int>(random() % (row.max_delay_ms + 1));
      placed.insert(row.sent_together ? (at / kTogetherMs + 1) * kTogetherMs
                                      : at);
    }
    if (row.control_period_ms > 0 && ms % row.control_period_ms == 0 &&
        limits.TrySpendControl(kUpstream, At(ms)) && is_cold)
      sent.push_back(ms);
    while (!placed.empty() && *placed.begin() <= ms) {
      placed.erase(placed.begin());
      const bool may_send = limits.MaySend(kUpstream, At(ms));
      limits.Unreserve(kUpstream);
      if (may_send)
        limits.Spend(kUpstream, At(ms));
      if (may_send && is_cold)
        sent.push_back(ms);
    }
  }
  return sent;
}

// Guards against shares that are spent when a request is placed: requests that
// were placed before the limit began, or whose connections took long, then
// reach the upstream together.
TEST_CASE("a cold limit holds where requests are sent") {
  const delayed_row rows[] = {
      {"short delays", 0, 30, false, 0},
      {"long delays", 0, 2'000, false, 0},
      {"sent together", 0, 300, true, 0},
      {"placed before", 5'000, 1'500, false, 0},
      {"placed before, sent together", 5'000, 1'500, true, 0},
      {"beside control requests", 0, 100, false, 50},
      {"control requests, placed before", 5'000, 1'500, true, 50},
  };
  // One group's part of the limit.
  const double allowed = (17 * 1.5 + 5) / 2;
  const std::uint64_t seed = GENERATE(1, 2, 3);
  for (const delayed_row& r : rows) {
    CAPTURE(r.name, seed);
    const auto sent = SendDelayed(r, seed);
    CHECK(MostInOneSecond(sent) <= allowed);
    CHECK(sent.size() >= 10);
  }
}

TEST_CASE("control requests wait only for upstreams that are cold") {
  upstream_limits limits("instance-0");
  limits.SetInstances(Names(1), At(0));
  limits.RecordResponse(kUpstream, 0.0, At(-50), At(0));
  CHECK(limits.TrySpendControl(kUpstream, At(0)));
  limits.SetColdLimit(kUpstream, 4, At(9'000), At(0));
  CHECK_FALSE(limits.TrySpendControl(kUpstream, At(0)));
  const auto granted = limits.NextControlGrant(kUpstream, At(0));
  REQUIRE(granted);
  CHECK(limits.TrySpendControl(kUpstream, *granted + milliseconds(1)));
  CHECK_FALSE(limits.TrySpendControl(kUpstream, *granted + milliseconds(1)));
  CHECK(limits.TrySpendControl(kUpstream, At(9'000)));
}

}  // namespace
}  // namespace cactusward
