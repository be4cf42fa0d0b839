// Responses that are not valid HTTP, in forms that a lenient reader accepts.
#ifndef CACTUSWARD_TESTS_SUPPORT_INVALID_RESPONSES_H_
#define CACTUSWARD_TESTS_SUPPORT_INVALID_RESPONSES_H_

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace cactusward::testing {

// How a response states the end of its body.
enum class body_end { kLength, kChunks, kConnection };

struct invalid_response {
  std::string name;
  std::string status_line;
  std::string fields;  // lines behind those that a test requires
  std::string before;  // what is sent before the head
  body_end end = body_end::kLength;

  // @param required lines of fields that the head begins with.
  std::string Bytes(const std::string& required,
                    const std::string& body) const {
    const std::string head = before + status_line + "\r\n" + required + fields;
    switch (end) {
      case body_end::kLength:
        return head + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
      case body_end::kChunks: {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx", body.size());
        return head + "Transfer-Encoding: chunked\r\n\r\n" +
               (body.empty() ? "" : size + ("\r\n" + body + "\r\n")) +
               "0\r\n\r\n";
      }
      case body_end::kConnection:
        break;
    }
    return head + "\r\n" + body;
  }
};

// Responses whose status is none of HTTP, and those that switch to a protocol
// which was not asked for.
inline std::vector<invalid_response> InvalidStatuses() {
  const std::string ok = "HTTP/1.1 200 OK";
  std::vector<invalid_response> rows;
  for (const char* status : {"000", "001", "020", "099", "600", "700", "999"})
    rows.push_back({status, std::string("HTTP/1.1 ") + status + " x"});
  const std::vector<invalid_response> others = {
      {"000 without a reason", "HTTP/1.1 000 "},
      {"000, HTTP/1.0", "HTTP/1.0 000 x"},
      {"000 in chunks", "HTTP/1.1 000 x", {}, {}, body_end::kChunks},
      {"000 without a length", "HTTP/1.1 000 x", {}, {}, body_end::kConnection},
      {"000 behind an interim response",
       "HTTP/1.1 000 x",
       {},
       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
      {"000 in place of an interim response",
       ok,
       {},
       "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n"},
      {"101", "HTTP/1.1 101 Switching Protocols",
       "Connection: upgrade\r\nUpgrade: x\r\n"},
      {"101 in place of an interim response",
       ok,
       {},
       "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
      {"two digits", "HTTP/1.1 20 OK"},
      {"four digits", "HTTP/1.1 2000 OK"},
      {"a sign", "HTTP/1.1 +20 OK"},
      {"a letter", "HTTP/1.1 20O OK"},
      {"no status", "HTTP/1.1  OK"},
      {"another version", "HTTP/2.0 200 OK"},
  };
  rows.insert(rows.end(), others.begin(), others.end());
  return rows;
}

// Responses with a field in the head whose name is none of HTTP, also in the
// head of an interim response.
inline std::vector<invalid_response> InvalidFields() {
  using namespace std::string_literals;
  const std::string ok = "HTTP/1.1 200 OK";
  const invalid_response lines[] = {
      {"a blank first", ok, " X-B: c\r\n"},
      {"a tab first", ok, "\tX-B: c\r\n"},
      {"blanks only", ok, "X-A: b\r\n  \r\n"},
      {"a blank first, behind an empty field", ok, "X-A:\r\n X-B: c\r\n"},
      {"a line without a name", ok, "X-A: b\r\n c\r\n"},
      {"a blank within", ok, "X B: c\r\n"},
      {"a tab within", ok, "X\tB: c\r\n"},
      {"a blank last", ok, "X-B : c\r\n"},
      {"a tab last", ok, "X-B\t: c\r\n"},
      {"a NUL", ok, "X-\0B: c\r\n"s},
      {"a control byte first", ok, "\x01X-B: c\r\n"},
      {"a control byte within", ok, "X-\x01\x42: c\r\n"},
      {"a control byte last", ok, "X-B\x1f: c\r\n"},
      {"a vertical tab first", ok, "\vX-B: c\r\n"},
      {"a form feed within", ok, "X-\fB: c\r\n"},
      {"a delete", ok, "X-\x7f\x42: c\r\n"},
      {"a carriage return first", ok, "\rX-B: c\r\n"},
      {"a carriage return last", ok, "X-B\r: c\r\n"},
      {"a line feed first", ok, "\nX-B: c\r\n"},
      {"a line feed within", ok, "X-\nB: c\r\n"},
      {"no name", ok, ": c\r\n"},
      {"no colon", ok, "X-B\r\n"},
      {"another length, a blank first", ok, " Content-Length: 2\r\n"},
      {"another length, a blank last", ok, "Content-Length : 2\r\n"},
      {"another length, a NUL", ok, "Content-Length\0: 2\r\n"s},
      {"chunks, a blank first", ok, " Transfer-Encoding: chunked\r\n"},
      {"chunks, a tab first", ok, "\tTransfer-Encoding: chunked\r\n"},
      {"chunks, a blank last", ok, "Transfer-Encoding : chunked\r\n"},
  };
  std::vector<invalid_response> rows;
  for (const invalid_response& line : lines) {
    for (const body_end end :
         {body_end::kLength, body_end::kChunks, body_end::kConnection}) {
      rows.push_back(line);
      rows.back().name += ", " + std::to_string(static_cast<int>(end));
      rows.back().end = end;
    }
    rows.push_back(
        {line.name + ", in an interim response",
         ok,
         {},
         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line.fields + "\r\n"});
  }
  return rows;
}

// All of them.
inline std::vector<invalid_response> InvalidResponses() {
  std::vector<invalid_response> rows = InvalidStatuses();
  for (invalid_response& row : InvalidFields())
    rows.push_back(std::move(row));
  return rows;
}

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_INVALID_RESPONSES_H_
