#include "src/edges/peer_link.h"

#include <algorithm>
#include <map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "cactusward/hash.h"
#include "src/edges/listen_log.h"
#include "src/edges/unauthenticated_connections.h"
#include "src/kernel/cbor.h"

namespace cactusward {
namespace {

using nlohmann::json;
using websocketpp::connection_hdl;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;

constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxFrameBytes = 4ULL * 1024 * 1024;
// The largest first call is a claim with a stored response of 64 KB, its key
// and its content type, which are limited by the heads of requests.
constexpr std::size_t kMaxFirstFrameBytes = 128ULL * 1024;
// The handshake of a peer takes about 250 bytes.
constexpr std::size_t kMaxHandshakeBytes = 4ULL * 1024;
constexpr milliseconds kAcceptRetryDelay{50};
// Short against the time in which a connection must authenticate.
constexpr milliseconds kExpirePeriod{500};
// A frame and its decoded form.
constexpr std::size_t kCopiesOfFrame = 2;
constexpr std::size_t kFrameFields = 3;

// The request of a handshake. websocketpp's own limit, 16,000 bytes, allows
// thousands of fields, which take many times their size.
class handshake_request : public websocketpp::http::parser::request {
 public:
  std::size_t consume(const char* bytes, std::size_t length) {
    received_ += length;
    if (received_ > kMaxHandshakeBytes)
      throw websocketpp::http::exception(
          "handshake too large",
          websocketpp::http::status_code::request_header_fields_too_large);
    return websocketpp::http::parser::request::consume(bytes, length);
  }

 private:
  std::size_t received_ = 0;
};

struct server_config : public websocketpp::config::asio {
  using request_type = handshake_request;
  static const std::size_t connection_read_buffer_size = kMaxHandshakeBytes;
  // A connection in the closing handshake would keep its bytes.
  static const bool drop_on_protocol_error = true;
};

using ws_server = websocketpp::server<server_config>;

// On the wire: an HMAC tag, then the CBOR array [is_reply, id, body]. Later
// releases may append fields, which are ignored.
struct peer_frame {
  bool is_reply = false;
  std::uint64_t id = 0;
  json body;
};

std::string EncodeFrame(const std::string& secret, const peer_frame& frame) {
  std::string bytes;
  json::to_cbor(json::array({frame.is_reply, frame.id, frame.body}), bytes);
  return HmacTag(secret, bytes) + bytes;
}

std::optional<peer_frame> DecodeFrame(const std::string& secret,
                                      std::string_view frame_bytes) {
  if (frame_bytes.size() <= kMacBytes)
    return std::nullopt;
  const std::string_view bytes = frame_bytes.substr(kMacBytes);
  if (!EqualConstantTime(frame_bytes.substr(0, kMacBytes),
                         HmacTag(secret, bytes)))
    return std::nullopt;
  json value = ParseCbor(bytes);
  if (!value.is_array() || value.size() < kFrameFields ||
      !value[0].is_boolean() || !value[1].is_number_unsigned())
    return std::nullopt;
  return peer_frame{value[0].get<bool>(), value[1].get<std::uint64_t>(),
                    std::move(value[2])};
}

}  // namespace

class peer_link::impl {
 public:
  impl(asio::io_context& io,
       std::string secret,
       peer_handler* handler,
       std::shared_ptr<caller_guard> callers)
      : io_(io),
        secret_(std::move(secret)),
        handler_(handler),
        callers_(callers ? std::move(callers)
                         : std::make_shared<caller_guard>(caller_bounds())),
        unauthenticated_(LimitsFrom(callers_->bounds())),
        acceptor_(io) {
    server_.clear_access_channels(websocketpp::log::alevel::all);
    server_.clear_error_channels(websocketpp::log::elevel::all);
    server_.init_asio(&io_);
    server_.set_max_message_size(kMaxFirstFrameBytes);
    client_.clear_access_channels(websocketpp::log::alevel::all);
    client_.clear_error_channels(websocketpp::log::elevel::all);
    client_.init_asio(&io_);
    client_.set_max_message_size(kMaxFrameBytes);
  }

  bool Listen(const std::string& address) {
    const auto endpoint = ParseTcpEndpoint(address);
    if (!endpoint) {
      LogListenFailure("peer_link", address, "malformed address");
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
      LogListenFailure("peer_link", address, error.message());
      return false;
    }
    SpawnRestarting(io_, "accept_peers",
                    [this](asio::yield_context yield) { Accept(yield); });
    SpawnRestarting(io_, "expire_peers", [this](asio::yield_context yield) {
      while (acceptor_.is_open()) {
        Sleep(io_, kExpirePeriod, yield);
        unauthenticated_.Expire(clock::now());
      }
    });
    return true;
  }

