#include "process/admin-server.h"

#include <prometheus/text_serializer.h>

#include "process/timeline.h"

namespace toucanmux {

admin_server::admin_server(const std::string& address, std::uint16_t port,
                           std::shared_ptr<prometheus::Registry> metrics)
    : metrics_(std::move(metrics)),
      server_(http_limits{},
              [this](http_connection& caller, http_request&& request) {
                handle_request(caller, std::move(request));
              }) {
  on("/metrics", [this](const auto&) {
    if (update_metrics_) update_metrics_();
    return metrics_page();
  });
  on("/timeline", [](const auto&) {
    http_response out;
    out.type = "text/plain";
    out.body = process_timeline().text();
    return out;
  });
  server_.listen(address, port);
}

void admin_server::on(const std::string& path, page serve) {
  pages_[path] = std::move(serve);
}

void admin_server::handle_request(http_connection& caller,
                                  http_request&& request) {
  auto it = pages_.find(std::string(request.path()));
  if (it != pages_.end()) return caller.respond(it->second(request));
  http_response out;
  out.status = 404;
  out.body = R"({"error":"no such page"})";
  caller.respond(std::move(out));
}

http_response admin_server::metrics_page() const {
  http_response out;
  out.type = "text/plain; version=0.0.4";
  out.body = prometheus::TextSerializer().Serialize(metrics_->Collect());
  return out;
}

}  // namespace toucanmux
