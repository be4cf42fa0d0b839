// Burn rates of service-level objectives: how fast each error budget is
// consumed.
#ifndef CACTUSWARD_BURN_H_
#define CACTUSWARD_BURN_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cactusward/config.h"
#include "cactusward/time.h"

namespace cactusward {

inline constexpr std::array<std::chrono::minutes, 4> kBurnWindows = {
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::minutes(60),
    std::chrono::minutes(360)};

struct burn_count {
  std::int64_t total = 0;
  std::int64_t bad = 0;

  friend bool operator==(const burn_count& a, const burn_count& b) {
    return a.total == b.total && a.bad == b.bad;
  }
};

// Request counts of one class and organisation in each window of kBurnWindows.
struct burn_row {
  std::string length_class;
  std::string organisation;
  std::array<burn_count, kBurnWindows.size()> windows;

  friend bool operator==(const burn_row& a, const burn_row& b) {
    return a.length_class == b.length_class &&
           a.organisation == b.organisation && a.windows == b.windows;
  }
};

// Fleet-wide burn of one objective.
struct objective_burn {
  objective goal;
  std::array<burn_count, kBurnWindows.size()> windows;
  std::array<double, kBurnWindows.size()>
      burn_rate;           // 1: bad requests at exactly the allowed rate
  double budget_left = 1;  // over the longest window; may be negative

  friend bool operator==(const objective_burn& a, const objective_burn& b) {
    return a.goal == b.goal && a.windows == b.windows &&
           a.burn_rate == b.burn_rate && a.budget_left == b.budget_left;
  }
};

// Counts good and bad requests of this instance per minute. Not thread-safe.
class burn_tracker {
 public:
  void Record(const std::string& length_class,
              const std::string& organisation,
              bool good,
              time_point now);
  std::vector<burn_row> Rows(time_point now) const;

 private:
  struct series {
    std::map<std::int64_t, burn_count> by_minute;
  };
  std::map<std::pair<std::string, std::string>, series> series_;
};

// Sums the rows of several instances. Thread-safe.
std::vector<burn_row> MergeBurnRows(
    const std::vector<std::vector<burn_row>>& all);

// Computes the burn of each objective from merged rows. Thread-safe.
std::vector<objective_burn> EvaluateObjectives(
    const std::vector<objective>& goals,
    const std::vector<burn_row>& rows);

}  // namespace cactusward

#endif  // CACTUSWARD_BURN_H_