  result<json> Call(const std::string& address,
                    const json& request,
                    time_point deadline,
                    asio::yield_context yield) {
    const auto link = GetConnection(address);
    if (!link)
      return {error_kind::kUpstreamUnreachable, "cannot connect"};
    const std::uint64_t id = next_id_++;
    const auto call = std::make_shared<pending_call>(io_);
    pending_calls_[id] = call;
    call->link = link;
    std::string frame_bytes = EncodeFrame(secret_, {false, id, request});
    if (link->open)
      SendOn(*link, frame_bytes);
    else
      link->unsent.push_back(std::move(frame_bytes));
    if (!call->finished)
      WaitOn(call->timer, deadline, yield);
    pending_calls_.erase(id);
    if (call->response)
      return std::move(*call->response);
    if (!link->failed)
      Abandon(address, link);
    return {
        link->failed ? error_kind::kUpstreamUnreachable : error_kind::kTimedOut,
        "no answer from " + address};
  }

  std::int64_t sent_bytes() const { return sent_bytes_; }
  std::int64_t rejected_frames() const { return rejected_; }

 private:
  struct connection {
    connection_hdl hdl;
    bool open = false;
    bool failed = false;
    std::vector<std::string> unsent;
  };
  // What a call takes from the budget until its reply. Calls may outlive the
  // link.
  struct call_bytes {
    explicit call_bytes(std::shared_ptr<caller_guard> guard)
        : callers(std::move(guard)), lease(&callers->budget()) {}
    std::shared_ptr<caller_guard> callers;
    byte_budget::lease lease;
  };
  struct pending_call {
    explicit pending_call(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::shared_ptr<connection> link;
    std::optional<json> response;
    bool finished = false;
  };

  std::shared_ptr<connection> GetConnection(const std::string& address) {
    auto& cached = connections_[address];
    if (cached && !cached->failed)
      return cached;
    websocketpp::lib::error_code error;
    const auto ws_connection = client_.get_connection("ws://" + address, error);
    if (error)
      return nullptr;
    auto link = std::make_shared<connection>();
    link->hdl = ws_connection->get_handle();
    ws_connection->set_open_handler([this, link](const connection_hdl&) {
      link->open = true;
      for (const std::string& frame_bytes : link->unsent)
        SendOn(*link, frame_bytes);
      link->unsent.clear();
    });
    const auto fail = [this, link](const connection_hdl&) {
      FailConnection(link);
    };
    ws_connection->set_fail_handler(fail);
    ws_connection->set_close_handler(fail);
    ws_connection->set_message_handler(
        [this](const connection_hdl&, const ws_client::message_ptr& message) {
          OnReply(message->get_payload());
        });
    client_.connect(ws_connection);
    cached = link;
    return link;
  }

  // The connection may be silent for good: the next call opens another one.
  // Calls that are still pending keep this one.
  void Abandon(const std::string& address,
               const std::shared_ptr<connection>& link) {
    const auto cached = connections_.find(address);
    if (cached != connections_.end() && cached->second == link)
      connections_.erase(cached);
    const bool in_use = std::any_of(
        pending_calls_.begin(), pending_calls_.end(),
        [&link](const auto& pending) { return pending.second->link == link; });
    websocketpp::lib::error_code ignored;
    if (!in_use)
      client_.close(link->hdl, websocketpp::close::status::going_away, {},
                    ignored);
  }

  void SendOn(connection& link, const std::string& frame_bytes) {
    websocketpp::lib::error_code error;
    client_.send(link.hdl, frame_bytes, websocketpp::frame::opcode::binary,
                 error);
    sent_bytes_ += static_cast<std::int64_t>(frame_bytes.size());
  }

  void FailConnection(const std::shared_ptr<connection>& link) {
    link->failed = true;
    for (auto& [id, call] : pending_calls_) {
      if (call->link == link)
        CompleteCall(*call);
    }
  }

  static void CompleteCall(pending_call& call) {
    call.finished = true;
    call.timer.cancel();
  }

  void OnReply(const std::string& frame_bytes) {
    auto frame = DecodeFrame(secret_, frame_bytes);
    if (!frame || !frame->is_reply) {
      ++rejected_;
      return;
    }
    const auto it = pending_calls_.find(frame->id);
    if (it == pending_calls_.end())
      return;
    it->second->response = std::move(frame->body);
    CompleteCall(*it->second);
  }

  static unauthenticated_limits LimitsFrom(const caller_bounds& bounds) {
    unauthenticated_limits limits;
    limits.max_connections = bounds.max_unauthenticated;
    return limits;
  }

