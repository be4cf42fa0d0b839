// Runs code after other code, also when that throws.
#ifndef CACTUSWARD_SRC_KERNEL_RUN_AND_CLEAN_UP_H_
#define CACTUSWARD_SRC_KERNEL_RUN_AND_CLEAN_UP_H_

#include <exception>
#include <type_traits>

namespace cactusward {

// Runs `body`, then `cleanup`, also when `body` throws a std::exception, which
// is passed on. When the calling coroutine is destroyed while `body` waits,
// `cleanup` does not run: the objects that it refers to may be gone by then.
// Precondition: `cleanup` does not throw. @return the result of `body`.
template <typename Body, typename Cleanup>
auto RunAndCleanUp(const Body& body, const Cleanup& cleanup) {
  if constexpr (std::is_void_v<decltype(body())>) {
    try {
      body();
    } catch (const std::exception&) {
      cleanup();
      throw;
    }
    cleanup();
  } else {
    auto value = [&] {
      try {
        return body();
      } catch (const std::exception&) {
        cleanup();
        throw;
      }
    }();
    cleanup();
    return value;
  }
}

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_RUN_AND_CLEAN_UP_H_
