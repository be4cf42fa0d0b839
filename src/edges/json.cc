#include "src/edges/json.h"

#include "src/kernel/nesting.h"

namespace cactusward {
std::optional<nlohmann::json> ParseJson(std::string_view text) {
  if (IsJsonTooDeep(text))
    return std::nullopt;
  nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded())
    return std::nullopt;
  return value;
}

std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        const std::function<void()>& on_value) {
  if (IsJsonTooDeep(text))
    return std::nullopt;
  nlohmann::json value = nlohmann::json::parse(
      text,
      [&on_value](int, nlohmann::json::parse_event_t, nlohmann::json&) {
        on_value();
        return true;
      },
      false);
  if (value.is_discarded())
    return std::nullopt;
  return value;
}

std::string WriteJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace cactusward