  // Accepts connections as far as the unauthenticated ones leave room. The
  // accept loop of websocketpp has no bound, and retries at once when the
  // process has no more descriptors.
  void Accept(asio::yield_context yield) {
    while (acceptor_.is_open()) {
      if (const auto wait_until = unauthenticated_.MakeRoom(clock::now())) {
        Sleep(io_, *wait_until - clock::now(), yield);
        continue;
      }
      tcp::socket socket(io_);
      boost::system::error_code error;
      acceptor_.async_accept(socket, yield[error]);
      if (error == asio::error::operation_aborted)
        return;
      if (error)
        Sleep(io_, kAcceptRetryDelay, yield);
      else
        StartConnection(std::move(socket));
    }
  }

  void StartConnection(tcp::socket socket) {
    boost::system::error_code ignored;
    const auto endpoint = socket.remote_endpoint(ignored);
    const std::string address = endpoint.address().to_string();
    const ws_server::connection_ptr connection = server_.get_connection();
    connection->get_raw_socket() = std::move(socket);
    const auto id = unauthenticated_.Add(
        [this, address,
         weak = std::weak_ptr<ws_server::connection_type>(connection)](
            std::string_view cause) {
          callers_->Reject(cause, address);
          CloseNow(weak.lock());
        },
        clock::now());
    const auto end = [this, id, address](const connection_hdl& hdl) {
      websocketpp::lib::error_code unknown;
      const auto ended = server_.get_con_from_hdl(hdl, unknown);
      const bool left =
          ended && ended->get_ec() ==
                       make_error_code(websocketpp::transport::error::eof);
      if (unauthenticated_.Remove(id) && !left)
        callers_->Reject("unauthenticated", address);
    };
    connection->set_fail_handler(end);
    connection->set_close_handler(end);
    connection->set_message_handler(
        [this, id, address](const connection_hdl& hdl,
                            const ws_server::message_ptr& message) {
          OnRequest(hdl, id, address, message->get_payload());
        });
    connection->start();
  }

  static void CloseNow(const ws_server::connection_ptr& connection) {
    boost::system::error_code ignored;
    if (connection)
      connection->get_raw_socket().close(ignored);
  }

  void OnRequest(const connection_hdl& hdl,
                 unauthenticated_connections::connection_id connection_id,
                 const std::string& address,
                 const std::string& frame_bytes) {
    const auto frame = DecodeFrame(secret_, frame_bytes);
    websocketpp::lib::error_code unknown;
    const auto connection = server_.get_con_from_hdl(hdl, unknown);
    if (!frame || frame->is_reply) {
      ++rejected_;
      unauthenticated_.Remove(connection_id);
      callers_->Reject("unauthenticated", address);
      CloseNow(connection);
      return;
    }
    if (unauthenticated_.Remove(connection_id) && connection)
      connection->set_max_message_size(kMaxFrameBytes);
    // Calls of peers are not refused: callers' requests wait for them.
    const auto bytes = std::make_shared<call_bytes>(callers_);
    bytes->lease.Take(kCopiesOfFrame * frame_bytes.size());
    handler_->OnPeerCall(
        frame->body, [this, hdl, bytes, id = frame->id](const json& response) {
          const std::string reply = EncodeFrame(secret_, {true, id, response});
          websocketpp::lib::error_code ignored;
          server_.send(hdl, reply, websocketpp::frame::opcode::binary, ignored);
          sent_bytes_ += static_cast<std::int64_t>(reply.size());
        });
  }

  asio::io_context& io_;
  std::string secret_;
  peer_handler* handler_;
  std::shared_ptr<caller_guard> callers_;
  unauthenticated_connections unauthenticated_;
  tcp::acceptor acceptor_;
  ws_server server_;
  ws_client client_;
  std::map<std::string, std::shared_ptr<connection>> connections_;
  std::map<std::uint64_t, std::shared_ptr<pending_call>> pending_calls_;
  std::uint64_t next_id_ = 1;
  std::int64_t sent_bytes_ = 0;
  std::int64_t rejected_ = 0;
};

peer_link::peer_link(asio::io_context& io,
                     std::string secret,
                     peer_handler* handler,
                     std::shared_ptr<caller_guard> callers)
    : impl_(std::make_unique<impl>(io,
                                   std::move(secret),
                                   handler,
                                   std::move(callers))) {}

peer_link::~peer_link() = default;

bool peer_link::Listen(const std::string& address) {
  return impl_->Listen(address);
}

result<json> peer_link::Call(const std::string& peer_address,
                             const json& request,
                             time_point deadline,
                             asio::yield_context yield) {
  return impl_->Call(peer_address, request, deadline, yield);
}

std::int64_t peer_link::sent_bytes() const {
  return impl_->sent_bytes();
}

std::int64_t peer_link::rejected_frames() const {
  return impl_->rejected_frames();
}

}  // namespace cactusward
