#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <string>

#include "connection/http-message.h"
#include "connection/stream-socket.h"
#include "process/control-bus.h"

namespace toucanmux {

/// A caller's HTTP/1.1 connection: one request at a time. Reconnects when a
/// request finds it closed. Lives on one thread.
class http_client {
 public:
  /// How a request ended.
  struct reply {
    bool answered = false;
    bool sent = false;  ///< Bytes of it may have reached the server.
    http_response response;

    /// The first header of that name; empty if there is none.
    std::string header(std::string_view name) const;
  };
  using reply_handler = std::function<void(reply&&)>;

  explicit http_client(const endpoint& server);
  ~http_client();
  Q_DISABLE_COPY_MOVE(http_client)

  /// Sends a POST; `done` is called once, from the event loop.
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
