// The Retry-After header of a response.
#ifndef CACTUSWARD_SRC_EDGES_RETRY_AFTER_H_
#define CACTUSWARD_SRC_EDGES_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "cactusward/time.h"

namespace cactusward {

// Longer times are taken as this one.
inline constexpr milliseconds kMaxRetryAfter{3'600'000};

// Parses a time in seconds, a decimal number that may have a fraction, rounded
// up to milliseconds. @return nullopt for anything else, such as a negative
// number or a date. Thread-safe.
std::optional<milliseconds> ParseRetryAfter(std::string_view text);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_RETRY_AFTER_H_
