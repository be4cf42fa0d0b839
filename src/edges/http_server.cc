#include "src/edges/http_server.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <limits>

#include "src/edges/json.h"
#include "src/edges/listen_log.h"
#include "src/kernel/log.h"
#include "src/kernel/run_and_clean_up.h"

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
// Most heads arrive in one read.
constexpr std::size_t kHeadReadBytes = 4ULL * 1024;
constexpr std::size_t kBodyReadBytes = 64ULL * 1024;
constexpr std::size_t kChunkReadBytes = 16ULL * 1024;
// Other callers are served after so many bytes of one.
constexpr std::size_t kMaxReadAtOnce = 256ULL * 1024;
// The allocation of a parsed field beside its text.
constexpr std::size_t kFieldBytes = 96;
// A request and its copy while that is sent to an upstream.
constexpr std::size_t kHeadCopies = 2;
constexpr std::size_t kBodyCopies = 2;
// How long a wait for a body counts, so that time in which this process stood
// still hardly does.
constexpr milliseconds kRateStep{1'000};

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

// The cause of a refusal in logs and metrics; empty: none of a caller outside
// the limits, or one that is counted where it was found.
std::string_view CauseOf(error_kind refusal) {
  switch (refusal) {
    case error_kind::kBadRequest:
      return "framing";
    case error_kind::kHeaderTooLarge:
      return "large_head";
    case error_kind::kBodyTooLarge:
      return "large_body";
    case error_kind::kSlowCaller:
      return "slow_caller";
    default:
      return {};
  }
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
                             std::function<bool()> closes,
                             caller_guard::connection* caller)
    : socket_(socket),
      request_(std::move(request)),
      closes_(std::move(closes)),
      caller_(caller),
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
  // A request that was handled is not refused for want of memory.
  const std::size_t held = caller_ ? caller_->held() : 0;
  if (caller_)
    caller_->Take(held + response.body().size());
  http::response_serializer<http::string_body> serializer(response);
  const bool sent = WriteAll(deadline, [&] {
    boost::system::error_code error;
    http::async_write_some(*socket_, serializer, yield[error]);
    failed_ = failed_ || error;
    return error || serializer.is_done();
  });
  if (caller_)
    caller_->Take(held);
  return sent;
}

template <typename WriteSome>
bool http_exchange::WriteAll(time_point deadline, WriteSome write_some) {
  const milliseconds longest =
      caller_ ? caller_->bounds().max_unread_response : milliseconds(0);
  bool done = false;
  while (!done) {
    const time_point now = clock::now();
    const bool is_bounded = longest.count() > 0 && now + longest < deadline;
    deadline_guard guard(socket_, is_bounded ? now + longest : deadline);
    done = write_some();
    if (is_bounded && guard.expired() && failed_)
      caller_->Reject("unread_response");
  }
  return !failed_;
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
  boost::beast::buffers_suffix<http::chunk_body<asio::const_buffer>> rest{
      http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()))};
  return WriteAll(deadline, [&] {
    boost::system::error_code error;
    rest.consume(socket_->async_write_some(rest, yield[error]));
    failed_ = failed_ || error;
    return error || boost::beast::buffer_bytes(rest) == 0;
  });
}

bool http_exchange::EndStream(time_point deadline, asio::yield_context yield) {
  deadline_guard guard(socket_, deadline);
  boost::system::error_code error;
  asio::async_write(*socket_, http::make_chunk_last(), yield[error]);
  failed_ = failed_ || error;
  return !error;
}

std::uint64_t http_handler::MaxBodyBytes(
    const http_request_head& /*head*/) const {
  return std::numeric_limits<std::uint64_t>::max();
}

struct http_server::receiver {
  tcp::socket& socket;
  boost::beast::flat_buffer& buffer;
  caller_guard::connection& caller;
  // What arrives after the deadline is not read.
  time_point deadline;
  // The head; the body is read apart from it.
  http::request_parser<http::string_body> parser;
  std::string body;
  std::size_t head_bytes = 0;  // the parsed head, and its copy while it is sent
  bool chunked = false;
  // The rate of the body: bytes of the current window, and the time in which
  // they were waited for.
  bool is_body = false;
  std::int64_t window_bytes = 0;
  duration window_time{0};

  // Bytes held beside the body.
  std::size_t Overhead() const { return buffer.capacity() + head_bytes; }
};

http_server::http_server(asio::io_context& io,
                         http_handler* handler,
                         http_server_limits limits,
                         std::shared_ptr<caller_guard> guard)
    : io_(io),
      handler_(handler),
      limits_(limits),
      guard_(guard ? std::move(guard)
                   : std::make_shared<caller_guard>(caller_bounds())),
      acceptor_(io) {}

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
  caller_guard::connection caller(guard_, &socket);
  if (!caller.Admit())
    return;
  boost::beast::flat_buffer buffer;
  bool is_first = true;
  while (ServeRequest(socket, buffer, caller, is_first, yield)) {
    is_first = false;
    // Release the memory of a large body while the connection is idle.
    if (buffer.size() == 0)
      buffer.shrink_to_fit();
    caller.Take(buffer.capacity());
  }
  caller.Enter(caller_guard::phase::kHandling);
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

