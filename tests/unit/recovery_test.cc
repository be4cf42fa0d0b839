// Suspects, retries, admission and burn.
#include <catch2/catch.hpp>

#include "cactusward/admission.h"
#include "cactusward/burn.h"
#include "cactusward/error.h"
#include "cactusward/retry_budget.h"
#include "cactusward/suspects.h"

namespace cactusward {
namespace {

const time_point kT0 = time_point() + std::chrono::hours(10);
constexpr milliseconds kPeriod{60'000};
constexpr std::uint64_t kPoison = 1;
constexpr std::uint64_t kInnocent = 2;
constexpr std::uint64_t kOther = 3;

TEST_CASE("the second death of a suspect is blamed on it alone") {
  suspect_table table(2, kPeriod);
  CHECK(table.RecordCrash(10, {{kPoison, false}, {kInnocent, false}}, kT0)
            .size() == 2);
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kIsolate);
  CHECK(table
            .RecordCrash(11, {{kPoison, false}, {kOther, false}},
                         kT0 + milliseconds(900))
            .size() == 1);
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kOther, kT0) == suspect_verdict::kAllow);
  CHECK(table.VerdictFor(kInnocent, kT0) == suspect_verdict::kIsolate);
  table.RecordCompletion(kInnocent);
  table.RecordCompletion(kPoison);
  CHECK(table.VerdictFor(kInnocent, kT0) == suspect_verdict::kAllow);
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kPoison, kT0 + 2 * kPeriod) ==
        suspect_verdict::kAllow);
}

TEST_CASE("a request that had tokens is a weak suspect") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kPoison, false}, {kInnocent, true}}, kT0);
  CHECK(table.VerdictFor(kInnocent, kT0) == suspect_verdict::kAllow);
  // Beside a strong suspect a weak one is not blamed.
  CHECK(table.RecordCrash(11, {{kPoison, false}, {kInnocent, true}}, kT0)
            .size() == 1);
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kInnocent, kT0) == suspect_verdict::kAllow);
}

TEST_CASE("a weak suspect alone on two dying upstreams is refused") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kPoison, true}}, kT0);
  table.RecordCrash(11, {{kPoison, true}}, kT0);
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kRefuse);
}

TEST_CASE("deaths seen by two instances add up, one death does not") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kPoison, false}}, kT0);
  CHECK_FALSE(table.MergeReport({kPoison, 10, 20, true}, kT0));
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kIsolate);
  CHECK(table.MergeReport({kPoison, 11, 0, true}, kT0));
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kRefuse);
}

TEST_CASE("a death that a peer explains is blamed on nobody weaker") {
  const bool report_first = GENERATE(true, false);
  const bool earlier = GENERATE(true, false);
  suspect_table table(2, kPeriod);
  table.MergeReport({kPoison, 10, 0, true}, kT0);
  if (earlier)
    table.RecordCrash(10, {{kInnocent, true}}, kT0);
  if (report_first)
    table.MergeReport({kPoison, 11, 0, true}, kT0);
  table.RecordCrash(11, {{kInnocent, true}}, kT0);
  if (!report_first)
    table.MergeReport({kPoison, 11, 0, true}, kT0);
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kInnocent, kT0) == suspect_verdict::kAllow);
}

TEST_CASE("a suspect is blamed though another seems to explain the death") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kPoison, false}}, kT0);
  table.MergeReport({kInnocent, 10, 0, true}, kT0);
  table.MergeReport({kInnocent, 11, 0, true}, kT0);
  table.RecordCrash(11, {{kPoison, false}}, kT0);
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kRefuse);
}

TEST_CASE("requests that the evidence cannot tell apart are all refused") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kInnocent, false}}, kT0);
  table.MergeReport({kPoison, 10, 0, true}, kT0);
  table.RecordCrash(11, {{kInnocent, false}}, kT0);
  CHECK(table.MergeReport({kPoison, 11, 0, true}, kT0));
  CHECK(table.VerdictFor(kInnocent, kT0) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kPoison, kT0) == suspect_verdict::kRefuse);
}

TEST_CASE("suspicions expire and absurd reports are ignored") {
  suspect_table table(2, kPeriod);
  const std::int64_t age = GENERATE(-1, 60'001, INT64_MAX);
  CHECK_FALSE(table.MergeReport({kPoison, 10, age, true}, kT0));
  table.RecordCrash(10, {{kPoison, false}}, kT0);
  table.Expire(kT0 + 2 * kPeriod);
  CHECK(table.size() == 0);
}

TEST_CASE("retries are a share of first attempts") {
  retry_budget budget(0.1, 2);
  CHECK(budget.TrySpend());
  CHECK(budget.TrySpend());
  CHECK_FALSE(budget.TrySpend());
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordAttempt();
    retries += budget.TrySpend() ? 1 : 0;
  }
  CHECK(retries >= 98);
  CHECK(retries <= 100);
}

organisation Org(int concurrent, std::int64_t rate) {
  organisation result;
  result.name = "svaz";
  result.limits = {concurrent, 100, rate};
  return result;
}

