// A clock that goes on while the machine is suspended.
#ifndef CACTUSWARD_SRC_KERNEL_BOOT_CLOCK_H_
#define CACTUSWARD_SRC_KERNEL_BOOT_CLOCK_H_

#include <time.h>

#include "cactusward/time.h"

namespace cactusward {

// Time since the start of the machine. Thread-safe.
inline duration BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_BOOT_CLOCK_H_
