#include "tests/support/scenario_calls.h"

#include "cactusward/error.h"
#include "src/edges/json.h"

namespace cactusward::test {
namespace {

using nlohmann::json;

constexpr milliseconds kDefaultTimeout{30'000};
constexpr unsigned kHttp11 = 11;

result<std::unique_ptr<http_stream>> SendOnce(http_client& client,
                                              const json& request,
                                              const outgoing_request& outgoing,
                                              time_point deadline,
                                              send_failure* failure,
                                              asio::yield_context yield) {
  http::request<http::string_body> message(outgoing.method, outgoing.target,
                                           kHttp11);
  for (const auto& [name, value] : outgoing.headers)
    message.set(name, value);
  message.body() = outgoing.body;
  message.keep_alive(true);
  message.prepare_payload();
  send_options options;
  options.dead_peer_timeout = milliseconds(0);
  return client.Send(request.value("address", ""), std::move(message), options,
                     deadline, yield, nullptr, failure);
}

void PerformCall(http_client& client,
                 const json& request,
                 const std::shared_ptr<scenario_call>& call,
                 asio::yield_context yield) {
  outgoing_request outgoing;
  outgoing.method = http::string_to_verb(request.value("method", "GET"));
  outgoing.target = request.value("path", "/");
  outgoing.body = request.value("body", "");
  const json headers = request.value("headers", json::object());
  for (const auto& [name, value] : headers.items())
    outgoing.headers.emplace_back(name, value.get<std::string>());
  const milliseconds timeout(
      request.value("timeout_ms", kDefaultTimeout.count()));
  const time_point start = clock::now();
  const time_point deadline = start + timeout;
  call->response = json::object();
  send_failure failure;
  const auto stream =
      request.value("once", false)
          ? SendOnce(client, request, outgoing, deadline, &failure, yield)
          : client.Open(request.value("address", ""), outgoing, deadline,
                        yield);
  if (!stream) {
    call->response["error"] = ErrorResponseFor(stream.kind()).name;
    call->response["reused"] = failure.stale_connection;
  } else {
    std::string body;
    while (true) {
      const auto bytes = (*stream)->Read(deadline, yield);
      if (!bytes)
        call->response["error"] = ErrorResponseFor(bytes.kind()).name;
      if (!bytes || bytes->empty())
        break;
      body.append(*bytes);
    }
    call->response["status"] = (*stream)->status();
    for (const auto& field : (*stream)->header())
      call->response["headers"][std::string(field.name_string())] =
          std::string(field.value());
    call->response["served_by"] = (*stream)->Header("X-Served-By");
    call->response["replayed"] = (*stream)->Header("Idempotent-Replayed");
    if (auto parsed = ParseJson(body))
      call->response["json"] = std::move(*parsed);
    call->response["body"] = std::move(body);
  }
  call->response["took_ms"] = ToMilliseconds(clock::now() - start);
  call->done = true;
}

}  // namespace

std::shared_ptr<scenario_call> BeginCall(asio::io_context& io,
                                         http_client& client,
                                         const json& request) {
  auto call = std::make_shared<scenario_call>();
  Spawn(io, "call", [&io, &client, request, call](asio::yield_context yield) {
    PerformCall(client, request, call, yield);
    io.stop();
  });
  return call;
}

}  // namespace cactusward::test
