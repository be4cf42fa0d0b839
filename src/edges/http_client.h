// HTTP client with kept connections and streamed answers.
#ifndef CACTUSWARD_SRC_EDGES_HTTP_CLIENT_H_
#define CACTUSWARD_SRC_EDGES_HTTP_CLIENT_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cactusward/result.h"
#include "cactusward/time.h"
#include "src/edges/net.h"

namespace cactusward {

// A request to send.
struct outgoing_request {
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // A request that must not run twice goes on a fresh connection, so that a
  // failure to connect proves that it was not run.
  bool fresh_connection = false;
  // Ends the connection when the peer is silent for so long, also while an
  // answer is awaited; 0: only the deadline ends it.
  milliseconds dead_peer_timeout{0};
};

// How a whole message is sent.
struct send_options {
  bool fresh_connection = false;
  // A kept connection that was idle for longer is not used.
  milliseconds max_idle_time{2'000};
  // Unacknowledged bytes or a silent peer end the connection after this time.
  milliseconds dead_peer_timeout{2'000};
};

struct http_response {
  int status = 0;
  std::string content_type;
  std::string body;
  std::string load_metrics;  // the endpoint-load-metrics header
  std::string request_id;    // the X-Request-Id header
  std::string entity_tag;    // the ETag header
};

class http_client;

// An answer being received. Not thread-safe.
class http_stream {
 public:
  http_stream(http_client* client,
              std::string address,
              std::unique_ptr<tcp::socket> socket,
              cancel_token* cancel);
  ~http_stream();
  http_stream(const http_stream&) = delete;
  http_stream& operator=(const http_stream&) = delete;

  int status() const;
  const http::response_header<>& header() const { return parser_.get().base(); }
  // Whether the connection had carried other requests before this one.
  bool reused() const { return reused_; }
  // The connection is not used again.
  void DisableConnectionReuse() { connection_reuse_disabled_ = true; }
  std::string_view Header(std::string_view name) const;
  // Receives the next bytes of the body; empty at its end. The bytes are valid
  // until the next call.
  // @return kUpstreamFailed when the connection ended early, kTimedOut at
  //     `deadline`, kUpstreamGarbled for an answer that is not HTTP.
  result<std::string_view> Read(time_point deadline, asio::yield_context yield);

 private:
  friend class http_client;
  bool cancelled() const { return cancel_ && cancel_->cancelled(); }
  result<bool> ReadHeader(time_point deadline, asio::yield_context yield);

  http_client* client_;
  std::string address_;
  std::unique_ptr<tcp::socket> socket_;
  boost::beast::flat_buffer buffer_;
  http::response_parser<http::buffer_body> parser_;
  std::string read_buffer_;
  cancel_token* cancel_;
  bool finished_ = false;
  bool reused_ = false;
  bool connection_reuse_disabled_ = false;
  // The request being sent while the answer is awaited.
  struct pending_write {
    explicit pending_write(http::request<http::string_body> m)
        : message(std::move(m)) {}
    http::request<http::string_body> message;
    bool done = false;
  };
  std::shared_ptr<pending_write> pending_write_;
  milliseconds dead_peer_timeout_{0};
};

// What became of a message that got no answer.
struct send_failure {
  bool maybe_sent = false;        // a byte may have reached the upstream
  bool stale_connection = false;  // a kept connection broke before any answer
};

// Not thread-safe.
class http_client {
 public:
  explicit http_client(asio::io_context& io) : io_(io) {}

  // Sends `request` and receives the header of the answer.
  // @param cancel ends the exchange when cancelled; null: nobody does. It must
  //     outlive the stream.
  // @return kUpstreamUnreachable when no byte was sent; kUpstreamFailed,
  //     kUpstreamGarbled or kTimedOut after that.
  result<std::unique_ptr<http_stream>> Open(const std::string& address,
                                            const outgoing_request& request,
                                            time_point deadline,
                                            asio::yield_context yield,
                                            cancel_token* cancel = nullptr);

  // Sends a whole message, its bytes unchanged, and receives the header of the
  // answer, which may come before all of the message was taken.
  // @param failure what became of the message when no answer came.
  // @return as the other Open; a kept connection that broke is not replaced.
  result<std::unique_ptr<http_stream>> Send(
      const std::string& address,
      http::request<http::string_body> message,
      const send_options& options,
      time_point deadline,
      asio::yield_context yield,
      cancel_token* cancel,
      send_failure* failure);
  // Connections opened since the start.
  std::int64_t connections_opened() const { return connections_opened_; }

  // Sends `request` and receives the whole answer, of at most `max_body_bytes`.
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
    time_point until;  // the peer may close it then
  };

  std::unique_ptr<tcp::socket> TakeIdleConnection(const std::string& address,
                                                  milliseconds max_idle_time);
  void ReturnConnection(const std::string& address,
                        std::unique_ptr<tcp::socket> socket,
                        milliseconds keep_alive_time);
  result<std::unique_ptr<tcp::socket>> Connect(const std::string& address,
                                               time_point deadline,
                                               asio::yield_context yield,
                                               cancel_token* cancel);
  result<std::unique_ptr<http_stream>> Exchange(
      const std::string& address,
      const outgoing_request& request,
      std::unique_ptr<tcp::socket> socket,
      time_point deadline,
      asio::yield_context yield,
      cancel_token* cancel);

  asio::io_context& io_;
  std::int64_t connections_opened_ = 0;
  std::map<std::string, std::deque<idle_connection>> idle_connections_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_HTTP_CLIENT_H_
