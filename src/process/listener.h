#pragma once

#include <QTcpServer>
#include <functional>
#include <string>

namespace toucanmux {

/// Accepts on the control thread and hands each socket's descriptor on, so
/// that another thread may own the connection.
class listener : public QTcpServer {
 public:
  using accept_handler = std::function<void(qintptr)>;

  explicit listener(accept_handler take) : on_accept_(std::move(take)) {}

  /// @throws settings_error if the port is taken.
  void open(const std::string& address, std::uint16_t port);

 protected:
  void incomingConnection(qintptr descriptor) override {
    on_accept_(descriptor);
  }

 private:
  accept_handler on_accept_;
};

}  // namespace toucanmux
