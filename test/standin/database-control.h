#pragma once

#include <QTcpServer>
#include <string>

class QTcpSocket;

namespace toucanmux::standin {

class database_cluster;

/// The HTTP control port: `POST /fault` with JSON, `GET /state`, and `GET
/// /dump?database=ID&sql=TEXT` for the data that a database shows.
class database_control {
 public:
  /// @throws error if the port can't be bound.
  database_control(database_cluster& cluster, std::uint16_t port);

 private:
  void serve(QTcpSocket* socket);
  std::string answer(std::string_view method, const std::string& target,
                     const std::string& body);

  database_cluster& cluster_;
  QTcpServer listener_;
};

}  // namespace toucanmux::standin
