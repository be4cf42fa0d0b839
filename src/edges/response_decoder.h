// Decodes responses as they arrive, as strictly as requests are.
#ifndef CACTUSWARD_SRC_EDGES_RESPONSE_DECODER_H_
#define CACTUSWARD_SRC_EDGES_RESPONSE_DECODER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/edges/message_framing.h"
#include "src/edges/net.h"

namespace cactusward {

// Decodes the response to one request. Not thread-safe.
class response_decoder {
 public:
  // @param has_no_body whether the body is left out, as in the response to a
  //     HEAD request.
  explicit response_decoder(bool has_no_body = false);

  struct step {
    std::size_t consumed = 0;
    std::string_view data;   // a part of the body, within the input
    std::string_view error;  // why the bytes are no response; empty: they are
  };
  // Decodes the start of `bytes`, up to the end of the head or of one part of
  // the body. Skips interim responses (1xx). Trailers are checked and dropped:
  // they arrive after the head was used.
  // @param bytes those that were not consumed before, and what arrived since.
  // Precondition: not done(), and no step before had an error.
  step Decode(std::string_view bytes);
  // Ends the response with its connection. @return whether it is complete.
  bool EndConnection();

  // Whether a head was decoded, also that of an interim response.
  bool has_begun() const { return interim_responses_ > 0 || has_head_; }
  // Whether the head of the final response was decoded.
  bool has_head() const { return has_head_; }
  bool done() const;

  // Precondition of the following: has_head().
  const http::response_header<>& header() const { return header_; }
  // Whether the response has neither a length nor chunks.
  bool ends_with_connection() const { return framing_ == framing::kConnection; }
  // Whether another request may be sent on the connection after the response.
  bool keeps_connection() const { return keeps_connection_; }

 private:
  enum class framing { kNone, kLength, kChunks, kConnection };

  step DecodeHead(std::string_view bytes);
  step DecodeBody(std::string_view bytes);
  // Parses a complete head. @return the error; empty: none.
  std::string_view ParseHead(std::string_view head);

  bool has_no_body_;
  head_scanner scanner_;
  int interim_responses_ = 0;
  bool has_head_ = false;
  http::response_header<> header_;
  bool keeps_connection_ = false;
  framing framing_ = framing::kNone;
  std::uint64_t remaining_ = 0;  // of a body with a length
  chunk_decoder chunks_;
  bool connection_ended_ = false;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_RESPONSE_DECODER_H_
