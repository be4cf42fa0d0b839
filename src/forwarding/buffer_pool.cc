#include "cactusward/buffer_pool.h"

namespace cactusward {

bool buffer_pool::share::Resize(std::size_t bytes) {
  const std::size_t others = pool_->used_ - bytes_;
  if (bytes > bytes_ && bytes > (pool_->total_ - others) / 2)
    return false;
  pool_->used_ = others + bytes;
  bytes_ = bytes;
  return true;
}

}  // namespace cactusward
