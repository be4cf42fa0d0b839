// Fakes of the platform's store and runners with injectable faults, for tests
// that run the whole request path in one process.
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

// Returns a loopback address that is free now, for TCP and UDP; ports are tried
// in order, in a block that other processes which call this do not use.
std::string FreeAddress();

// The key-value store: items with revisions, and watches.
class store_fake : public http_handler {
 public:
  // Listens on `address`, unless it is empty.
  explicit store_fake(asio::io_context& io,
                      std::string address = FreeAddress());
  const std::string& address() const { return address_; }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Responds 503 to every request.
  void SetDown(bool down) { down_ = down; }
  // Watches receive no events.
  void SetWatchEventsSuppressed(bool suppressed) {
    watch_events_suppressed_ = suppressed;
  }
  // Watches deliver events this long after a change.
  void SetWatchDelay(milliseconds delay) { watch_delay_ = delay; }
  // Responds to every request with status 200 and `body`; empty: as usual.
  void SetFixedResponseBody(std::string body) {
    fixed_response_body_ = std::move(body);
  }
  // Most items of a page of the list; 0: all.
  void SetPageSize(std::size_t items) { page_size_ = items; }
  // Adds the JSON text `item` to each non-empty list of entries or events;
  // empty: none.
  void SetExtraItem(std::string item) { extra_item_ = std::move(item); }
  // Accepts requests and never responds.
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }
  // Never responds to requests for a single value, or for those that the
  // operator writes.
  void SetValueReadsUnresponsive(bool unresponsive) {
    value_reads_unresponsive_ = unresponsive;
  }
  // Reads, watches excluded, whose caller disconnected while the store was
  // unresponsive.
  int abandoned_reads() const { return abandoned_reads_; }
  // Discards the history of changes: watches from an earlier revision get
  // status 410.
  void Compact();
  // Keeps a copy of the content, for Restore.
  void Backup() { backup_ = {items_, revision_}; }
  // Returns to the last copy: later revisions are given out again, the era
  // rises, and waiting watches are cut.
  void Restore();
  int calls() const { return calls_; }
  std::int64_t revision() const { return revision_; }
  std::int64_t era() const { return era_; }

  void Handle(http_exchange& exchange, asio::yield_context yield) override;

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    bool removed = false;
  };
  nlohmann::json EncodeItem(const std::string& key, const item& item) const;
  void AddExtraItem(nlohmann::json* list) const;
  void Watch(http_exchange& exchange, asio::yield_context yield);

  asio::io_context& io_;
  std::string address_;
  http_server server_;
  struct backup {
    std::map<std::string, item> items;
    std::int64_t revision = 1;
  };
  std::map<std::string, item> items_;
  std::int64_t revision_ = 1;
  std::int64_t era_ = 1;
  backup backup_;
  std::int64_t compacted_ = 0;
  bool down_ = false;
  bool watch_events_suppressed_ = false;
  milliseconds watch_delay_{0};
  std::string fixed_response_body_;
  std::size_t page_size_ = 0;
  std::string extra_item_;
  bool unresponsive_ = false;
  bool value_reads_unresponsive_ = false;
  int abandoned_reads_ = 0;
  int calls_ = 0;
};

// Fault of a runner when it gets a request.
enum class runner_fault {
  kNone,
  kRefuses,            // 503, not executed
  kWrongInstance,      // 421
  kBreaksAtStart,      // executes it, closes without a response
  kBreaksMidway,       // executes it, closes within the response
  kUnsigned,           // 200 without a signature
  kCrossed,            // executes it, responds with the id of another request
  kFails,              // executes it, responds 500
  kSilent,             // executes it, never responds
  kPauses,             // executes it, is silent for kPauseTime, and goes on
  kRepeatsRefusal,     // 503, not executed, and the same once more
  kFailsContinuation,  // executes it; 500 when it is to continue a stream
  kEndsInEvent,        // executes it, ends a stream regularly within an event
  kFailsAsRefusal,     // executes it, responds 503 without kRefuses' statement
};
// @return nullopt for an unknown name.
std::optional<runner_fault> ParseRunnerFault(std::string_view name);

