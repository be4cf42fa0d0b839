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
};

struct http_answer {
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
  std::string chunk_;
  cancel_token* cancel_;
  bool finished_ = false;
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

  // Sends `request` and receives the whole answer, of at most `max_body`.
  result<http_answer> Call(const std::string& address,
                           const outgoing_request& request,
                           time_point deadline,
                           asio::yield_context yield,
                           std::size_t max_body = kDefaultMaxBody,
                           cancel_token* cancel = nullptr);

  static constexpr std::size_t kDefaultMaxBody = 16ULL * 1024 * 1024;

 private:
  friend class http_stream;
  struct idle_connection {
    std::unique_ptr<tcp::socket> socket;
    time_point since;
  };

  std::unique_ptr<tcp::socket> TakeIdle(const std::string& address);
  void GiveBack(const std::string& address,
                std::unique_ptr<tcp::socket> socket);
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
  std::map<std::string, std::deque<idle_connection>> idle_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_HTTP_CLIENT_H_
