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

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0)
    return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  constexpr int kParsers = 11;
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
    default:
      ParseSettings(bytes);
      DecodeRevision(bytes);
  }
  return 0;
}