// A runner that counts the requests it executed. The query of a request may
// name the number of `events` and the bytes of `padding` of each event or of
// the response.
class runner_fake : public http_handler {
 public:
  // Listens on `address`, unless it is empty.
  runner_fake(asio::io_context& io,
              std::string id,
              std::string address = FreeAddress());
  const std::string& address() const { return address_; }
  const std::string& id() const { return id_; }
  // Returns the store's entry for this runner.
  std::string Entry(const std::string& service,
                    bool leaving = false,
                    int started_at_ms = 1) const;
  // Injects `fault` into the next `requests` requests.
  void SetFault(runner_fault fault,
                int requests = std::numeric_limits<int>::max()) {
    fault_ = fault;
    faulty_requests_ = requests;
  }
  // Refuses requests that list `helper` as prefill helper, and names the helper
  // as the cause. `retry_after`: seconds; empty: not stated.
  void RefuseHelper(const runner_fake& helper, std::string retry_after = {}) {
    refused_helper_ = helper.address();
    helper_retry_after_ = std::move(retry_after);
  }
  // Accepts at most `entries` in the list of helpers.
  void SetMaxHelperEntries(int entries) { max_helper_entries_ = entries; }
  // Crashes when it would begin to respond to a request whose prompt has one of
  // `parts`, by id. It then breaks all requests, refuses connections for
  // `downtime` and starts again.
  void CrashOnParts(std::vector<std::string> parts, milliseconds downtime) {
    crashing_parts_ = std::move(parts);
    downtime_ = downtime;
  }
  int crashes() const { return crashes_; }
  // Sets a hook that is called at a crash.
  void OnCrash(std::function<void()> hook) { on_crash_ = std::move(hook); }
  // States in its responses how much longer it is cold; empty: nothing.
  void SetColdRemaining(std::string ms) { cold_remaining_ = std::move(ms); }
  // Names a limit of requests a second in its responses; empty: none.
  void SetRequestLimit(std::string per_second) {
    request_limit_ = std::move(per_second);
  }
  // Sets a hook that is called for each executed request.
  void OnRun(std::function<void(const http_request&)> hook) {
    on_run_ = std::move(hook);
  }
  // Sets the time until a control request is answered.
  void SetControlDelay(milliseconds delay) { control_delay_ = delay; }
  // Sets the time between executing a request and its response.
  void SetRunTime(milliseconds time) { run_time_ = time; }
  // Sets the time between the events of a stream.
  void SetEventPause(milliseconds pause) { event_pause_ = pause; }
  // KV tokens of unexpired reservations.
  std::int64_t ReservedTokens() const;
  // Announces in all responses that it leaves, in those of control requests as
  // well.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  // Refuses requests with 503 and this time to retry after; empty: none. The
  // fault kCrossed makes it the refusal of another request.
  void SetRetryAfter(std::string seconds) { retry_after_ = std::move(seconds); }
  // Number of events in a complete stream, unless the query of the request has
  // "events".
  static constexpr int kEvents = 5;
  // Silence of a runner with the fault kPauses, in the middle of a stream or
  // before the response to a call.
  static constexpr milliseconds kPauseTime{1'800};
  int runs() const { return runs_; }
  // Number of requests for memory, renewals included.
  int reserve_requests() const { return reserve_requests_; }
  int arrivals() const { return arrivals_; }
  // Requests in order of arrival.
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
  // @return whether the upstream still runs afterwards.
  bool Run(const http_exchange& exchange, asio::yield_context yield);
  void SetLeavingField(http::fields* fields) const;
  bool HasCrashingPart(const http_exchange& exchange) const;
  void Crash();
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
  std::function<void()> on_crash_;
  int max_helper_entries_ = 16;  // as engines do
  std::string refused_helper_;
  std::string helper_retry_after_;
  milliseconds control_delay_{0};
  milliseconds run_time_{0};
  milliseconds event_pause_{0};
  std::map<std::string, reservation> reservations_;  // by reservation id
  std::vector<std::string> crashing_parts_;
  milliseconds downtime_{0};
  int crashes_ = 0;
  std::string cold_remaining_;
  std::string request_limit_;
  bool leaving_ = false;
  std::string retry_after_;
  int runs_ = 0;
  int reserve_requests_ = 0;
  int arrivals_ = 0;
  std::vector<http_request> received_requests_;
};

// Returns a configuration with the routes /stream/, /fixed/ (a stream that is
// not resumable), /once/ and /often/ of host "h", and the organisation "org"
// with the key "key".
std::string ConfigDocument(int version, const std::string& extra_route = {});

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_PLATFORM_FAKES_H_
