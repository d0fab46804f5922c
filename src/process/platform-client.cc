#include "process/platform-client.h"

#include <QNetworkReply>
#include <nlohmann/json.hpp>

namespace toucanmux {

namespace {

constexpr std::chrono::seconds call_timeout{5};

QNetworkRequest make_request(const std::string& url, duration time_limit) {
  QNetworkRequest request{QUrl(QString::fromStdString(url))};
  auto limit =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_limit);
  request.setTransferTimeout(static_cast<int>(limit.count()));
  return request;
}

int status_of(QNetworkReply* reply) {
  return reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

object_batch parse_batch(const QByteArray& body) {
  object_batch out;
  auto json = nlohmann::json::parse(body.begin(), body.end(), nullptr, false);
  if (!json.is_object()) return out;
  out.reached = true;
  out.revision = json.value("revision", std::uint64_t{0});
  for (const auto& item : json.value("objects", nlohmann::json::array())) {
    out.objects.push_back(
        {item.value("kind", ""), item.value("key", ""), read_result::found,
         item.value("version", std::uint64_t{0}), item.value("value", "")});
  }
  return out;
}

object_read parse_read(QNetworkReply* reply, const read_object& what) {
  object_read out{what.kind, what.key, read_result::unreachable, 0, ""};
  int status = status_of(reply);
  if (status == 404) out.result = read_result::absent;
  if (status != 200) return out;
  out.result = read_result::found;
  out.version = reply->rawHeader("ETag").toULongLong();
  out.value = reply->readAll().toStdString();
  return out;
}

object_written parse_written(QNetworkReply* reply, const write_object& what) {
  object_written out{what.kind, what.key, write_result::unknown, 0};
  int status = status_of(reply);
  if (status == 412) out.result = write_result::conflict;
  if (status != 200) return out;
  out.result = write_result::written;
  out.version = reply->rawHeader("ETag").toULongLong();
  return out;
}

}  // namespace

platform_client::platform_client(const endpoint& platform)
    : base_url_("http://" + platform.address + ":" +
                std::to_string(platform.port) + "/v1/") {}

QNetworkReply* platform_client::get(const std::string& path,
                                    duration time_limit) {
  ++calls_;
  return network_.get(make_request(base_url_ + path, time_limit));
}

void platform_client::read(const read_object& what, read_handler done) {
  auto* reply = get("objects/" + what.kind + "/" + what.key, call_timeout);
  QObject::connect(reply, &QNetworkReply::finished,
                   [reply, what, done = std::move(done)] {
                     reply->deleteLater();
                     done(parse_read(reply, what));
                   });
}

void platform_client::write(const write_object& what, write_handler done) {
  ++calls_;
  auto request = make_request(
      base_url_ + "objects/" + what.kind + "/" + what.key, call_timeout);
  request.setRawHeader("If-Match",
                       QByteArray::number(qulonglong{what.if_version}));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  auto* reply = network_.put(request, QByteArray::fromStdString(what.value));
  QObject::connect(reply, &QNetworkReply::finished,
                   [reply, what, done = std::move(done)] {
                     reply->deleteLater();
                     done(parse_written(reply, what));
                   });
}

void platform_client::list(std::string_view kind, batch_handler done) {
  read_batch(get("objects/" + std::string(kind), call_timeout),
             std::move(done));
}

void platform_client::watch(std::string_view kind, std::uint64_t since,
                            duration wait, batch_handler done) {
  auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  auto path = "watch/" + std::string(kind) + "?since=" + std::to_string(since) +
              "&wait_ms=" + std::to_string(wait_ms.count());
  read_batch(get(path, wait + call_timeout), std::move(done));
}

void platform_client::read_batch(QNetworkReply* reply, batch_handler done) {
  QObject::connect(
      reply, &QNetworkReply::finished, [reply, done = std::move(done)] {
        reply->deleteLater();
        done(status_of(reply) == 200 ? parse_batch(reply->readAll())
                                     : object_batch{});
      });
}

}  // namespace toucanmux
