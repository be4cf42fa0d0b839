// Compression of texts that are sent between instances (RFC 1951).
#ifndef CACTUSWARD_SRC_KERNEL_DEFLATE_H_
#define CACTUSWARD_SRC_KERNEL_DEFLATE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cactusward {

// Calls `pause` between steps of well under a millisecond; `text` must stay
// unchanged meanwhile. Thread-safe.
std::string Deflate(std::string_view text, const std::function<void()>& pause);
// As above.
// @return nullopt if `bytes` is not a complete compressed text, or its text is
//     longer than `max_bytes`. Thread-safe.
std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_bytes,
                                   const std::function<void()>& pause);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_DEFLATE_H_
