// Strict checks of how requests and responses are delimited, so that no byte of
// a body can be taken for a message and nothing before a body grows without a
// bound.
#ifndef CACTUSWARD_SRC_EDGES_MESSAGE_FRAMING_H_
#define CACTUSWARD_SRC_EDGES_MESSAGE_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cactusward/error.h"

namespace cactusward {

// Finds the end of a message's head and checks it as it arrives. Not
// thread-safe.
class head_scanner {
 public:
  head_scanner(std::size_t max_bytes, int max_fields)
      : max_bytes_(max_bytes), max_fields_(max_fields) {}

  // Scans what has arrived since the last call.
  // @param text all that has arrived, from the start of the head.
  // @return kOk, kBadRequest or kHeaderTooLarge.
  error_kind Scan(std::string_view text);
  // Whether the head is complete.
  bool complete() const { return size_ > 0; }
  // Size of the complete head with the empty line that ends it.
  std::size_t size() const { return size_; }
  int fields() const { return fields_; }
  bool chunked() const { return codings_ > 0; }

 private:
  // Checks the line that ends at `end` without its line break.
  error_kind CheckLine(std::string_view line);
  error_kind CheckField(std::string_view line);

  std::size_t max_bytes_;
  int max_fields_;
  std::size_t scanned_ = 0;
  std::size_t line_start_ = 0;
  std::size_t size_ = 0;
  bool has_start_line_ = false;
  int fields_ = 0;
  int lengths_ = 0;
  int codings_ = 0;
};

// Decodes a chunked body as it arrives. Trailers are checked and dropped. Not
// thread-safe.
class chunk_decoder {
 public:
  // The limits of a head apply to the trailers.
  chunk_decoder(std::size_t max_trailer_bytes, int max_trailer_fields)
      : max_trailer_bytes_(max_trailer_bytes),
        max_trailer_fields_(max_trailer_fields) {}

  struct step {
    error_kind error = error_kind::kOk;  // kBadRequest or kHeaderTooLarge
    std::size_t consumed = 0;
    std::string_view data;  // a part of the body, within the input
  };
  // Decodes the start of `bytes`, up to the end of one part of the body. Call
  // again with the rest. Precondition: not done().
  step Decode(std::string_view bytes);
  bool done() const { return state_ == state::kDone; }
  // Bytes of the current chunk that have not arrived.
  std::uint64_t remaining() const { return remaining_; }

  static constexpr std::size_t kMaxExtensionBytes = 256;

 private:
  enum class state {
    kSize,
    kExtension,
    kSizeEnd,
    kData,
    kDataReturn,
    kDataEnd,
    kTrailer,
    kTrailerEnd,
    kDone
  };
  // Decodes one byte outside of the data.
  error_kind DecodeByte(char c);
  error_kind DecodeSizeByte(char c);
  error_kind DecodeTrailerByte(char c);
  error_kind EndTrailerLine();

  std::size_t max_trailer_bytes_;
  int max_trailer_fields_;
  state state_ = state::kSize;
  int digits_ = 0;
  std::uint64_t remaining_ = 0;
  std::size_t extension_bytes_ = 0;
  std::size_t trailer_bytes_ = 0;
  std::size_t line_bytes_ = 0;
  bool has_colon_ = false;
  int trailer_fields_ = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_MESSAGE_FRAMING_H_
