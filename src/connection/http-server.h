#pragma once

#include <QObject>
#include <QTimer>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <string>

#include "connection/http-connection.h"
#include "process/listener.h"

namespace toucanmux {

/// HTTP connections that share one thread, one request handler and one timer
/// for timeouts. Accepts connections on a port, or receives accepted sockets
/// through `adopt`.
class http_server {
 public:
  http_server(http_limits limits, http_connection::request_handler on_request,
              std::function<void(http_connection&)> on_closed = {});
  ~http_server();
  Q_DISABLE_COPY_MOVE(http_server)

  /// Starts to listen.
  /// @throws settings_error if the port is in use.
  void listen(const std::string& address, std::uint16_t port);
  std::uint16_t port() const { return listener_.serverPort(); }
  /// Takes over an accepted socket.
  void adopt(qintptr descriptor);
  /// Stops listening and closes each connection after its current request.
  void drain();
  std::size_t size() const { return count_; }

 private:
  using connection_list =
      boost::intrusive::list<http_connection,
                             boost::intrusive::constant_time_size<false>>;

  void enforce_timeouts();

  http_limits limits_;
  http_connection::request_handler on_request_;
  std::function<void(http_connection&)> on_closed_;
  listener listener_;
  QTimer timer_;
  connection_list connections_;
  std::size_t count_ = 0;
};

}  // namespace toucanmux
