#include "src/kernel/deflate.h"

#include <catch2/catch.hpp>
#include <random>

namespace cactusward {
namespace {

const auto kNoPause = [] {};

TEST_CASE("a compressed text is restored") {
  constexpr std::size_t kLength = 300'000;
  std::mt19937 random(1);
  std::string noise;
  for (std::size_t i = 0; i < kLength; ++i)
    noise += static_cast<char>(random());
  std::string repeated;
  while (repeated.size() < kLength)
    repeated += "{\"kind\":\"streaming\",\"timeout_ms\":10000}";
  for (const std::string& text :
       {std::string(), std::string("a"), std::string(8 * 1'024, 'b'), repeated,
        noise}) {
    CAPTURE(text.size());
    int pauses = 0;
    const std::string bytes = Deflate(text, [&pauses] { ++pauses; });
    CHECK((pauses > 0) == (text.size() > 8 * 1'024));
    CHECK(Inflate(bytes, text.size(), kNoPause) == text);
    // Cut off, or too long.
    CHECK_FALSE(
        Inflate(bytes.substr(0, bytes.size() - 1), text.size(), kNoPause));
    if (!text.empty())
      CHECK_FALSE(Inflate(bytes, text.size() - 1, kNoPause));
  }
  CHECK(Deflate(repeated, kNoPause).size() < repeated.size() / 50);
}

TEST_CASE("bytes that are no compressed text are rejected") {
  CHECK_FALSE(Inflate("", 100, kNoPause));
  CHECK_FALSE(Inflate("{\"version\":1}", 100, kNoPause));
  CHECK_FALSE(Inflate(std::string(1'000, '\xff'), 10'000, kNoPause));
}

}  // namespace
}  // namespace cactusward
