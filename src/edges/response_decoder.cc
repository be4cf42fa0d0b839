#include "src/edges/response_decoder.h"

#include <algorithm>
#include <utility>

namespace cactusward {
namespace {

constexpr std::size_t kMaxHeadBytes = 8ULL * 1024;
// Bounded by the bytes of the head.
constexpr int kMaxFields = static_cast<int>(kMaxHeadBytes);
// Responses with status 1xx before the final one.
constexpr int kMaxInterimResponses = 4;
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

head_scanner NewScanner() {
  return head_scanner(kMaxHeadBytes, kMaxFields);
}

}  // namespace

response_decoder::response_decoder(bool has_no_body)
    : has_no_body_(has_no_body),
      scanner_(NewScanner()),
      chunks_(kMaxHeadBytes, kMaxFields) {}

bool response_decoder::done() const {
  if (!has_head_)
    return false;
  switch (framing_) {
    case framing::kLength:
      return remaining_ == 0;
    case framing::kChunks:
      return chunks_.done();
    case framing::kConnection:
      return connection_ended_;
    case framing::kNone:
      break;
  }
  return true;
}

bool response_decoder::EndConnection() {
  connection_ended_ = true;
  return done();
}

response_decoder::step response_decoder::Decode(std::string_view bytes) {
  return has_head_ ? DecodeBody(bytes) : DecodeHead(bytes);
}

response_decoder::step response_decoder::DecodeHead(std::string_view bytes) {
  step done;
  while (!has_head_) {
    const std::string_view rest = bytes.substr(done.consumed);
    // Bytes that can be no head are not waited for.
    const std::string_view begin = rest.substr(0, kVersionPrefix.size());
    if (begin != kVersionPrefix.substr(0, begin.size()) ||
        scanner_.Scan(rest) != error_kind::kOk) {
      done.error = "malformed head";
      return done;
    }
    if (!scanner_.complete())
      return done;
    done.error = ParseHead(rest.substr(0, scanner_.size()));
    if (!done.error.empty())
      return done;
    done.consumed += scanner_.size();
    scanner_ = NewScanner();
  }
  return done;
}

std::string_view response_decoder::ParseHead(std::string_view head) {
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  boost::system::error_code error;
  parser.put(asio::const_buffer(head.data(), head.size()), error);
  if (error || !parser.is_header_done())
    return "malformed head";
  const unsigned status = parser.get().result_int();
  // The library accepts any three digits.
  if (status < kMinStatus || status > kMaxStatus)
    return "invalid status";
  // No request asks for another protocol.
  if (status == kSwitchingProtocols)
    return "unexpected switch of protocols";
  if (status < kMinFinalStatus)
    return ++interim_responses_ > kMaxInterimResponses
               ? "too many interim responses"
               : std::string_view();
  if (has_no_body_ || status == kNoContent || status == kNotModified) {
    framing_ = framing::kNone;
  } else if (parser.chunked()) {
    framing_ = framing::kChunks;
  } else if (const auto length = parser.content_length()) {
    framing_ = framing::kLength;
    remaining_ = *length;
  } else {
    framing_ = framing::kConnection;
  }
  keeps_connection_ = parser.keep_alive() && !ends_with_connection();
  header_ = std::move(parser.get().base());
  has_head_ = true;
  return {};
}

response_decoder::step response_decoder::DecodeBody(std::string_view bytes) {
  step decoded;
  switch (framing_) {
    case framing::kLength:
      decoded.consumed = static_cast<std::size_t>(
          std::min<std::uint64_t>(remaining_, bytes.size()));
      decoded.data = bytes.substr(0, decoded.consumed);
      remaining_ -= decoded.consumed;
      break;
    case framing::kChunks: {
      const chunk_decoder::step part = chunks_.Decode(bytes);
      decoded.consumed = part.consumed;
      decoded.data = part.data;
      if (part.error != error_kind::kOk)
        decoded.error = "malformed chunk or trailer";
      break;
    }
    case framing::kConnection:
      decoded.consumed = bytes.size();
      decoded.data = bytes;
      break;
    case framing::kNone:
      break;
  }
  return decoded;
}

}  // namespace cactusward
