#include "src/edges/json.h"

namespace cactusward {
namespace {

bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        in_string = false;
      continue;
    }
    if (c == '"')
      in_string = true;
    else if ((c == '[' || c == '{') && ++depth > kMaxJsonDepth)
      return true;
    else if (c == ']' || c == '}')
      --depth;
  }
  return false;
}

}  // namespace

std::optional<nlohmann::json> ParseJson(std::string_view text) {
  if (IsTooDeep(text))
    return std::nullopt;
  nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded())
    return std::nullopt;
  return value;
}

std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        const std::function<void()>& on_value) {
  if (IsTooDeep(text))
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
