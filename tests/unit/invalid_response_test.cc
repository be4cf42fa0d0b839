// Tests of responses that are not valid HTTP: on kept and fresh connections,
// forwarded, retried and resumed, on the product's own interface, in probes and
// from the registry.
#include <catch2/catch.hpp>

#include "platform/platform_catalog.h"
#include "src/edges/etcd_store.h"
#include "tests/support/gateway_fleet.h"
#include "tests/support/invalid_responses.h"
#include "tests/support/scripted_upstream.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::gateway_fleet;
using testing::invalid_response;
using testing::InvalidResponses;
using testing::ResponseBytes;
using testing::scripted_upstream;
using testing::small_fleet;

constexpr milliseconds kTimeout{5'000};
constexpr milliseconds kEndDelay{20};

const std::string kSigned = "X-Attempt-Id: a\r\nX-Response-Seal: s\r\n";
const std::string kStreamFields =
    kSigned + "Content-Type: text/event-stream\r\n";

scripted_upstream::reply Send(const std::string& bytes) {
  return {{{bytes, {}}}};
}

// Ends the connection regularly as well, a little later.
scripted_upstream::reply SendLast(const std::string& bytes) {
  return {{{bytes, {}}, {"", kEndDelay}}, true};
}

enum class api { kCall, kSend };

// @return the error of the response or of its body.
error_kind Receive(http_client& client,
                   const std::string& address,
                   api api,
                   bool fresh,
                   asio::yield_context yield) {
  const time_point deadline = clock::now() + kTimeout;
  if (api == api::kCall) {
    outgoing_request request;
    request.target = "/";
    request.fresh_connection = fresh;
    return client.Call(address, request, deadline, yield).kind();
  }
  send_options options;
  options.fresh_connection = fresh;
  send_failure failure;
  const auto stream = client.Send(
      address, http::request<http::string_body>(http::verb::get, "/", 11),
      options, deadline, yield, nullptr, &failure);
  if (!stream) {
    // It may have been executed, and is not sent again by itself.
    CHECK(failure.maybe_sent);
    CHECK(!failure.stale_connection);
    return stream.kind();
  }
  return (*stream)->ReadBody(1'000, deadline, yield).kind();
}

// Guards against an invalid response that is taken for a valid one, for a
// broken connection, on which the request would be sent again, or whose
// connection is used again.
TEST_CASE("an invalid response is an error on each kind of connection") {
  for (const invalid_response& r : InvalidResponses()) {
    for (const api api : {api::kCall, api::kSend}) {
      for (const bool kept : {false, true}) {
        CAPTURE(r.name, static_cast<int>(api), kept);
        asio::io_context io;
        int arrivals = 0;
        scripted_upstream upstream(io, [&](const http_request&, int) {
          if (kept && arrivals++ == 0)
            return Send(ResponseBytes(200, ""));
          arrivals += kept ? 0 : 1;
          return SendLast(r.Bytes("X-A: b\r\n", "hello"));
        });
        http_client client(io);
        Spawn(io, "test", [&](asio::yield_context yield) {
          if (kept)
            CHECK(Receive(client, upstream.address(), api, false, yield) ==
                  error_kind::kOk);
          CHECK(client.idle_connections() == (kept ? 1 : 0));
          CHECK(Receive(client, upstream.address(), api, !kept, yield) ==
                error_kind::kUpstreamGarbled);
          CHECK(client.idle_connections() == 0);
          io.stop();
        });
        io.run();
        CHECK(arrivals == (kept ? 2 : 1));
      }
    }
  }
}

struct received_response {
  int status = 0;
  std::string body;
  bool complete = false;
};

received_response ReceiveFrom(small_fleet& fleet,
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

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

// Two of them are usable at any time: up to half are avoided after failures.
constexpr int kUpstreams = 4;

// Guards against an invalid response that reaches a caller, and against a
// failure which states that a request was not executed that may have been.
TEST_CASE("an invalid response reaches no caller", "[path]") {
  // What upstreams send to a request, in turn; the last one to all others.
  enum class answer { kInvalid, kWhole, kBeginning, kRest };
  struct row {
    const char* name;
    const char* path;
    std::vector<answer> answers;
    int status;
    std::string body;  // empty: not checked
    bool complete;
    int arrivals;
  };
  const std::string whole_stream = Event(1) + Event(2);
  const row rows[] = {
      {"a call", "/once/x", {answer::kInvalid}, 502, "", true, 1},
      {"a retryable call",
       "/often/x",
       {answer::kInvalid, answer::kWhole},
       200,
       "whole",
       true,
       2},
      {"a retry", "/often/x", {answer::kInvalid}, 502, "", true, 2},
      {"a stream", "/fixed/x", {answer::kInvalid}, 502, "", true, 1},
      {"a resumable stream",
       "/stream/x",
       {answer::kInvalid, answer::kWhole},
       200,
       whole_stream,
       true,
       2},
      {"a resumed stream",
       "/stream/x",
       {answer::kBeginning, answer::kInvalid},
       200,
       Event(1),
       false,
       2},
  };
  for (const row& r : rows) {
    const bool is_stream = r.path[1] == 's' || r.path[1] == 'f';
    small_fleet fleet;
    fleet.settings.forwarding->retries.extra_retries = 10'000;
    int arrivals = 0;
    const invalid_response* invalid = nullptr;
    const std::string& fields = is_stream ? kStreamFields : kSigned;
    const auto script = [&](const http_request&, int) {
      const std::size_t turn = std::min<std::size_t>(
          static_cast<std::size_t>(arrivals++), r.answers.size() - 1);
      switch (r.answers[turn]) {
        case answer::kInvalid:
          return SendLast(
              invalid->Bytes(fields, is_stream ? whole_stream : "whole"));
        case answer::kBeginning:
          return SendLast("HTTP/1.1 200 OK\r\n" + fields +
                          "Content-Length: 1000\r\n\r\n" + Event(1));
        default:
          return Send(
              ResponseBytes(200, fields, is_stream ? whole_stream : "whole"));
      }
    };
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams.push_back(
          std::make_unique<scripted_upstream>(fleet.io, script));
      fleet.store.Put("servers/u" + std::to_string(i),
                      upstreams.back()->Entry(is_stream ? "engines" : "plain"));
    }
    fleet.Run([&](asio::yield_context yield) {
      for (const invalid_response& each : InvalidResponses()) {
        CAPTURE(r.name, each.name);
        arrivals = 0;
        invalid = &each;
        const received_response received = ReceiveFrom(fleet, r.path, yield);
        CHECK(received.status == r.status);
        CHECK(received.complete == r.complete);
        if (!r.body.empty())
          CHECK(received.body == r.body);
        CHECK(arrivals == r.arrivals);
      }
    });
  }
}

// Guards against trailers that change the fields of a response which was
// decided on without them.
TEST_CASE("trailers are no fields of a forwarded response", "[path]") {
  const std::string names[] = {"X-B",          "X-Attempt-Id",
                               "Content-Type", "X-Response-Seal",
                               "Set-Cookie",   "Content-Encoding"};
  for (const char* path : {"/once/x", "/often/x"}) {
    small_fleet fleet;
    std::string trailers;
    scripted_upstream upstream(fleet.io, [&](const http_request&, int) {
      return Send("HTTP/1.1 200 OK\r\n" + kSigned +
                  "Content-Type: text/plain\r\nTransfer-Encoding: chunked"
                  "\r\n\r\n5\r\nwhole\r\n0\r\n" +
                  trailers + "\r\n");
    });
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.store.Put("servers/u", upstream.Entry("plain"));
    fleet.Run([&](asio::yield_context yield) {
      for (const std::string& name : names) {
        CAPTURE(path, name);
        trailers = name + ": trailer\r\n";
        const time_point deadline = clock::now() + testing::kCallTimeout;
        const auto stream = fleet.client.Open(
            fleet.settings.listen,
            small_fleet::MakeCall(path, "a", "key", 1'000), deadline, yield);
        REQUIRE(stream);
        CHECK((*stream)->status() == 200);
        const auto body = (*stream)->ReadBody(1'000, deadline, yield);
        CHECK(body);
        CHECK((body && *body == "whole"));
        for (const auto& field : (*stream)->header())
          CHECK(field.value() != "trailer");
      }
    });
  }
}

// Guards against a body that is taken for complete although bytes follow it
// which are no trailers.
TEST_CASE("a response with invalid trailers is an error") {
  struct row {
    const char* name;
    std::string trailers;
    error_kind kind;
  };
  using namespace std::string_literals;
  const error_kind garbled = error_kind::kUpstreamGarbled;
  const row rows[] = {
      {"none", "", error_kind::kOk},
      {"valid", "X-T: 1\r\nX-U: 2\r\n", error_kind::kOk},
      {"a blank first", " X-T: 1\r\n", garbled},
      {"a blank first, behind a valid one", "X-T: 1\r\n X-U: 2\r\n", garbled},
      {"a tab first, behind a valid one", "X-T: 1\r\n\tX-U: 2\r\n", garbled},
      {"blanks only", "X-T: 1\r\n  \r\n", garbled},
      {"a blank within", "X T: 1\r\n", garbled},
      {"a blank last", "X-T : 1\r\n", garbled},
      {"a NUL", "X-\0T: 1\r\n"s, garbled},
      {"a control byte", "X-\x01T: 1\r\n", garbled},
      {"a delete", "X-T\x7f: 1\r\n", garbled},
      {"a carriage return", "X-T\r: 1\r\n", garbled},
      {"a line feed", "X-T: 1\nX-U: 2\r\n", garbled},
      {"no name", ": 1\r\n", garbled},
      {"no colon", "X-T\r\n", garbled},
  };
  for (const row& r : rows) {
    for (const api api : {api::kCall, api::kSend}) {
      CAPTURE(r.name, static_cast<int>(api));
      asio::io_context io;
      scripted_upstream upstream(io, [&r](const http_request&, int) {
        return Send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "5\r\nwhole\r\n0\r\n" +
            r.trailers + "\r\n");
      });
      http_client client(io);
      Spawn(io, "test", [&](asio::yield_context yield) {
        CHECK(Receive(client, upstream.address(), api, true, yield) == r.kind);
        CHECK(client.idle_connections() == (r.kind == error_kind::kOk ? 1 : 0));
        io.stop();
      });
      io.run();
    }
  }
}

// The events of a complete response to a completion.
std::string CompletionStream(const std::string& id) {
  return R"(data: {"id":")" + id +
         R"(","choices":[{"text":"a","finish_reason":"stop"}]})"
         "\n\ndata: [DONE]\n\n";
}

// The same on the product's own interface.
TEST_CASE("an invalid response reaches no caller of the own interface",
          "[path]") {
  struct row {
    const char* name;
    const char* path;
    bool is_call;
  };
  const row rows[] = {
      {"a call", "/v1/services/faulty/stock", true},
      {"a completion", "/v1/completions", false},
  };
  for (const row& r : rows) {
    gateway_fleet fleet;
    const invalid_response* invalid = nullptr;  // null: responds as it should
    int arrivals = 0;
    const auto script = [&](const http_request& request, int) {
      if (request.target() == "/health")
        return Send(ResponseBytes(200, ""));
      ++arrivals;
      const std::string fields =
          r.is_call ? "X-A: b\r\n" : "Content-Type: text/event-stream\r\n";
      const std::string body =
          r.is_call ? "whole"
                    : CompletionStream("cmpl-" +
                                       std::string(request["X-Request-Id"]));
      return invalid ? SendLast(invalid->Bytes(fields, body))
                     : Send(ResponseBytes(200, fields, body));
    };
    scripted_upstream upstream(fleet.io, script);
    nlohmann::json service = {{"name", "faulty"}};
    if (r.is_call) {
      service["kind"] = "plain";
      service["calls"] = {
          {{"name", "stock"}, {"repeatable", false}, {"time_limit_ms", 2'000}}};
    } else {
      service["model"] = "faulty";
    }
    fleet.more_services.push_back(service);
    fleet.more_upstreams.emplace_back("faulty", upstream.address());
    int key = 0;
    const auto call = [&](asio::yield_context yield) {
      outgoing_request request;
      request.method = http::verb::post;
      request.target = r.path;
      request.headers = {
          {"Authorization", "Bearer " + std::string(fleet.kKey)},
          {"Idempotency-Key", "invalid-" + std::to_string(key++)}};
      if (!r.is_call)
        request.body = R"({"model":"faulty","prompt":"note","max_tokens":4})";
      const auto response = fleet.client.Call(fleet.settings.listen, request,
                                              clock::now() + kTimeout, yield);
      return response ? *response : http_response();
    };
    fleet.Run([&](asio::yield_context yield) {
      for (const invalid_response& each : InvalidResponses()) {
        CAPTURE(r.name, each.name);
        // The upstream is avoided for a while after a failure.
        invalid = nullptr;
        const time_point until = clock::now() + kTimeout;
        while (call(yield).status != 200 && clock::now() < until)
          Sleep(fleet.io, testing::kPollPeriod, yield);
        invalid = &each;
        arrivals = 0;
        const http_response response = call(yield);
        CHECK(response.status == 502);
        CHECK(response.body.find(R"("was_run":"unknown")") !=
              std::string::npos);
        CHECK(arrivals == 1);
      }
    });
  }
}

// Guards against an upstream that counts as healthy because of a response to a
// probe that is none.
TEST_CASE("an invalid response to a probe makes no upstream healthy",
          "[path]") {
  // Two probes that fail, and the time between them.
  constexpr milliseconds kProbeTime{2'000};
  const std::vector<invalid_response> rows = InvalidResponses();
  gateway_fleet fleet;
  std::vector<int> arrivals(rows.size());
  std::vector<std::unique_ptr<scripted_upstream>> upstreams;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto script = [&, i](const http_request& request, int) {
      if (request.target() == "/health")
        return SendLast(rows[i].Bytes("X-A: b\r\n", "hello"));
      ++arrivals[i];
      return Send(ResponseBytes(200, "", "whole"));
    };
    upstreams.push_back(std::make_unique<scripted_upstream>(fleet.io, script));
    const std::string name = "faulty" + std::to_string(i);
    fleet.more_services.push_back(
        {{"name", name},
         {"kind", "plain"},
         {"calls", {{{"name", "stock"}, {"time_limit_ms", 1'000}}}}});
    fleet.more_upstreams.emplace_back(name, upstreams.back()->address());
  }
  fleet.Run([&](asio::yield_context yield) {
    Sleep(fleet.io, kProbeTime, yield);
    std::vector<const testing::caller_request*> sent;
    for (std::size_t i = 0; i < rows.size(); ++i)
      sent.push_back(
          fleet.Begin("/v1/services/faulty" + std::to_string(i) + "/stock"));
    for (std::size_t i = 0; i < rows.size(); ++i) {
      CAPTURE(rows[i].name);
      fleet.Await(*sent[i], yield);
      CHECK(sent[i]->status == 503);
      CHECK(arrivals[i] == 0);
    }
  });
}

// Guards against an invalid response of the registry that is read as an empty
// list, or as a value.
TEST_CASE("an invalid response of a store is no content") {
  const std::string content = R"({"entries":[],"has_more":false,"at":1})";
  for (const invalid_response& r : InvalidResponses()) {
    CAPTURE(r.name);
    asio::io_context io;
    scripted_upstream store(io, [&](const http_request&, int) {
      return SendLast(r.Bytes("X-A: b\r\n", content));
    });
    http_client client(io);
    platform::platform_catalog catalog(&client, store.address());
    etcd_store etcd(&client, store.address());
    Spawn(io, "test", [&](asio::yield_context yield) {
      CHECK(catalog.ReadUpstreams(yield).kind() ==
            error_kind::kStoreUnavailable);
      CHECK(etcd.Get("key", clock::now() + kTimeout, yield).kind() ==
            error_kind::kStoreUnavailable);
      io.stop();
    });
    io.run();
  }
}

}  // namespace
}  // namespace cactusward
