// Tests of responses that are cut at any byte: in the head, the body, a chunk,
// the trailers, and whether the connection is closed or reset.
#include <catch2/catch.hpp>

#include "src/edges/http_client.h"
#include "tests/support/cut_upstream.h"

namespace cactusward {
namespace {

using testing::cut_upstream;
using end_kind = cut_upstream::end_kind;

constexpr milliseconds kTimeout{20'000};

enum class api { kCall, kSend };

struct exchange_result {
  bool complete = false;
  std::string body;
  error_kind kind = error_kind::kOk;
};

outgoing_request Request(http::verb method, std::string_view target) {
  outgoing_request request;
  request.method = method;
  request.target = target;
  return request;
}

exchange_result Exchange(http_client& client,
                         const std::string& address,
                         const outgoing_request& request,
                         api api,
                         asio::yield_context yield) {
  const time_point deadline = clock::now() + kTimeout;
  if (api == api::kCall) {
    const auto response = client.Call(address, request, deadline, yield);
    if (!response)
      return {false, {}, response.kind()};
    return {true, response->body};
  }
  http::request<http::string_body> message(request.method, request.target, 11);
  message.set(http::field::host, address);
  message.body() = request.body;
  message.prepare_payload();
  send_options options;
  options.fresh_connection = request.fresh_connection;
  send_failure failure;
  auto stream = client.Send(address, std::move(message), options, deadline,
                            yield, nullptr, &failure);
  if (!stream)
    return {false, {}, stream.kind()};
  exchange_result received;
  while (true) {
    const auto bytes = (*stream)->Read(deadline, yield);
    if (!bytes)
      return {false, received.body, bytes.kind()};
    if (bytes->empty())
      break;
    received.body += *bytes;
  }
  received.complete = true;
  return received;
}

struct response_row {
  const char* name;
  std::string head;
  std::string content;  // as sent after the head
  std::string body;
  bool ends_with_connection = false;
  http::verb method = http::verb::post;
};

const response_row kResponses[] = {
    {"a length",
     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
     "Content-Length: 12\r\nX-A: b\r\n\r\n",
     "hello, world", "hello, world"},
    {"a length in the last field",
     "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "hello, world",
     "hello, world"},
    {"a length of 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", ""},
    {"interim responses first",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
     "hello", "hello"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "10\r\n0123456789abcdef\r\n1\r\nx\r\n0\r\n\r\n", "0123456789abcdefx"},
    {"chunks with extensions and trailers",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n",
     "5;a=b\r\nhello\r\n0;c\r\nX-T: 1\r\nX-U: 2\r\n\r\n", "hello"},
    {"no chunk but the last",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", ""},
    {"no content", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", "", ""},
    {"not modified, with a length",
     "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", "", ""},
    {"the connection's end",
     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
     "hello, world", "hello, world", true},
    {"the connection's end, after an interim response",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", "hello",
     "hello", true},
    {"the connection's end, HTTP/1.0", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n",
     "hello", "hello", true},
};

// Guards against a response that its upstream did not finish, in its head or
// later, being taken for a complete one with a short or empty body.
TEST_CASE("a response that is cut at any byte is not complete") {
  for (const response_row& r : kResponses) {
    for (const end_kind end : {end_kind::kRegular, end_kind::kReset}) {
      for (const api api : {api::kCall, api::kSend}) {
        for (const bool kept : {false, true}) {
          asio::io_context io;
          cut_upstream upstream(io);
          http_client client(io);
          Spawn(io, "test", [&](asio::yield_context yield) {
            const std::string whole = r.head + r.content;
            for (std::size_t length = 0; length <= whole.size(); ++length) {
              CAPTURE(r.name, static_cast<int>(end), static_cast<int>(api),
                      kept, whole.substr(0, length));
              upstream.SetResponse(whole.substr(0, length), end);
              if (kept)
                CHECK(Exchange(client, upstream.address(),
                               Request(r.method, cut_upstream::kWholeTarget),
                               api, yield)
                          .body == "whole");
              const int requests_before = upstream.cut_requests();
              const exchange_result result =
                  Exchange(client, upstream.address(),
                           Request(r.method, "/cut"), api, yield);
              const bool complete =
                  r.ends_with_connection
                      ? end == end_kind::kRegular && length >= r.head.size()
                      : length == whole.size();
              CHECK(result.complete == complete);
              if (!complete)
                CHECK(result.kind == error_kind::kUpstreamFailed);
              if (complete && !r.ends_with_connection)
                CHECK(result.body == r.body);
              if (complete && r.ends_with_connection)
                CHECK(result.body ==
                      whole.substr(r.head.size(), length - r.head.size()));
              // A response that has begun shows that the request was executed.
              const int most = kept && length == 0 && api == api::kCall ? 2 : 1;
              CHECK(upstream.cut_requests() - requests_before <= most);
            }
            upstream.Close();
          });
          io.run();
        }
      }
    }
  }
}

// Guards against the response to HEAD waiting for a body, or being taken for
// complete within its head.
TEST_CASE("a response without a body is complete with its head") {
  const std::string heads[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
  };
  for (const std::string& head : heads) {
    for (const end_kind end : {end_kind::kRegular, end_kind::kReset}) {
      asio::io_context io;
      cut_upstream upstream(io);
      http_client client(io);
      Spawn(io, "test", [&](asio::yield_context yield) {
        for (std::size_t length = 0; length <= head.size(); ++length) {
          CAPTURE(head.substr(0, length), static_cast<int>(end));
          upstream.SetResponse(head.substr(0, length), end);
          const exchange_result result =
              Exchange(client, upstream.address(),
                       Request(http::verb::head, "/cut"), api::kSend, yield);
          CHECK(result.complete == (length == head.size()));
        }
        upstream.Close();
      });
      io.run();
    }
  }
}

// Guards against a reset that the kernel reports to the write of the request:
// the read then ends like that of a closed connection.
TEST_CASE("a reset while the request is being written cuts the response") {
  struct row {
    const char* name;
    std::string response;
    bool complete;
  };
  const row rows[] = {
      {"a body without a length", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhello, wor",
       false},
      {"an empty body without a length", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
       false},
      {"a body with a length",
       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
      {"a body that is shorter than its length",
       "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello", false},
  };
  // More than the buffers of both sides take.
  constexpr std::size_t kLongBodyBytes = 32ULL * 1024 * 1024;
  for (const row& r : rows) {
    for (const milliseconds delay : {milliseconds(0), milliseconds(50)}) {
      CAPTURE(r.name, delay.count());
      asio::io_context io;
      cut_upstream upstream(io);
      http_client client(io);
      exchange_result result;
      Spawn(io, "test", [&](asio::yield_context yield) {
        upstream.SetResponse(r.response, end_kind::kReset);
        upstream.SetDelay(delay);
        outgoing_request request = Request(http::verb::post, "/cut");
        request.body = std::string(kLongBodyBytes, 'a');
        result =
            Exchange(client, upstream.address(), request, api::kSend, yield);
        upstream.Close();
      });
      io.run();
      CHECK(result.complete == r.complete);
    }
  }
}

}  // namespace
}  // namespace cactusward
