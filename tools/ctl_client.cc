#include "tools/ctl_client.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "src/edges/json.h"

namespace cactusward::ctl {
namespace {

using nlohmann::json;

constexpr milliseconds kCallTimeout{12'000};

}  // namespace

fleet_client::fleet_client(std::string instance, std::string key)
    : instance_(std::move(instance)), key_(std::move(key)), client_(io_) {}

std::optional<http_response> fleet_client::Call(http::verb method,
                                                const std::string& target,
                                                const std::string& body) {
  outgoing_request request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers = {{"Authorization", "Bearer " + key_}};
  std::optional<http_response> answer;
  Spawn(io_, "call", [&](asio::yield_context yield) {
    auto got =
        client_.Call(instance_, request, clock::now() + kCallTimeout, yield);
    if (got)
      answer = std::move(*got);
    else
      std::cerr << instance_ << ": " << got.error().message() << " "
                << got.detail() << '\n';
  });
  io_.restart();
  io_.run();
  return answer;
}

std::optional<json> fleet_client::Get(const std::string& target) {
  const auto answer = Call(http::verb::get, target);
  if (!answer)
    return std::nullopt;
  auto parsed = ParseJson(answer->body);
  if (answer->status == 200 && parsed)
    return parsed;
  std::cerr << answer->body << '\n';
  return std::nullopt;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << "cannot read " << path << '\n';
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int FailWith(const http_response& answer) {
  const auto body = ParseJson(answer.body);
  if (!body || !body->contains("error")) {
    std::cerr << "status " << answer.status << '\n';
    return kExitFailed;
  }
  const json& error = (*body)["error"];
  std::cerr << error.value("kind", "") << ": " << error.value("message", "")
            << '\n'
            << error.value("detail", "") << '\n';
  if (error.value("kind", "") == "config_invalid")
    return kExitInvalid;
  return error.value("kind", "") == "config_conflict" ? kExitConflict
                                                      : kExitFailed;
}

}  // namespace cactusward::ctl
