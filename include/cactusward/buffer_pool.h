// Bounds the memory of buffers that are filled from the network.
#ifndef CACTUSWARD_BUFFER_POOL_H_
#define CACTUSWARD_BUFFER_POOL_H_

#include <cstddef>

namespace cactusward {

// A pool that many buffers share. A buffer may grow to the size of what is left
// of the pool, so that a few that grow without end leave room for the others.
// Not thread-safe.
class buffer_pool {
 public:
  explicit buffer_pool(std::size_t total_bytes) : total_(total_bytes) {}

  std::size_t used() const { return used_; }

  // The part of the pool that one buffer uses. Returned by the destructor.
  class share {
   public:
    // Precondition: `pool` outlives the share.
    explicit share(buffer_pool* pool) : pool_(pool) {}
    ~share() { pool_->used_ -= bytes_; }
    share(const share&) = delete;
    share& operator=(const share&) = delete;

    // @return false, without a change, when the buffer may not grow to `bytes`.
    bool Resize(std::size_t bytes);

   private:
    buffer_pool* pool_;
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t total_;
  std::size_t used_ = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_BUFFER_POOL_H_
