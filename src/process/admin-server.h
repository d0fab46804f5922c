#pragma once

#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "connection/http-server.h"

namespace toucanmux {

/// The operators' HTTP port of a process: `/healthz`, `/metrics`, `/timeline`,
/// `/status` and, if the settings allow it, test controls. Lives on the
/// control thread.
class admin_server {
 public:
  using page = std::function<http_response(const http_request&)>;

  admin_server(const std::string& address, std::uint16_t port,
               std::shared_ptr<prometheus::Registry> metrics);

  /// Serves a path.
  void on(const std::string& path, page serve);
  /// Called before metrics are shown.
  void before_metrics(std::function<void()> update) {
    update_metrics_ = std::move(update);
  }
  std::uint16_t port() const { return server_.port(); }

 private:
  void handle_request(http_connection& caller, http_request&& request);
  http_response metrics_page() const;

  std::shared_ptr<prometheus::Registry> metrics_;
  std::map<std::string, page> pages_;
  std::function<void()> update_metrics_;
  http_server server_;
};

}  // namespace toucanmux
