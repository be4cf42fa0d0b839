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
  std::optional<http_response> response;
  Spawn(io_, "call", [&](asio::yield_context yield) {
    auto outcome =
        client_.Call(instance_, request, clock::now() + kCallTimeout, yield);
    if (outcome)
      response = std::move(*outcome);
    else
      std::cerr << instance_ << ": " << outcome.error().message() << " "
                << outcome.detail() << '\n';
  });
  io_.restart();
  io_.run();
  return response;
}

std::optional<json> fleet_client::Get(const std::string& target) {
  const auto response = Call(http::verb::get, target);
  if (!response)
    return std::nullopt;
  auto parsed = ParseJson(response->body);
  if (response->status == 200 && parsed)
    return parsed;
  std::cerr << response->body << '\n';
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

int PrintError(const http_response& response) {
  const auto body = ParseJson(response.body);
  if (!body || !body->contains("error")) {
    std::cerr << "status " << response.status << '\n';
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
