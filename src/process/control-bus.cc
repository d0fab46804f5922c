#include "process/control-bus.h"

#include <QNetworkDatagram>

#include "process/clock.h"
#include "process/log.h"
#include "toucanmux/error.h"

namespace toucanmux {

control_bus::control_bus(member self) : self_(std::move(self)) {
  QHostAddress address(QString::fromStdString(self_.address));
  if (!socket_.bind(address, self_.control_port)) {
    throw settings_error("control port " + std::to_string(self_.control_port) +
                         ": " + socket_.errorString().toStdString() +
                         ": choose a free port");
  }
  QObject::connect(&socket_, &QUdpSocket::readyRead,
                   [this] { receive_datagrams(); });
}

void control_bus::on(control_part part, handler handle) {
  handlers_[part] = std::move(handle);
}

void control_bus::send(const endpoint& to, control_part part,
                       std::string payload) {
  if (blocked_peers_.contains(to)) return;
  datagram message{part, self_.id, self_.incarnation, process_clock().tick(),
                   std::move(payload)};
  std::string bytes = pack(message);
  sent_bytes_ += bytes.size();
  socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                        QHostAddress(QString::fromStdString(to.address)),
                        to.port);
}

void control_bus::set_blocked_peers(std::set<endpoint> peers) {
  blocked_peers_ = std::move(peers);
}

void control_bus::receive_datagrams() {
  while (socket_.hasPendingDatagrams()) {
    auto received = socket_.receiveDatagram();
    auto data = received.data();
    endpoint from{received.senderAddress().toString().toStdString(),
                  static_cast<std::uint16_t>(received.senderPort())};
    handle_datagram({data.constData(), static_cast<std::size_t>(data.size())},
                    from);
  }
}

void control_bus::handle_datagram(std::span<const char> bytes,
                                  const endpoint& from) {
  if (blocked_peers_.contains(from)) return;
  try {
    auto message = unpack_datagram(bytes);
    process_clock().update(message.clock);
    auto it = handlers_.find(message.part);
    if (it != handlers_.end()) {
      it->second(message.from, message.incarnation, message.payload);
    }
  } catch (const error& e) {
    ++dropped_datagrams_;
    log_debug(log_part::members,
              std::string("Dropped an invalid datagram: ") + e.what());
  }
}

}  // namespace toucanmux