std::optional<error_kind> http_server::ReadSome(receiver& from,
                                                asio::mutable_buffer bytes,
                                                std::size_t* size,
                                                asio::yield_context yield) {
  const caller_bounds& bounds = guard_->bounds();
  while (!from.caller.evicted()) {
    boost::system::error_code error;
    *size = from.socket.read_some(bytes, error);
    if (!error) {
      from.caller.RecordArrival(*size);
      from.window_bytes += static_cast<std::int64_t>(*size);
      return error_kind::kOk;
    }
    if (error != asio::error::would_block)
      return std::nullopt;
    const time_point began = clock::now();
    if (began >= from.deadline)
      return error_kind::kSlowCaller;
    const bool is_rated = from.is_body && bounds.min_body_rate > 0;
    deadline_guard guard(
        &from.socket,
        is_rated ? std::min(from.deadline, began + kRateStep) : from.deadline);
    from.socket.async_wait(tcp::socket::wait_read, yield[error]);
    if (error && !guard.expired() && !from.caller.evicted())
      return std::nullopt;
    if (!is_rated)
      continue;
    // A longer wait means that this process stood still.
    from.window_time += std::min<duration>(clock::now() - began, kRateStep);
    if (from.window_time < bounds.min_body_rate_window)
      continue;
    if (static_cast<double>(from.window_bytes) * kMillisecondsPerSecond <
        static_cast<double>(bounds.min_body_rate) *
            ToMilliseconds(from.window_time))
      return error_kind::kSlowCaller;
    from.window_time = duration(0);
    from.window_bytes = 0;
  }
  return error_kind::kOverloaded;
}

std::optional<error_kind> http_server::ReceiveHead(receiver& from,
                                                   asio::yield_context yield) {
  head_scanner scanner(limits_.max_header_bytes,
                       guard_->bounds().max_header_fields);
  while (true) {
    const auto received = from.buffer.data();
    const error_kind error = scanner.Scan(
        {static_cast<const char*>(received.data()), received.size()});
    if (error != error_kind::kOk)
      return error;
    if (scanner.complete())
      break;
    // The buffer doubles if that is more.
    if (!from.caller.Reserve(std::max(from.buffer.capacity(),
                                      2 * from.buffer.size() + kHeadReadBytes)))
      return error_kind::kOverloaded;
    const auto bytes = from.buffer.prepare(kHeadReadBytes);
    std::size_t size = 0;
    const auto end = ReadSome(from, bytes, &size, yield);
    if (end == error_kind::kSlowCaller && from.buffer.size() == 0)
      return std::nullopt;
    if (end != error_kind::kOk)
      return end;
    from.buffer.commit(size);
  }
  from.chunked = scanner.chunked();
  from.head_bytes =
      kHeadCopies * (scanner.size() +
                     kFieldBytes * static_cast<std::size_t>(scanner.fields()));
  if (!from.caller.Reserve(from.Overhead())) {
    from.head_bytes = 0;
    return error_kind::kOverloaded;
  }
  boost::system::error_code error;
  from.parser.header_limit(limits_.max_header_bytes);
  from.parser.body_limit(limits_.max_body_bytes);
  const std::size_t parsed =
      from.parser.put(asio::buffer(from.buffer.data(), scanner.size()), error);
  from.buffer.consume(scanner.size());
  if (error)
    return ParseErrorKind(error);
  return parsed == scanner.size() && from.parser.is_header_done()
             ? error_kind::kOk
             : error_kind::kBadRequest;
}

std::optional<error_kind> http_server::ReceiveChunks(
    receiver& from,
    std::uint64_t max_bytes,
    asio::yield_context yield) {
  chunk_decoder decoder(limits_.max_header_bytes,
                        guard_->bounds().max_header_fields);
  bool asked = false;
  std::size_t read_at_once = 0;
  while (true) {
    while (from.buffer.size() > 0 && !decoder.done()) {
      const auto received = from.buffer.data();
      const auto step = decoder.Decode(
          {static_cast<const char*>(received.data()), received.size()});
      if (step.error != error_kind::kOk)
        return step.error;
      const std::size_t size = from.body.size() + step.data.size();
      const std::uint64_t announced = size + decoder.remaining();
      if (!asked && announced > http_handler::kSmallBodyBytes) {
        asked = true;
        max_bytes =
            std::min(max_bytes, handler_->MaxBodyBytes(from.parser.get()));
      }
      if (announced > max_bytes)
        return error_kind::kBodyTooLarge;
      std::size_t capacity = from.body.capacity();
      if (size > capacity) {
        capacity = std::max(size, capacity + capacity / 2);
        // The old and the new buffer are held while one is copied.
        if (!from.caller.Reserve(from.Overhead() + from.body.size() + capacity))
          return error_kind::kOverloaded;
        from.body.reserve(capacity);
        from.caller.Take(from.Overhead() + from.body.capacity());
      }
      from.body.append(step.data);
      from.buffer.consume(step.consumed);
    }
    if (decoder.done())
      return error_kind::kOk;
    if (!from.caller.Reserve(
            from.head_bytes + from.body.capacity() +
            std::max(from.buffer.capacity(),
                     2 * from.buffer.size() + kChunkReadBytes)))
      return error_kind::kOverloaded;
    const auto bytes = from.buffer.prepare(kChunkReadBytes);
    std::size_t size = 0;
    const auto end = ReadSome(from, bytes, &size, yield);
    if (end != error_kind::kOk)
      return end;
    from.buffer.commit(size);
    read_at_once += size;
    if (read_at_once >= kMaxReadAtOnce) {
      read_at_once = 0;
      asio::post(io_, yield);
    }
  }
}

