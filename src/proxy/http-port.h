#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "proxy/tcp-listener.h"
#include "proxy/tcp-stream.h"

namespace toucanmux {

/// The response to a probe.
struct probe_response {
  unsigned status = 200;
  std::string body;
};

/// A minimal HTTP server for the balancer's readiness probe and for scraping
/// metrics.
class http_port {
 public:
  using handler = std::function<probe_response(std::string_view path)>;

  /// @throws platform_error if the address can't be listened on.
  http_port(event_loop& loop, const inet_address& listen_address,
            handler respond);
  ~http_port();
  http_port(const http_port&) = delete;
  http_port(http_port&&) = delete;
  http_port& operator=(const http_port&) = delete;
  http_port& operator=(http_port&&) = delete;

 private:
  class client;

  void accept(int descriptor);

  event_loop& loop_;
  handler respond_;
  std::list<std::unique_ptr<client>> clients_;
  tcp_listener listener_;
};

}  // namespace toucanmux
