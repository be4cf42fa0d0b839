// Forwarding: routes, event streams, retry budgets, upstream list and health.
#include <catch2/catch.hpp>

#include <numeric>

#include "cactusward/catch_up_pacer.h"
#include "cactusward/event_stream.h"
#include "cactusward/forward_config.h"
#include "cactusward/shared_retry_budget.h"
#include "cactusward/upstream_catalog.h"
#include "cactusward/upstream_health.h"

namespace cactusward {
namespace {

const time_point kStart{std::chrono::hours(1)};

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

forward_route Route(const std::string& name, const std::string& prefix) {
  forward_route route;
  route.name = name;
  route.host = "a.example";
  route.path_prefix = prefix;
  route.services = {{"s", 1}};
  return route;
}

TEST_CASE("the longest prefix that begins the path selects the route") {
  const forward_config config(
      1, {Route("root", "/"), Route("one", "/a/"), Route("two", "/a/b/")}, {},
      {}, {});
  struct row {
    const char* host;
    const char* path;
    const char* route;
  };
  const row rows[] = {
      {"a.example", "/", "root"},       {"a.example", "/x", "root"},
      {"a.example", "/a", "root"},      {"a.example", "/a/", "one"},
      {"a.example", "/a/b", "one"},     {"a.example", "/a/b/", "two"},
      {"a.example", "/a/b/c/d", "two"}, {"a.example", "/ab/", "root"},
      {"b.example", "/a/", nullptr},    {"a.example", "", nullptr},
      {"a.example", "x", nullptr},
  };
  for (const row& r : rows) {
    CAPTURE(r.host, r.path);
    const forward_route* found = config.Match(r.host, r.path);
    if (r.route) {
      REQUIRE(found);
      CHECK(found->name == r.route);
    } else {
      CHECK_FALSE(found);
    }
  }
}

TEST_CASE("services are chosen by weight") {
  forward_route route = Route("r", "/");
  route.services = {{"most", 90}, {"few", 10}};
  int few = 0;
  constexpr int kDraws = 10'000;
  for (int i = 0; i < kDraws; ++i)
    few += ChooseService(route, static_cast<std::uint64_t>(i) * 7919) == "few";
  CHECK(few > kDraws * 8 / 100);
  CHECK(few < kDraws * 12 / 100);
  route.services.clear();
  CHECK(ChooseService(route, 0).empty());
}

TEST_CASE("the kind of a route decides whether requests are retryable") {
  struct row {
    route_kind kind;
    bool resumable;
    bool repeatable;
  };
  const row rows[] = {{route_kind::kIdempotent, false, true},
                      {route_kind::kNonIdempotent, false, false},
                      {route_kind::kNonIdempotent, true, false},
                      {route_kind::kStreaming, false, false},
                      {route_kind::kStreaming, true, true}};
  for (const row& r : rows) {
    forward_route route = Route("r", "/");
    route.kind = r.kind;
    route.resumable = r.resumable;
    CHECK(route.IsRetryable() == r.repeatable);
  }
}

TEST_CASE("a stream is split into events with unchanged bytes") {
  struct row {
    std::vector<std::string> pieces;
    std::vector<stream_event> events;
    bool partial;
  };
  const row rows[] = {
      {{"id: 1\ndata: x\n\n"}, {{"id: 1\ndata: x\n\n", 1}}, false},
      {{"id: 1\ndata: x\n", "\nid:2\n", "\n"},
       {{"id: 1\ndata: x\n\n", 1}, {"id:2\n\n", 2}},
       false},
      {{"id: 3\r\ndata: y\r\n\r\n"}, {{"id: 3\r\ndata: y\r\n\r\n", 3}}, false},
      {{"version: 4\nid: 5\n\nid: 6\nda"},
       {{"version: 4\nid: 5\n\n", 5}},
       true},
      {{"data: none\n\n"}, {{"data: none\n\n", std::nullopt}}, false},
      {{"id: 1x\n\n"}, {{"id: 1x\n\n", std::nullopt}}, false},
      {{"\n"}, {{"\n", std::nullopt}}, false},
  };
  for (const row& r : rows) {
    event_stream_splitter splitter;
    std::vector<stream_event> events;
    for (const std::string& piece : r.pieces)
      REQUIRE(splitter.Feed(piece, &events));
    CHECK(events == r.events);
    CHECK(splitter.HasPartialEvent() == r.partial);
  }
  event_stream_splitter splitter;
  std::vector<stream_event> events;
  CHECK_FALSE(splitter.Feed(
      std::string(event_stream_splitter::kMaxEventBytes + 1, 'x'), &events));
}

TEST_CASE("instances together keep the fleet's retry budget") {
  constexpr int kInstances = 7;
  constexpr int kRequests = 40;
  shared_retry_settings settings;
  settings.ratio = 0.2;
  settings.extra_retries = 100;
  int spent = 0;
  for (int i = 0; i < kInstances; ++i) {
    shared_retry_budget budget(settings);
    budget.SetInstanceCount(kInstances, At(-20'000));
    budget.SetInstanceCount(kInstances, kStart);
    for (int n = 0; n < kRequests; ++n)
      budget.RecordRequest(At(n));
    while (budget.TrySpend(At(kRequests)))
      ++spent;
  }
  CHECK(spent <= 0.2 * kInstances * kRequests + settings.extra_retries);
  CHECK(spent > settings.extra_retries / 2);
}

TEST_CASE("a lower instance count raises the budget only after a window") {
  shared_retry_settings settings;
  settings.ratio = 0;
  settings.extra_retries = 100;
  shared_retry_budget budget(settings);
  budget.SetInstanceCount(10, At(-20'000));
  budget.SetInstanceCount(10, kStart);
  const double among_ten = budget.Available(kStart);
  budget.SetInstanceCount(1, At(1'000));
  budget.SetInstanceCount(1, At(5'000));
  CHECK(budget.Available(At(5'000)) == among_ten);
  budget.SetInstanceCount(1, At(12'000));
  CHECK(budget.Available(At(12'000)) > 5 * among_ten);
}

// Failure: an instance that restarts spends its share of the extra retries a
// second time within the window.
TEST_CASE("an instance that has just started spends no extra retries") {
  shared_retry_settings settings;
  settings.ratio = 0.2;
  settings.extra_retries = 1'000;
  shared_retry_budget budget(settings);
  CHECK_FALSE(budget.TrySpend(kStart));
  for (int i = 0; i < 5; ++i)
    budget.RecordRequest(kStart);
  CHECK(budget.TrySpend(kStart));
  CHECK_FALSE(budget.TrySpend(kStart));
  // The instance count grows while the instance discovers its peers.
  budget.SetInstanceCount(1, kStart);
  budget.SetInstanceCount(50, At(1'000));
  CHECK_FALSE(budget.TrySpend(At(1'000)));
  budget.SetInstanceCount(50, At(11'000));
  CHECK(budget.Available(At(11'000)) == Approx(16));
}

TEST_CASE("each service has a budget of its own") {
  shared_retry_settings settings;
  settings.ratio = 0.5;
  settings.extra_retries = 0;
  retry_budgets budgets(settings);
  budgets.ForService("a").RecordRequest(kStart);
  budgets.ForService("a").RecordRequest(kStart);
  CHECK_FALSE(budgets.ForService("b").TrySpend(kStart));
  CHECK(budgets.ForService("a").TrySpend(kStart));
}

TEST_CASE("spent retries become available again after a window") {
  shared_retry_settings settings;
  settings.ratio = 0;
  settings.extra_retries = 10;
  shared_retry_budget budget(settings);
  budget.SetInstanceCount(1, At(-20'000));
  budget.SetInstanceCount(1, kStart);
  while (budget.TrySpend(kStart)) {
  }
  CHECK_FALSE(budget.TrySpend(At(9'999)));
  CHECK(budget.TrySpend(At(10'000)));
}

upstream_entry Entry(const std::string& id, bool leaving = false) {
  upstream_entry entry;
  entry.id = id;
  entry.service = "s";
  entry.address = "127.0.0.1:1";
  entry.leaving = leaving;
  entry.started_at_ms = 1'000;
  return entry;
}

TEST_CASE("a missing entry is removed at once, or after the grace period") {
  constexpr milliseconds kReturn{2'000};
  struct row {
    const char* name;
    int outage_at;  // -1: none
    int removed_at;
    int checked_at;
    bool leaving;
    bool listed;
  };
  const row rows[] = {
      {"no outage", -1, 0, 0, false, false},
      {"just after an outage", 0, 100, 1'900, false, true},
      {"grace period has passed", 0, 100, 2'001, false, false},
      {"outage long ago", 0, 5'000, 5'000, false, false},
      {"it was leaving anyway", 0, 100, 100, true, false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    upstream_catalog catalog(kReturn);
    catalog.Put(Entry("a", r.leaving), {1, 1});
    if (r.outage_at >= 0)
      catalog.RecordOutage(At(r.outage_at));
    catalog.Remove("a", {1, 2}, At(r.removed_at));
    catalog.Expire(At(r.checked_at));
    CHECK((catalog.entries().count("a") == 1) == r.listed);
  }
}

TEST_CASE("an entry that is registered again in time is not removed") {
  upstream_catalog catalog(milliseconds(2'000));
  catalog.Put(Entry("a"), {1, 1});
  catalog.RecordOutage(kStart);
  catalog.Remove("a", {1, 2}, At(10));
  catalog.Put(Entry("a"), {1, 3});
  CHECK_FALSE(catalog.Expire(At(10'000)));
  CHECK(catalog.entries().count("a") == 1);
}

TEST_CASE("neither older revisions nor earlier starts replace an entry") {
  upstream_catalog catalog(milliseconds(2'000));
  CHECK(catalog.Put(Entry("a", true), {1, 5}));
  CHECK_FALSE(catalog.Put(Entry("a", false), {1, 4}));
  upstream_entry earlier = Entry("a", false);
  earlier.started_at_ms = 500;
  CHECK_FALSE(catalog.Put(earlier, {1, 6}));
  CHECK(catalog.entries().at("a").entry.leaving);
  CHECK_FALSE(catalog.Remove("a", {1, 4}, kStart));
}

// Guards against a log line and a new list each time that a cold upstream
// registers again.
TEST_CASE("the remaining cold time of an entry is no change of the list") {
  using ids = std::set<std::string>;
  upstream_catalog catalog(milliseconds(2'000));
  catalog.Put(Entry("a"), {1, 1});
  CHECK(catalog.TakeColdChanges().empty());
  struct row {
    int cold_ms;
    int revision;
    ids changes;
  };
  const row rows[] = {
      {3'000, 2, {"a"}}, {2'000, 3, {"a"}}, {3'000, 3, {}},
      {0, 4, {"a"}},     {0, 5, {}},        {3'000, 4, {}},
  };
  for (const row& r : rows) {
    CAPTURE(r.cold_ms, r.revision);
    upstream_entry entry = Entry("a");
    entry.cold_remaining = milliseconds(r.cold_ms);
    CHECK_FALSE(catalog.Put(entry, {1, r.revision}));
    CHECK(catalog.TakeColdChanges() == r.changes);
  }
}

TEST_CASE("a full list removes entries that are not in it") {
  upstream_catalog catalog(milliseconds(2'000));
  catalog.Put(Entry("a"), {1, 1});
  catalog.Put(Entry("b"), {1, 2});
  CHECK(catalog.Replace({{Entry("b"), {1, 2}}, {Entry("c"), {1, 3}}}, {1, 3},
                        kStart));
  CHECK(catalog.entries().size() == 2);
  CHECK(catalog.entries().count("a") == 0);
}

TEST_CASE("request outcomes decide whether an upstream is avoided") {
  using outcome = exchange_outcome;
  struct row {
    std::vector<outcome> outcomes;
    bool avoided;
  };
  const row rows[] = {
      {{outcome::kCompleted}, false},
      {{outcome::kFailed}, false},
      {{outcome::kInvalidResponse, outcome::kCompleted}, false},
      {{outcome::kUnreachable}, true},
      {{outcome::kTimedOut}, true},
      {{outcome::kFailed, outcome::kFailed, outcome::kFailed}, true},
      {{outcome::kFailed, outcome::kCompleted, outcome::kFailed,
        outcome::kFailed},
       true},
      {{outcome::kFailed, outcome::kCompleted, outcome::kCompleted,
        outcome::kFailed},
       false},
  };
  for (const row& r : rows) {
    upstream_health health;
    for (const outcome each : r.outcomes)
      health.Record(each, kStart);
    CHECK(health.IsAvoided(kStart) == r.avoided);
    CHECK_FALSE(health.IsAvoided(At(10'000)));
  }
}

TEST_CASE("the slowdown of an upstream decays within seconds") {
  upstream_health health;
  CHECK(health.Slowdown(kStart) == 1);
  for (int i = 0; i < 5; ++i)
    health.RecordFirstEventTime(100, 400, kStart);
  CHECK(health.Slowdown(kStart) > 2.5);
  CHECK(health.Slowdown(At(20'000)) < 1.1);
}

TEST_CASE("catching up is paced and waits for the usual delivery") {
  using ms = milliseconds;
  struct step {
    ms at;
    enum { kTry, kEnd, kCaughtUp } action;
    bool begins;
  };
  struct row {
    const char* name;
    ms grace;
    std::vector<step> steps;
  };
  const row rows[] = {
      {"without grace it begins at once", ms(0), {{ms(0), step::kTry, true}}},
      {"the usual delivery gets its time",
       ms(250),
       {{ms(0), step::kTry, false},
        {ms(200), step::kTry, false},
        {ms(250), step::kTry, true}}},
      {"a lag that ended does not count",
       ms(250),
       {{ms(0), step::kTry, false},
        {ms(200), step::kCaughtUp, false},
        {ms(260), step::kTry, false},
        {ms(510), step::kTry, true}}},
      {"a lag not seen for long does not count",
       ms(250),
       {{ms(0), step::kTry, false}, {ms(1'600), step::kTry, false}}},
      {"fetches keep their interval",
       ms(0),
       {{ms(0), step::kTry, true},
        {ms(100), step::kEnd, false},
        {ms(300), step::kTry, false},
        {ms(400), step::kTry, true}}},
      {"unanswered fetches are few",
       ms(0),
       {{ms(0), step::kTry, true},
        {ms(400), step::kTry, false},
        {ms(500), step::kTry, true},
        {ms(1'000), step::kTry, false},
        {ms(1'100), step::kEnd, false},
        {ms(1'200), step::kTry, true}}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    catch_up_pacer pacer({ms(400), ms(500), 2, ms(1'500)});
    const time_point start{std::chrono::hours(1)};
    for (const step& s : r.steps) {
      CAPTURE(s.at.count());
      if (s.action == step::kTry)
        CHECK(pacer.TryBegin(start + s.at, r.grace) == s.begins);
      else if (s.action == step::kEnd)
        pacer.End();
      else
        pacer.RecordCaughtUp();
    }
  }
}

}  // namespace
}  // namespace cactusward
