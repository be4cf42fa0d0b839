// HTTP client of cactuswardctl.
#ifndef CACTUSWARD_TOOLS_CTL_CLIENT_H_
#define CACTUSWARD_TOOLS_CTL_CLIENT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "src/edges/http_client.h"

namespace cactusward::ctl {

// Exit codes of cactuswardctl.
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitInvalid = 3;
inline constexpr int kExitConflict = 4;
inline constexpr int kExitUnreachable = 5;
inline constexpr int kExitNotInForce = 6;

// Not thread-safe.
class fleet_client {
 public:
  // @param instance HTTP address of any instance.
  // @param key the operators' key.
  fleet_client(std::string instance, std::string key);

  // Sends a request to the instance. Prints the error and returns nullopt when
  // there is no response.
  std::optional<http_response> Call(http::verb method,
                                    const std::string& target,
                                    const std::string& body = {});
  // Sends a GET request and parses the JSON response. When the status is not
  // 200 or the body is not JSON, prints the body and returns nullopt.
  std::optional<nlohmann::json> Get(const std::string& target);

 private:
  std::string instance_;
  std::string key_;
  asio::io_context io_;
  http_client client_;
};

// Reads a file. Prints an error and returns nullopt when it cannot be opened.
std::optional<std::string> ReadFile(const std::string& path);

// Prints an error response. @return the matching exit code.
int PrintError(const http_response& response);

}  // namespace cactusward::ctl

#endif  // CACTUSWARD_TOOLS_CTL_CLIENT_H_
