// Stand-in for a plain service that counts the executions of each call.
#ifndef CACTUSWARD_SRC_MODEL_SERVICE_STANDIN_H_
#define CACTUSWARD_SRC_MODEL_SERVICE_STANDIN_H_

#include <map>
#include <string>

#include "src/edges/http_server.h"

namespace cactusward::model {

class service_standin : public http_handler {
 public:
  // @param run_time execution time of a call.
  service_standin(asio::io_context& io, milliseconds run_time);

  bool Listen(const std::string& address) { return server_.Listen(address); }
  void Handle(http_exchange& exchange, asio::yield_context yield) override;

 private:
  void RunCall(http_exchange& exchange,
               const std::string& call,
               asio::yield_context yield);

  asio::io_context& io_;
  milliseconds run_time_;
  http_server server_;
  std::map<std::string, int> run_counts_;  // by Idempotency-Key, else by body
  int lose_answers_ = 0;  // next calls that are executed without a response
  int refuse_ = 0;        // next calls that are refused, as not executed
  // Next calls that are executed and fail with a status that reads like a
  // refusal.
  int fail_ = 0;
  int fail_status_ = 0;
  bool leaving_ = false;
};

}  // namespace cactusward::model

#endif  // CACTUSWARD_SRC_MODEL_SERVICE_STANDIN_H_
