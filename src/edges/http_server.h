// HTTP server: reads bounded requests, detects callers that hang up.
#ifndef CACTUSWARD_SRC_EDGES_HTTP_SERVER_H_
#define CACTUSWARD_SRC_EDGES_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "cactusward/error.h"
#include "cactusward/time.h"
#include "src/edges/net.h"

namespace cactusward {

using http_request = http::request<http::string_body>;

// One request and its answer. Not thread-safe; lives until the handler
// returns.
class http_exchange {
 public:
  http_exchange(tcp::socket* socket, http_request request);
  ~http_exchange();

  const http_request& request() const { return request_; }
  http_request& request() { return request_; }
  // Value of a header; empty when absent.
  std::string_view Header(std::string_view name) const;
  // Path without the query.
  std::string_view Path() const;
  // Value of a query parameter; empty when absent.
  std::string Query(std::string_view name) const;

  // Adds a header to the answer. Precondition: nothing was sent yet.
  void SetHeader(std::string name, std::string value);
  // Closes the connection after this answer.
  void CloseAfterResponse() { close_after_response_ = true; }

  // Sends a whole answer. @return whether it was sent by `deadline`.
  bool Respond(int status,
               std::string_view content_type,
               std::string body,
               time_point deadline,
               asio::yield_context yield);
  // Sends `json` with status 200, with the default time limit.
  bool RespondJson(const nlohmann::json& json, asio::yield_context yield);
  // Sends the answer for an error kind.
  bool RespondError(error_kind kind,
                    std::string_view detail,
                    asio::yield_context yield);

  // Sends an answer whose fields are all given; only those that concern this
  // connection are set here.
  bool RespondWith(http::response<http::string_body> response,
                   time_point deadline,
                   asio::yield_context yield);
  // Begins a chunked answer whose fields are all given.
  bool BeginStreamWith(http::response<http::empty_body> response,
                       time_point deadline,
                       asio::yield_context yield);
  // Breaks the answer off, so that it cannot look complete.
  void Abort() { failed_ = true; }

  // Begins a chunked answer.
  bool BeginStream(int status,
                   std::string_view content_type,
                   time_point deadline,
                   asio::yield_context yield);
  bool WriteChunk(std::string_view bytes,
                  time_point deadline,
                  asio::yield_context yield);
  // Ends a chunked answer.
  bool EndStream(time_point deadline, asio::yield_context yield);

  // Calls `handler` once if the caller closes the connection while the
  // handler runs. A half-closed connection counts as closed.
  void OnDisconnect(std::function<void()> handler);
  bool disconnected() const { return watch_->disconnected; }
  bool responded() const { return responded_; }
  bool streaming() const { return streaming_; }
  bool failed() const { return failed_; }
  bool close() const { return close_after_response_ || failed_; }
  int status() const { return status_; }

 private:
  struct disconnect_watch {
    bool active = true;
    bool disconnected = false;
    std::function<void()> handler;
  };
  void WatchForDisconnect();

  tcp::socket* socket_;
  http_request request_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::shared_ptr<disconnect_watch> watch_;
  int status_ = 0;
  bool responded_ = false;
  bool streaming_ = false;
  bool failed_ = false;
  bool close_after_response_ = false;
};

// Serves requests. Implementations answer every exchange.
class http_handler {
 public:
  virtual ~http_handler() = default;
  virtual void Handle(http_exchange& exchange, asio::yield_context yield) = 0;
};

struct http_server_limits {
  std::uint32_t max_header_bytes = 16ULL * 1024;
  std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
  milliseconds idle_timeout{15'000};    // from connecting to a first byte
  milliseconds header_timeout{15'000};  // from the first byte of a request
  milliseconds body_timeout{30'000};
};

// The body of an error answer. Thread-safe.
std::string ErrorBody(error_kind kind, std::string_view detail);

// Accepts connections and runs `handler` for each request.
class http_server {
 public:
  // Precondition: `io` and `handler` outlive the server.
  http_server(asio::io_context& io,
              http_handler* handler,
              http_server_limits limits);

  // Begins to listen. @return false when the address cannot be had.
  bool Listen(const std::string& address);
  // Stops accepting; connections in use go on.
  void StopAccepting();
  // Requests being handled now.
  int active() const { return active_; }
  void SetMaxBodyBytes(std::uint64_t bytes) { limits_.max_body_bytes = bytes; }
  void SetLimits(const http_server_limits& limits) { limits_ = limits; }
  // From now on connections are closed after an answer, and those that had one
  // and wait for another request at once. New ones still get one answer.
  void CloseIdleConnections();

 private:
  void AcceptConnections(asio::yield_context yield);
  void ServeConnection(tcp::socket socket, asio::yield_context yield);
  // @param is_first no request came on this connection before.
  // @return whether another request may follow.
  bool ServeRequest(tcp::socket& socket,
                    boost::beast::flat_buffer& buffer,
                    bool is_first,
                    asio::yield_context yield);
  // @return whether a request begins to arrive in time.
  bool WaitForRequest(tcp::socket& socket,
                      bool is_first,
                      asio::yield_context yield);

  asio::io_context& io_;
  http_handler* handler_;
  http_server_limits limits_;
  tcp::acceptor acceptor_;
  int active_ = 0;
  bool closing_ = false;
  std::set<tcp::socket*> idle_sockets_;  // had an answer and wait for a request
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_HTTP_SERVER_H_
