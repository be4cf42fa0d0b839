#include "cactusward/burn.h"

namespace cactusward {
namespace {

std::int64_t MinuteOf(time_point now) {
  return std::chrono::duration_cast<std::chrono::minutes>(
             now.time_since_epoch())
      .count();
}

void AddTo(const burn_count& count, burn_count* sum) {
  sum->total += count.total;
  sum->bad += count.bad;
}

bool Matches(const std::string& pattern, const std::string& name) {
  return pattern == "*" || pattern == name;
}

}  // namespace

void burn_tracker::Record(const std::string& length_class,
                          const std::string& organisation,
                          bool good,
                          time_point now) {
  const std::int64_t minute = MinuteOf(now);
  auto& by_minute = series_[{length_class, organisation}].by_minute;
  burn_count& count = by_minute[minute];
  ++count.total;
  count.bad += good ? 0 : 1;
  const std::int64_t oldest = minute - kBurnWindows.back().count();
  by_minute.erase(by_minute.begin(), by_minute.lower_bound(oldest));
}

std::vector<burn_row> burn_tracker::Rows(time_point now) const {
  const std::int64_t minute = MinuteOf(now);
  std::vector<burn_row> rows;
  for (const auto& [key, series] : series_) {
    burn_row row{key.first, key.second, {}};
    for (const auto& [at, count] : series.by_minute) {
      for (std::size_t w = 0; w < kBurnWindows.size(); ++w) {
        if (at > minute - kBurnWindows[w].count())
          AddTo(count, &row.windows[w]);
      }
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<burn_row> MergeBurnRows(
    const std::vector<std::vector<burn_row>>& all) {
  std::map<std::pair<std::string, std::string>, burn_row> merged;
  for (const auto& rows : all) {
    for (const burn_row& row : rows) {
      burn_row& sum = merged[{row.length_class, row.organisation}];
      sum.length_class = row.length_class;
      sum.organisation = row.organisation;
      for (std::size_t w = 0; w < kBurnWindows.size(); ++w)
        AddTo(row.windows[w], &sum.windows[w]);
    }
  }
  std::vector<burn_row> merged_rows;
  merged_rows.reserve(merged.size());
  for (auto& [key, row] : merged)
    merged_rows.push_back(std::move(row));
  return merged_rows;
}

std::vector<objective_burn> EvaluateObjectives(
    const std::vector<objective>& goals,
    const std::vector<burn_row>& rows) {
  std::vector<objective_burn> lines;
  for (const objective& goal : goals) {
    objective_burn line{goal, {}, {}, 1};
    for (const burn_row& row : rows) {
      if (!Matches(goal.length_class, row.length_class) ||
          !Matches(goal.organisation, row.organisation))
        continue;
      for (std::size_t w = 0; w < kBurnWindows.size(); ++w)
        AddTo(row.windows[w], &line.windows[w]);
    }
    for (std::size_t w = 0; w < kBurnWindows.size(); ++w) {
      const burn_count& count = line.windows[w];
      const double bad_ratio = count.total == 0
                                   ? 0
                                   : static_cast<double>(count.bad) /
                                         static_cast<double>(count.total);
      line.burn_rate[w] = bad_ratio / (1 - goal.target);
    }
    line.budget_left = 1 - line.burn_rate.back();
    lines.push_back(line);
  }
  return lines;
}

}  // namespace cactusward
