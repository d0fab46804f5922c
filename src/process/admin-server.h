#pragma once

#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "connection/http-server.h"

namespace toucanmux {

/// HTTP server on the admin port of a process: `/healthz`, `/metrics`,
/// `/timeline`, `/status` and, if the settings allow them, test controls. Lives
/// on the control thread.
class admin_server {
 public:
  using page = std::function<http_response(const http_request&)>;

  admin_server(const std::string& address, std::uint16_t port,
               std::shared_ptr<prometheus::Registry> metrics);

  /// Sets the page that answers requests for a path.
  void on(const std::string& path, page serve);
  /// Sets a function that is called before each answer to `/metrics`.
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
