// Division of request limits among instances, and how they learn of them.
#include "cactusward/upstream_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

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

}  // namespace
}  // namespace cactusward
