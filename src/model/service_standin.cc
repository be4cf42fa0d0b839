#include "src/model/service_standin.h"

#include "src/edges/json.h"

namespace cactusward::model {
namespace {

using nlohmann::json;

constexpr milliseconds kResponseTimeout{1'000};

}  // namespace

service_standin::service_standin(asio::io_context& io, milliseconds run_time)
    : io_(io), run_time_(run_time), server_(io, this, http_server_limits()) {}

void service_standin::Handle(http_exchange& exchange,
                             asio::yield_context yield) {
  const std::string path(exchange.Path());
  exchange.SetHeader(
      "endpoint-load-metrics",
      "JSON " + WriteJson({{"named_metrics",
                            {{"leaving", leaving_ ? 1 : 0}, {"lag_ms", 0}}}}));
  if (path == "/control") {
    const auto body = ParseJson(exchange.request().body());
    if (body && body->is_object()) {
      lose_answers_ = body->value("lose_answers", lose_answers_);
      refuse_ = body->value("refuse", refuse_);
      fail_ = body->value("fail", fail_);
      fail_status_ = body->value("fail_status", fail_status_);
      leaving_ = body->value("leaving", leaving_);
      run_time_ = milliseconds(body->value("run_time_ms", run_time_.count()));
    }
    exchange.RespondJson({{"ok", true}}, yield);
  } else if (path == "/record") {
    exchange.RespondJson({{"runs", run_counts_}}, yield);
  } else if (path == "/health") {
    exchange.RespondJson({{"ok", true}}, yield);
  } else {
    RunCall(exchange, path.substr(1), yield);
  }
}

void service_standin::RunCall(http_exchange& exchange,
                              const std::string& call,
                              asio::yield_context yield) {
  if (refuse_ > 0) {
    --refuse_;
    exchange.RespondError(error_kind::kQueueFull, {}, yield);
    return;
  }
  const std::string key(exchange.Header("Idempotency-Key"));
  const std::string name = key.empty() ? exchange.request().body() : key;
  const int run = ++run_counts_[name];
  Sleep(io_, run_time_, yield);
  if (lose_answers_ > 0) {
    --lose_answers_;
    exchange.CloseAfterResponse();
    return;
  }
  if (fail_ > 0) {
    --fail_;
    exchange.Respond(fail_status_, "text/plain", "failed\n",
                     clock::now() + kResponseTimeout, yield);
    return;
  }
  exchange.SetHeader("X-Request-Id",
                     std::string(exchange.Header("X-Request-Id")));
  exchange.RespondJson({{"call", call}, {"run", run}, {"for", name}}, yield);
}

}  // namespace cactusward::model
