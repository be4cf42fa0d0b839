#include "src/edges/message_framing.h"

#include <algorithm>

namespace cactusward {
namespace {

constexpr int kMaxSizeDigits = 15;  // fits into 64 bits
constexpr unsigned kBitsPerDigit = 4;
constexpr int kFirstLetterValue = 10;
constexpr char kDelete = 127;

bool IsBlank(char c) {
  return c == ' ' || c == '\t';
}

bool IsControl(char c) {
  return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == kDelete;
}

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view lower) {
  return a.size() == lower.size() &&
         std::equal(a.begin(), a.end(), lower.begin(),
                    [](char x, char y) { return ToLower(x) == y; });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsBlank(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && IsBlank(text.back()))
    text.remove_suffix(1);
  return text;
}

// -1: not a digit.
int HexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const char lower = ToLower(c);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + kFirstLetterValue : -1;
}

}  // namespace

error_kind head_scanner::Scan(std::string_view text) {
  while (!complete()) {
    const auto end = text.find('\n', scanned_);
    const std::size_t reached = std::min(end, text.size());
    if (reached >= max_bytes_)
      return error_kind::kHeaderTooLarge;
    scanned_ = reached;
    if (end == std::string_view::npos)
      return error_kind::kOk;
    if (end == line_start_ || text[end - 1] != '\r')
      return error_kind::kBadRequest;
    const std::string_view line =
        text.substr(line_start_, end - 1 - line_start_);
    const error_kind error = CheckLine(line);
    if (error != error_kind::kOk)
      return error;
    scanned_ = line_start_ = end + 1;
    if (line.empty())
      size_ = end + 1;
  }
  return error_kind::kOk;
}

error_kind head_scanner::CheckLine(std::string_view line) {
  if (line.find('\r') != std::string_view::npos)
    return error_kind::kBadRequest;
  if (!has_start_line_) {
    has_start_line_ = true;
    return line.empty() ? error_kind::kBadRequest : error_kind::kOk;
  }
  return line.empty() ? error_kind::kOk : CheckField(line);
}

error_kind head_scanner::CheckField(std::string_view line) {
  if (++fields_ > max_fields_)
    return error_kind::kHeaderTooLarge;
  const auto colon = line.find(':');
  // A line that begins with a blank continues the one before.
  if (colon == std::string_view::npos || colon == 0 || IsBlank(line.front()) ||
      IsBlank(line[colon - 1]))
    return error_kind::kBadRequest;
  const std::string_view name = line.substr(0, colon);
  if (EqualsIgnoringCase(name, "content-length")) {
    const std::string_view value = Trim(line.substr(colon + 1));
    const bool is_number =
        !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
          return c >= '0' && c <= '9';
        });
    if (++lengths_ > 1 || codings_ > 0 || !is_number)
      return error_kind::kBadRequest;
  } else if (EqualsIgnoringCase(name, "transfer-encoding")) {
    if (++codings_ > 1 || lengths_ > 0 ||
        !EqualsIgnoringCase(Trim(line.substr(colon + 1)), "chunked"))
      return error_kind::kBadRequest;
  }
  return error_kind::kOk;
}

chunk_decoder::step chunk_decoder::Decode(std::string_view bytes) {
  step done;
  while (done.consumed < bytes.size() && state_ != state::kDone) {
    if (state_ == state::kData) {
      const auto size = static_cast<std::size_t>(
          std::min<std::uint64_t>(remaining_, bytes.size() - done.consumed));
      done.data = bytes.substr(done.consumed, size);
      done.consumed += size;
      remaining_ -= size;
      if (remaining_ == 0)
        state_ = state::kDataReturn;
      return done;
    }
    done.error = DecodeByte(bytes[done.consumed++]);
    if (done.error != error_kind::kOk)
      return done;
  }
  return done;
}

error_kind chunk_decoder::DecodeByte(char c) {
  switch (state_) {
    case state::kSize:
    case state::kExtension:
      return DecodeSizeByte(c);
    case state::kSizeEnd:
      state_ = remaining_ > 0 ? state::kData : state::kTrailer;
      digits_ = 0;
      return c == '\n' ? error_kind::kOk : error_kind::kBadRequest;
    case state::kDataReturn:
      state_ = state::kDataEnd;
      return c == '\r' ? error_kind::kOk : error_kind::kBadRequest;
    case state::kDataEnd:
      state_ = state::kSize;
      return c == '\n' ? error_kind::kOk : error_kind::kBadRequest;
    case state::kTrailerEnd:
      return c == '\n' ? EndTrailerLine() : error_kind::kBadRequest;
    default:
      return DecodeTrailerByte(c);
  }
}

error_kind chunk_decoder::DecodeSizeByte(char c) {
  if (c == '\r') {
    state_ = state::kSizeEnd;
    return digits_ > 0 ? error_kind::kOk : error_kind::kBadRequest;
  }
  if (state_ == state::kSize && HexValue(c) >= 0) {
    remaining_ =
        (remaining_ << kBitsPerDigit) | static_cast<std::uint64_t>(HexValue(c));
    return ++digits_ <= kMaxSizeDigits ? error_kind::kOk
                                       : error_kind::kBadRequest;
  }
  const bool begins = state_ == state::kSize;
  if (digits_ == 0 || IsControl(c) || (begins && c != ';' && !IsBlank(c)))
    return error_kind::kBadRequest;
  state_ = state::kExtension;
  return ++extension_bytes_ <= kMaxExtensionBytes ? error_kind::kOk
                                                  : error_kind::kBadRequest;
}

error_kind chunk_decoder::DecodeTrailerByte(char c) {
  if (c == '\r') {
    state_ = state::kTrailerEnd;
    return error_kind::kOk;
  }
  if (IsControl(c) || (!has_colon_ && IsBlank(c)) ||
      (line_bytes_ == 0 && c == ':'))
    return error_kind::kBadRequest;
  has_colon_ = has_colon_ || c == ':';
  ++line_bytes_;
  return ++trailer_bytes_ <= max_trailer_bytes_ ? error_kind::kOk
                                                : error_kind::kHeaderTooLarge;
}

error_kind chunk_decoder::EndTrailerLine() {
  state_ = line_bytes_ == 0 ? state::kDone : state::kTrailer;
  if (line_bytes_ > 0 && !has_colon_)
    return error_kind::kBadRequest;
  if (line_bytes_ > 0 && ++trailer_fields_ > max_trailer_fields_)
    return error_kind::kHeaderTooLarge;
  line_bytes_ = 0;
  has_colon_ = false;
  return error_kind::kOk;
}

}  // namespace cactusward
