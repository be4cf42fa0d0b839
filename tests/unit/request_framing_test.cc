// Tests of how requests are delimited, on both kinds of instances.
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "src/edges/message_framing.h"
#include "tests/support/gateway_fleet.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

struct framing_row {
  const char* name;
  std::string request;
  int status;  // of the first response
  bool closes;
};

std::string Fields(int count) {
  std::string fields;
  for (int i = 0; i < count; ++i)
    fields += "a:b\r\n";
  return fields;
}

// An unknown path, so that a request that is accepted gets a 404.
std::string Post(const std::string& fields, const std::string& body) {
  return "POST /nowhere HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::string Chunked(const std::string& body) {
  return Post("Transfer-Encoding: chunked\r\n", body);
}

std::vector<framing_row> Rows() {
  const std::string second = "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
  return {
      {"length", Post("Content-Length: 3\r\n", "abc"), 404, false},
      {"chunks", Chunked("3\r\nabc\r\n0\r\n\r\n"), 404, false},
      {"chunks, upper case",
       Post("TRANSFER-ENCODING: Chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"), 404,
       false},
      {"chunk extension", Chunked("3;a=b\r\nabc\r\n0;c\r\n\r\n"), 404, false},
      {"trailer", Chunked("3\r\nabc\r\n0\r\nX-A: b\r\n\r\n"), 404, false},
      {"chunked, identity",
       Post("Transfer-Encoding: chunked, identity\r\n", second), 400, true},
      {"identity", Post("Transfer-Encoding: identity\r\n", second), 400, true},
      {"gzip, chunked", Post("Transfer-Encoding: gzip, chunked\r\n", second),
       400, true},
      {"two codings",
       Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            second),
       400, true},
      {"two lengths",
       Post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc" + second), 400,
       true},
      {"list of lengths", Post("Content-Length: 3, 3\r\n", "abc" + second), 400,
       true},
      {"signed length", Post("Content-Length: +3\r\n", "abc" + second), 400,
       true},
      {"empty length", Post("Content-Length:\r\n", second), 400, true},
      {"length and chunks",
       Post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "0\r\n\r\n" + second),
       400, true},
      {"chunks and length",
       Post("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            "0\r\n\r\n" + second),
       400, true},
      {"space before a colon", Post("Content-Length : 3\r\n", "abc"), 400,
       true},
      {"tab before a colon", Post("X-A\t: 3\r\n", second), 400, true},
      {"field without a name", Post(": 3\r\n", second), 400, true},
      {"field without a colon", Post("abc\r\n", second), 400, true},
      {"bare line feeds", "POST /nowhere HTTP/1.1\nHost: h\n\n", 400, true},
      {"a bare line feed in a field", Post("X-A: b\nX-C: d\r\n", second), 400,
       true},
      {"a bare carriage return", Post("X-A: b\rc\r\n", second), 400, true},
      {"folded line", Post("X-A: b\r\n c\r\n", second), 400, true},
      {"folded line, tab", Post("X-A: b\r\n\tc\r\n", second), 400, true},
      {"extensions within the limit",
       Chunked("3;" + std::string(200, 'a') + "\r\nabc\r\n0\r\n\r\n"), 404,
       false},
      {"long extension",
       Chunked("3;" + std::string(256, 'a') + "\r\nabc\r\n0\r\n\r\n"), 400,
       true},
      {"long extension without an end", Chunked("3;" + std::string(300, 'a')),
       400, true},
      {"extensions that are long together",
       Chunked("1;" + std::string(130, 'a') + "\r\nb\r\n1;" +
               std::string(130, 'a') + "\r\nb\r\n0\r\n\r\n"),
       400, true},
      {"chunk size with a sign", Chunked("+3\r\nabc\r\n0\r\n\r\n"), 400, true},
      {"chunk size of many digits",
       Chunked("00000000000000003\r\nabc\r\n0\r\n\r\n"), 400, true},
      {"chunk size without digits", Chunked(";a\r\nabc\r\n0\r\n\r\n"), 400,
       true},
      {"chunk longer than announced", Chunked("3\r\nabcd\r\n0\r\n\r\n"), 400,
       true},
      {"bare line feed after a chunk size", Chunked("3\nabc\r\n0\r\n\r\n"), 400,
       true},
      {"trailer with a bare line feed", Chunked("0\r\nX-A: b\n\r\n"), 400,
       true},
      {"trailer with a space before the colon", Chunked("0\r\nX-A : b\r\n\r\n"),
       400, true},
      {"fields at the limit", Post(Fields(255), ""), 404, false},
      {"fields above the limit", Post(Fields(256), ""), 431, true},
      {"trailers at the limit", Chunked("0\r\n" + Fields(256) + "\r\n"), 404,
       false},
      {"trailers above the limit", Chunked("0\r\n" + Fields(257) + "\r\n"), 431,
       true},
      {"large trailer",
       Chunked("0\r\nX-A: " + std::string(17'000, 'a') + "\r\n\r\n"), 431,
       true},
      {"large body of an unknown path",
       Post("Content-Length: 70000\r\n", std::string(70'000, 'a')), 413, true},
      {"large body in chunks",
       Chunked("11170\r\n" + std::string(70'000, 'a') + "\r\n0\r\n\r\n"), 413,
       true},
  };
}

struct framing_result {
  std::vector<int> statuses;
  bool closed = false;
};

// Sends `request` in pieces of `piece` bytes and reads all responses.
framing_result Play(asio::io_context& io,
                    const std::string& address,
                    const std::string& request,
                    std::size_t piece,
                    asio::yield_context yield) {
  constexpr milliseconds kLongestResponse{1'000};
  constexpr milliseconds kOpenTime{150};
  tcp::socket socket(io);
  socket.async_connect(*ParseTcpEndpoint(address), yield);
  boost::system::error_code error;
  for (std::size_t at = 0; at < request.size() && !error; at += piece)
    asio::async_write(
        socket,
        asio::buffer(request.data() + at, std::min(piece, request.size() - at)),
        yield[error]);
  framing_result result;
  std::string received;
  std::string bytes(4096, '\0');
  error = {};
  while (!error) {
    deadline_guard guard(
        &socket,
        clock::now() + (received.empty() ? kLongestResponse : kOpenTime));
    const std::size_t size =
        socket.async_read_some(asio::buffer(bytes), yield[error]);
    received.append(bytes, 0, size);
    result.closed = error && !guard.expired();
  }
  constexpr std::string_view kStart = "HTTP/1.1 ";
  for (auto at = received.find(kStart); at != std::string::npos;
       at = received.find(kStart, at + 1))
    result.statuses.push_back(std::stoi(received.substr(at + kStart.size())));
  return result;
}

void CheckFraming(asio::io_context& io,
                  const std::string& address,
                  asio::yield_context yield) {
  for (const framing_row& row : Rows()) {
    for (const std::size_t piece : {row.request.size(), std::size_t(37)}) {
      if (piece == 37 && row.request.size() > 2'000)
        continue;
      CAPTURE(row.name, piece);
      const auto result = Play(io, address, row.request, piece, yield);
      CHECK(result.statuses == std::vector<int>{row.status});
      CHECK(result.closed == row.closes);
    }
  }
}

// Guards against a body, or a part of one, that runs as a request of its own.
TEST_CASE("requests are delimited strictly at instances that forward",
          "[callers]") {
  testing::small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
    CheckFraming(fleet.io, fleet.settings.listen, yield);
  });
}

TEST_CASE("requests are delimited strictly on the own interface", "[callers]") {
  testing::gateway_fleet fleet;
  fleet.Run([&](asio::yield_context yield) {
    CheckFraming(fleet.io, fleet.settings.listen, yield);
  });
}

// Guards against a decoder whose result depends on how the body arrives.
TEST_CASE("chunks are decoded in pieces of any size", "[callers]") {
  const std::string encoded =
      "5;x=y\r\nhello\r\n1\r\n \r\nA\r\n0123456789\r\n0\r\nX-T: v\r\n\r\nrest";
  for (std::size_t piece = 1; piece <= encoded.size(); ++piece) {
    CAPTURE(piece);
    chunk_decoder decoder(100, 1);
    std::string body;
    std::size_t at = 0;
    while (!decoder.done()) {
      REQUIRE(at < encoded.size());
      const auto step =
          decoder.Decode(std::string_view(encoded).substr(at, piece));
      REQUIRE(step.error == error_kind::kOk);
      body += step.data;
      at += step.consumed;
    }
    CHECK(body == "hello 0123456789");
    CHECK(encoded.substr(at) == "rest");
  }
}

}  // namespace
}  // namespace cactusward
