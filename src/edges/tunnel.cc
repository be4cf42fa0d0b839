#include "src/edges/tunnel.h"

#include <absl/strings/escaping.h>

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <limits>

#include "cactusward/hash.h"
#include "src/edges/dead_peer.h"
#include "src/edges/listen_log.h"
#include "src/edges/response_decoder.h"
#include "src/kernel/log.h"

namespace cactusward {
namespace {

constexpr const char* kIdField = "Tunnel-Id";
constexpr const char* kTagField = "Tunnel-Tag";
constexpr const char* kOutcomeField = "Tunnel-Outcome";
constexpr int kHttpVersion = 11;
// A few round trips to an upstream, and its queue of new connections.
constexpr milliseconds kUpstreamConnectTimeout{200};
// A peer that has connected sends its request at once.
constexpr milliseconds kRequestTimeout{1'000};
constexpr milliseconds kAcceptRetryDelay{50};
// Well below the deadlines of requests.
constexpr milliseconds kDeadPeerTimeout{2'000};
// Tunnels have no length: their peers buffer only a part.
constexpr std::size_t kUnboundedBytes = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kBufferBytes = 16ULL * 1024;
// The request of a peer takes about 200 bytes.
constexpr std::size_t kMaxRequestBytes = 4ULL * 1024;
// The head of a response takes about 100 bytes; no other bytes follow it before
// the peer has sent some.
constexpr std::size_t kMaxResponseBytes = 4ULL * 1024;
// Two buffers, the touched parts of two stacks, sockets and records.
constexpr std::size_t kTunnelBytes = 64ULL * 1024;
// A small part of the connections that an instance may have.
constexpr int kMaxTunnels = 600;
// How long the end of a tunnel is remembered, and at most how many.
constexpr milliseconds kEndedTtl{5'000};
constexpr std::size_t kMaxEnded = 4'096;
// Once the upstream has ended its side, the peer reads what is left.
constexpr milliseconds kLingerTimeout{5'000};

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string Tag(const std::string& secret,
                std::string_view upstream,
                std::string_view id) {
  std::string signed_text = "tunnel\n";
  signed_text.append(upstream).append("\n").append(id);
  return absl::BytesToHexString(HmacTag(secret, signed_text));
}

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// The status of the response that states `outcome`.
http::status StatusFor(tunnel_outcome outcome) {
  return outcome == tunnel_outcome::kOpen ? http::status::ok
                                          : http::status::bad_gateway;
}

// Closes without the regular end of the connection, so that the other side does
// not take what it has received for complete.
void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Why no more bytes are passed on. A target that broke was reset, one that
// ended had closed its side before.
enum class pass_on_end {
  kSourceEnded,
  kSourceBroke,
  kTargetEnded,
  kTargetBroke
};

// Whether both directions of a connection have ended, as after a reset.
// Precondition: this side has ended neither.
bool HasHungUp(tcp::socket& socket) {
  pollfd state{};
  state.fd = socket.native_handle();
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLHUP | POLLERR)) != 0;
}

// Passes bytes on from `source` to `target`.
// @param writing whether a write to `target` has not returned; may be null.
pass_on_end PassOn(tcp::socket& source,
                   tcp::socket& target,
                   bool* writing,
                   asio::yield_context yield) {
  const auto buffer = std::make_unique<std::array<char, kBufferBytes>>();
  boost::system::error_code error;
  while (true) {
    const std::size_t received =
        source.async_read_some(asio::buffer(*buffer), yield[error]);
    if (error)
      return error == asio::error::eof ? pass_on_end::kSourceEnded
                                       : pass_on_end::kSourceBroke;
    if (writing)
      *writing = true;
    asio::async_write(target, asio::buffer(buffer->data(), received),
                      yield[error]);
    if (writing)
      *writing = false;
    if (error)
      return error == asio::error::broken_pipe ? pass_on_end::kTargetEnded
                                               : pass_on_end::kTargetBroke;
  }
}

// A connection in the list of unauthenticated ones, for a scope.
class unauthenticated_entry {
 public:
  unauthenticated_entry(std::shared_ptr<unauthenticated_connections> list,
                        const std::shared_ptr<caller_guard>& callers,
                        const std::shared_ptr<tcp::socket>& peer,
                        const std::string& address)
      : list_(std::move(list)) {
    id_ = list_->Add(
        [callers, peer, address](std::string_view cause) {
          callers->Reject(cause, address);
          boost::system::error_code ignored;
          peer->close(ignored);
        },
        clock::now());
  }
  ~unauthenticated_entry() { Remove(); }
  unauthenticated_entry(const unauthenticated_entry&) = delete;
  unauthenticated_entry& operator=(const unauthenticated_entry&) = delete;

  bool Remove() { return list_->Remove(id_); }

 private:
  std::shared_ptr<unauthenticated_connections> list_;
  unauthenticated_connections::connection_id id_ = 0;
};

}  // namespace

std::string_view NameOf(tunnel_outcome outcome) {
  switch (outcome) {
    case tunnel_outcome::kOpen:
      return "open";
    case tunnel_outcome::kRefusedByUpstream:
      return "refused_by_upstream";
    case tunnel_outcome::kUnreachable:
      return "unreachable";
    case tunnel_outcome::kDenied:
      return "denied";
    case tunnel_outcome::kPeerGone:
      break;
  }
  return "peer_gone";
}

tunnel_attempt OpenTunnel(direct_connector& direct,
                          const std::string& secret,
                          const std::string& tunnel_address,
                          const std::string& upstream,
                          const std::string& id,
                          time_point deadline,
                          asio::yield_context yield,
                          cancel_token* cancel) {
  tunnel_attempt attempt;
  auto connected = direct.Connect(tunnel_address, deadline, yield, cancel);
  if (!connected)
    return attempt;
  auto socket = std::move(connected->socket);
  if (cancel)
    cancel->OnCancel([&socket] {
      boost::system::error_code ignored;
      socket->close(ignored);
    });
  boost::system::error_code error;
  boost::beast::flat_buffer buffer;
  // The bytes after the head are those of the upstream.
  response_decoder decoder(true);
  bool is_response = true;
  {
    http::request<http::empty_body> request(http::verb::connect,
                                            ToBeast(upstream), kHttpVersion);
    request.set(http::field::host, upstream);
    request.set(kIdField, id);
    request.set(kTagField, Tag(secret, upstream, id));
    deadline_guard guard(socket.get(), deadline);
    http::async_write(*socket, request, yield[error]);
    while (!error && is_response && !decoder.has_head()) {
      buffer.commit(socket->async_read_some(
          buffer.prepare(kMaxResponseBytes - buffer.size()), yield[error]));
      const auto received = buffer.data();
      const auto step = decoder.Decode(
          {static_cast<const char*>(received.data()), received.size()});
      buffer.consume(step.consumed);
      is_response = step.error.empty() && buffer.size() < kMaxResponseBytes;
    }
  }
  if (cancel)
    cancel->OnCancel({});
  if (error || !is_response || (cancel && cancel->cancelled()))
    return attempt;
  const std::string_view outcome = ToView(decoder.header()[kOutcomeField]);
  const http::status status = decoder.header().result();
  for (const auto known :
       {tunnel_outcome::kOpen, tunnel_outcome::kRefusedByUpstream,
        tunnel_outcome::kUnreachable, tunnel_outcome::kDenied}) {
    if (outcome == NameOf(known) && status == StatusFor(known))
      attempt.outcome = known;
  }
  // An upstream sends nothing before it has received a request.
  if (attempt.outcome == tunnel_outcome::kOpen && buffer.size() > 0)
    attempt.outcome = tunnel_outcome::kUnreachable;
  if (attempt.outcome == tunnel_outcome::kOpen)
    attempt.socket = std::move(socket);
  return attempt;
}

tunnel_server::tunnel_server(asio::io_context& io,
                             std::string secret,
                             direct_connector* direct,
                             tunnel_policy* policy,
                             std::shared_ptr<caller_guard> callers)
    : io_(io),
      secret_(std::move(secret)),
      direct_(direct),
      policy_(policy),
      callers_(callers ? std::move(callers)
                       : std::make_shared<caller_guard>(caller_bounds())),
      acceptor_(io) {
  unauthenticated_limits limits;
  limits.max_connections = callers_->bounds().max_unauthenticated;
  limits.timeout = kRequestTimeout;
  unauthenticated_ = std::make_shared<unauthenticated_connections>(limits);
}

bool tunnel_server::Listen(const std::string& address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    LogListenFailure("tunnels", address, "malformed address");
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
    LogListenFailure("tunnels", address, error.message());
    return false;
  }
  Spawn(io_, "accept_tunnels",
        [this](asio::yield_context yield) { Accept(yield); });
  return true;
}

void tunnel_server::Accept(asio::yield_context yield) {
  while (acceptor_.is_open()) {
    if (const auto wait_until = unauthenticated_->MakeRoom(clock::now())) {
      Sleep(io_, *wait_until - clock::now(), yield);
      continue;
    }
    auto socket = std::make_shared<tcp::socket>(io_);
    boost::system::error_code error;
    acceptor_.async_accept(*socket, yield[error]);
    if (error == asio::error::operation_aborted)
      return;
    if (error) {
      Sleep(io_, kAcceptRetryDelay, yield);
      continue;
    }
    Spawn(io_, "tunnel",
          [this, socket](asio::yield_context inner) { Serve(socket, inner); });
  }
}

void tunnel_server::Serve(const std::shared_ptr<tcp::socket>& peer,
                          asio::yield_context yield) {
  boost::system::error_code error;
  peer->set_option(tcp::no_delay(true), error);
  // Members must not be used by what the coroutine destroys at its end.
  const auto callers = callers_;
  const auto address = peer->remote_endpoint(error).address().to_string();
  unauthenticated_entry entry(unauthenticated_, callers, peer, address);
  boost::beast::flat_buffer buffer(kMaxRequestBytes);
  http::request_parser<http::empty_body> parser;
  parser.header_limit(kMaxRequestBytes);
  {
    deadline_guard guard(peer.get(), clock::now() + kRequestTimeout);
    http::async_read_header(*peer, buffer, parser, yield[error]);
    if (guard.expired() && entry.Remove())
      callers->Reject("authentication_timeout", address);
  }
  if (error) {
    if (entry.Remove() && error != http::error::end_of_stream)
      callers->Reject("unauthenticated", address);
    return;
  }
  const http::request<http::empty_body> request = parser.release();
  const std::string upstream(ToView(request.target()));
  const std::string id(ToView(request[kIdField]));
  const bool authentic =
      request.method() == http::verb::connect &&
      EqualConstantTime(ToView(request[kTagField]), Tag(secret_, upstream, id));
  byte_budget::lease lease(&callers->budget());
  if (authentic)
    entry.Remove();
  else
    callers->Reject("unauthenticated", address);
  tunnel_outcome outcome = tunnel_outcome::kDenied;
  std::shared_ptr<tcp::socket> target;
  // A peer that is denied a tunnel asks another one.
  if (authentic && open_ < kMaxTunnels && policy_->MayOpen(upstream) &&
      lease.Resize(kTunnelBytes)) {
    auto connected = direct_->Connect(
        upstream, clock::now() + kUpstreamConnectTimeout, yield, nullptr);
    if (connected) {
      outcome = tunnel_outcome::kOpen;
      target = std::move(connected->socket);
      policy_->RecordConnection(upstream);
    } else {
      outcome = connected.detail() == RefusedConnectionText()
                    ? tunnel_outcome::kRefusedByUpstream
                    : tunnel_outcome::kUnreachable;
    }
  }
  http::response<http::empty_body> response(StatusFor(outcome), kHttpVersion);
  response.set(kOutcomeField, ToBeast(NameOf(outcome)));
  if (!target)
    response.keep_alive(false);
  {
    deadline_guard guard(peer.get(), clock::now() + kRequestTimeout);
    http::async_write(*peer, response, yield[error]);
  }
  if (error || !target)
    return;
  ++open_;
  Carry(peer, target, id, yield);
  --open_;
}

void tunnel_server::Carry(const std::shared_ptr<tcp::socket>& peer,
                          const std::shared_ptr<tcp::socket>& upstream,
                          const std::string& id,
                          asio::yield_context yield) {
  SetDeadPeerTimeout(*upstream, kDeadPeerTimeout, kUnboundedBytes);
  SetDeadPeerTimeout(*peer, kDeadPeerTimeout, kUnboundedBytes);
  struct request_state {
    explicit request_state(asio::io_context& io)
        : peer_ended(io), upstream_ended(io) {}
    asio::steady_timer peer_ended;      // cancelled when the peer has closed
    asio::steady_timer upstream_ended;  // cancelled when a write has failed
    bool writing = false;               // to the upstream
    bool upstream_broke = false;
  };
  const auto state = std::make_shared<request_state>(io_);
  Spawn(io_, "tunnel_request",
        [peer, upstream, state](asio::yield_context inner) {
          const pass_on_end end =
              PassOn(*peer, *upstream, &state->writing, inner);
          boost::system::error_code ignored;
          // The response of an upstream that takes no more is still read.
          state->upstream_broke = end == pass_on_end::kTargetBroke;
          state->upstream_ended.cancel(ignored);
          if (state->upstream_broke || end == pass_on_end::kTargetEnded)
            return;
          // The peer wants no more of the response.
          upstream->close(ignored);
          peer->close(ignored);
          state->peer_ended.cancel(ignored);
        });
  if (PassOn(*upstream, *peer, nullptr, yield) != pass_on_end::kSourceEnded)
    return Reset(*peer);
  // The kernel reports a reset once, possibly to the write of the request,
  // which then returns soon, but perhaps after the read.
  if (state->writing && upstream->is_open() && HasHungUp(*upstream))
    WaitOn(state->upstream_ended, clock::now() + kLingerTimeout, yield);
  if (state->upstream_broke)
    return Reset(*peer);
  RecordEnd(id);
  boost::system::error_code ignored;
  peer->shutdown(tcp::socket::shutdown_send, ignored);
  if (peer->is_open())
    WaitOn(state->peer_ended, clock::now() + kLingerTimeout, yield);
  peer->close(ignored);
}

void tunnel_server::RecordEnd(const std::string& id) {
  const time_point now = clock::now();
  ended_by_upstream_.push_back({id, now});
  while (ended_by_upstream_.size() > kMaxEnded ||
         now - ended_by_upstream_.front().at > kEndedTtl)
    ended_by_upstream_.pop_front();
}

bool tunnel_server::EndedByUpstream(const std::string& id) const {
  return std::any_of(
      ended_by_upstream_.begin(), ended_by_upstream_.end(),
      [&id](const ended_tunnel& ended) { return ended.id == id; });
}

}  // namespace cactusward
