#pragma once

#include <QTimer>
#include <list>
#include <map>
#include <string>

#include "connection/http-server.h"

namespace toucanmux::standin {

/// The platform's object API in memory: versions, conditional updates, watches
/// and faults.
///
///     GET  /v1/objects/KIND/KEY       the value, its version as ETag
///     PUT  /v1/objects/KIND/KEY       If-Match: VERSION, 0 creates
///     GET  /v1/objects/KIND           all objects of a kind
///     GET  /v1/watch/KIND?since=R&wait_ms=N
///     POST /fault?mode=M&ms=N         ok, down, slow, lose_answers
///     GET  /counts
class object_store {
 public:
  object_store(const std::string& address, std::uint16_t port);

  std::uint16_t port() const { return server_.port(); }

 private:
  struct object {
    std::uint64_t version = 0;
    std::string value;
  };
  struct watcher {
    http_connection* connection = nullptr;
    std::string kind;
    std::uint64_t since = 0;
    instant deadline;
  };
  enum class fault_mode { ok, down, slow, lose_answers };

  void handle_request(http_connection& caller, http_request&& request);
  void serve(http_connection& caller, const http_request& request);
  void set_fault(http_connection& caller, const http_request& request);
  http_response read(const std::string& kind, const std::string& key);
  http_response write(const std::string& kind, const std::string& key,
                      const http_request& request);
  std::string objects_since(const std::string& kind, std::uint64_t since) const;
  bool has_newer(const std::string& kind, std::uint64_t since) const;
  void watch(http_connection& caller, const std::string& kind,
             const http_request& request);
  void answer_watchers();

  std::map<std::pair<std::string, std::string>, object> objects_;
  std::uint64_t revision_ = 0;
  std::list<watcher> watchers_;
  fault_mode fault_ = fault_mode::ok;
  int slow_ms_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t watches_ = 0;
  http_server server_;
  QTimer timer_;
};

}  // namespace toucanmux::standin
