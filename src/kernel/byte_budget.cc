#include "cactusward/byte_budget.h"

#include <utility>

namespace cactusward {
namespace {

// Three eighths of the smallest machine, 112 MB, are 42 MB. The program and its
// state take 15 to 20 MB there, and buffered responses up to 32 MB.
constexpr std::size_t kBudgetNumerator = 3;
constexpr std::size_t kBudgetDenominator = 8;
constexpr std::size_t kReservedDivisor = 4;
// Bodies of calls and of short prompts are smaller.
constexpr std::size_t kSmallLeaseBytes = 256ULL * 1024;

}  // namespace

byte_budget_settings BudgetForProcess(std::size_t process_bytes) {
  byte_budget_settings settings;
  settings.total_bytes = process_bytes / kBudgetDenominator * kBudgetNumerator;
  settings.reserved_bytes = settings.total_bytes / kReservedDivisor;
  settings.small_lease_bytes = kSmallLeaseBytes;
  return settings;
}

byte_budget::lease::~lease() {
  Take(0);
}

byte_budget::lease::lease(lease&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)),
      bytes_(std::exchange(other.bytes_, 0)) {}

byte_budget::lease& byte_budget::lease::operator=(lease&& other) noexcept {
  if (this != &other) {
    Take(0);
    budget_ = std::exchange(other.budget_, nullptr);
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

bool byte_budget::lease::Resize(std::size_t bytes) {
  if (bytes > bytes_) {
    if (!budget_)
      return false;
    const std::size_t limit = budget_->LimitFor(bytes);
    const std::size_t others = budget_->used_ - bytes_;
    if (bytes > limit || others > limit - bytes)
      return false;
  }
  Take(bytes);
  return true;
}

void byte_budget::lease::Take(std::size_t bytes) {
  if (!budget_)
    return;
  budget_->used_ = budget_->used_ - bytes_ + bytes;
  bytes_ = bytes;
}

}  // namespace cactusward
