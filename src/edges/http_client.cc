#include "src/edges/http_client.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>

#include "src/edges/dead_peer.h"

namespace cactusward {
namespace {

// Bodies of upstreams that are read by http_client::Call, all together; one may
// take half of it. A small part of the memory of the smallest instances.
constexpr std::size_t kUpstreamBodyBytes = 16ULL * 1024 * 1024;
constexpr std::size_t kReadBytes = 8ULL * 1024;
constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr milliseconds kMaxIdleTime{10'000};
constexpr milliseconds kConnectTimeout{1'000};
constexpr const char* kNoLongerAccepts = "upstream no longer accepts requests";
// Idle connections expire this long before the time announced by the peer: a
// request in flight when the peer closes the connection would be lost.
constexpr milliseconds kKeepAliveMargin{500};
// Interval at which a message that is being written is checked. Short against
// the seconds in which an upstream that leaves still accepts messages.
constexpr milliseconds kWriteCheckPeriod{100};
constexpr int kMillisecondsPerSecond = 1000;
constexpr std::string_view kRequestIdHeader = "X-Request-Id";

error_kind WriteErrorKind(const deadline_guard& guard) {
  return guard.expired() ? error_kind::kTimedOut : error_kind::kUpstreamFailed;
}

// Whether an idle connection was closed by the peer or has unexpected bytes to
// read.
bool IsStale(tcp::socket& socket) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

// Time for which an idle connection may be reused, from the peer's Keep-Alive
// header.
milliseconds KeepAliveTime(const http::response_header<>& header) {
  const auto value = header[http::field::keep_alive];
  const auto at = value.find("timeout=");
  if (at == boost::beast::string_view::npos)
    return kMaxIdleTime;
  const auto digits = value.substr(at + std::string_view("timeout=").size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::min(kMaxIdleTime, milliseconds(seconds * kMillisecondsPerSecond) -
                                    kKeepAliveMargin);
}

// Whether a response with this id, which is empty if it names none, may be the
// response to `request`.
bool NamesRequest(const outgoing_request& request,
                  std::string_view response_id) {
  if (response_id.empty())
    return true;
  return std::all_of(request.headers.begin(), request.headers.end(),
                     [response_id](const auto& header) {
                       return header.first != kRequestIdHeader ||
                              header.second == response_id;
                     });
}

http::request<http::string_body> BuildMessage(const std::string& address,
                                              const outgoing_request& request) {
  http::request<http::string_body> message(request.method, request.target, 11);
  message.set(http::field::host, address);
  for (const auto& [name, value] : request.headers)
    message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

}  // namespace

// Closes the connection when a message that is still being written must no
// longer be sent.
class write_guard {
 public:
  // Sets `*aborted` when it closes the connection. Precondition: the pointers
  // and what `may_send` refers to outlive the guard.
  write_guard(tcp::socket* socket,
              std::function<bool()> may_send,
              bool* aborted)
      : state_(std::make_shared<state>(socket, std::move(may_send), aborted)) {
    Check(state_);
  }
  ~write_guard() { state_->socket = nullptr; }
  write_guard(const write_guard&) = delete;
  write_guard& operator=(const write_guard&) = delete;

 private:
  struct state {
    state(tcp::socket* s, std::function<bool()> check, bool* out)
        : socket(s),
          may_send(std::move(check)),
          aborted(out),
          timer(s->get_executor()) {}
    tcp::socket* socket;
    std::function<bool()> may_send;
    bool* aborted;
    asio::steady_timer timer;
  };

  static void Check(const std::shared_ptr<state>& state) {
    state->timer.expires_after(kWriteCheckPeriod);
    state->timer.async_wait([state](const boost::system::error_code& error) {
      if (error || !state->socket)
        return;
      if (state->may_send())
        return Check(state);
      *state->aborted = true;
      boost::system::error_code ignored;
      state->socket->close(ignored);
    });
  }

  std::shared_ptr<state> state_;
};

http_stream::connection::connection(std::unique_ptr<tcp::socket> s)
    : socket(std::move(s)),
      read(socket->get_executor()),
      end_query(socket->get_executor()) {}

std::string_view http_stream::connection::received() const {
  const auto bytes = buffer.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

http_stream::http_stream(http_client* client,
                         std::string address,
                         upstream_connection connected,
                         cancel_token* cancel)
    : client_(client),
      address_(std::move(address)),
      connection_(std::make_shared<connection>(std::move(connected.socket))),
      tunnel_(std::move(connected.tunnel)),
      cancel_(cancel) {
  if (!cancel_)
    return;
  cancel_->OnCancel([socket = connection_->socket.get()] {
    boost::system::error_code ignored;
    socket->close(ignored);
  });
}

http_stream::~http_stream() {
  if (pending_write_)
    pending_write_->guard.reset();
  if (cancel_)
    cancel_->OnCancel({});
  // Bytes after a complete response belong to no request, so the connection
  // cannot be reused. A tunnel carries one request.
  if (finished_ && !tunnel_ && !cancelled() && !connection_reuse_disabled_ &&
      connection_->decoder.keeps_connection() &&
      connection_->buffer.size() == connection_->decoded &&
      (!pending_write_ || pending_write_->done)) {
    client_->ReturnConnection(address_, std::move(connection_->socket),
                              KeepAliveTime(header()));
    return;
  }
  boost::system::error_code ignored;
  connection_->socket->close(ignored);
}

int http_stream::status() const {
  return static_cast<int>(header().result_int());
}

std::string_view http_stream::Header(std::string_view name) const {
  const auto value = header()[{name.data(), name.size()}];
  return {value.data(), value.size()};
}

std::optional<boost::system::error_code> http_stream::AwaitBytes(
    time_point deadline,
    asio::yield_context yield) {
  return connection_->read.Await(
      connection_,
      [&open = *connection_](auto handler) {
        open.socket->async_read_some(open.buffer.prepare(kReadBytes),
                                     [&open, handler = std::move(handler)](
                                         const boost::system::error_code& error,
                                         std::size_t size) mutable {
                                       open.buffer.commit(size);
                                       handler(error);
                                     });
      },
      deadline, yield);
}

std::optional<boost::system::error_code> http_stream::AwaitTunnelEnd(
    time_point deadline,
    asio::yield_context yield) {
  return connection_->end_query.Await(
      connection_,
      [this](auto handler) {
        Spawn(client_->io_, "tunnel_end",
              [&connector = client_->ConnectorFor(true), tunnel = *tunnel_,
               handler](asio::yield_context inner) mutable {
                handler(connector.EndedByUpstream(tunnel, inner)
                            ? boost::system::error_code()
                            : asio::error::connection_reset);
              });
      },
      deadline, yield);
}

boost::system::error_code http_stream::EndConnection(
    const boost::system::error_code& ended) {
  broken_ = true;
  if (ended != asio::error::eof)
    return ended;
  if (!connection_->decoder.EndConnection())
    return connection_->decoder.has_begun() || connection_->buffer.size() > 0
               ? http::error::partial_message
               : http::error::end_of_stream;
  // The kernel reports a reset once, possibly to the write in progress; the
  // read then ends like that of a closed connection. Only a peer that had
  // closed its side before makes a write fail with broken_pipe.
  if (pending_write_ && pending_write_->error != asio::error::broken_pipe &&
      pending_write_->error)
    return pending_write_->error;
  broken_ = false;
  return {};
}

result<std::string_view> http_stream::DecodeReceived() {
  connection& open = *connection_;
  open.buffer.consume(std::exchange(open.decoded, 0));
  const bool decodes_head = !open.decoder.has_head();
  while (open.buffer.size() > 0 && !open.decoder.done()) {
    const response_decoder::step step = open.decoder.Decode(open.received());
    if (!step.error.empty()) {
      broken_ = true;
      return {error_kind::kUpstreamGarbled, std::string(step.error)};
    }
    if (!step.data.empty()) {
      open.decoded = step.consumed;
      return step.data;
    }
    open.buffer.consume(step.consumed);
    if (decodes_head)
      break;
  }
  return std::string_view();
}

result<bool> http_stream::ReadHeader(time_point deadline,
                                     asio::yield_context yield) {
  while (!broken_) {
    if (!connection_->read.pending()) {
      const auto decoded = DecodeReceived();
      if (!decoded)
        return {decoded.kind(), decoded.detail()};
      if (connection_->decoder.has_head()) {
        finished_ = connection_->decoder.done();
        return true;
      }
    }
    const auto ended = AwaitBytes(deadline, yield);
    if (!ended)
      return {error_kind::kTimedOut, "no response header at the deadline"};
    if (pending_write_ && pending_write_->aborted)
      return {error_kind::kUpstreamRefused,
              "upstream no longer accepts requests"};
    if (*ended)
      return {error_kind::kUpstreamFailed, EndConnection(*ended).message()};
  }
  return {error_kind::kUpstreamFailed, "the response is broken"};
}

result<std::string_view> http_stream::Read(time_point deadline,
                                           asio::yield_context yield) {
  if (finished_)
    return std::string_view();
  // Another read could take a reset, which the kernel reports once, for the
  // regular end of the connection.
  if (broken_)
    return {error_kind::kUpstreamFailed, "the response is broken"};
  if (cancelled())
    return {error_kind::kUpstreamFailed, "cancelled"};
  const response_decoder& decoder = connection_->decoder;
  while (connection_->read.pending() || !decoder.done()) {
    if (!connection_->read.pending()) {
      auto data = DecodeReceived();
      if (!data || !data->empty()) {
        finished_ = data && decoder.done();
        return data;
      }
      if (decoder.done())
        break;
      // A response of which only parts without content arrive, such as chunk
      // extensions, never waits.
      if (clock::now() >= deadline)
        return {error_kind::kTimedOut, "response continues at the deadline"};
    }
    const auto ended = AwaitBytes(deadline, yield);
    if (!ended)
      return {error_kind::kTimedOut, "no more of the response at the deadline"};
    if (*ended) {
      if (const auto error = EndConnection(*ended))
        return {error_kind::kUpstreamFailed, error.message()};
    }
    if (cancelled())
      return {error_kind::kUpstreamFailed, "cancelled"};
  }
  if (EndsWithConnection() && tunnel_) {
    const auto ended = AwaitTunnelEnd(deadline, yield);
    if (!ended)
      return {error_kind::kTimedOut, "the end of the tunnel is not confirmed"};
    if (*ended) {
      broken_ = true;
      return {error_kind::kUpstreamFailed, "the tunnel broke"};
    }
  }
  finished_ = true;
  return std::string_view();
}

result<std::string> http_stream::ReadBody(std::size_t max_bytes,
                                          time_point deadline,
                                          asio::yield_context yield,
                                          buffer_pool::share* buffered) {
  std::string body;
  while (true) {
    const auto bytes = Read(deadline, yield);
    if (!bytes)
      return {bytes.kind(), bytes.detail()};
    if (bytes->empty())
      return body;
    const std::size_t size = body.size() + bytes->size();
    // Appending may allocate double.
    if (size > max_bytes || (buffered && !buffered->Resize(2 * size)))
      return {error_kind::kUpstreamGarbled, "answer exceeds the limit"};
    body.append(*bytes);
  }
}

http_client::http_client(asio::io_context& io)
    : io_(io), direct_(io), upstream_bodies_(kUpstreamBodyBytes) {}

std::unique_ptr<tcp::socket> http_client::TakeIdleConnection(
    const std::string& address,
    milliseconds max_idle_time,
    bool to_upstream) {
  if (!ConnectorFor(to_upstream).MayReuseConnections(address))
    return nullptr;
  auto& idle = idle_connections_[address];
  const time_point now = clock::now();
  while (!idle.empty()) {
    idle_connection connection = std::move(idle.back());
    idle.pop_back();
    if (now - connection.idle_since < max_idle_time && now < connection.until &&
        !IsStale(*connection.socket))
      return std::move(connection.socket);
  }
  return nullptr;
}

void http_client::ReturnConnection(const std::string& address,
                                   std::unique_ptr<tcp::socket> socket,
                                   milliseconds keep_alive_time) {
  auto& idle = idle_connections_[address];
  const time_point now = clock::now();
  while (!idle.empty() && now >= idle.front().until)
    idle.pop_front();
  if (idle.size() < kMaxIdlePerAddress && keep_alive_time.count() > 0)
    idle.push_back({std::move(socket), now, now + keep_alive_time});
}

void http_client::CloseUnusableConnections(time_point now) {
  for (auto it = idle_connections_.begin(); it != idle_connections_.end();) {
    auto& idle = it->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [now](const idle_connection& connection) {
                                return now >= connection.until ||
                                       IsStale(*connection.socket);
                              }),
               idle.end());
    it = idle.empty() ? idle_connections_.erase(it) : std::next(it);
  }
}

std::size_t http_client::idle_connections() const {
  std::size_t count = 0;
  for (const auto& [address, idle] : idle_connections_)
    count += idle.size();
  return count;
}

result<upstream_connection> http_client::Connect(
    const std::string& address,
    bool to_upstream,
    const peer_zone_filter& may_carry,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel) {
  auto connected =
      ConnectorFor(to_upstream)
          .ConnectWithin(may_carry, address,
                         std::min(deadline, clock::now() + kConnectTimeout),
                         yield, cancel);
  if (connected)
    ++connections_opened_;
  return connected;
}

result<std::unique_ptr<http_stream>> http_client::SendAndReadHeader(
    const std::string& address,
    const outgoing_request& request,
    upstream_connection connected,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel,
    bool* unanswered) {
  *unanswered = true;
  auto stream = std::make_unique<http_stream>(this, address,
                                              std::move(connected), cancel);
  if (request.may_send && !request.may_send())
    return {error_kind::kUpstreamRefused, kNoLongerAccepts};
  {
    const auto message = BuildMessage(address, request);
    tcp::socket* connection = stream->connection_->socket.get();
    SetDeadPeerTimeout(*connection, request.dead_peer_timeout,
                       request.body.size());
    deadline_guard guard(connection, deadline);
    boost::system::error_code error;
    http::async_write(*connection, message, yield[error]);
    if (error)
      return {WriteErrorKind(guard), error.message()};
  }
  const auto header = stream->ReadHeader(deadline, yield);
  *unanswered = stream->BrokeBeforeResponse();
  if (!header)
    return {header.kind(), header.detail()};
  if (!NamesRequest(request, stream->Header(kRequestIdHeader))) {
    stream->DisableConnectionReuse();
    return {error_kind::kUpstreamGarbled, "response to another request"};
  }
  return stream;
}

result<std::unique_ptr<http_stream>> http_client::Open(
    const std::string& address,
    const outgoing_request& request,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel) {
  bool maybe_sent = false;
  bool unanswered = true;
  if (!request.fresh_connection) {
    if (auto idle =
            TakeIdleConnection(address, kMaxIdleTime, request.to_upstream)) {
      auto stream =
          SendAndReadHeader(address, request, {std::move(idle), std::nullopt},
                            deadline, yield, cancel, &unanswered);
      const bool cancelled = cancel && cancel->cancelled();
      // The upstream may have closed the idle connection just before the
      // request was sent: send it again on a new connection.
      if (stream || cancelled || !unanswered ||
          stream.kind() != error_kind::kUpstreamFailed)
        return stream;
      maybe_sent = true;
    }
  }
  auto connected =
      Connect(address, request.to_upstream, {}, deadline, yield, cancel);
  // The request may have been delivered on the reused connection before it
  // closed.
  if (!connected && maybe_sent)
    return {error_kind::kUpstreamFailed, "kept connection broke"};
  if (!connected)
    return {connected.kind(), connected.detail()};
  auto stream = SendAndReadHeader(address, request, std::move(*connected),
                                  deadline, yield, cancel, &unanswered);
  if (!stream && maybe_sent && stream.kind() == error_kind::kUpstreamRefused)
    return {error_kind::kUpstreamFailed, "kept connection broke"};
  return stream;
}

result<std::unique_ptr<http_stream>> http_client::Start(
    const std::string& address,
    http::request<http::string_body> message,
    const send_options& options,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel) {
  upstream_connection connected;
  if (!options.fresh_connection)
    connected.socket =
        TakeIdleConnection(address, options.max_idle_time, options.to_upstream);
  const bool reused = connected.socket != nullptr;
  if (!reused) {
    auto opened = Connect(address, options.to_upstream, options.may_carry,
                          deadline, yield, cancel);
    if (!opened)
      return {opened.kind(), opened.detail()};
    connected = std::move(*opened);
  }
  if (options.may_send && !options.may_send())
    return {error_kind::kUpstreamRefused, kNoLongerAccepts};
  SetDeadPeerTimeout(*connected.socket, options.dead_peer_timeout,
                     message.body().size());
  auto stream = std::make_unique<http_stream>(this, address,
                                              std::move(connected), cancel);
  stream->reused_ = reused;
  const auto& connection = stream->connection_;
  connection->decoder = response_decoder(message.method() == http::verb::head);
  stream->pending_write_ =
      std::make_shared<http_stream::pending_write>(std::move(message));
  if (options.may_send && options.may_abort_write)
    stream->pending_write_->guard = std::make_shared<write_guard>(
        connection->socket.get(), options.may_send,
        &stream->pending_write_->aborted);
  http::async_write(*connection->socket, stream->pending_write_->message,
                    [pending_write = stream->pending_write_, open = connection](
                        const boost::system::error_code& error, std::size_t) {
                      pending_write->done = !error;
                      pending_write->error = error;
                      pending_write->guard.reset();
                    });
  return stream;
}

result<std::unique_ptr<http_stream>> http_client::Send(
    const std::string& address,
    http::request<http::string_body> message,
    const send_options& options,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel,
    send_failure* failure) {
  *failure = {};
  auto stream =
      Start(address, std::move(message), options, deadline, yield, cancel);
  if (!stream)
    return stream;
  failure->maybe_sent = true;
  const auto header = (*stream)->ReadHeader(deadline, yield);
  if (header)
    return stream;
  failure->stale_connection = (*stream)->reused() &&
                              header.kind() == error_kind::kUpstreamFailed &&
                              (*stream)->BrokeBeforeResponse();
  return {header.kind(), header.detail()};
}

result<http_response> http_client::Call(const std::string& address,
                                        const outgoing_request& request,
                                        time_point deadline,
                                        asio::yield_context yield,
                                        std::size_t max_body_bytes,
                                        cancel_token* cancel) {
  auto stream = Open(address, request, deadline, yield, cancel);
  if (!stream)
    return {stream.kind(), stream.detail()};
  http_response response;
  response.status = (*stream)->status();
  response.content_type = (*stream)->Header("Content-Type");
  response.load_metrics = (*stream)->Header("endpoint-load-metrics");
  response.entity_tag = (*stream)->Header("ETag");
  response.retry_after = (*stream)->Header("Retry-After");
  if (!request.response_header.empty())
    response.requested_header = (*stream)->Header(request.response_header);
  buffer_pool::share buffered(&upstream_bodies_);
  auto body = (*stream)->ReadBody(max_body_bytes, deadline, yield,
                                  request.to_upstream ? &buffered : nullptr);
  if (!body)
    return {body.kind(), body.detail()};
  response.body = std::move(*body);
  return response;
}

}  // namespace cactusward
