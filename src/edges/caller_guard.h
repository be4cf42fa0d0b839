// Bounds what the connections of callers may hold, over all servers of a
// process.
#ifndef CACTUSWARD_SRC_EDGES_CALLER_GUARD_H_
#define CACTUSWARD_SRC_EDGES_CALLER_GUARD_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "cactusward/byte_budget.h"
#include "cactusward/time.h"
#include "src/edges/net.h"

namespace cactusward {

struct caller_bounds {
  byte_budget_settings budget{std::numeric_limits<std::size_t>::max() / 2, 0,
                              0};
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
  std::size_t max_connections_per_address = 0;  // 0: no limit
  std::size_t max_pipelined_bytes = 64ULL * 1024;
  int max_header_fields = 256;
  std::int64_t min_body_rate = 256;  // bytes a second; 0: no limit
  milliseconds min_body_rate_window{10'000};
  milliseconds max_unread_response{30'000};  // 0: no limit
  std::set<std::string> trusted_addresses;   // without a limit per address
  // Of each port between instances.
  std::size_t max_unauthenticated = 64;

  friend bool operator==(const caller_bounds& a, const caller_bounds& b) {
    return a.budget == b.budget && a.max_connections == b.max_connections &&
           a.max_connections_per_address == b.max_connections_per_address &&
           a.max_pipelined_bytes == b.max_pipelined_bytes &&
           a.max_header_fields == b.max_header_fields &&
           a.min_body_rate == b.min_body_rate &&
           a.min_body_rate_window == b.min_body_rate_window &&
           a.max_unread_response == b.max_unread_response &&
           a.trusted_addresses == b.trusted_addresses &&
           a.max_unauthenticated == b.max_unauthenticated;
  }
};

// Not thread-safe.
class caller_guard {
 public:
  explicit caller_guard(const caller_bounds& bounds)
      : bounds_(bounds), budget_(bounds.budget) {}
  caller_guard(const caller_guard&) = delete;
  caller_guard& operator=(const caller_guard&) = delete;

  const caller_bounds& bounds() const { return bounds_; }

  // What a connection is doing. Only one that waits for bytes is closed to make
  // room for others.
  enum class phase { kIdle, kReceiving, kHandling };

  // A caller's connection and what it takes from the budget.
  class connection {
   public:
    // Precondition: `socket` outlives the connection.
    connection(std::shared_ptr<caller_guard> guard, tcp::socket* socket);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Whether the limits allow the connection. Closes another one if needed.
    bool Admit();
    const std::string& address() const { return address_; }
    void Enter(phase phase);
    // Records that bytes of a request have arrived.
    void RecordArrival(std::size_t bytes);
    // Sets what the connection holds beside its fixed part. Closes slower
    // connections if needed.
    // @return false, without a change, when there is no room.
    bool Reserve(std::size_t bytes);
    // As Reserve, but also beyond the budget.
    void Take(std::size_t bytes);
    std::size_t held() const { return held_; }
    // Frees what a connection that is closed has received.
    void OnEviction(std::function<void()> free) { free_ = std::move(free); }
    // Whether it was closed to make room for others.
    bool evicted() const { return evicted_; }
    void Reject(std::string_view cause) { guard_->Reject(cause, address_); }
    const caller_bounds& bounds() const { return guard_->bounds_; }

   private:
    friend class caller_guard;
    // @param close at once; otherwise the caller is told that its request was
    //     refused.
    void Evict(bool close);

    // Connections may outlive their server.
    std::shared_ptr<caller_guard> guard_;
    tcp::socket* socket_;
    std::string address_;
    std::list<connection*>::iterator entry_;
    byte_budget::lease lease_;
    std::size_t held_ = 0;
    phase phase_ = phase::kIdle;
    time_point phase_began_;
    time_point last_arrival_;
    std::size_t arrived_ = 0;
    std::function<void()> free_;
    bool evicted_ = false;
  };

  // Counts a refused request or a closed connection, and logs it.
  void Reject(std::string_view cause, const std::string& address);
  // For what peers hold. Valid as long as the guard.
  byte_budget& budget() { return budget_; }
  std::size_t bytes() const { return budget_.used(); }
  std::size_t connections() const { return connections_.size(); }
  // In the Prometheus text format.
  std::string MetricsText() const;

 private:
  struct rejections {
    std::int64_t total = 0;
    std::int64_t logged = 0;  // part of the total
    time_point logged_at;
  };

  // Closes the slowest sender or the connection that is idle for the longest
  // time, in the order given. @return false when there is none.
  bool MakeRoom(const connection* requester, bool idle_first);
  // Closes the slowest sender that holds at least `min_held` bytes.
  bool MakeRoomForBody(const connection* requester, std::size_t min_held);
  connection* SlowestSender(const connection* requester,
                            std::size_t min_held) const;
  connection* LongestIdle(const connection* requester) const;

  caller_bounds bounds_;
  byte_budget budget_;
  std::list<connection*> connections_;
  std::map<std::string, std::size_t> by_address_;
  std::map<std::string, rejections, std::less<>> rejections_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_CALLER_GUARD_H_
