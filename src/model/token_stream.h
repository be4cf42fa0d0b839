// The text that a model engine generates: each token follows from all the text
// before it, so that a continued request yields what an unbroken one would.
#ifndef CACTUSWARD_SRC_MODEL_TOKEN_STREAM_H_
#define CACTUSWARD_SRC_MODEL_TOKEN_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusward::model {

// Not thread-safe.
class token_stream {
 public:
  explicit token_stream(std::string_view text) { Update(text); }

  // The next token; it becomes part of the text.
  std::string Next() {
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string token = " ";
    for (int shift = 48; shift >= 36; shift -= 4)
      token.push_back(kDigits[(state_ >> shift) & 15]);
    Update(token);
    return token;
  }

 private:
  void Update(std::string_view text) {
    constexpr std::uint64_t kPrime = 0x100000001b3;
    for (char c : text)
      state_ = (state_ ^ static_cast<unsigned char>(c)) * kPrime;
  }

  std::uint64_t state_ = 0xcbf29ce484222325;
};

// The whole answer to `prompt`. Thread-safe.
inline std::string ExpectedText(std::string_view prompt, int tokens) {
  token_stream stream(prompt);
  std::string text;
  for (int i = 0; i < tokens; ++i)
    text += stream.Next();
  return text;
}

}  // namespace cactusward::model

#endif  // CACTUSWARD_SRC_MODEL_TOKEN_STREAM_H_
