#include "process/listener.h"

#include <QHostAddress>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

constexpr int backlog = 1024;

}  // namespace

void listener::open(const std::string& address, std::uint16_t port) {
  setListenBacklogSize(backlog);
  if (listen(QHostAddress(QString::fromStdString(address)), port)) return;
  throw settings_error(address + ":" + std::to_string(port) + ": " +
                       errorString().toStdString() + ": choose a free port");
}

}  // namespace toucanmux
