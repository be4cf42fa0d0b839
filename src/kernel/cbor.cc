#include "src/kernel/cbor.h"

#include "src/kernel/nesting.h"

namespace cactusward {

nlohmann::json ParseCbor(std::string_view bytes) {
  if (IsCborTooDeep(bytes))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  // The library throws for lengths beyond what a container can hold, even with
  // exceptions disabled.
  try {
    return nlohmann::json::from_cbor(bytes, true, false);
  } catch (const std::exception&) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

}  // namespace cactusward
