// HTTP/1.1 server with limits on request size and time. Detects callers that
// disconnect.
#ifndef CACTUSWARD_SRC_EDGES_HTTP_SERVER_H_
#define CACTUSWARD_SRC_EDGES_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cactusward/error.h"
#include "cactusward/time.h"
#include "src/edges/caller_guard.h"
#include "src/edges/message_framing.h"
#include "src/edges/net.h"

namespace cactusward {

using http_request = http::request<http::string_body>;
using http_request_head = http::request_header<>;

// One request and its response. Lives until the handler returns. Not
// thread-safe.
class http_exchange {
 public:
  // @param closes asked when the response begins: whether the connection closes
  //     after it. Empty: only if the caller or CloseAfterResponse wants that.
  // @param caller takes the memory of responses; may be null.
  http_exchange(tcp::socket* socket,
                http_request request,
                std::function<bool()> closes = {},
                caller_guard::connection* caller = nullptr);
  ~http_exchange();

  const http_request& request() const { return request_; }
  http_request& request() { return request_; }
  // Value of a header; empty when absent.
  std::string_view Header(std::string_view name) const;
  // Path without the query.
  std::string_view Path() const;
  // Value of a query parameter; empty when absent.
  std::string Query(std::string_view name) const;

  // Adds a header to the response. Precondition: nothing was sent yet.
  void SetHeader(std::string name, std::string value);
  // Closes the connection after this response.
  void CloseAfterResponse() { close_after_response_ = true; }

  // Sends a complete response. @return whether it was sent by `deadline`.
  bool Respond(int status,
               std::string_view content_type,
               std::string body,
               time_point deadline,
               asio::yield_context yield);
  // Sends `json` with status 200, within the default time limit.
  bool RespondJson(const nlohmann::json& json, asio::yield_context yield);
  // Sends the error response for `kind`, within the default time limit.
  bool RespondError(error_kind kind,
                    std::string_view detail,
                    asio::yield_context yield);

  // Sends `response` with its status and fields unchanged, except for those of
  // this connection (version, keep-alive, length) and those of SetHeader.
  bool RespondWith(http::response<http::string_body> response,
                   time_point deadline,
                   asio::yield_context yield);
  // As BeginStream, with the status and fields of `response`.
  bool BeginStreamWith(http::response<http::empty_body> response,
                       time_point deadline,
                       asio::yield_context yield);
  // Closes the connection without completing the response, so that the caller
  // cannot take it for complete.
  void Abort() { failed_ = true; }

  // Sends the header of a chunked response.
  bool BeginStream(int status,
                   std::string_view content_type,
                   time_point deadline,
                   asio::yield_context yield);
  // Sends one chunk. @return whether it was sent by `deadline`.
  bool WriteChunk(std::string_view bytes,
                  time_point deadline,
                  asio::yield_context yield);
  // Sends the last chunk.
  bool EndStream(time_point deadline, asio::yield_context yield);

  // Calls `handler` once if the caller closes the connection while the request
  // is handled, and immediately if it already has. A half-closed connection
  // counts as closed. An empty handler removes the previous one.
  void OnDisconnect(std::function<void()> handler);
  bool disconnected() const { return watch_->disconnected; }
  // How the caller closed the connection. Valid until the next change; empty
  // while it is open.
  std::string_view disconnect_reason() const { return watch_->reason; }
  bool responded() const { return responded_; }
  bool streaming() const { return streaming_; }
  bool failed() const { return failed_; }
  bool closes_connection() const { return close_after_response_ || failed_; }
  int status() const { return status_; }

 private:
  struct disconnect_watch {
    bool active = true;
    bool disconnected = false;
    std::string reason;
    std::function<void()> handler;
  };
  void WatchForDisconnect();
  // Calls `write_some` until it returns true, and ends the connection when one
  // call takes longer than a caller may leave a response unread.
  // @return whether that was before `deadline`.
  template <typename WriteSome>
  bool WriteAll(time_point deadline, WriteSome write_some);
  // Sets the fields that all responses have.
  template <typename Response>
  void PrepareHeader(Response* response);

  tcp::socket* socket_;
  http_request request_;
  std::function<bool()> closes_;
  caller_guard::connection* caller_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::shared_ptr<disconnect_watch> watch_;
  int status_ = 0;
  bool responded_ = false;
  bool streaming_ = false;
  bool failed_ = false;
  bool close_after_response_ = false;
};

// Handles requests. Implementations respond to every exchange.
class http_handler {
 public:
  virtual ~http_handler() = default;
  virtual void Handle(http_exchange& exchange, asio::yield_context yield) = 0;
  // The largest body that a request with `head` may have, beside the limit of
  // the server. Asked before a body above kSmallBodyBytes is read.
  virtual std::uint64_t MaxBodyBytes(const http_request_head& head) const;

