// Stand-ins for the platform's store and runners, with scripted faults, for
// tests that run the whole path in one process.
#ifndef CACTUSWARD_TESTS_SUPPORT_PLATFORM_FAKES_H_
#define CACTUSWARD_TESTS_SUPPORT_PLATFORM_FAKES_H_

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/edges/http_server.h"

namespace cactusward::testing {

// A free address of the loopback interface; ports are tried in order. Another
// process may take it.
std::string FreeAddress();

// The store: items, a revision, watches; may be down or silent.
class store_fake : public http_handler {
 public:
  // Listens on `address`.
  explicit store_fake(asio::io_context& io,
                      std::string address = FreeAddress());
  const std::string& address() const { return address_; }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Answers 503 to everything.
  void SetDown(bool down) { down_ = down; }
  // Watches hear of nothing.
  void SetWatchEventsSuppressed(bool suppressed) {
    watch_events_suppressed_ = suppressed;
  }
  // Answers reads with status 200 and `body`, whatever was asked; empty: no.
  void SetFixedResponseBody(std::string body) {
    fixed_response_body_ = std::move(body);
  }
  // Takes requests and never answers.
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }
  // Reads, not watches, that callers gave up while the store was silent.
  int abandoned_reads() const { return abandoned_reads_; }
  // Forgets which changes led here; watches are cut.
  void Compact();
  int calls() const { return calls_; }

  void Handle(http_exchange& exchange, asio::yield_context yield) override;

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    bool removed = false;
  };
  nlohmann::json EncodeItem(const std::string& key, const item& item) const;
  void Watch(http_exchange& exchange, asio::yield_context yield);

  asio::io_context& io_;
  std::string address_;
  http_server server_;
  std::map<std::string, item> items_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  bool down_ = false;
  bool watch_events_suppressed_ = false;
  std::string fixed_response_body_;
  bool unresponsive_ = false;
  int abandoned_reads_ = 0;
  int calls_ = 0;
};

// What a runner does with a request.
enum class runner_fault {
  kNone,
  kRefuses,        // 503, not executed
  kWrongInstance,  // 421
  kBreaksAtStart,  // runs it, closes without an answer
  kBreaksMidway,   // runs it, closes within the answer
  kUnsigned,       // 200 without a signature
  kCrossed,        // the answer to another request
  kFails,          // 500 of its own
  kSilent,         // runs it, says nothing
};
// @return nothing for a name that is no fault's.
std::optional<runner_fault> ParseRunnerFault(std::string_view name);

// A runner that counts what it ran.
class runner_fake : public http_handler {
 public:
  // Listens on `address`.
  runner_fake(asio::io_context& io,
              std::string id,
              std::string address = FreeAddress());
  const std::string& address() const { return address_; }
  const std::string& id() const { return id_; }
  // The store's entry of this runner.
  std::string Entry(const std::string& service, bool leaving = false) const;
  // Has the fault for the next `requests` requests.
  void SetFault(runner_fault fault,
                int requests = std::numeric_limits<int>::max()) {
    fault_ = fault;
    faulty_requests_ = requests;
  }
  // Refuses prompts that `helper` is to help with, and puts it down to it.
  void RefuseHelper(const runner_fake& helper) {
    refused_helper_ = helper.address();
  }
  // Called before a request runs.
  void OnRun(std::function<void(const http_request&)> hook) {
    on_run_ = std::move(hook);
  }
  // Time from the run of a request to its answer.
  void SetRunTime(milliseconds time) { run_time_ = time; }
  // Time between the events of a stream.
  void SetEventPause(milliseconds pause) { event_pause_ = pause; }
  // Memory held for reservations, in tokens.
  std::int64_t ReservedTokens() const;
  // Events of a stream that it sends whole.
  static constexpr int kEvents = 5;
  int runs() const { return runs_; }
  int arrivals() const { return arrivals_; }
  // Requests, as they arrived.
  const std::vector<http_request>& received_requests() const {
    return received_requests_;
  }

  void Handle(http_exchange& exchange, asio::yield_context yield) override;

 private:
  struct reservation {
    std::int64_t tokens = 0;
    time_point until;
  };
  runner_fault NextFault();
  void Run(const http_exchange& exchange, asio::yield_context yield);
  void HandleReservation(http_exchange& exchange, asio::yield_context yield);
  void Stream(http_exchange& exchange,
              runner_fault fault,
              asio::yield_context yield);

  asio::io_context& io_;
  std::string id_;
  std::string address_;
  http_server server_;
  runner_fault fault_ = runner_fault::kNone;
  int faulty_requests_ = 0;
  std::function<void(const http_request&)> on_run_;
  std::string refused_helper_;
  milliseconds run_time_{0};
  milliseconds event_pause_{0};
  std::map<std::string, reservation> reservations_;  // by the reservation's id
  int runs_ = 0;
  int arrivals_ = 0;
  std::vector<http_request> received_requests_;
};

// A configuration with the routes /stream/, /fixed/ (a stream that may not be
// resumed), /once/ and /often/ at host "h", with the key "key" of "org".
std::string ConfigDocument(int version, const std::string& extra_route = {});

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_PLATFORM_FAKES_H_
