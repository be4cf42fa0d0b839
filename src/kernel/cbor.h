// Decodes untrusted CBOR without throwing exceptions.
#ifndef CACTUSWARD_SRC_KERNEL_CBOR_H_
#define CACTUSWARD_SRC_KERNEL_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace cactusward {

// @return a discarded value if `bytes` is malformed or nested too deeply.
//     Thread-safe.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_CBOR_H_
