#include "src/kernel/nesting.h"

#include <array>
#include <cstdint>
#include <limits>

namespace cactusward {
namespace {

// Major types and other codes of the initial byte of a data item (RFC 8949).
constexpr unsigned kByteString = 2;
constexpr unsigned kTextString = 3;
constexpr unsigned kArray = 4;
constexpr unsigned kMap = 5;
constexpr unsigned kTag = 6;
constexpr unsigned kSimple = 7;
constexpr unsigned kMajorTypeShift = 5;
constexpr unsigned kArgumentMask = 0x1f;
constexpr unsigned kFirstLongArgument = 24;  // 1, 2, 4 or 8 bytes follow
constexpr unsigned kLastLongArgument = 27;
constexpr unsigned kIndefiniteLength = 31;
constexpr std::uint64_t kUntilBreak = std::numeric_limits<std::uint64_t>::max();

// Reads data items one by one and keeps track of those that are open.
class cbor_depth_scanner {
 public:
  explicit cbor_depth_scanner(std::string_view bytes) : bytes_(bytes) {}

  bool IsTooDeep() {
    // Stops at malformed bytes, which the decoder rejects.
    while (!too_deep_ && ReadItem()) {
    }
    return too_deep_;
  }

 private:
  // @return false at the end of the outermost item or of the valid bytes.
  bool ReadItem() {
    if (bytes_.empty())
      return false;
    const auto initial = static_cast<std::uint8_t>(bytes_.front());
    bytes_.remove_prefix(1);
    const unsigned major = initial >> kMajorTypeShift;
    const unsigned info = initial & kArgumentMask;
    if (info == kIndefiniteLength)
      return major == kSimple ? Break() : Open(kUntilBreak);
    std::uint64_t argument = info;
    if (info >= kFirstLongArgument && !ReadArgument(info, &argument))
      return false;
    switch (major) {
      case kByteString:
      case kTextString:
        if (argument > bytes_.size())
          return false;
        bytes_.remove_prefix(argument);
        return Close();
      case kArray:
        return argument == 0 ? Close() : Open(argument);
      case kMap:
        if (argument > kUntilBreak / 2 - 1)
          return false;
        return argument == 0 ? Close() : Open(2 * argument);
      case kTag:
        return Open(1);
      default:
        return Close();
    }
  }

  bool ReadArgument(unsigned info, std::uint64_t* argument) {
    if (info > kLastLongArgument)
      return false;
    const std::size_t size = std::size_t{1} << (info - kFirstLongArgument);
    if (size > bytes_.size())
      return false;
    *argument = 0;
    for (std::size_t i = 0; i < size; ++i)
      *argument = *argument << 8 | static_cast<std::uint8_t>(bytes_[i]);
    bytes_.remove_prefix(size);
    return true;
  }

  // Begins an item that has `items` parts.
  bool Open(std::uint64_t items) {
    too_deep_ = depth_ == open_.size();
    if (too_deep_)
      return false;
    open_[depth_++] = items;
    return true;
  }

  // Ends an item, and those whose last part it was.
  bool Close() {
    while (depth_ > 0) {
      std::uint64_t& left = open_[depth_ - 1];
      if (left == kUntilBreak || --left > 0)
        return true;
      --depth_;
    }
    return false;
  }

  bool Break() {
    if (depth_ == 0 || open_[depth_ - 1] != kUntilBreak)
      return false;
    --depth_;
    return Close();
  }

  std::string_view bytes_;
  std::array<std::uint64_t, kMaxNesting> open_{};
  std::size_t depth_ = 0;
  bool too_deep_ = false;
};

}  // namespace

bool IsJsonTooDeep(std::string_view text) {
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
    else if ((c == '[' || c == '{') && ++depth > kMaxNesting)
      return true;
    else if (c == ']' || c == '}')
      --depth;
  }
  return false;
}

bool IsCborTooDeep(std::string_view bytes) {
  return cbor_depth_scanner(bytes).IsTooDeep();
}

}  // namespace cactusward
