// Fuzz target for every parser of external input. The first byte of the input
// selects the parser.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cactusward/claim_index.h"
#include "cactusward/config.h"
#include "cactusward/event_stream.h"
#include "cactusward/membership.h"
#include "platform/platform_catalog.h"
#include "platform/platform_protocol.h"
#include "src/daemon/settings.h"
#include "src/edges/etcd_store.h"
#include "src/edges/json.h"
#include "src/edges/message_framing.h"
#include "src/formats/completion_format.h"
#include "src/kernel/base64.h"
#include "src/services/upstream_directory.h"

namespace {

using namespace cactusward;  // NOLINT

// Traps when a property does not hold, such as that a decoded value is
// unchanged after it is encoded and decoded again.
void Require(bool condition) {
  if (!condition)
    __builtin_trap();
}

void FuzzGossip(std::string_view bytes) {
  const auto message = DecodeGossip(bytes);
  if (message)
    Require(*DecodeGossip(EncodeGossip(*message)) == *message);
}

void FuzzCompletion(std::string_view bytes) {
  for (bool chat : {false, true}) {
    const auto request = ParseCompletion(bytes, chat);
    if (request)
      Require(ParseJson(EngineBody(*request, 1, true, " x", 0)).has_value());
  }
}

void FuzzEvents(std::string_view bytes) {
  event_splitter splitter;
  std::vector<std::string> events;
  splitter.Feed(bytes, &events);
  for (const std::string& event : events) {
    ParseEvent(event, false);
    ParseEvent(event, true);
  }
}

void FuzzSegment(std::string_view bytes) {
  const auto entries = DecodeSegment(bytes);
  if (entries)
    Require(*DecodeSegment(EncodeSegment(*entries)) == *entries);
}

void FuzzBase64(std::string_view bytes) {
  Require(DecodeBase64(EncodeBase64(bytes)) == bytes);
  DecodeBase64(bytes);
}

void FuzzInstanceList(std::string_view bytes) {
  std::vector<std::string> peers;
  ParseInstanceList(bytes, &peers);
  ParseLoadMetrics(bytes);
}

void FuzzPlatformCatalog(std::string_view bytes) {
  const platform::platform_catalog catalog(nullptr, "127.0.0.1:1");
  const auto config = catalog.DecodeConfig(std::string(bytes), [] {});
  if (config)
    (*config)->Match("h", bytes);
  catalog.DecodeUpstream("id", std::string(bytes));
}

void FuzzPlatformRequest(std::string_view bytes) {
  boost::system::error_code error;
  http::request_parser<http::string_body> parser;
  parser.put(asio::buffer(bytes.data(), bytes.size()), error);
  if (error)
    return;
  const platform::platform_protocol protocol;
  const caller_request parsed = protocol.ParseRequest(parser.get());
  const http_request forwarded = protocol.MakeUpstreamRequest(parser.get(), {});
  Require(forwarded.target() == parser.get().target());
  Require(forwarded["Authorization"].empty());
  Require(protocol.ParseRequest(forwarded).attempt_id == parsed.attempt_id);
}

// The events must not depend on how the input is split into chunks.
void FuzzEventStream(std::string_view bytes) {
  event_stream_splitter single_feed;
  event_stream_splitter byte_feed;
  std::vector<stream_event> single_feed_events;
  std::vector<stream_event> byte_feed_events;
  single_feed.Feed(bytes, &single_feed_events);
  for (const char byte : bytes)
    byte_feed.Feed(std::string_view(&byte, 1), &byte_feed_events);
  Require(single_feed_events == byte_feed_events);
}

// Decodes a chunked body. @return nullopt if it is malformed or incomplete.
std::optional<std::string> DecodeChunks(std::string_view bytes,
                                        std::size_t piece,
                                        std::size_t* consumed) {
  chunk_decoder decoder(bytes.size(), 256);
  std::string body;
  *consumed = 0;
  while (!decoder.done()) {
    if (*consumed == bytes.size())
      return std::nullopt;
    const auto step = decoder.Decode(bytes.substr(*consumed, piece));
    if (step.error != error_kind::kOk)
      return std::nullopt;
    body += step.data;
    *consumed += step.consumed;
  }
  return body;
}

// A request that the strict checks accept must have the same body for the
// parser, and the result must not depend on how the input is split.
void FuzzRequestFraming(std::string_view bytes) {
  constexpr int kMaxFields = 256;
  head_scanner whole(bytes.size() + 1, kMaxFields);
  head_scanner by_byte(bytes.size() + 1, kMaxFields);
  const error_kind error = whole.Scan(bytes);
  error_kind error_by_byte = error_kind::kOk;
  for (std::size_t size = 1; size <= bytes.size() && !by_byte.complete() &&
                             error_by_byte == error_kind::kOk;
       ++size)
    error_by_byte = by_byte.Scan(bytes.substr(0, size));
  Require(error == error_by_byte && whole.size() == by_byte.size());
  if (error != error_kind::kOk || !whole.complete())
    return;
  boost::system::error_code parse_error;
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  const std::size_t parsed =
      parser.put(asio::buffer(bytes.data(), bytes.size()), parse_error);
  if ((parse_error && parse_error != http::error::need_more) ||
      !parser.is_header_done())
    return;
  Require(parser.chunked() == whole.chunked());
  if (!whole.chunked())
    return;
  const std::string_view rest = bytes.substr(whole.size());
  std::size_t consumed = 0;
  std::size_t consumed_by_byte = 0;
  const auto body =
      DecodeChunks(rest, std::max<std::size_t>(rest.size(), 1), &consumed);
  Require(body == DecodeChunks(rest, 1, &consumed_by_byte));
  Require(consumed == consumed_by_byte || !body);
  // The parser takes all that it can in several calls.
  std::size_t at = parsed;
  while (!parse_error && !parser.is_done() && at < bytes.size()) {
    const std::size_t more = parser.put(
        asio::buffer(bytes.data() + at, bytes.size() - at), parse_error);
    if (more == 0)
      break;
    at += more;
  }
  if (body && parser.is_done() && !parse_error) {
    Require(parser.get().body() == *body);
    Require(at == whole.size() + consumed);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0)
    return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  constexpr int kParsers = 12;
  switch (data[0] % kParsers) {
    case 0:
      FuzzGossip(bytes);
      break;
    case 1:
      ParseFleetConfig(bytes);
      break;
    case 2:
      FuzzCompletion(bytes);
      break;
    case 3:
      FuzzEvents(bytes);
      break;
    case 4:
      FuzzSegment(bytes);
      break;
    case 5:
      FuzzBase64(bytes);
      break;
    case 6:
      FuzzInstanceList(bytes);
      break;
    case 7:
      FuzzPlatformCatalog(bytes);
      break;
    case 8:
      FuzzPlatformRequest(bytes);
      break;
    case 9:
      FuzzEventStream(bytes);
      break;
    case 10:
      FuzzRequestFraming(bytes);
      break;
    default:
      ParseSettings(bytes);
      DecodeRevision(bytes);
  }
  return 0;
}
