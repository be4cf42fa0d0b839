// Namespace aliases and helpers for sockets, timers and coroutines.
#ifndef CACTUSWARD_SRC_EDGES_NET_H_
#define CACTUSWARD_SRC_EDGES_NET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cactusward/time.h"

namespace cactusward {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

// An IP address and a port, as "127.0.0.1:8080".
struct host_port {
  std::string host;
  std::uint16_t port = 0;
};

// Parses an IP address and a port; host names are not resolved. Thread-safe.
std::optional<host_port> ParseHostPort(std::string_view text);
// As ParseHostPort. Thread-safe.
std::optional<tcp::endpoint> ParseTcpEndpoint(std::string_view text);

// Cancels the pending operations of a socket when a deadline passes.
class deadline_guard {
 public:
  // Precondition: `socket` outlives the guard.
  deadline_guard(tcp::socket* socket, time_point deadline);
  ~deadline_guard();
  deadline_guard(const deadline_guard&) = delete;
  deadline_guard& operator=(const deadline_guard&) = delete;

  bool expired() const { return state_->expired; }

 private:
  struct state {
    tcp::socket* socket = nullptr;
    bool expired = false;
  };
  std::shared_ptr<state> state_;
  asio::steady_timer timer_;
};

// Lets one coroutine cancel an operation that another waits for. Not
// thread-safe.
class cancel_token {
 public:
  // Sets cancelled() and runs the hook, if one is set, at most once.
  void Cancel() {
    cancelled_ = true;
    if (auto hook = std::move(hook_))
      hook();
  }
  bool cancelled() const { return cancelled_; }
  // Sets the hook that Cancel runs; an empty hook removes it. Runs the hook
  // immediately when already cancelled.
  void OnCancel(std::function<void()> hook) {
    if (cancelled_ && hook)
      return hook();
    hook_ = std::move(hook);
  }

 private:
  bool cancelled_ = false;
  std::function<void()> hook_;
};

// Runs `body` as a coroutine on `io`. An uncaught exception is logged with the
// name `what` and ends only this coroutine.
void Spawn(asio::io_context& io,
           std::string_view what,
           std::function<void(asio::yield_context)> body);

// As Spawn, for loops that must not end: `body` is called again some time after
// an uncaught exception.
void SpawnRestarting(asio::io_context& io,
                     std::string_view what,
                     std::function<void(asio::yield_context)> body);

// Waits until `deadline` or until `timer` is cancelled.
// @return whether it was cancelled.
bool WaitOn(asio::steady_timer& timer,
            time_point deadline,
            asio::yield_context yield);
// Suspends the coroutine for `d`.
void Sleep(asio::io_context& io, duration d, asio::yield_context yield);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_NET_H_
