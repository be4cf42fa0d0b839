// Reports of crashes of upstreams, as exchanged between instances.
#ifndef CACTUSWARD_CRASH_REPORT_H_
#define CACTUSWARD_CRASH_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cactusward {

// A request that was in flight at a crash and had not survived its start.
struct crash_suspect {
  std::uint64_t fingerprint = 0;
  std::vector<std::uint64_t> shared_parts;  // of its prompt

  friend bool operator==(const crash_suspect& a, const crash_suspect& b) {
    return a.fingerprint == b.fingerprint && a.shared_parts == b.shared_parts;
  }
};

// A crash as seen by one instance: with the requests that it had sent.
struct crash_report {
  std::uint32_t upstream = 0;  // UpstreamKey
  std::int64_t age_ms = 0;
  std::vector<crash_suspect> suspects;

  friend bool operator==(const crash_report& a, const crash_report& b) {
    return a.upstream == b.upstream && a.age_ms == b.age_ms &&
           a.suspects == b.suspects;
  }
};

// Splits a report that exceeds a message into reports of the same crash with at
// most `max_parts` parts each. A prompt with more is divided among several.
// Thread-safe. Precondition: `max_parts` > 0.
std::vector<crash_report> SplitCrashReport(const crash_report& report,
                                           std::size_t max_parts);

}  // namespace cactusward

#endif  // CACTUSWARD_CRASH_REPORT_H_
