// Suspects, retry budget, admission, burn rates and error responses.
#include <catch2/catch.hpp>

#include "cactusward/admission.h"
#include "cactusward/burn.h"
#include "cactusward/error.h"
#include "cactusward/retry_budget.h"
#include "cactusward/suspects.h"

namespace cactusward {
namespace {

const time_point kStart = time_point() + std::chrono::hours(10);
constexpr milliseconds kPeriod{60'000};
constexpr std::uint64_t kCrashingRequest = 1;
constexpr std::uint64_t kHarmlessRequest = 2;
constexpr std::uint64_t kOtherRequest = 3;

TEST_CASE("a second crash is attributed to the existing suspect alone") {
  suspect_table table(2, kPeriod);
  CHECK(table
            .RecordCrash(10,
                         {{kCrashingRequest, false}, {kHarmlessRequest, false}},
                         kStart)
            .size() == 2);
  CHECK(table.VerdictFor(kCrashingRequest, kStart) ==
        suspect_verdict::kIsolate);
  CHECK(table
            .RecordCrash(11,
                         {{kCrashingRequest, false}, {kOtherRequest, false}},
                         kStart + milliseconds(900))
            .size() == 1);
  CHECK(table.VerdictFor(kCrashingRequest, kStart) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kOtherRequest, kStart) == suspect_verdict::kAllow);
  CHECK(table.VerdictFor(kHarmlessRequest, kStart) ==
        suspect_verdict::kIsolate);
  table.RecordCompletion(kHarmlessRequest);
  table.RecordCompletion(kCrashingRequest);
  CHECK(table.VerdictFor(kHarmlessRequest, kStart) == suspect_verdict::kAllow);
  CHECK(table.VerdictFor(kCrashingRequest, kStart) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kCrashingRequest, kStart + 2 * kPeriod) ==
        suspect_verdict::kAllow);
}

TEST_CASE("a request that had tokens is a weak suspect") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kCrashingRequest, false}, {kHarmlessRequest, true}},
                    kStart);
  CHECK(table.VerdictFor(kHarmlessRequest, kStart) == suspect_verdict::kAllow);
  // A weak suspect is not blamed if a strong suspect was in flight.
  CHECK(table
            .RecordCrash(11,
                         {{kCrashingRequest, false}, {kHarmlessRequest, true}},
                         kStart)
            .size() == 1);
  CHECK(table.VerdictFor(kCrashingRequest, kStart) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kHarmlessRequest, kStart) == suspect_verdict::kAllow);
}

TEST_CASE("a weak suspect alone on two crashed upstreams is refused") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kCrashingRequest, true}}, kStart);
  table.RecordCrash(11, {{kCrashingRequest, true}}, kStart);
  CHECK(table.VerdictFor(kCrashingRequest, kStart) == suspect_verdict::kRefuse);
}

TEST_CASE("crashes seen by two instances add up, a shared one counts once") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kCrashingRequest, false}}, kStart);
  CHECK_FALSE(table.MergeReport({kCrashingRequest, 10, 20, true}, kStart));
  CHECK(table.VerdictFor(kCrashingRequest, kStart) ==
        suspect_verdict::kIsolate);
  CHECK(table.MergeReport({kCrashingRequest, 11, 0, true}, kStart));
  CHECK(table.VerdictFor(kCrashingRequest, kStart) == suspect_verdict::kRefuse);
}

TEST_CASE("a crash that a peer attributes clears weak suspects") {
  const bool report_first = GENERATE(true, false);
  const bool earlier = GENERATE(true, false);
  suspect_table table(2, kPeriod);
  table.MergeReport({kCrashingRequest, 10, 0, true}, kStart);
  if (earlier)
    table.RecordCrash(10, {{kHarmlessRequest, true}}, kStart);
  if (report_first)
    table.MergeReport({kCrashingRequest, 11, 0, true}, kStart);
  table.RecordCrash(11, {{kHarmlessRequest, true}}, kStart);
  if (!report_first)
    table.MergeReport({kCrashingRequest, 11, 0, true}, kStart);
  CHECK(table.VerdictFor(kCrashingRequest, kStart) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kHarmlessRequest, kStart) == suspect_verdict::kAllow);
}

TEST_CASE("a strong suspect is blamed even if a peer explains the crash") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kCrashingRequest, false}}, kStart);
  table.MergeReport({kHarmlessRequest, 10, 0, true}, kStart);
  table.MergeReport({kHarmlessRequest, 11, 0, true}, kStart);
  table.RecordCrash(11, {{kCrashingRequest, false}}, kStart);
  CHECK(table.VerdictFor(kCrashingRequest, kStart) == suspect_verdict::kRefuse);
}

TEST_CASE("requests that cannot be told apart are all refused") {
  suspect_table table(2, kPeriod);
  table.RecordCrash(10, {{kHarmlessRequest, false}}, kStart);
  table.MergeReport({kCrashingRequest, 10, 0, true}, kStart);
  table.RecordCrash(11, {{kHarmlessRequest, false}}, kStart);
  CHECK(table.MergeReport({kCrashingRequest, 11, 0, true}, kStart));
  CHECK(table.VerdictFor(kHarmlessRequest, kStart) == suspect_verdict::kRefuse);
  CHECK(table.VerdictFor(kCrashingRequest, kStart) == suspect_verdict::kRefuse);
}

