#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "proxy/tcp-stream.h"

namespace toucanmux {

/// One HTTP request to send.
struct http_call {
  std::string method = "GET";
  std::string target;
  std::string headers;  ///< Additional header lines, each ended by CRLF.
  std::string body;
};

struct http_header {
  std::string name;
  std::string value;
};

/// The result of an HTTP call.
struct http_result {
  bool answered = false;
  bool sent = false;  ///< The server may have received the request.
  unsigned status = 0;
  std::vector<http_header> headers;
  std::uint64_t generation = 0;  ///< Of the store; set by `store_sync`.
  std::string body;
  instant sent_at;  ///< When the request was sent, by the boot clock.
};

/// A persistent HTTP/1.1 connection with one call in flight; further calls are
/// queued. A response that does not start within the call's timeout, or stalls
/// for that long, closes the connection and fails the call.
class http_caller final : public stream_owner {
 public:
  using result_handler = std::function<void(http_result&&)>;

  http_caller(event_loop& loop, const inet_address& server);
  ~http_caller() override;
  http_caller(const http_caller&) = delete;
  http_caller(http_caller&&) = delete;
  http_caller& operator=(const http_caller&) = delete;
  http_caller& operator=(http_caller&&) = delete;

  /// Queues a call. `on_done` is called once, from the event loop.
  void call(http_call request, duration timeout, result_handler on_done);
  std::uint64_t calls() const { return calls_; }

  void on_open() override;
  void on_input() override;
  void on_closed() override;

 private:
  struct pending_call {
    http_call request;
    duration timeout;
    result_handler on_done;
  };
  struct parser_state;

  void start_next();
  void write_request();
  void finish(http_result&& result, bool keep_open);

  event_loop& loop_;
  inet_address server_;
  tcp_stream stream_;
  timer timeout_timer_;
  bool call_in_flight_ = false;
  bool request_written_ = false;
  bool reused_ = false;  ///< The connection was open before the current call.
  pending_call current_;
  instant sent_at_;
  std::deque<pending_call> queue_;
  std::unique_ptr<parser_state> parser_;
  std::uint64_t calls_ = 0;
};

}  // namespace toucanmux
