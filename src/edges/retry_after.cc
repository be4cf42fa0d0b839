#include "src/edges/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace cactusward {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;

}  // namespace

std::optional<milliseconds> ParseRetryAfter(std::string_view text) {
  double seconds = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] =
      std::from_chars(text.data(), text_end, seconds, std::chars_format::fixed);
  if (error != std::errc() || end != text_end || !std::isfinite(seconds) ||
      seconds < 0)
    return std::nullopt;
  const double time = std::min(std::ceil(seconds * kMillisecondsPerSecond),
                               static_cast<double>(kMaxRetryAfter.count()));
  return milliseconds(static_cast<std::int64_t>(time));
}

}  // namespace cactusward