TEST_CASE("suspicions expire and reports of invalid age are ignored") {
  suspect_table table(2, kPeriod);
  const std::int64_t age = GENERATE(-1, 60'001, INT64_MAX);
  CHECK_FALSE(table.MergeReport({kCrashingRequest, 10, age, true}, kStart));
  table.RecordCrash(10, {{kCrashingRequest, false}}, kStart);
  table.Expire(kStart + 2 * kPeriod);
  CHECK(table.size() == 0);
}

TEST_CASE("retries are limited to a share of first attempts") {
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

organisation MakeOrganisation(int concurrent, std::int64_t rate) {
  organisation result;
  result.name = "svaz";
  result.limits = {concurrent, 100, rate};
  return result;
}

TEST_CASE("an organisation's concurrency limit is divided among instances") {
  struct row {
    int instances;
    int expected;
  };
  const row row = GENERATE(values<struct row>({{1, 16}, {4, 6}, {100, 1}}));
  organisation_limiter limiter;
  limiter.SetInstanceCount(row.instances);
  int admitted = 0;
  while (admitted < 50 &&
         limiter.Admit(MakeOrganisation(16, 1'000'000'000), 1, kStart))
    ++admitted;
  CHECK(admitted == row.expected);
  limiter.Release("svaz");
  CHECK(limiter.Admit(MakeOrganisation(16, 1'000'000'000), 1, kStart));
}

TEST_CASE("an organisation's token bucket refills over time") {
  organisation_limiter limiter;
  const organisation org = MakeOrganisation(1000, 100);
  CHECK(limiter.Admit(org, 1000, kStart));
  CHECK(limiter.Admit(org, 1, kStart).kind() == error_kind::kOrganisationLimit);
  CHECK(limiter.Admit(org, 100, kStart + std::chrono::seconds(1)));
  CHECK_FALSE(limiter.Admit(org, 100, kStart + std::chrono::seconds(1)));
  // A prompt larger than the bucket capacity can still be admitted.
  CHECK(limiter.Admit(org, 50'000, kStart + std::chrono::hours(1)));
}

queued_request MakeQueuedRequest(std::uint64_t id,
                                 std::size_t length_class,
                                 const std::string& org,
                                 int age_ms,
                                 int time_limit_ms) {
  queued_request request;
  request.id = id;
  request.length_class = length_class;
  request.organisation = org;
  request.queued_at = kStart - milliseconds(age_ms);
  request.deadline = request.queued_at + milliseconds(time_limit_ms);
  return request;
}

TEST_CASE("the queue orders by class, round-robin turn and urgency") {
  request_queue queue;
  length_class limits;
  limits.max_queued = 10;
  queue.Push(MakeQueuedRequest(1, 1, "large", 50, 60'000), limits, 10);
  queue.Push(MakeQueuedRequest(2, 0, "large", 40, 60'000), limits, 10);
  queue.Push(MakeQueuedRequest(3, 0, "large", 30, 60'000), limits, 10);
  queue.Push(MakeQueuedRequest(4, 0, "small", 10, 60'000), limits, 10);
  CHECK(queue.Order(kStart) == std::vector<std::uint64_t>{2, 4, 3, 1});
  // After half of its time to the deadline, a long request counts as the
  // shortest class.
  CHECK(queue.Order(kStart + milliseconds(29'960)).front() == 1);
  CHECK(queue.Remove(2));
  CHECK_FALSE(queue.Remove(2));
  CHECK(queue.size() == 3);
}

TEST_CASE("the queue is bounded by class and by organisation") {
  request_queue queue;
  length_class limits;
  limits.max_queued = 3;
  CHECK(queue.Push(MakeQueuedRequest(1, 0, "a", 0, 100), limits, 2));
  CHECK(queue.Push(MakeQueuedRequest(2, 0, "a", 0, 100), limits, 2));
  CHECK(queue.Push(MakeQueuedRequest(3, 0, "a", 0, 100), limits, 2).kind() ==
        error_kind::kOrganisationLimit);
  CHECK(queue.Push(MakeQueuedRequest(4, 0, "b", 0, 100), limits, 2));
  CHECK(queue.Push(MakeQueuedRequest(5, 0, "c", 0, 100), limits, 2).kind() ==
        error_kind::kQueueFull);
  const auto rows = queue.Rows({limits}, kStart + milliseconds(5));
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].depth == 2);
  CHECK(rows[0].oldest == milliseconds(5));
}

TEST_CASE("burn rates over several windows and instances") {
  burn_tracker instance1;
  burn_tracker instance2;
  for (int i = 0; i < 90; ++i)
    instance1.Record("short", "svaz", true, kStart);
  for (int i = 0; i < 10; ++i)
    instance2.Record("short", "svaz", false, kStart);
  instance2.Record("short", "svaz", false, kStart - std::chrono::minutes(40));
  instance2.Record("long", "svaz", false, kStart - std::chrono::hours(7));
  const auto lines = EvaluateObjectives(
      {{"short", "*", 0.95}, {"long", "*", 0.5}},
      MergeBurnRows({instance1.Rows(kStart), instance2.Rows(kStart)}));
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].windows[0] == burn_count{100, 10});
  CHECK(lines[0].windows[2] == burn_count{101, 11});
  CHECK(lines[0].burn_rate[0] == Approx(2.0));
  CHECK(lines[0].budget_left == Approx(1 - (11.0 / 101) / 0.05));
  CHECK(lines[1].windows[3] == burn_count{0, 0});
}

TEST_CASE("every error kind has a response") {
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
