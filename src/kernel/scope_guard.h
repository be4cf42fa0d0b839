// Runs code at the end of a scope, also when an exception leaves it.
#ifndef CACTUSWARD_SRC_KERNEL_SCOPE_GUARD_H_
#define CACTUSWARD_SRC_KERNEL_SCOPE_GUARD_H_

#include <utility>

namespace cactusward {

template <typename Action>
class scope_guard {
 public:
  // Precondition: `action` does not throw.
  explicit scope_guard(Action action) : action_(std::move(action)) {}
  ~scope_guard() { action_(); }
  scope_guard(const scope_guard&) = delete;
  scope_guard& operator=(const scope_guard&) = delete;

 private:
  Action action_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_SCOPE_GUARD_H_
