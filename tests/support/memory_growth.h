// Memory that the process uses.
#ifndef CACTUSWARD_TESTS_SUPPORT_MEMORY_GROWTH_H_
#define CACTUSWARD_TESTS_SUPPORT_MEMORY_GROWTH_H_

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <fstream>

#include "src/edges/net.h"

namespace cactusward::testing {

// The resident size of the process in bytes; stacks that are not used do not
// count.
inline std::int64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

// Measures by how much the resident size grows while a loop runs.
class memory_growth {
 public:
  explicit memory_growth(asio::io_context& io) : timer_(io) {
    // What was freed before would hide as much growth.
    malloc_trim(0);
    before_ = ResidentBytes();
    Sample();
  }
  std::int64_t bytes() const { return most_ - before_; }

 private:
  void Sample() {
    most_ = std::max(most_, ResidentBytes());
    timer_.expires_after(kPeriod);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error)
        Sample();
    });
  }

  static constexpr milliseconds kPeriod{5};
  asio::steady_timer timer_;
  std::int64_t before_ = 0;
  std::int64_t most_ = 0;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_MEMORY_GROWTH_H_
