#pragma once

#include <QObject>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>
#include <string>

#include "connection/http-message.h"
#include "connection/stream-socket.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// The bounds of a server's connections.
struct http_limits {
  std::size_t header_bytes = 8U << 10U;
  std::size_t body_bytes = 1U << 20U;
  /// From a request's first byte to its last; a slower caller is dropped.
  duration request_timeout = std::chrono::seconds(10);
  /// Between requests.
  duration idle_timeout = std::chrono::minutes(10);
};

/// A caller's HTTP/1.1 connection: one request at a time, in order. Lives on
/// one thread; a server destroys it after `closed`.
class http_connection
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  /// Takes a whole request; it is answered with one call of `respond`.
  using request_handler = std::function<void(http_connection&, http_request&&)>;
  using close_handler = std::function<void(http_connection&)>;

  http_connection(int descriptor, const http_limits& limits,
                  request_handler on_request, close_handler on_closed);
  ~http_connection();
  Q_DISABLE_COPY_MOVE(http_connection)

  void respond(http_response&& response);
  /// No further request after the one that is being served.
  void drain();
  /// Drops the caller if it is too slow or idle for too long.
  void enforce_timeouts(instant current_time);
  /// True while a request is being served.
  bool busy() const { return serving_request_; }
  /// True from a request's first byte until its answer.
  bool in_request() const;

 private:
  struct parser_state;

  void handle_readable();
  void parse();
  void refuse(unsigned status, std::string_view remedy);
  void close_idle();
  void handle_close();

  // What is posted to it ends with this object.
  QObject context_;
  stream_socket socket_;
  const http_limits& limits_;
  request_handler on_request_;
  close_handler on_closed_;
  std::unique_ptr<parser_state> parser_;
  std::string input_;
  instant phase_started_at_;
  bool serving_request_ = false;
  bool may_have_unread_ =
      false;  ///< The socket may hold bytes that came meanwhile.
  bool keep_alive_ = true;
  bool draining_ = false;
  bool ended_ = false;
};

}  // namespace toucanmux
