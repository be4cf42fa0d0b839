#include "src/edges/http_server.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "src/edges/json.h"
#include "src/edges/listen_log.h"
#include "src/kernel/log.h"

namespace cactusward {
namespace {

constexpr milliseconds kResponseTimeout{10'000};
constexpr milliseconds kAcceptRetryDelay{50};
constexpr milliseconds kDisconnectPollPeriod{100};
// Time for callers to read the last response of a connection; links may stand
// still for about a second.
constexpr milliseconds kCloseLinger{2'000};
constexpr milliseconds kLingerPollPeriod{5};
constexpr std::size_t kDiscardBytes = 16ULL * 1024;
constexpr int kMillisecondsPerSecond = 1000;

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(static_cast<char>(std::strtol(
          std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

error_kind ParseErrorKind(const boost::system::error_code& error) {
  if (error == http::error::header_limit)
    return error_kind::kHeaderTooLarge;
  if (error == http::error::body_limit)
    return error_kind::kBodyTooLarge;
  return error_kind::kBadRequest;
}

bool IsParseError(const boost::system::error_code& error) {
  return error.category() ==
             make_error_code(http::error::bad_version).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

// @return whether the caller has ended its direction of the connection, also
// behind unread bytes.
bool HasEnded(tcp::socket& socket) {
  pollfd state{};
  state.fd = socket.native_handle();
  state.events = POLLRDHUP;
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// Whether the caller has not acknowledged all bytes that were sent.
bool HasBytesOnTheWay(tcp::socket& socket) {
  int bytes = 0;
  return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

// Ends the responses of a connection and waits until they have arrived, but not
// long. A socket that is closed while bytes are unread resets the connection,
// which discards what is still on its way. After that the reset is wanted: it
// tells the caller that a request which crossed the close has not been read.
void Linger(asio::io_context& io,
            tcp::socket& socket,
            asio::yield_context yield) {
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  const time_point until = clock::now() + kCloseLinger;
  while (HasBytesOnTheWay(socket) && clock::now() < until)
    Sleep(io, kLingerPollPeriod, yield);
}

// As Linger, for a request that was refused before it was read completely:
// its caller may read the response only when it has sent the request.
void DiscardRequest(tcp::socket& socket, asio::yield_context yield) {
  boost::system::error_code error;
  socket.shutdown(tcp::socket::shutdown_send, error);
  deadline_guard guard(&socket, clock::now() + kCloseLinger);
  std::array<char, kDiscardBytes> bytes{};
  while (!error && !guard.expired())
    socket.async_read_some(asio::buffer(bytes), yield[error]);
}

}  // namespace

std::string ErrorBody(error_kind kind, std::string_view detail) {
  const error_response& response = ErrorResponseFor(kind);
  nlohmann::json error = {
      {"kind", response.name},
      {"message", response.message},
      {"was_run",
       response.was_run == execution_state::kNotExecuted ? "no" : "unknown"},
      {"retry_after_ms", response.retry_after_ms}};
  if (!detail.empty())
    error["detail"] = detail;
  const nlohmann::json body = {{"error", std::move(error)}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool StatesNotRun(std::string_view body) {
  const auto parsed = ParseJson(body);
  if (!parsed || !parsed->is_object())
    return false;
  const auto error = parsed->find("error");
  if (error == parsed->end() || !error->is_object())
    return false;
  const auto was_run = error->find("was_run");
  return was_run != error->end() && *was_run == "no";
}

http_exchange::http_exchange(tcp::socket* socket,
                             http_request request,
                             std::function<bool()> closes)
    : socket_(socket),
      request_(std::move(request)),
      closes_(std::move(closes)),
      watch_(std::make_shared<disconnect_watch>()),
      close_after_response_(!request_.keep_alive()) {
  WatchForDisconnect();
}

http_exchange::~http_exchange() {
  watch_->active = false;
  watch_->handler = nullptr;
  boost::system::error_code ignored;
  socket_->cancel(ignored);
}

void http_exchange::WatchForDisconnect() {
  socket_->async_wait(
      tcp::socket::wait_read,
      [this, watch = watch_](boost::system::error_code error) {
        if (error || !watch->active)
          return;
        char byte = 0;
        const std::size_t received = socket_->receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        // Readiness may be spurious.
        if (error == asio::error::would_block)
          return WatchForDisconnect();
        // Readable bytes are a pipelined request, which is served after this
        // one. The end of the connection behind it is no further event.
        if (!error && received > 0 && !HasEnded(*socket_)) {
          auto timer = std::make_shared<asio::steady_timer>(
              socket_->get_executor(), kDisconnectPollPeriod);
          timer->async_wait([this, watch, timer](boost::system::error_code) {
            if (watch->active)
              WatchForDisconnect();
          });
          return;
        }
        watch->disconnected = true;
        watch->reason = error ? error.message() : "closed by the caller";
        if (watch->handler)
          watch->handler();
      });
}

void http_exchange::OnDisconnect(std::function<void()> handler) {
  if (handler && watch_->disconnected)
    return handler();
  watch_->handler = std::move(handler);
}

std::string_view http_exchange::Header(std::string_view name) const {
  const auto value = request_[ToBeast(name)];
  return {value.data(), value.size()};
}

std::string_view http_exchange::Path() const {
  const auto target = request_.target();
  const std::string_view text(target.data(), target.size());
  return text.substr(0, text.find('?'));
}

std::string http_exchange::Query(std::string_view name) const {
  const auto target = request_.target();
  std::string_view rest(target.data(), target.size());
  const auto mark = rest.find('?');
  rest = mark == std::string_view::npos ? std::string_view()
                                        : rest.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name)
      return equals < pair.size() ? DecodePercent(pair.substr(equals + 1))
                                  : std::string("1");
    rest = rest.substr(std::min(end + 1, rest.size()));
  }
  return {};
}

void http_exchange::SetHeader(std::string name, std::string value) {
  headers_.emplace_back(std::move(name), std::move(value));
}

bool http_exchange::Respond(int status,
                            std::string_view content_type,
                            std::string body,
                            time_point deadline,
                            asio::yield_context yield) {
  http::response<http::string_body> response;
  response.result(static_cast<unsigned>(status));
  response.set(http::field::content_type, ToBeast(content_type));
  response.body() = std::move(body);
  return RespondWith(std::move(response), deadline, yield);
}

template <typename Response>
void http_exchange::PrepareHeader(Response* response) {
  for (const auto& [name, value] : headers_)
    response->set(name, value);
  response->version(request_.version());
  close_after_response_ = close_after_response_ || (closes_ && closes_());
  response->keep_alive(!close_after_response_);
  status_ = static_cast<int>(response->result_int());
  responded_ = true;
}

bool http_exchange::RespondWith(http::response<http::string_body> response,
                                time_point deadline,
                                asio::yield_context yield) {
  PrepareHeader(&response);
  if (request_.method() == http::verb::head)
    response.body().clear();
  else
    response.prepare_payload();
  deadline_guard guard(socket_, deadline);
  boost::system::error_code error;
  http::async_write(*socket_, response, yield[error]);
  failed_ = failed_ || error;
  return !error;
}

bool http_exchange::BeginStreamWith(http::response<http::empty_body> response,
                                    time_point deadline,
                                    asio::yield_context yield) {
  PrepareHeader(&response);
  response.chunked(true);
  streaming_ = true;
  http::response_serializer<http::empty_body> serializer(response);
  deadline_guard guard(socket_, deadline);
  boost::system::error_code error;
  http::async_write_header(*socket_, serializer, yield[error]);
  failed_ = failed_ || error;
  return !error;
}

bool http_exchange::RespondJson(const nlohmann::json& json,
                                asio::yield_context yield) {
  return Respond(
      200, "application/json",
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      clock::now() + kResponseTimeout, yield);
}

bool http_exchange::RespondError(error_kind kind,
                                 std::string_view detail,
                                 asio::yield_context yield) {
  const error_response& response = ErrorResponseFor(kind);
  if (response.retry_after_ms > 0) {
    const int seconds = (response.retry_after_ms + kMillisecondsPerSecond - 1) /
                        kMillisecondsPerSecond;
    SetHeader("Retry-After", std::to_string(seconds));
  }
  return Respond(response.http_status, "application/json",
                 ErrorBody(kind, detail), clock::now() + kResponseTimeout,
                 yield);
}

bool http_exchange::BeginStream(int status,
                                std::string_view content_type,
                                time_point deadline,
                                asio::yield_context yield) {
  http::response<http::empty_body> response;
  response.result(static_cast<unsigned>(status));
  response.set(http::field::content_type, ToBeast(content_type));
  return BeginStreamWith(std::move(response), deadline, yield);
}

bool http_exchange::WriteChunk(std::string_view bytes,
                               time_point deadline,
                               asio::yield_context yield) {
  deadline_guard guard(socket_, deadline);
  boost::system::error_code error;
  asio::async_write(*socket_,
                    http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
                    yield[error]);
  failed_ = failed_ || error;
  return !error;
}

bool http_exchange::EndStream(time_point deadline, asio::yield_context yield) {
  deadline_guard guard(socket_, deadline);
  boost::system::error_code error;
  asio::async_write(*socket_, http::make_chunk_last(), yield[error]);
  failed_ = failed_ || error;
  return !error;
}

http_server::http_server(asio::io_context& io,
                         http_handler* handler,
                         http_server_limits limits)
    : io_(io), handler_(handler), limits_(limits), acceptor_(io) {}

bool http_server::Listen(const std::string& address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    LogListenFailure("http", address, "malformed address");
    return false;
  }
  boost::system::error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error)
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor_.bind(*endpoint, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    LogListenFailure("http", address, error.message());
    return false;
  }
  Spawn(io_, "accept",
        [this](asio::yield_context yield) { AcceptConnections(yield); });
  return true;
}

void http_server::StopAccepting() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  // Closing the acceptor resets connections that are established but not yet
  // accepted; their callers may have sent requests.
  for (int i = 0; !error && i < asio::socket_base::max_listen_connections;
       ++i) {
    auto socket = std::make_shared<tcp::socket>(io_);
    acceptor_.accept(*socket, error);
    if (error)
      break;
    Spawn(io_, "serve", [this, socket](asio::yield_context yield) {
      ServeConnection(std::move(*socket), yield);
    });
  }
  acceptor_.close(error);
}

void http_server::CloseIdleConnections() {
  closing_ = true;
  boost::system::error_code ignored;
  for (const idle_connection& idle : idle_connections_) {
    if (!idle.is_first)
      idle.socket->cancel(ignored);
  }
}

void http_server::SetLimits(const http_server_limits& limits) {
  limits_ = limits;
  for (idle_connection& idle : idle_connections_)
    idle.timeout = std::max(idle.timeout, limits.idle_timeout);
}

void http_server::AcceptConnections(asio::yield_context yield) {
  while (acceptor_.is_open()) {
    auto socket = std::make_shared<tcp::socket>(io_);
    boost::system::error_code error;
    acceptor_.async_accept(*socket, yield[error]);
    if (error == asio::error::operation_aborted)
      return;
    if (error) {
      Sleep(io_, kAcceptRetryDelay, yield);
      continue;
    }
    Spawn(io_, "serve", [this, socket](asio::yield_context inner) {
      ServeConnection(std::move(*socket), inner);
    });
  }
}

void http_server::ServeConnection(tcp::socket socket,
                                  asio::yield_context yield) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  // Otherwise a synchronous read after spurious readiness blocks the thread.
  socket.non_blocking(true, ignored);
  boost::beast::flat_buffer buffer;
  bool is_first = true;
  while (ServeRequest(socket, buffer, is_first, yield)) {
    is_first = false;
    // Release the memory of a large body while the connection is idle.
    if (buffer.size() == 0)
      buffer.shrink_to_fit();
  }
  Linger(io_, socket, yield);
  LogUnreadRequest(socket, is_first);
}

void http_server::LogUnreadRequest(tcp::socket& socket, bool is_first) {
  boost::system::error_code error;
  const std::size_t unread = socket.available(error);
  if (error || unread == 0)
    return;
  Log(log_level::kInfo, "request_unread_at_close",
      {{"bytes", unread}, {"first_of_connection", is_first}});
}

bool http_server::WaitForRequest(tcp::socket& socket,
                                 bool is_first,
                                 asio::yield_context yield) {
  boost::system::error_code error;
  // A request that has already arrived was sent before the caller could know.
  if (closing_ && !is_first)
    return socket.available(error) > 0;
  const time_point began = clock::now();
  const auto idle = idle_connections_.insert(
      idle_connections_.end(), {&socket, is_first, limits_.idle_timeout});
  bool expired = false;
  do {
    deadline_guard guard(&socket, began + idle->timeout);
    socket.async_wait(tcp::socket::wait_read, yield[error]);
    expired = guard.expired();
    // A change of the limits may have extended the time.
  } while (error && expired && clock::now() < began + idle->timeout &&
           (is_first || !closing_));
  idle_connections_.erase(idle);
  // A request that arrived while the wait was being cancelled is still served.
  return !error || socket.available(error) > 0;
}

std::optional<error_kind> http_server::ReceiveRequest(
    tcp::socket& socket,
    boost::beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser,
    asio::yield_context yield) {
  boost::system::error_code error;
  {
    deadline_guard guard(&socket, clock::now() + limits_.header_timeout);
    http::async_read_header(socket, buffer, parser, yield[error]);
    if (error && !IsParseError(error) &&
        !(guard.expired() && (parser.got_some() || buffer.size() > 0)))
      return std::nullopt;
    if (error)
      return guard.expired() ? error_kind::kSlowCaller : ParseErrorKind(error);
  }
  deadline_guard guard(&socket, clock::now() + limits_.body_timeout);
  if (parser.get()[http::field::expect] == "100-continue") {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    http::async_write(socket, continue_response, yield[error]);
  }
  if (!error)
    http::async_read(socket, buffer, parser, yield[error]);
  if (error && !IsParseError(error) && !guard.expired())
    return std::nullopt;
  if (error)
    return guard.expired() ? error_kind::kSlowCaller : ParseErrorKind(error);
  return error_kind::kOk;
}

bool http_server::ServeRequest(tcp::socket& socket,
                               boost::beast::flat_buffer& buffer,
                               bool is_first,
                               asio::yield_context yield) {
  if (buffer.size() == 0 && !WaitForRequest(socket, is_first, yield))
    return false;
  // The limits may have changed while the connection was idle.
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits_.max_header_bytes);
  parser.body_limit(limits_.max_body_bytes);
  ++receiving_;
  const auto refusal = ReceiveRequest(socket, buffer, parser, yield);
  --receiving_;
  if (!refusal)
    return false;
  http_exchange exchange(&socket, parser.release(), [this, &socket, &buffer] {
    boost::system::error_code ignored;
    return announce_close_ && buffer.size() == 0 &&
           socket.available(ignored) == 0;
  });
  if (*refusal != error_kind::kOk) {
    exchange.CloseAfterResponse();
    exchange.RespondError(*refusal, {}, yield);
    DiscardRequest(socket, yield);
    return false;
  }
  ++active_;
  try {
    handler_->Handle(exchange, yield);
  } catch (const std::exception& thrown) {
    Log(log_level::kError, "handler_failed", {{"error", thrown.what()}});
    if (!exchange.responded())
      exchange.RespondError(error_kind::kInternal, {}, yield);
    else
      exchange.CloseAfterResponse();
  }
  --active_;
  if (exchange.failed() && exchange.streaming()) {
    // Close without the last chunk, so that the caller sees that the response
    // is incomplete.
    boost::system::error_code ignored;
    socket.close(ignored);
    return false;
  }
  return !exchange.closes_connection() && !exchange.disconnected();
}

}  // namespace cactusward
