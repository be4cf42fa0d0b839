// Parsing of untrusted JSON, without exceptions and with a limit on nesting.
#ifndef CACTUSWARD_SRC_EDGES_JSON_H_
#define CACTUSWARD_SRC_EDGES_JSON_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace cactusward {

// Parses `text`. Nesting deeper than kMaxNesting is rejected before parsing,
// since serialising such a value would overflow a coroutine's stack.
// @return nullopt for malformed text, invalid UTF-8 or too deep nesting.
// Thread-safe.
std::optional<nlohmann::json> ParseJson(std::string_view text);
// As above; calls `on_value` for each value, key, and start or end of a
// container. `on_value` may suspend the calling coroutine.
std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        const std::function<void()>& on_value);

// Serialises `value`; invalid UTF-8 is replaced by U+FFFD. Thread-safe.
std::string WriteJson(const nlohmann::json& value);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_JSON_H_
