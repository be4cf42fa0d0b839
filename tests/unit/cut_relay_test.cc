// Tests of forwarded responses whose upstream stops at any byte.
#include "tests/support/scripted_upstream.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::scripted_upstream;
using testing::small_fleet;

const std::string kFields =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Seal: s\r\n";
const std::string kStreamFields =
    kFields + "Content-Type: text/event-stream\r\n";

enum class framing { kLength, kChunks, kConnection };

std::string Event(int id, const std::string& line_end) {
  return "id: " + std::to_string(id) + line_end + "data: x" + line_end +
         line_end;
}

std::string Events(int first, int last, const std::string& line_end) {
  std::string events;
  for (int i = first; i <= last; ++i)
    events += Event(i, line_end);
  return events;
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// A complete response; `parts` are sent as one chunk each.
std::string Response(const std::string& fields,
                     const std::vector<std::string>& parts,
                     framing framing) {
  std::string body;
  std::string chunks;
  for (const std::string& part : parts) {
    body += part;
    chunks += Chunk(part);
  }
  switch (framing) {
    case framing::kLength:
      return fields + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    case framing::kChunks:
      return fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks +
             "0\r\n\r\n";
    case framing::kConnection:
      break;
  }
  return fields + "\r\n" + body;
}

struct received_response {
  int status = 0;
  std::string body;
  bool complete = false;
};

received_response Receive(small_fleet& fleet,
                          const std::string& path,
                          asio::yield_context yield) {
  received_response received;
  const time_point deadline = clock::now() + testing::kCallTimeout;
  auto stream = fleet.client.Open(
      fleet.settings.listen, small_fleet::MakeCall(path, "a", "key", 1'000),
      deadline, yield);
  if (!stream)
    return received;
  received.status = (*stream)->status();
  while (true) {
    const auto bytes = (*stream)->Read(deadline, yield);
    received.complete = bytes && bytes->empty();
    if (!bytes || bytes->empty())
      return received;
    received.body += *bytes;
  }
}

// Two of them are usable at any time: up to half are avoided after failures.
constexpr int kUpstreams = 4;

struct relay_row {
  const char* name;
  const char* path;
  framing frame;
  bool repeatable;
  std::vector<std::string> parts;
  const char* line_end = "\n";
  bool IsStream() const { return parts.size() > 1; }
};

const std::string kBody = "hello, world";
const std::vector<std::string> kEvents = {Event(1, "\n"), Event(2, "\n"),
                                          Event(3, "\n")};
const std::vector<std::string> kCrlfEvents = {
    Event(1, "\r\n"), Event(2, "\r\n"), Event(3, "\r\n")};

const relay_row kRows[] = {
    {"a call, a length", "/once/x", framing::kLength, false, {kBody}},
    {"a call, chunks", "/once/x", framing::kChunks, false, {kBody}},
    {"a call, the connection's end",
     "/once/x",
     framing::kConnection,
     false,
     {kBody}},
    {"a retryable call, a length", "/often/x", framing::kLength, true, {kBody}},
    {"a retryable call, chunks", "/often/x", framing::kChunks, true, {kBody}},
    {"a retryable call, the connection's end",
     "/often/x",
     framing::kConnection,
     true,
     {kBody}},
    {"a stream, a length", "/fixed/x", framing::kLength, false, kEvents},
    {"a stream, chunks", "/fixed/x", framing::kChunks, false, kEvents},
    {"a stream, the connection's end", "/fixed/x", framing::kConnection, false,
     kEvents},
    {"a stream with CRLF, the connection's end", "/fixed/x",
     framing::kConnection, false, kCrlfEvents, "\r\n"},
    {"a resumable stream, a length", "/stream/x", framing::kLength, true,
     kEvents},
    {"a resumable stream, chunks", "/stream/x", framing::kChunks, true,
     kEvents},
    {"a resumable stream, the connection's end", "/stream/x",
     framing::kConnection, true, kEvents},
    {"a resumable stream with CRLF, the connection's end", "/stream/x",
     framing::kConnection, true, kCrlfEvents, "\r\n"},
};

// What the caller is to receive of a response cut after `length` bytes.
struct expectation {
  std::string body;
  bool complete = false;
  int arrivals = 1;  // at upstreams
};

expectation Expect(const relay_row& row,
                   const std::string& response,
                   std::size_t length,
                   bool reset) {
  std::string whole;
  for (const std::string& part : row.parts)
    whole += part;
  const std::size_t head = response.find("\r\n\r\n") + 4;
  expectation expected;
  expected.complete = row.frame == framing::kConnection
                          ? !reset && length >= head
                          : length == response.size();
  std::string content;  // without the framing of chunks
  if (row.frame != framing::kChunks && length > head)
    content = response.substr(head, length - head);
  std::size_t chunk = head;
  for (const std::string& part : row.parts) {
    if (row.frame != framing::kChunks)
      break;
    const std::size_t begin = response.find("\r\n", chunk) + 2;
    if (length > begin)
      content += part.substr(0, length - begin);
    chunk = begin + part.size() + 2;
  }
  if (!row.IsStream()) {
    expected.body = content;
  } else {
    for (const std::string& part : row.parts) {
      if (content.size() >= expected.body.size() + part.size())
        expected.body += part;
    }
    // It has begun with an event, and ends with one.
    expected.complete =
        expected.complete && !expected.body.empty() && expected.body == content;
  }
  if (!expected.complete && row.repeatable) {
    expected.arrivals = 2;
    // Only what follows the last event is not known after all events.
    expected.complete = !row.IsStream() || expected.body != whole;
    expected.body = whole;
  }
  return expected;
}

// Guards against a response that its upstream did not finish reaching the
// caller as a complete one, whichever byte is the last, and against a stream
// that is not resumed, or resumed at the wrong event.
TEST_CASE("a forwarded response that is cut at any byte is not complete",
          "[path]") {
  for (const relay_row& r : kRows) {
    for (const bool reset : {false, true}) {
      const std::string response =
          Response(r.IsStream() ? kStreamFields : kFields, r.parts, r.frame);
      small_fleet fleet;
      fleet.settings.forwarding->retries.extra_retries = 10'000;
      std::size_t length = 0;
      int arrivals = 0;
      const auto script = [&](const http_request& request, int) {
        scripted_upstream::reply reply;
        reply.close = true;
        if (arrivals++ == 0) {
          reply.parts.push_back({response.substr(0, length), {}});
          reply.reset = reset;
          return reply;
        }
        const auto last = request["Last-Event-Id"];
        const int first = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
        std::vector<std::string> rest;
        if (!r.IsStream())
          rest = r.parts;
        else
          rest.push_back(
              Events(first, static_cast<int>(r.parts.size()), r.line_end));
        reply.parts.push_back({Response(r.IsStream() ? kStreamFields : kFields,
                                        rest, framing::kLength),
                               {}});
        return reply;
      };
      fleet.store.Put("op/config", testing::ConfigDocument(1));
      std::vector<std::unique_ptr<scripted_upstream>> upstreams;
      for (int i = 0; i < kUpstreams; ++i) {
        upstreams.push_back(
            std::make_unique<scripted_upstream>(fleet.io, script));
        fleet.store.Put(
            "servers/u" + std::to_string(i),
            upstreams.back()->Entry(r.IsStream() ? "engines" : "plain"));
      }
      fleet.Run([&](asio::yield_context yield) {
        for (length = 0; length <= response.size(); ++length) {
          CAPTURE(r.name, reset, response.substr(0, length));
          arrivals = 0;
          const expectation expected = Expect(r, response, length, reset);
          const received_response received = Receive(fleet, r.path, yield);
          CHECK(received.complete ==
                (expected.complete || received.status >= 400));
          // A call fails as a whole, a stream is cut off.
          if (expected.complete || (r.IsStream() && !expected.body.empty())) {
            CHECK(received.status == 200);
            CHECK(received.body == expected.body);
          } else {
            CHECK(received.status == 502);
          }
          CHECK(arrivals == expected.arrivals);
        }
      });
    }
  }
}

// Guards against taking a resumed stream that has no more events for broken.
TEST_CASE("an empty stream is complete only for a caller that resumes",
          "[path]") {
  struct row {
    const char* name;
    framing frame;
    bool resumes;
    int status;
  };
  const row rows[] = {
      {"the connection's end", framing::kConnection, false, 502},
      {"the connection's end, resumed", framing::kConnection, true, 200},
      {"a length", framing::kLength, false, 200},
      {"chunks", framing::kChunks, false, 200},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    scripted_upstream upstream(fleet.io, [&r](const http_request&, int) {
      return scripted_upstream::reply{
          {{Response(kStreamFields, {}, r.frame), {}}}, true};
    });
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.store.Put("servers/u", upstream.Entry("engines"));
    fleet.Run([&](asio::yield_context yield) {
      outgoing_request request =
          small_fleet::MakeCall("/fixed/x", "a", "key", 1'000);
      if (r.resumes)
        request.headers.emplace_back("Last-Event-Id", "3");
      const http_response response = fleet.Send(fleet.settings.listen, request,
                                                testing::kCallTimeout, yield);
      CHECK(response.status == r.status);
    });
  }
}

}  // namespace
}  // namespace cactusward
