#include "cactusward/crash_report.h"

#include <algorithm>

namespace cactusward {

std::vector<crash_report> SplitCrashReport(const crash_report& report,
                                           std::size_t max_parts) {
  std::vector<crash_report> reports;
  std::size_t room = 0;  // in the last one, in parts
  for (const crash_suspect& suspect : report.suspects) {
    auto next = suspect.shared_parts.begin();
    while (next != suspect.shared_parts.end()) {
      const auto left =
          static_cast<std::size_t>(suspect.shared_parts.end() - next);
      if (room < std::min(left, max_parts)) {
        reports.push_back({report.upstream, report.age_ms, {}});
        room = max_parts;
      }
      const std::size_t count = std::min(left, room);
      const auto end = next + static_cast<std::ptrdiff_t>(count);
      reports.back().suspects.push_back({suspect.fingerprint, {next, end}});
      next = end;
      room -= count;
    }
  }
  return reports;
}

}  // namespace cactusward
