#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "proxy/tcp-stream.h"

namespace toucanmux {

/// One HTTP request, ready to be sent.
struct http_call {
  std::string method = "GET";
  std::string target;
  std::string headers;  ///< Whole lines beside those that every call has.
  std::string body;
};

/// How an HTTP call ended.
struct http_result {
  bool answered = false;
  bool sent = false;  ///< Bytes of it may have arrived.
  unsigned status = 0;
  std::string body;
  instant sent_at;  ///< When it was sent.
};

/// A kept HTTP/1.1 connection that carries one call at a time; further ones
/// wait in line. A call whose answer does not begin or go on in time ends the
/// connection.
class http_caller final : public stream_owner {
 public:
  using result_handler = std::function<void(http_result&&)>;

  http_caller(event_loop& loop, const inet_address& server);
  ~http_caller() override;
  http_caller(const http_caller&) = delete;
  http_caller(http_caller&&) = delete;
  http_caller& operator=(const http_caller&) = delete;
  http_caller& operator=(http_caller&&) = delete;

  /// `done` is called once, from the loop.
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
  bool reused_ = false;  ///< The connection has carried a call before.
  pending_call current_;
  instant sent_at_;
  std::deque<pending_call> queue_;
  std::unique_ptr<parser_state> parser_;
  std::uint64_t calls_ = 0;
};

}  // namespace toucanmux
