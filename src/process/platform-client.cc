#include "process/platform-client.h"

#include <QNetworkReply>
#include <charconv>

#include "process/json-fields.h"
#include "toucanmux/json-scan.h"

namespace toucanmux {

namespace {

constexpr std::chrono::seconds call_timeout{5};

QNetworkRequest make_request(const std::string& url, duration timeout) {
  QNetworkRequest request{QUrl(QString::fromStdString(url))};
  auto timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  request.setTransferTimeout(static_cast<int>(timeout_ms.count()));
  return request;
}

int status_of(QNetworkReply* reply) {
  return reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

object_read parse_read(QNetworkReply* reply, const read_object& object) {
  object_read out{object.kind, object.key, read_result::unreachable, 0, ""};
  int status = status_of(reply);
  if (status == 404) out.result = read_result::absent;
  if (status != 200) return out;
  out.result = read_result::found;
  out.version = reply->rawHeader("ETag").toULongLong();
  out.value = reply->readAll().toStdString();
  return out;
}

object_written parse_written(QNetworkReply* reply, const write_object& object) {
  object_written out{object.kind, object.key, write_result::unknown, 0};
  int status = status_of(reply);
  if (status == 412) out.result = write_result::conflict;
  if (status != 200) return out;
  out.result = write_result::written;
  out.version = reply->rawHeader("ETag").toULongLong();
  return out;
}

}  // namespace

// The objects are parsed one by one, since other programs write some of them.
object_batch parse_object_batch(std::string_view body) {
  object_batch out;
  auto members = json_scan::split_object(body);
  if (!members) return out;
  out.reached = true;
  for (const auto& [name, value] : *members) {
    if (name == "revision") {
      std::from_chars(value.data(), value.data() + value.size(), out.revision);
    }
    if (name != "objects") continue;
    auto elements = json_scan::split_array(value);
    if (!elements) return {};
    for (auto element : *elements) {
      json_fields object(element);
      if (object.text("key").empty()) {
        ++out.skipped;
        continue;
      }
      out.objects.push_back({object.text("kind"), object.text("key"),
                             read_result::found, object.number("version"),
                             object.text("value")});
    }
  }
  return out;
}

platform_client::platform_client(const endpoint& platform)
    : base_url_("http://" + platform.address + ":" +
                std::to_string(platform.port) + "/v1/") {}

QNetworkReply* platform_client::get(const std::string& path, duration timeout) {
  ++calls_;
  return network_.get(make_request(base_url_ + path, timeout));
}

void platform_client::read(const read_object& object, read_handler done) {
  auto* reply = get("objects/" + object.kind + "/" + object.key, call_timeout);
  QObject::connect(reply, &QNetworkReply::finished,
                   [reply, object, done = std::move(done)] {
                     reply->deleteLater();
                     done(parse_read(reply, object));
                   });
}

void platform_client::write(const write_object& object, write_handler done) {
  ++calls_;
  auto request = make_request(
      base_url_ + "objects/" + object.kind + "/" + object.key, call_timeout);
  request.setRawHeader("If-Match",
                       QByteArray::number(qulonglong{object.if_version}));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  auto* reply = network_.put(request, QByteArray::fromStdString(object.value));
  QObject::connect(reply, &QNetworkReply::finished,
                   [reply, object, done = std::move(done)] {
                     reply->deleteLater();
                     done(parse_written(reply, object));
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
        if (status_of(reply) != 200) return done({});
        auto body = reply->readAll();
        done(parse_object_batch(
            {body.constData(), static_cast<std::size_t>(body.size())}));
      });
}

}  // namespace toucanmux
