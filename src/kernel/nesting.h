// Bounds the nesting of untrusted documents. Decoding deeply nested CBOR, or
// serialising deeply nested JSON, would overflow a coroutine's stack.
#ifndef CACTUSWARD_SRC_KERNEL_NESTING_H_
#define CACTUSWARD_SRC_KERNEL_NESTING_H_

#include <string_view>

namespace cactusward {

// Most levels of arrays and objects.
inline constexpr int kMaxNesting = 64;

// Whether JSON text is nested more deeply than kMaxNesting. The text need not
// be valid. Thread-safe.
bool IsJsonTooDeep(std::string_view text);
// Whether CBOR is nested more deeply than kMaxNesting, counting strings without
// a length as a level. The bytes need not be valid. Thread-safe.
bool IsCborTooDeep(std::string_view bytes);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_NESTING_H_