  // Requests that need no body may have one of this size.
  static constexpr std::uint64_t kSmallBodyBytes = 64ULL * 1024;
};

struct http_server_limits {
  std::uint32_t max_header_bytes = 16ULL * 1024;
  std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
  milliseconds idle_timeout{15'000};    // until the first byte of a request
  milliseconds header_timeout{15'000};  // from the first byte of a request
  milliseconds body_timeout{30'000};
};

// Returns the JSON body of an error response. Thread-safe.
std::string ErrorBody(error_kind kind, std::string_view detail);
// Whether `body` is an error response in this format that states that the
// request was not executed. Thread-safe.
bool StatesNotRun(std::string_view body);

// Accepts connections and calls `handler` for each request. Not thread-safe.
class http_server {
 public:
  // @param guard bounds what callers may hold; null: default bounds without a
  //     budget.
  // Precondition: `io` and `handler` outlive the server.
  http_server(asio::io_context& io,
              http_handler* handler,
              http_server_limits limits,
              std::shared_ptr<caller_guard> guard = nullptr);

  // Starts to listen. @return false when `address` is malformed or cannot be
  // bound.
  bool Listen(const std::string& address);
  // Stops accepting connections; open ones continue.
  void StopAccepting();
  // Number of requests being handled.
  int active() const { return active_; }
  // Number of requests of which a part has arrived.
  int receiving() const { return receiving_; }
  void SetMaxBodyBytes(std::uint64_t bytes) { limits_.max_body_bytes = bytes; }
  // The size limits apply to requests of which no part has arrived. Connections
  // that are idle stay open for the longest idle timeout in force since then.
  void SetLimits(const http_server_limits& limits);
  // From now on the response to the last request that has arrived on a
  // connection announces that the connection closes.
  void AnnounceClose() { announce_close_ = true; }
  // From now on closes each connection after its next response. Connections
  // that are idle after a response are closed immediately; new connections
  // still get one response.
  void CloseIdleConnections();

 private:
  // A connection that waits for the first byte of a request.
  struct idle_connection {
    tcp::socket* socket = nullptr;
    bool is_first = false;  // no request has arrived yet
    milliseconds timeout{};
  };
  void AcceptConnections(asio::yield_context yield);
  void ServeConnection(tcp::socket socket, asio::yield_context yield);
  // A connection and the request that is being received on it.
  struct receiver;
  // Reads a request. @return why it is refused; kOk if it is complete, nullopt
  // when the connection is to be closed.
  std::optional<error_kind> ReceiveRequest(receiver& from,
                                           asio::yield_context yield);
  std::optional<error_kind> ReceiveHead(receiver& from,
                                        asio::yield_context yield);
  std::optional<error_kind> ReceiveBody(receiver& from,
                                        asio::yield_context yield);
  std::optional<error_kind> ReceiveChunks(receiver& from,
                                          std::uint64_t max_bytes,
                                          asio::yield_context yield);
  // Waits for bytes and reads them into `bytes`.
  // @param size set to what was read. @return as for ReceiveRequest.
  std::optional<error_kind> ReadSome(receiver& from,
                                     asio::mutable_buffer bytes,
                                     std::size_t* size,
                                     asio::yield_context yield);
  // @param is_first whether this is the first request of the connection.
  // @return whether another request may follow.
  bool ServeRequest(tcp::socket& socket,
                    boost::beast::flat_buffer& buffer,
                    caller_guard::connection& caller,
                    bool is_first,
                    asio::yield_context yield);
  // Logs a request that has arrived on a connection that is being closed: its
  // caller gets no response.
  static void LogUnreadRequest(tcp::socket& socket, bool is_first);
  // @return whether the first byte of a request arrived in time.
  bool WaitForRequest(tcp::socket& socket,
                      bool is_first,
                      asio::yield_context yield);

  asio::io_context& io_;
  http_handler* handler_;
  http_server_limits limits_;
  std::shared_ptr<caller_guard> guard_;
  tcp::acceptor acceptor_;
  int active_ = 0;
  int receiving_ = 0;
  bool announce_close_ = false;
  bool closing_ = false;
  std::list<idle_connection> idle_connections_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_HTTP_SERVER_H_
