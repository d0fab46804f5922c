#pragma once

#include <QObject>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>
#include <string>

#include "connection/delivery-watch.h"
#include "connection/http-message.h"
#include "connection/stream-socket.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// Size limits and timeouts of a server's connections.
struct http_limits {
  std::size_t header_bytes = 8U << 10U;
  std::size_t body_bytes = 1U << 20U;
  /// Maximum time from a request's first byte to its last. A slower request
  /// gets status 408 and the connection is closed.
  duration request_timeout = std::chrono::seconds(10);
  /// Maximum time between two requests.
  duration idle_timeout = std::chrono::minutes(10);
  /// Maximum time in which the caller of a closing connection takes no byte.
  duration send_timeout = default_send_timeout;
  /// Maximum time from the delivery of the last response until the caller
  /// closes its side.
  duration close_timeout = std::chrono::seconds(2);
};

/// The server side of an HTTP/1.1 connection. Serves one request at a time, in
/// order. Used by one thread; the server destroys it in `on_closed`.
class http_connection
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  /// Receives a complete request, which must be answered by one call of
  /// `respond`.
  using request_handler = std::function<void(http_connection&, http_request&&)>;
  using close_handler = std::function<void(http_connection&)>;

  http_connection(int descriptor, const http_limits& limits,
                  request_handler on_request, close_handler on_closed);
  ~http_connection();
  Q_DISABLE_COPY_MOVE(http_connection)

  void respond(http_response&& response);
  /// Closes the connection after the current request, once all responses are
  /// delivered. A held connection stays open until it is released.
  void drain();
  /// Holds the connection, for further requests that belong together.
  void hold() { held_ = true; }
  void release();
  /// Ends the connection if a timeout of `http_limits` has passed.
  void enforce_timeouts(instant current_time);
  /// True while a request is being served.
  bool busy() const { return serving_request_; }
  /// True from a request's first byte until its response.
  bool in_request() const;

 private:
  struct parser_state;

  void handle_readable();
  void parse();
  void refuse(unsigned status, std::string_view remedy);
  void start_close();
  void enforce_close(instant current_time);
  void handle_close();

  // Receiver of posted calls: destroying it cancels the pending ones.
  QObject context_;
  stream_socket socket_;
  const http_limits& limits_;
  request_handler on_request_;
  close_handler on_closed_;
  std::unique_ptr<parser_state> parser_;
  std::string input_;
  instant phase_started_at_;  ///< Start of the request or of the idle time.
  delivery_watch delivery_;   ///< Used while closing.
  bool serving_request_ = false;
  bool may_have_unread_ = false;  ///< Bytes may have arrived during a request.
  bool keep_alive_ = true;
  bool draining_ = false;
  bool held_ = false;
  bool closing_ = false;  ///< No further response follows.
  bool ended_ = false;
};

}  // namespace toucanmux
