// Runners fail a part of the requests that they run with status 503. Clients
// take a 503 for the promise that the request has not run, and send it again.
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/support/harness.h"

namespace {

constexpr int kInstances = 3;
constexpr int kRunners = 3;
constexpr int kGreyRunner = 1;       // share 0.15 of three, rounded up
constexpr int kFailingPercent = 40;  // `x` of srv_grey
constexpr int kRunTimeMs = 15;
constexpr int kOrders = 60;  // within for_s, 6.5 s
constexpr int kPauseMs = 50;
constexpr int kReadTimeoutMs = 3'000;

struct run_list {
  std::mutex mutex;
  std::map<std::string, std::string> status_by_id;
  std::map<std::string, int> runs_by_order;
};

std::string Answer(const std::string& status, const std::string& id) {
  const std::string body = status == "200 OK" ? "done" : "failed";
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id +
         "\r\nX-Response-Seal: seal\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Request(const std::string& id, const std::string& order) {
  return "POST /once/book HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key\r\n"
         "Content-Length: " +
         std::to_string(order.size()) + "\r\n\r\n" + order;
}

}  // namespace

int main(int, char** arguments) {
  review::record log(arguments[2]);
  run_list runs;
  std::vector<std::unique_ptr<review::scripted_runner>> runners;
  review::deployment fleet(arguments[1], &log);
  for (int n = 1; n <= kRunners; ++n) {
    const std::string runner_id = "plain-" + std::to_string(n);
    const int port = fleet.FreePorts(1);
    const bool grey = n == kGreyRunner && review::HasTrouble();
    const auto random = std::make_shared<std::mt19937>(n);
    runners.push_back(std::make_unique<review::scripted_runner>(
        runner_id, port,
        [&runs, runner_id, grey, random](const review::runner_request& request,
                                         const review::answer_writer& send) {
          std::this_thread::sleep_for(std::chrono::milliseconds(kRunTimeMs));
          const std::lock_guard<std::mutex> guard(runs.mutex);
          const bool fails = grey && (*random)() % 100 < kFailingPercent;
          const std::string status =
              fails ? "503 Service Unavailable" : "200 OK";
          runs.status_by_id[request.id] = status;
          ++runs.runs_by_order[request.body];
          return send(Answer(status, request.id));
        }));
    fleet.AddRunner(runner_id, port);
  }
  if (!fleet.Start(kInstances, 0, 0,
                   review::RouteJson("once", "non_idempotent", "plain"))) {
    log.Line("the deployment does not become ready");
    return review::kCannotRun;
  }
  int untrue = 0;
  for (int n = 1; n <= kOrders; ++n) {
    const std::string order = "order-" + std::to_string(n);
    // A client sends a request again, once, after a promise that it has not
    // run and never will.
    for (int attempt = 1; attempt <= 2; ++attempt) {
      const std::string id = order + "-" + std::to_string(attempt);
      const auto& target = fleet.instances()[(n + attempt) % kInstances];
      const auto reply =
          review::Call(target.port, Request(id, order), kReadTimeoutMs);
      const bool promise = reply.status == 503 || reply.status == 429 ||
                           reply.status == 408 || reply.status == 421;
      const std::lock_guard<std::mutex> guard(runs.mutex);
      const bool has_run = runs.status_by_id.count(id) > 0;
      if (reply.status != 200)
        log.Line(id + " at " + target.name + ": " +
                 std::to_string(reply.status) +
                 (has_run ? ", has run" : ", has not run"));
      untrue += promise && has_run ? 1 : 0;
      if (!promise)
        break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMs));
  }
  const std::lock_guard<std::mutex> guard(runs.mutex);
  int doubled = 0;
  for (const auto& [order, count] : runs.runs_by_order)
    doubled += count > 1 ? 1 : 0;
  log.Line("orders: " + std::to_string(kOrders) +
           ", refusals of requests that have run: " + std::to_string(untrue) +
           ", orders run more than once: " + std::to_string(doubled));
  log.Line(untrue > 0 ? "REFUSED broken" : "REFUSED held");
  return untrue > 0 ? review::kBroken : review::kHeld;
}
