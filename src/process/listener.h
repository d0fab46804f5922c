#pragma once

#include <QTcpServer>
#include <functional>
#include <string>

namespace toucanmux {

/// Accepts connections on the control thread and passes each socket descriptor
/// to a handler, so that another thread may own the connection.
class listener : public QTcpServer {
 public:
  using accept_handler = std::function<void(qintptr)>;

  explicit listener(accept_handler on_accept)
      : on_accept_(std::move(on_accept)) {}

  /// Listens on an address.
  /// @throws settings_error if the port is in use.
  void open(const std::string& address, std::uint16_t port);

 protected:
  void incomingConnection(qintptr descriptor) override {
    on_accept_(descriptor);
  }

 private:
  accept_handler on_accept_;
};

}  // namespace toucanmux
