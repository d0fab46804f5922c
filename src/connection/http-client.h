#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <string>

#include "connection/http-message.h"
#include "connection/stream-socket.h"
#include "process/control-bus.h"

namespace toucanmux {

/// The client side of an HTTP/1.1 connection, with one request at a time.
/// Reconnects if the connection is closed when a request is sent. Used by one
/// thread.
class http_client {
 public:
  /// The result of a request.
  struct reply {
    bool answered = false;
    bool sent = false;  ///< The server may have received part of the request.
    http_response response;

    /// Returns the first header of that name, in any case; empty if absent.
    std::string header(std::string_view name) const;
  };
  using reply_handler = std::function<void(reply&&)>;

  explicit http_client(const endpoint& server);
  ~http_client();
  Q_DISABLE_COPY_MOVE(http_client)

  /// Sends a POST request. `on_done` is called once, from the event loop. The
  /// client must not be busy.
  void post(const http_request& request, reply_handler on_done);
  bool busy() const { return on_done_ != nullptr; }
  const endpoint& server() const { return server_; }

 private:
  struct parser_state;

  void connect();
  void send_request();
  void handle_close();
  void handle_readable();
  void finish(reply&& result);

  endpoint server_;
  QObject context_;
  std::unique_ptr<stream_socket> socket_;
  std::unique_ptr<parser_state> parser_;
  std::string output_;
  std::string input_;
  bool request_sent_ = false;
  reply_handler on_done_;
};

}  // namespace toucanmux
