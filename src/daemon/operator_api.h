// HTTP API for operators: configuration, evacuations, drain, members and
// reports.
#ifndef CACTUSWARD_SRC_DAEMON_OPERATOR_API_H_
#define CACTUSWARD_SRC_DAEMON_OPERATOR_API_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/daemon/runtime.h"
#include "src/edges/http_server.h"
#include "src/request/request_context.h"

namespace cactusward {

class membership_service;

class operator_api {
 public:
  operator_api(runtime& runtime, const handler_services& services);

  // Whether a request with `head` comes from an operator and needs its body.
  bool TakesBody(const http_request_head& head) const;
  // Handles a request under /v1/admin/.
  void Handle(http_exchange& exchange, asio::yield_context yield);

 private:
  bool IsOperator(const http_request_head& head) const;
  void GetConfig(http_exchange& exchange, asio::yield_context yield);
  void CheckConfig(http_exchange& exchange, asio::yield_context yield);
  void ApplyConfig(http_exchange& exchange, asio::yield_context yield);
  // Evacuates or readmits the zone in a path zones/ZONE/evacuation.
  void ChangeEvacuation(http_exchange& exchange,
                        const std::string& name,
                        asio::yield_context yield);
  // The state of each zone in the fleet.
  nlohmann::json ZoneStatuses(asio::yield_context yield);
  // A report of this instance; null for an unknown report name.
  nlohmann::json LocalReport(std::string_view name);
  nlohmann::json Status();
  nlohmann::json Upstreams();
  // What this instance knows of evacuations.
  nlohmann::json Zones();
  nlohmann::json Queues();
  nlohmann::json Burn();
  // The report `name` of every live instance, by instance name.
  nlohmann::json GatherReports(const std::string& name,
                               asio::yield_context yield);
  nlohmann::json Members();

  runtime& runtime_;
  handler_services services_;
  membership_service* membership_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_OPERATOR_API_H_
