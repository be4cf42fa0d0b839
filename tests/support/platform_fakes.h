// Stand-ins for the platform's store and runners, with scripted faults, for
// tests that run the whole path in one process.
#ifndef CACTUSWARD_TESTS_SUPPORT_PLATFORM_FAKES_H_
#define CACTUSWARD_TESTS_SUPPORT_PLATFORM_FAKES_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/edges/http_server.h"

namespace cactusward::testing {

// Listens on a free port of the loopback address.
// @return the address; empty when there is none.
std::string ListenAnywhere(http_server* server);
// A free address of the loopback interface. Another process may take it.
std::string FreeAddress();

// The store: items, a revision, watches; may be down or silent.
class store_fake : public http_handler {
 public:
  explicit store_fake(asio::io_context& io);
  const std::string& address() const { return address_; }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Answers 503 to everything.
  void SetDown(bool down) { down_ = down; }
  // Watches hear of nothing.
  void SetMute(bool mute) { mute_ = mute; }
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
  nlohmann::json Shown(const std::string& key, const item& item) const;
  void Watch(http_exchange& exchange, asio::yield_context yield);

  asio::io_context& io_;
  http_server server_;
  std::string address_;
  std::map<std::string, item> items_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  bool down_ = false;
  bool mute_ = false;
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

// A runner that counts what it ran.
class runner_fake : public http_handler {
 public:
  runner_fake(asio::io_context& io, std::string id);
  const std::string& address() const { return address_; }
  const std::string& id() const { return id_; }
  // The store's entry of this runner.
  std::string Entry(const std::string& service, bool leaving = false) const;
  void SetFault(runner_fault fault) { fault_ = fault; }
  // Events of a stream that it sends whole.
  static constexpr int kEvents = 5;
  int runs() const { return runs_; }
  int arrivals() const { return arrivals_; }
  // Requests, as they arrived.
  const std::vector<http_request>& seen() const { return seen_; }

  void Handle(http_exchange& exchange, asio::yield_context yield) override;

 private:
  void Stream(http_exchange& exchange, asio::yield_context yield);

  asio::io_context& io_;
  std::string id_;
  http_server server_;
  std::string address_;
  runner_fault fault_ = runner_fault::kNone;
  int runs_ = 0;
  int arrivals_ = 0;
  std::vector<http_request> seen_;
};

// A configuration with the routes /stream/, /fixed/ (a stream that may not be
// resumed), /once/ and /often/ at host "h", with the key "key" of "org".
std::string ConfigDocument(int version, const std::string& extra_route = {});

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_PLATFORM_FAKES_H_
