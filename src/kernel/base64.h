// Base64 with padding.
#ifndef CACTUSWARD_SRC_KERNEL_BASE64_H_
#define CACTUSWARD_SRC_KERNEL_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace cactusward {

// Thread-safe.
std::string EncodeBase64(std::string_view bytes);
// @return no value for text that is not base64. Thread-safe.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_BASE64_H_
