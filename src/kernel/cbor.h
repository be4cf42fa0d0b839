// CBOR from outside, decoded without exceptions.
#ifndef CACTUSWARD_SRC_KERNEL_CBOR_H_
#define CACTUSWARD_SRC_KERNEL_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace cactusward {

// Decodes `bytes`. @return a discarded value for anything malformed.
// Thread-safe.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_CBOR_H_
