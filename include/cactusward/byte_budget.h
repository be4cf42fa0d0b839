// Bounds the bytes that an instance holds for callers.
#ifndef CACTUSWARD_BYTE_BUDGET_H_
#define CACTUSWARD_BYTE_BUDGET_H_

#include <cstddef>

namespace cactusward {

struct byte_budget_settings {
  std::size_t total_bytes = 0;
  // Part of the total that only small leases may use, so that many large ones
  // cannot take everything.
  std::size_t reserved_bytes = 0;
  // A lease of up to this size is small.
  std::size_t small_lease_bytes = 0;

  friend bool operator==(const byte_budget_settings& a,
                         const byte_budget_settings& b) {
    return a.total_bytes == b.total_bytes &&
           a.reserved_bytes == b.reserved_bytes &&
           a.small_lease_bytes == b.small_lease_bytes;
  }
};

// A budget that many leases share. Not thread-safe.
class byte_budget {
 public:
  // Precondition: `reserved_bytes` is at most `total_bytes`.
  explicit byte_budget(const byte_budget_settings& settings)
      : settings_(settings) {}
  byte_budget(const byte_budget&) = delete;
  byte_budget& operator=(const byte_budget&) = delete;

  std::size_t used() const { return used_; }
  const byte_budget_settings& settings() const { return settings_; }
  // What leases may take together when one of them grows to `lease_bytes`.
  std::size_t LimitFor(std::size_t lease_bytes) const {
    return lease_bytes <= settings_.small_lease_bytes
               ? settings_.total_bytes
               : settings_.total_bytes - settings_.reserved_bytes;
  }

  // The bytes that one buffer takes from the budget. Returned by the
  // destructor. Movable; a moved-from lease holds nothing.
  class lease {
   public:
    lease() = default;
    // Precondition: `budget` outlives the lease.
    explicit lease(byte_budget* budget) : budget_(budget) {}
    ~lease();
    lease(lease&& other) noexcept;
    lease& operator=(lease&& other) noexcept;

    // Grows or shrinks the lease to `bytes`. Shrinking always succeeds.
    // @return false, without a change, when the budget does not have the bytes.
    bool Resize(std::size_t bytes);
    // Grows or shrinks the lease to `bytes`, also beyond the budget. For work
    // that must not be refused any more: others are refused meanwhile.
    void Take(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

   private:
    byte_budget* budget_ = nullptr;
    std::size_t bytes_ = 0;
  };

 private:
  byte_budget_settings settings_;
  std::size_t used_ = 0;
};

// The part of a process's memory that may be held for callers. The rest is for
// the program, its state, responses of upstreams and allocator overhead.
// @param process_bytes memory that the process may use. Thread-safe.
byte_budget_settings BudgetForProcess(std::size_t process_bytes);

}  // namespace cactusward

#endif  // CACTUSWARD_BYTE_BUDGET_H_
