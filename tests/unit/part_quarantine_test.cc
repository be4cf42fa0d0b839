// Attribution of crashes to parts of prompts, and the end of a quarantine.
#include "cactusward/part_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <numeric>
#include <random>

namespace cactusward {
namespace {

const time_point kStart = time_point() + std::chrono::hours(10);
constexpr std::uint64_t kCrashing = 100;
constexpr std::uint64_t kOtherCrashing = 101;
constexpr std::uint64_t kShared = 200;
constexpr std::uint64_t kRareShared = 201;
// At least the first delay before a trial, with one instance.
constexpr milliseconds kTrialWait{22'000};

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

struct event {
  int at_ms;
  // Parts of the suspects of a crash, or of one prompt that was survived.
  std::vector<std::vector<std::uint64_t>> prompts;
  bool crash = true;
};

// Plays events; each crash is of another upstream and has other requests.
void Play(const std::vector<event>& events, part_quarantine* table) {
  std::uint32_t upstream = 1;
  std::uint64_t fingerprint = 1;
  for (const event& item : events) {
    if (!item.crash) {
      table->RecordSound(item.prompts.front(), At(item.at_ms));
      continue;
    }
    crash_report report;
    report.upstream = upstream++;
    for (const auto& parts : item.prompts)
      report.suspects.push_back({fingerprint++, parts});
    table->MergeCrash(report, At(item.at_ms));
  }
}

bool IsRefused(const part_quarantine& table,
               const std::vector<std::uint64_t>& parts,
               int at_ms) {
  return table.Check(parts, std::nullopt, At(at_ms)).has_value();
}

std::vector<event> ThreeCrashes(
    const std::vector<std::vector<std::uint64_t>>& prompts) {
  return {{0, prompts}, {300, prompts}, {600, prompts}};
}

TEST_CASE("crashes are attributed to the part that explains them") {
  struct row {
    const char* name;
    std::vector<event> events;
    std::vector<std::vector<std::uint64_t>> refused;
    std::vector<std::vector<std::uint64_t>> allowed;
  };
  const row rows[] = {
      {"three crashes of one part",
       ThreeCrashes({{kCrashing}}),
       {{kCrashing}, {kShared, kCrashing}, {kCrashing, kShared}},
       {{kShared}, {}}},
      {"two crashes are too few",
       {{0, {{kCrashing}}}, {600, {{kCrashing}}}},
       {},
       {{kCrashing}}},
      {"crashes at one moment may have a common cause",
       {{0, {{kShared}}}, {20, {{kShared}}}, {90, {{kShared}}}},
       {},
       {{kShared}}},
      {"the part among others that differ",
       {{0, {{1, kCrashing}, {2}}},
        {300, {{3}, {4, kCrashing}}},
        {600, {{5, kCrashing}, {2}}}},
       {{kCrashing}, {9, kCrashing}},
       {{1}, {2}, {3}, {4}, {5}}},
      {"a part that always accompanies it is not refused by itself",
       ThreeCrashes({{kRareShared, kCrashing}}),
       {{kRareShared, kCrashing}, {kCrashing, kRareShared, 7}},
       {{kRareShared}, {kCrashing}}},
      {"another prompt tells the accompanying part from it",
       {{0, {{kRareShared, kCrashing}}},
        {300, {{kRareShared, kCrashing}}},
        {600, {{kRareShared, kCrashing}}},
        {780, {{8, kCrashing}}}},
       {{kCrashing}, {9, kCrashing}},
       {{kRareShared}, {8}}},
      {"an accompanying part that is sound elsewhere",
       {{0, {{kShared, kCrashing}}},
        {100, {{kShared}}, false},
        {300, {{kShared, kCrashing}}},
        {600, {{kShared, kCrashing}}}},
       {{kCrashing}, {9, kCrashing}},
       {{kShared}}},
      {"a part that others survive between the crashes",
       {{0, {{kShared}}},
        {100, {{kShared}}, false},
        {300, {{kShared}}},
        {400, {{kShared}}, false},
        {600, {{kShared}}}},
       {},
       {{kShared}}},
      {"a report that is still missing does not blame the accompanying part",
       {{0, {{kShared, kCrashing}}},
        {400, {{kShared, kCrashing}}},
        {900, {{kShared}}}},
       {{kShared, kCrashing}},
       {{kShared}}},
      {"the first part, with one of two others",
       {{0, {{kCrashing, 1}}},
        {200, {{kCrashing, 2}}},
        {400, {{kCrashing, 1}}},
        {600, {{kCrashing, 2}}},
        {700, {{kCrashing, 1}}},
        {750, {{kCrashing, 2}}}},
       {{kCrashing}, {kCrashing, 3}},
       {{1}, {2}}},
      {"two requests in flight with different other parts",
       ThreeCrashes({{1, kCrashing}, {2, kCrashing}}),
       {{1, kCrashing}},
       {{1}, {2}, {3, kCrashing}}},
      {"all of them, at a further crash",
       {{0, {{1, kCrashing}, {2, kCrashing}}},
        {200, {{1, kCrashing}, {2, kCrashing}}},
        {400, {{1, kCrashing}, {2, kCrashing}}},
        {600, {{1, kCrashing}, {2, kCrashing}}},
        {700, {{3, kCrashing}}}},
       {{1, kCrashing}, {2, kCrashing}, {3, kCrashing}},
       {{1}, {2}, {3}}},
      {"two crashing parts with the same accompanying part",
       {{-500, {{kShared}}, false},
        {0, {{kShared, kCrashing}}},
        {100, {{kShared, kOtherCrashing}}},
        {300, {{kShared, kCrashing}}},
        {400, {{kShared, kOtherCrashing}}},
        {600, {{kShared, kCrashing}}},
        {700, {{kShared, kOtherCrashing}}}},
       {{kCrashing}, {kOtherCrashing}},
       {{kShared}}},
      {"a part that was sound until it began to crash upstreams",
       {{-2'000, {{kCrashing}}, false},
        {0, {{kCrashing}}},
        {300, {{kCrashing}}},
        {600, {{kCrashing}}}},
       {{kCrashing}},
       {{kShared}}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    part_quarantine table(1);
    Play(r.events, &table);
    table.Update(At(1'000));
    for (const auto& parts : r.refused)
      CHECK(IsRefused(table, parts, 1'000));
    for (const auto& parts : r.allowed)
      CHECK_FALSE(IsRefused(table, parts, 1'000));
  }
}

// Guards against a crashing part that is not found since the prompts with it
// are longer than a report.
TEST_CASE("a prompt may be divided among reports") {
  constexpr std::uint64_t kOwn = 1'000'000;
  const std::size_t parts = GENERATE(3, 81, 4'000);
  const std::size_t parts_per_report = GENERATE(1, 50, 512);
  const bool others_are_sound = GENERATE(true, false);
  CAPTURE(parts, parts_per_report, others_are_sound);
  std::vector<std::uint64_t> shared(parts);
  std::iota(shared.begin(), shared.end(), 1'000);
  std::vector<std::uint64_t> crashing = shared;
  crashing.insert(crashing.end() - 1, kCrashing);
  part_quarantine table(1);
  for (std::uint32_t i = 0; i < 3; ++i) {
    const time_point at = At(static_cast<int>(i) * 300);
    if (others_are_sound)
      table.RecordSound(shared, at - milliseconds(50));
    std::vector<std::uint64_t> prompt = crashing;
    prompt.push_back(kOwn + i);
    for (const crash_report& report :
         SplitCrashReport({i, 0, {{i, prompt}}}, parts_per_report))
      CHECK(table.MergeCrash(report, at));
  }
  table.Update(At(900));
  CHECK(IsRefused(table, crashing, 900));
  CHECK_FALSE(IsRefused(table, shared, 900));
  CHECK(IsRefused(table, {kCrashing}, 900) == others_are_sound);
}

TEST_CASE("a report is split to fit into messages") {
  struct row {
    const char* name;
    std::vector<std::size_t> parts;  // of each suspect
    std::size_t max_parts;
    std::vector<std::vector<std::size_t>> split;
  };
  const row rows[] = {
      {"no suspect", {}, 4, {}},
      {"a suspect without parts", {0}, 4, {}},
      {"one report", {1, 3}, 4, {{1, 3}}},
      {"a prompt that fits into the next report", {2, 3}, 4, {{2}, {3}}},
      {"a longer prompt", {9}, 4, {{4}, {4}, {1}}},
      {"the rest of one and another", {9, 3}, 4, {{4}, {4}, {1, 3}}},
      {"a longer prompt behind another", {1, 5}, 4, {{1}, {4}, {1}}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    crash_report report{7, 11, {}};
    std::uint64_t next_part = 1;
    for (const std::size_t count : r.parts) {
      std::vector<std::uint64_t> parts(count);
      std::iota(parts.begin(), parts.end(), next_part);
      next_part += count;
      report.suspects.push_back({report.suspects.size(), parts});
    }
    std::vector<std::vector<std::size_t>> split;
    std::map<std::uint64_t, std::vector<std::uint64_t>> joined;
    for (const crash_report& piece : SplitCrashReport(report, r.max_parts)) {
      CHECK(piece.upstream == report.upstream);
      CHECK(piece.age_ms == report.age_ms);
      split.emplace_back();
      for (const crash_suspect& suspect : piece.suspects) {
        split.back().push_back(suspect.shared_parts.size());
        auto& parts = joined[suspect.fingerprint];
        parts.insert(parts.end(), suspect.shared_parts.begin(),
                     suspect.shared_parts.end());
      }
    }
    CHECK(split == r.split);
    for (const auto& [fingerprint, parts] : joined)
      CHECK(parts == report.suspects[fingerprint].shared_parts);
  }
}

// Guards against blaming a part for one request that is sent again and again.
TEST_CASE("the crashes of one request do not quarantine its parts") {
  part_quarantine table(1);
  for (std::uint32_t i = 0; i < 5; ++i)
    table.MergeCrash({i, 0, {{7, {kShared}}}}, At(static_cast<int>(i) * 300));
  CHECK_FALSE(IsRefused(table, {kShared}, 2'000));
}

// Guards against counting one crash several times: seen by several instances,
// or reported to one that was paused.
TEST_CASE("reports of one crash count once") {
  part_quarantine table(1);
  const crash_report first{1, 0, {{1, {kCrashing}}}};
  const crash_report seen_by_another{1, 10, {{2, {kCrashing}}}};
  CHECK(table.MergeCrash(first, At(0)));
  CHECK_FALSE(table.MergeCrash(first, At(50)));
  CHECK(table.MergeCrash(seen_by_another, At(20)));
  CHECK_FALSE(table.MergeCrash(first, At(5'000)));
  CHECK_FALSE(table.MergeCrash(seen_by_another, At(5'000)));
  CHECK_FALSE(IsRefused(table, {kCrashing}, 5'000));
}

TEST_CASE("reports in any order lead to the same quarantine") {
  std::vector<crash_report> reports = {
      {1, 900, {{1, {kShared, kCrashing}}}},
      {2, 600, {{2, {kShared, kCrashing}}, {9, {kRareShared}}}},
      {3, 300, {{3, {5, kCrashing}}}},
      {4, 0, {{4, {kShared, kCrashing}}}},
  };
  std::sort(reports.begin(), reports.end(),
            [](const auto& a, const auto& b) { return a.age_ms < b.age_ms; });
  do {
    part_quarantine table(1);
    for (const crash_report& report : reports)
      table.MergeCrash(report, At(0));
    table.Update(At(300));
    CHECK(IsRefused(table, {kCrashing}, 300));
    CHECK_FALSE(IsRefused(table, {kShared}, 300));
    CHECK_FALSE(IsRefused(table, {kRareShared}, 300));
  } while (std::next_permutation(
      reports.begin(), reports.end(),
      [](const auto& a, const auto& b) { return a.age_ms < b.age_ms; }));
}

// Guards against a wrong suspicion that lasts.
TEST_CASE("a quarantine ends when an upstream survives the part") {
  part_quarantine table(1);
  Play(ThreeCrashes({{kShared}}), &table);
  REQUIRE(IsRefused(table, {kShared}, 700));
  const bool by_peer = GENERATE(true, false);
  const time_point sound_at = At(650);
  const auto unknown_to_peers = table.RecordSound({kShared}, sound_at);
  CHECK(unknown_to_peers == std::vector<std::uint64_t>{kShared});
  CHECK_FALSE(IsRefused(table, {kShared}, 700));
  // A peer that has not learnt it does not bring the quarantine back.
  if (by_peer)
    CHECK_FALSE(table.MergeQuarantine({{kShared}, 3, 700, 100}, At(700)));
  CHECK_FALSE(IsRefused(table, {kShared}, 700));
}

TEST_CASE("one request at a time tries a quarantined part, ever more rarely") {
  part_quarantine table(1);
  Play(ThreeCrashes({{kCrashing}}), &table);
  const auto refusal = table.Check({kCrashing}, std::nullopt, At(600));
  REQUIRE(refusal);
  CHECK(refusal->retry_after >= milliseconds(20'000));
  CHECK_FALSE(table.BeginTrial({kCrashing}, At(10'000)));
  const time_point trial = At(600) + kTrialWait;
  CHECK(table.BeginTrial({kCrashing}, trial));
  CHECK_FALSE(table.Check({kCrashing}, trial, trial + milliseconds(50)));
  // Others go on to be refused.
  CHECK(table.Check({kCrashing}, std::nullopt, trial));
  CHECK_FALSE(table.BeginTrial({kCrashing}, trial + milliseconds(50)));
  table.MergeCrash({99, 0, {{99, {kCrashing}}}}, trial + milliseconds(100));
  CHECK(table.Check({kCrashing}, trial, trial + milliseconds(200)));
  CHECK_FALSE(table.BeginTrial({kCrashing}, trial + kTrialWait));
  CHECK(table.BeginTrial({kCrashing}, trial + 2 * kTrialWait));
}

// Guards against a fleet whose instances all try the part at the same time.
TEST_CASE("trials are spread over the instances") {
  constexpr std::size_t kInstances = 76;
  std::vector<milliseconds> delays;
  for (std::size_t i = 0; i < kInstances; ++i) {
    part_quarantine table(i);
    table.SetInstanceCount(kInstances);
    table.MergeQuarantine({{kCrashing}, 3, 600, 0}, At(0));
    delays.push_back(
        table.Check({kCrashing}, std::nullopt, At(0))->retry_after);
  }
  const auto [first, last] = std::minmax_element(delays.begin(), delays.end());
  CHECK(*last - *first >= milliseconds(500) * kInstances);
}

// Guards against ages that grow, or shrink, by the time on the way each time
// that a report is passed on.
TEST_CASE("passing a quarantine on does not renew it") {
  part_quarantine a(1);
  part_quarantine b(2);
  a.MergeQuarantine({{kCrashing}, 3, 600, 0}, At(0));
  for (int ms = 0; ms < 10'000; ms += 20) {
    b.MergeQuarantine(a.Quarantines(At(ms)).front(), At(ms + 5));
    a.MergeQuarantine(b.Quarantines(At(ms + 10)).front(), At(ms + 15));
  }
  CHECK(a.Quarantines(At(10'000)).front().last_crash_age_ms == 10'000);
  CHECK(b.Quarantines(At(10'000)).front().last_crash_age_ms >= 9'990);
}

// Guards against instances that refuse different requests, since each sees few
// crashes itself and datagrams are lost.
TEST_CASE(
    "all instances come to the same quarantine although messages are lost") {
  constexpr double kLoss = 0.1;
  constexpr std::uint32_t kCrashes = 5;
  constexpr int kRoundMs = 100;
  constexpr int kReportPeriodMs = 5'000;
  constexpr int kStableWindowMs = 3'000;
  const int instances = GENERATE(2, 7, 76);
  CAPTURE(instances);
  std::mt19937_64 random(7);
  std::bernoulli_distribution is_lost(kLoss);
  std::vector<part_quarantine> tables;
  for (int i = 0; i < instances; ++i)
    tables.emplace_back(i);
  struct report {
    int at_ms;
    crash_report crash;
  };
  std::vector<report> reports;
  for (std::uint32_t crash = 0; crash < kCrashes; ++crash) {
    const int at_ms = static_cast<int>(crash) * 400;
    // Two instances have requests in flight there, one of them a crashing one.
    reports.push_back({at_ms, {crash, 0, {{crash, {kShared, kCrashing}}}}});
    reports.push_back(
        {at_ms,
         {crash,
          0,
          {{100 + crash, {crash % 2 == 0 ? kShared : kRareShared}}}}});
  }
  const int last_crash_ms = reports.back().at_ms;
  const int end_ms = last_crash_ms + kStableWindowMs;
  for (int ms = 0; ms <= end_ms; ms += kRoundMs) {
    for (const report& item : reports) {
      if (item.at_ms > ms || ms - item.at_ms > kReportPeriodMs)
        continue;
      crash_report sent = item.crash;
      sent.age_ms = ms - item.at_ms;
      for (part_quarantine& table : tables) {
        if (!is_lost(random))
          table.MergeCrash(sent, At(ms));
      }
    }
    for (part_quarantine& table : tables) {
      table.Update(At(ms));
      part_quarantine& peer = tables[random() % tables.size()];
      for (const quarantine_report& quarantine : table.Quarantines(At(ms)))
        peer.MergeQuarantine(quarantine, At(ms + 5));
    }
  }
  for (const part_quarantine& table : tables) {
    CHECK(IsRefused(table, {kShared, kCrashing}, end_ms));
    CHECK_FALSE(IsRefused(table, {kShared}, end_ms));
    CHECK_FALSE(IsRefused(table, {kRareShared}, end_ms));
  }
}

TEST_CASE("invalid reports are ignored, evidence and quarantines expire") {
  part_quarantine table(1);
  const std::int64_t age = GENERATE(-1, 700'000, INT64_MAX / 2);
  CHECK_FALSE(table.MergeCrash({1, age, {{1, {kCrashing}}}}, At(0)));
  CHECK_FALSE(table.MergeCrash({1, 0, {}}, At(0)));
  CHECK_FALSE(table.MergeCrash({1, 0, {{1, {}}}}, At(0)));
  CHECK_FALSE(table.MergeQuarantine({{}, 3, 0, 0}, At(0)));
  CHECK_FALSE(table.MergeQuarantine({{1}, -1, 0, 0}, At(0)));
  CHECK_FALSE(table.MergeQuarantine({{1}, 3, 0, -1}, At(0)));
  Play(ThreeCrashes({{kCrashing}}), &table);
  REQUIRE(IsRefused(table, {kCrashing}, 600));
  table.Update(At(600) + std::chrono::minutes(11));
  CHECK_FALSE(IsRefused(table, {kCrashing}, 600));
}

}  // namespace
}  // namespace cactusward
