#include "src/edges/net.h"

#include <algorithm>
#include <boost/coroutine/attributes.hpp>
#include <charconv>

#include "src/kernel/log.h"

namespace cactusward {
namespace {

constexpr std::size_t kCoroutineStackBytes = 256ULL * 1024;
// Well below the two seconds within which a change must take effect.
constexpr milliseconds kRestartDelay{200};

// Whether `host` may be part of a header field. The parser of addresses accepts
// any bytes after a NUL and in the scope of an IPv6 address.
bool HasAddressCharacters(std::string_view host) {
  constexpr std::string_view kOtherCharacters = ".:%";
  return std::all_of(host.begin(), host.end(), [=](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') ||
           kOtherCharacters.find(c) != std::string_view::npos;
  });
}

// Logs an uncaught exception. @return whether there was one.
bool Throws(const std::string& what,
            const std::function<void(asio::yield_context)>& body,
            asio::yield_context yield) {
  try {
    body(yield);
    return false;
  } catch (const std::exception& error) {
    Log(log_level::kError, "coroutine_failed",
        {{"what", what}, {"error", error.what()}});
    return true;
  }
}

}  // namespace

std::optional<host_port> ParseHostPort(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port == 0 || port > UINT16_MAX || digits.front() == '0' ||
      !HasAddressCharacters(host))
    return std::nullopt;
  boost::system::error_code bad_address;
  asio::ip::make_address(std::string(host), bad_address);
  if (bad_address)
    return std::nullopt;
  return host_port{std::string(host), static_cast<std::uint16_t>(port)};
}

std::optional<tcp::endpoint> ParseTcpEndpoint(std::string_view text) {
  const auto parsed = ParseHostPort(text);
  if (!parsed)
    return std::nullopt;
  return tcp::endpoint(asio::ip::make_address(parsed->host), parsed->port);
}

deadline_guard::deadline_guard(tcp::socket* socket, time_point deadline)
    : state_(std::make_shared<state>()), timer_(socket->get_executor()) {
  state_->socket = socket;
  timer_.expires_at(deadline);
  timer_.async_wait([state = state_](const boost::system::error_code& error) {
    if (error || !state->socket)
      return;
    state->expired = true;
    boost::system::error_code ignored;
    state->socket->cancel(ignored);
  });
}

deadline_guard::~deadline_guard() {
  state_->socket = nullptr;
}

void Spawn(asio::io_context& io,
           std::string_view what,
           std::function<void(asio::yield_context)> body) {
  asio::spawn(
      io,
      [what = std::string(what), body = std::move(body)](
          asio::yield_context yield) { Throws(what, body, yield); },
      boost::coroutines::attributes(kCoroutineStackBytes));
}

void SpawnRestarting(asio::io_context& io,
                     std::string_view what,
                     std::function<void(asio::yield_context)> body) {
  asio::spawn(
      io,
      [&io, what = std::string(what),
       body = std::move(body)](asio::yield_context yield) {
        while (Throws(what, body, yield))
          Sleep(io, kRestartDelay, yield);
      },
      boost::coroutines::attributes(kCoroutineStackBytes));
}

bool WaitOn(asio::steady_timer& timer,
            time_point deadline,
            asio::yield_context yield) {
  timer.expires_at(deadline);
  boost::system::error_code error;
  timer.async_wait(yield[error]);
  return error == asio::error::operation_aborted;
}

void Sleep(asio::io_context& io, duration d, asio::yield_context yield) {
  asio::steady_timer timer(io);
  WaitOn(timer, clock::now() + d, yield);
}

}  // namespace cactusward
