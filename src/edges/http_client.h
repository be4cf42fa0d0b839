// HTTP/1.1 client with connection reuse and streamed responses.
#ifndef CACTUSWARD_SRC_EDGES_HTTP_CLIENT_H_
#define CACTUSWARD_SRC_EDGES_HTTP_CLIENT_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cactusward/buffer_pool.h"
#include "cactusward/result.h"
#include "cactusward/time.h"
#include "src/edges/direct_connector.h"
#include "src/edges/net.h"
#include "src/edges/response_decoder.h"
#include "src/edges/resumable_operation.h"

namespace cactusward {

struct outgoing_request {
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // Opens a new connection instead of reusing an idle one. Set for requests
  // that must not be executed twice: a failure to connect then proves that the
  // request was not executed.
  bool fresh_connection = false;
  // Closes the connection when the peer's TCP stack does not respond for this
  // long, also while waiting for a response. 0: only the deadline applies.
  milliseconds dead_peer_timeout{0};
  // Name of a response header to return; empty: none.
  std::string response_header;
  // Whether the connection is opened as those to upstreams are.
  bool to_upstream = false;
  // Asked when a connection is established, each time that the request is to be
  // sent; it is not sent when it returns false. Empty: the request is sent.
  std::function<bool()> may_send;
};

// Options of http_client::Send.
struct send_options {
  bool fresh_connection = false;
  // Connections that were idle for longer are not reused.
  milliseconds max_idle_time{2'000};
  // Closes the connection when sent bytes stay unacknowledged, or keep-alive
  // probes unanswered, for this long. 0: only the deadline applies.
  milliseconds dead_peer_timeout{2'000};
  // Asked when the connection is established; the message is not sent when it
  // returns false. Empty: the message is sent. What it refers to must outlive
  // the stream.
  std::function<bool()> may_send;
  // Also asked while the message is being written, which is broken off when it
  // returns false.
  bool may_abort_write = false;
  // Whether the connection is opened as those to upstreams are.
  bool to_upstream = false;
  // Which peers may carry the connection, if it is opened as those to upstreams
  // are.
  peer_zone_filter may_carry;
};

struct http_response {
  int status = 0;
  std::string content_type;
  std::string body;
  std::string load_metrics;  // the endpoint-load-metrics header
  std::string entity_tag;    // the ETag header
  std::string retry_after;   // the Retry-After header
  // The header named by outgoing_request::response_header; empty if absent.
  std::string requested_header;
};

class http_client;
class write_guard;

// A request that was sent, and its response, whose body is read in parts. When
// the response was read to its end, the destructor returns the connection to
// the client for reuse. Not thread-safe.
class http_stream {
 public:
  http_stream(http_client* client,
              std::string address,
              upstream_connection connected,
              cancel_token* cancel);
  ~http_stream();
  http_stream(const http_stream&) = delete;
  http_stream& operator=(const http_stream&) = delete;

  // Reads the header of the response, which may arrive before the whole request
  // was written. Skips interim responses (1xx).
  // @return kUpstreamFailed when the connection closed early or the request was
  //     cancelled, kUpstreamRefused when send_options::may_send broke off the
  //     writing of the request, kUpstreamGarbled when the response is not valid
  //     HTTP, kTimedOut at `deadline`; the exchange then goes on, and another
  //     call waits for the same header.
  result<bool> ReadHeader(time_point deadline, asio::yield_context yield);

  // Precondition of the following: ReadHeader has returned true.
  int status() const;
  const http::response_header<>& header() const {
    return connection_->decoder.header();
  }
  // Whether the response has neither a length nor chunks.
  bool EndsWithConnection() const {
    return connection_->decoder.ends_with_connection();
  }
  std::string_view Header(std::string_view name) const;
  // Reads the next part of the body; empty at the end of the body. The view is
  // valid until the next call.
  // @return as for ReadHeader, also that a call after kTimedOut continues.
  result<std::string_view> Read(time_point deadline, asio::yield_context yield);

  // Reads the rest of the body.
  // @param buffered memory that the body takes from a pool; may be null.
  // @return as for Read; kUpstreamGarbled when it exceeds `max_bytes` or what
  //     the pool grants.
  result<std::string> ReadBody(std::size_t max_bytes,
                               time_point deadline,
                               asio::yield_context yield,
                               buffer_pool::share* buffered = nullptr);

  // Whether the connection carried other requests before this one.
  bool reused() const { return reused_; }
  // Whether the connection broke before any byte of the response.
  bool BrokeBeforeResponse() const {
    return broken_ && !connection_->decoder.has_begun() &&
           connection_->buffer.size() == 0;
  }
  // The tunnel that carries the connection; null: none.
  const tunnel_reference* tunnel() const {
    return tunnel_ ? &*tunnel_ : nullptr;
  }
  // Closes the connection with this stream instead of reusing it.
  void DisableConnectionReuse() { connection_reuse_disabled_ = true; }

 private:
  friend class http_client;
  // Shared with the handlers of pending operations, which may outlive the
  // stream.
  struct connection {
    explicit connection(std::unique_ptr<tcp::socket> s);
    std::string_view received() const;

    std::unique_ptr<tcp::socket> socket;
    boost::beast::flat_buffer buffer;
    response_decoder decoder;
    // Bytes at the start of `buffer` that were decoded, but are still in use.
    std::size_t decoded = 0;
    resumable_operation read;
    resumable_operation end_query;  // whether the upstream ended a tunnel
  };
  // A request that may still be being written while the response is read.
  struct pending_write {
    explicit pending_write(http::request<http::string_body> m)
        : message(std::move(m)) {}
    http::request<http::string_body> message;
    bool done = false;
    bool aborted = false;  // by `guard`
    boost::system::error_code error;
    std::shared_ptr<write_guard> guard;
  };

  bool cancelled() const { return cancel_ && cancel_->cancelled(); }
  // Decodes what has arrived, up to the end of the head or of one part of the
  // body. @return the part; kUpstreamGarbled.
  result<std::string_view> DecodeReceived();
  // Waits for more bytes. @return as for resumable_operation::Await.
  std::optional<boost::system::error_code> AwaitBytes(
      time_point deadline,
      asio::yield_context yield);
  // Ends the response with its connection, which a read found to end with
  // `ended`. @return no error if the response is complete.
  boost::system::error_code EndConnection(
      const boost::system::error_code& ended);
  // Asks whether the upstream, and not the tunnel, ended the connection.
  // @return as for resumable_operation::Await; an error if it did not.
  std::optional<boost::system::error_code> AwaitTunnelEnd(
      time_point deadline,
      asio::yield_context yield);

  http_client* client_;
  std::string address_;
  std::shared_ptr<connection> connection_;
  std::optional<tunnel_reference> tunnel_;
  cancel_token* cancel_;
  bool finished_ = false;
  bool broken_ = false;
  bool reused_ = false;
  bool connection_reuse_disabled_ = false;
  std::shared_ptr<pending_write> pending_write_;
};

// What is known of a message for which no response was received.
struct send_failure {
  // Some bytes may have reached the upstream.
  bool maybe_sent = false;
  // A reused connection closed before any byte of a response.
  bool stale_connection = false;
};

// Not thread-safe.
class http_client {
 public:
  explicit http_client(asio::io_context& io);

  direct_connector& direct() { return direct_; }
  // Opens the connections for messages with `to_upstream`; null: directly.
  // Precondition: `connector` outlives its use.
  void SetUpstreamConnector(connector* connector) {
    upstream_connector_ = connector;
  }

  // Sends `request` and reads the response header. When a reused connection
  // closes before any byte of a response, the request is sent again on a new
  // connection; fresh_connection prevents this.
  // @param cancel closes the connection when cancelled; may be null. Must
  //     outlive the stream.
  // @return kUpstreamUnreachable when no byte was sent, or kUpstreamRefused
  //     when `request.may_send` returned false; kUpstreamFailed,
  //     kUpstreamGarbled or kTimedOut when some bytes may have been sent.
  //     kUpstreamGarbled also when the response has another X-Request-Id than
  //     the request.
  result<std::unique_ptr<http_stream>> Open(const std::string& address,
                                            const outgoing_request& request,
                                            time_point deadline,
                                            asio::yield_context yield,
                                            cancel_token* cancel = nullptr);

  // Begins to send `message` unchanged, over an idle connection or a new one.
  // @param cancel as for Open.
  // @return the exchange, whose response header is to be read;
  //     kUpstreamUnreachable when there is no connection, kUpstreamRefused when
  //     `options.may_send` returned false: no byte was sent then.
  result<std::unique_ptr<http_stream>> Start(
      const std::string& address,
      http::request<http::string_body> message,
      const send_options& options,
      time_point deadline,
      asio::yield_context yield,
      cancel_token* cancel);
  // Sends `message` as Start does and reads the response header.
  // @param failure describes the message's state when no response was received.
  // @return as for Open; a request is never sent again when a reused connection
  //     closes. kUpstreamRefused when `options.may_send` returned false;
  //     `failure` tells whether bytes had been sent.
  result<std::unique_ptr<http_stream>> Send(
      const std::string& address,
      http::request<http::string_body> message,
      const send_options& options,
      time_point deadline,
      asio::yield_context yield,
      cancel_token* cancel,
      send_failure* failure);
  // Closes idle connections that may not be reused at `now` or that the peer
  // has closed. Call periodically: addresses that are not used again would keep
  // theirs.
  void CloseUnusableConnections(time_point now);
  std::size_t idle_connections() const;
  // Memory for what is kept of the responses of upstreams, all together.
  buffer_pool& upstream_bodies() { return upstream_bodies_; }
  // Number of connections opened since construction.
  std::int64_t connections_opened() const { return connections_opened_; }

  // Sends `request` and reads the whole response.
  // @return as for Open; kUpstreamGarbled when the body exceeds
  //     `max_body_bytes`, or when bodies of upstreams take too much together.
  result<http_response> Call(const std::string& address,
                             const outgoing_request& request,
                             time_point deadline,
                             asio::yield_context yield,
                             std::size_t max_body_bytes = kDefaultMaxBodyBytes,
                             cancel_token* cancel = nullptr);

  static constexpr std::size_t kDefaultMaxBodyBytes = 16ULL * 1024 * 1024;

 private:
  friend class http_stream;
  struct idle_connection {
    std::unique_ptr<tcp::socket> socket;
    time_point idle_since;
    time_point until;  // the peer may close the connection after this
  };

  connector& ConnectorFor(bool to_upstream) {
    return to_upstream && upstream_connector_
               ? *upstream_connector_
               : static_cast<connector&>(direct_);
  }
  std::unique_ptr<tcp::socket> TakeIdleConnection(const std::string& address,
                                                  milliseconds max_idle_time,
                                                  bool to_upstream);
  void ReturnConnection(const std::string& address,
                        std::unique_ptr<tcp::socket> socket,
                        milliseconds keep_alive_time);
  result<upstream_connection> Connect(const std::string& address,
                                      bool to_upstream,
                                      const peer_zone_filter& may_carry,
                                      time_point deadline,
                                      asio::yield_context yield,
                                      cancel_token* cancel);
  // @param unanswered whether the connection broke before any byte of the
  //     response.
  result<std::unique_ptr<http_stream>> SendAndReadHeader(
      const std::string& address,
      const outgoing_request& request,
      upstream_connection connected,
      time_point deadline,
      asio::yield_context yield,
      cancel_token* cancel,
      bool* unanswered);

  asio::io_context& io_;
  direct_connector direct_;
  connector* upstream_connector_ = nullptr;
  std::int64_t connections_opened_ = 0;
  std::map<std::string, std::deque<idle_connection>> idle_connections_;
  buffer_pool upstream_bodies_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_HTTP_CLIENT_H_
