#include "src/kernel/allocator.h"

#include <cstdlib>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace cactusward {

void ReturnLargeBuffers() {
#ifdef __GLIBC__
  // The initial value of glibc. Setting it keeps it from being adjusted.
  constexpr int kMapThresholdBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
#endif
}

}  // namespace cactusward
