// Calls an instance for the operators' tool.
#ifndef CACTUSWARD_TOOLS_CTL_CLIENT_H_
#define CACTUSWARD_TOOLS_CTL_CLIENT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "src/edges/http_client.h"

namespace cactusward::ctl {

// Exit codes of the tool.
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

  // Calls the instance; prints why when there is no answer.
  std::optional<http_response> Call(http::verb method,
                                    const std::string& target,
                                    const std::string& body = {});
  // Reads JSON; prints the answer when it is an error.
  std::optional<nlohmann::json> Get(const std::string& target);

 private:
  std::string instance_;
  std::string key_;
  asio::io_context io_;
  http_client client_;
};

// Reads a file; prints why when it cannot.
std::optional<std::string> ReadFile(const std::string& path);

// Prints an error answer. @return the exit code for it.
int PrintError(const http_response& response);

}  // namespace cactusward::ctl

#endif  // CACTUSWARD_TOOLS_CTL_CLIENT_H_