TEST_CASE("an organisation's concurrency is shared among instances") {
  struct row {
    int instances;
    int expected;
  };
  const row row = GENERATE(values<struct row>({{1, 16}, {4, 6}, {100, 1}}));
  organisation_limiter limiter;
  limiter.SetInstanceCount(row.instances);
  int admitted = 0;
  while (admitted < 50 && limiter.Admit(Org(16, 1'000'000'000), 1, kT0))
    ++admitted;
  CHECK(admitted == row.expected);
  limiter.Release("svaz");
  CHECK(limiter.Admit(Org(16, 1'000'000'000), 1, kT0));
}

TEST_CASE("an organisation's tokens come back with time") {
  organisation_limiter limiter;
  const organisation org = Org(1000, 100);
  CHECK(limiter.Admit(org, 1000, kT0));
  CHECK(limiter.Admit(org, 1, kT0).kind() == error_kind::kOrganisationLimit);
  CHECK(limiter.Admit(org, 100, kT0 + std::chrono::seconds(1)));
  CHECK_FALSE(limiter.Admit(org, 100, kT0 + std::chrono::seconds(1)));
  // A prompt larger than the whole allowance can still run.
  CHECK(limiter.Admit(org, 50'000, kT0 + std::chrono::hours(1)));
}

queued_request Queued(std::uint64_t id,
                      std::size_t length_class,
                      const std::string& org,
                      int age_ms,
                      int life_ms) {
  queued_request request;
  request.id = id;
  request.length_class = length_class;
  request.organisation = org;
  request.queued_at = kT0 - milliseconds(age_ms);
  request.deadline = request.queued_at + milliseconds(life_ms);
  return request;
}

TEST_CASE("the queue orders by class, turn and urgency") {
  request_queue queue;
  length_class limits;
  limits.max_queued = 10;
  queue.Push(Queued(1, 1, "large", 50, 60'000), limits, 10);
  queue.Push(Queued(2, 0, "large", 40, 60'000), limits, 10);
  queue.Push(Queued(3, 0, "large", 30, 60'000), limits, 10);
  queue.Push(Queued(4, 0, "small", 10, 60'000), limits, 10);
  CHECK(queue.Order(kT0) == std::vector<std::uint64_t>{2, 4, 3, 1});
  // Beyond half of its life long work counts as the shortest class.
  CHECK(queue.Order(kT0 + milliseconds(29'960)).front() == 1);
  CHECK(queue.Remove(2));
  CHECK_FALSE(queue.Remove(2));
  CHECK(queue.size() == 3);
}

TEST_CASE("the queue is bounded by class and by organisation") {
  request_queue queue;
  length_class limits;
  limits.max_queued = 3;
  CHECK(queue.Push(Queued(1, 0, "a", 0, 100), limits, 2));
  CHECK(queue.Push(Queued(2, 0, "a", 0, 100), limits, 2));
  CHECK(queue.Push(Queued(3, 0, "a", 0, 100), limits, 2).kind() ==
        error_kind::kOrganisationLimit);
  CHECK(queue.Push(Queued(4, 0, "b", 0, 100), limits, 2));
  CHECK(queue.Push(Queued(5, 0, "c", 0, 100), limits, 2).kind() ==
        error_kind::kQueueFull);
  const auto rows = queue.Rows({limits}, kT0 + milliseconds(5));
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].depth == 2);
  CHECK(rows[0].oldest == milliseconds(5));
}

TEST_CASE("burn over several windows and instances") {
  burn_tracker here;
  burn_tracker there;
  for (int i = 0; i < 90; ++i)
    here.Record("short", "svaz", true, kT0);
  for (int i = 0; i < 10; ++i)
    there.Record("short", "svaz", false, kT0);
  there.Record("short", "svaz", false, kT0 - std::chrono::minutes(40));
  there.Record("long", "svaz", false, kT0 - std::chrono::hours(7));
  const auto lines =
      EvaluateObjectives({{"short", "*", 0.95}, {"long", "*", 0.5}},
                         MergeBurnRows({here.Rows(kT0), there.Rows(kT0)}));
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].windows[0] == burn_count{100, 10});
  CHECK(lines[0].windows[2] == burn_count{101, 11});
  CHECK(lines[0].burn_rate[0] == Approx(2.0));
  CHECK(lines[0].budget_left == Approx(1 - (11.0 / 101) / 0.05));
  CHECK(lines[1].windows[3] == burn_count{0, 0});
}

TEST_CASE("the table of errors has a row for every kind") {
  const int value =
      GENERATE(range(0, static_cast<int>(error_kind::kInternal) + 1));
  const auto kind = static_cast<error_kind>(value);
  CHECK(ErrorResponseFor(kind).kind == kind);
  CHECK_FALSE(ErrorResponseFor(kind).name.empty());
  CHECK(KindOf(make_error_code(kind)) == kind);
  CHECK(ErrorResponseFor(static_cast<error_kind>(9999)).kind ==
        error_kind::kInternal);
}

}  // namespace
}  // namespace cactusward
