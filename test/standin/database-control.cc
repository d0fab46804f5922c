#include "standin/database-control.h"

#include <QTcpSocket>
#include <QUrl>
#include <QUrlQuery>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <sstream>

#include "standin/database-cluster.h"

namespace toucanmux::standin {

namespace http = boost::beast::http;

namespace {

using parser = http::request_parser<http::string_body>;

std::unique_ptr<parser> make_parser() {
  auto out = std::make_unique<parser>();
  out->eager(true);
  return out;
}

}  // namespace

database_control::database_control(database_cluster& cluster,
                                   std::uint16_t port)
    : cluster_(cluster) {
  if (!listener_.listen(QHostAddress::LocalHost, port)) {
    throw error("can't listen on control port " + std::to_string(port) + ": " +
                listener_.errorString().toStdString());
  }
  QObject::connect(&listener_, &QTcpServer::newConnection, &listener_, [this] {
    while (auto* socket = listener_.nextPendingConnection()) serve(socket);
  });
}

void database_control::serve(QTcpSocket* socket) {
  QObject::connect(socket, &QTcpSocket::disconnected, socket,
                   &QObject::deleteLater);
  auto request = std::make_shared<std::unique_ptr<parser>>(make_parser());
  auto input = std::make_shared<QByteArray>();
  QObject::connect(socket, &QTcpSocket::readyRead, socket, [=, this] {
    *input += socket->readAll();
    while (!input->isEmpty()) {
      boost::system::error_code parse_error;
      auto parsed_bytes = (*request)->put(
          boost::asio::buffer(input->constData(),
                              static_cast<std::size_t>(input->size())),
          parse_error);
      input->remove(0, static_cast<qsizetype>(parsed_bytes));
      if (parse_error == http::error::need_more) return;
      if (parse_error) return socket->disconnectFromHost();
      if (!(*request)->is_done()) continue;
      const auto& message = (*request)->get();
      auto method = message.method_string();
      auto out = answer({method.data(), method.size()},
                        {message.target().data(), message.target().size()},
                        message.body());
      socket->write(out.data(), static_cast<qint64>(out.size()));
      *request = make_parser();
    }
  });
}

std::string database_control::answer(std::string_view method,
                                     const std::string& target,
                                     const std::string& body) {
  http::response<http::string_body> out(http::status::ok, 11);
  QUrl url(QString::fromStdString(target));
  QUrlQuery query(url);
  auto query_value = [&](const char* name) {
    return query.queryItemValue(name, QUrl::FullyDecoded).toStdString();
  };
  try {
    if (method == "POST" && url.path() == "/fault") {
      cluster_.inject_fault(nlohmann::json::parse(body));
      out.body() = "{}";
    } else if (method == "GET" && url.path() == "/state") {
      out.body() = cluster_.state().dump();
    } else if (method == "GET" && url.path() == "/dump") {
      out.body() =
          cluster_.dump(query_value("database"), query_value("sql")).dump();
    } else {
      out.result(http::status::not_found);
    }
  } catch (const std::exception& e) {
    out.result(http::status::bad_request);
    out.body() = nlohmann::json{{"error", e.what()}}.dump();
  }
  out.set(http::field::content_type, "application/json");
  out.prepare_payload();
  std::ostringstream stream;
  stream << out;
  return stream.str();
}

}  // namespace toucanmux::standin