std::optional<error_kind> http_server::ReceiveBody(receiver& from,
                                                   asio::yield_context yield) {
  from.is_body = true;
  if (from.chunked)
    return ReceiveChunks(from, limits_.max_body_bytes, yield);
  const auto length =
      static_cast<std::size_t>(from.parser.content_length().value_or(0));
  // Memory is taken as bytes arrive: what is not touched is not resident.
  const std::size_t buffered = std::min(from.buffer.size(), length);
  if (!from.caller.Reserve(from.Overhead() + buffered))
    return error_kind::kOverloaded;
  from.body.reserve(length);
  from.body.append(static_cast<const char*>(from.buffer.data().data()),
                   buffered);
  from.buffer.consume(buffered);
  std::size_t read_at_once = 0;
  while (from.body.size() < length) {
    const std::size_t had = from.body.size();
    const std::size_t wanted = std::min(length - had, kBodyReadBytes);
    if (!from.caller.Reserve(from.Overhead() + had + wanted))
      return error_kind::kOverloaded;
    from.body.resize(had + wanted);
    std::size_t size = 0;
    const auto end = ReadSome(
        from, asio::buffer(from.body.data() + had, wanted), &size, yield);
    if (end != error_kind::kOk)
      return end;
    from.body.resize(had + size);
    read_at_once += size;
    if (read_at_once >= kMaxReadAtOnce) {
      read_at_once = 0;
      asio::post(io_, yield);
    }
  }
  return error_kind::kOk;
}

std::optional<error_kind> http_server::ReceiveRequest(
    receiver& from,
    asio::yield_context yield) {
  from.deadline = clock::now() + limits_.header_timeout;
  auto end = ReceiveHead(from, yield);
  if (end != error_kind::kOk)
    return end;
  const auto& head = from.parser.get();
  const auto length = from.parser.content_length().value_or(0);
  if (length > http_handler::kSmallBodyBytes &&
      length > handler_->MaxBodyBytes(head))
    return error_kind::kBodyTooLarge;
  from.deadline = clock::now() + limits_.body_timeout;
  boost::system::error_code error;
  if (head[http::field::expect] == "100-continue") {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    deadline_guard guard(&from.socket, from.deadline);
    http::async_write(from.socket, continue_response, yield[error]);
    if (error)
      return guard.expired() ? std::optional(error_kind::kSlowCaller)
                             : std::nullopt;
  }
  from.caller.OnEviction([&from] { std::string().swap(from.body); });
  end = ReceiveBody(from, yield);
  from.caller.OnEviction({});
  if (end != error_kind::kOk)
    return end;
  // A request that is forwarded is copied.
  if (!from.caller.Reserve(from.Overhead() + kBodyCopies * from.body.size()))
    return error_kind::kOverloaded;
  return error_kind::kOk;
}

bool http_server::ServeRequest(tcp::socket& socket,
                               boost::beast::flat_buffer& buffer,
                               caller_guard::connection& caller,
                               bool is_first,
                               asio::yield_context yield) {
  caller.Enter(caller_guard::phase::kIdle);
  if (buffer.size() == 0 && !WaitForRequest(socket, is_first, yield))
    return false;
  // The limits may have changed while the connection was idle.
  receiver from{socket, buffer, caller};
  caller.Enter(caller_guard::phase::kReceiving);
  ++receiving_;
  std::optional<error_kind> refusal;
  RunAndCleanUp([&] { refusal = ReceiveRequest(from, yield); },
                [&] {
                  caller.OnEviction({});
                  --receiving_;
                });
  if (!refusal)
    return false;
  caller.Enter(caller_guard::phase::kHandling);
  if (*refusal != error_kind::kOk) {
    std::string().swap(from.body);
    caller.Take(from.Overhead());
    const std::string_view cause = CauseOf(*refusal);
    if (!cause.empty())
      caller.Reject(cause);
  }
  http_request request = from.parser.release();
  request.body() = std::move(from.body);
  http_exchange exchange(
      &socket, std::move(request),
      [this, &socket, &buffer, &caller] {
        boost::system::error_code ignored;
        const std::size_t next = buffer.size() + socket.available(ignored);
        if (next > guard_->bounds().max_pipelined_bytes) {
          caller.Reject("pipelined");
          return true;
        }
        return announce_close_ && next == 0;
      },
      // Refusals are small and do not wait for room.
      *refusal == error_kind::kOk ? &caller : nullptr);
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
