// HTTP requests that a scenario sends as a caller.
#ifndef CACTUSWARD_TESTS_SUPPORT_SCENARIO_CALLS_H_
#define CACTUSWARD_TESTS_SUPPORT_SCENARIO_CALLS_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "src/edges/http_client.h"

namespace cactusward::test {

struct scenario_call {
  bool done = false;
  nlohmann::json response;
};

// Starts a request, given as for `call` in scenario_runner.cc, and stops `io`
// when it has completed. Precondition: `io` and `client` outlive the call.
std::shared_ptr<scenario_call> BeginCall(asio::io_context& io,
                                         http_client& client,
                                         const nlohmann::json& request);

}  // namespace cactusward::test

#endif  // CACTUSWARD_TESTS_SUPPORT_SCENARIO_CALLS_H_
