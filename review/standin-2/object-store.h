#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "connection.h"
#include "record.h"

namespace review {

struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

struct http_response {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

/// Reads one request; nothing at the end of the connection.
std::optional<http_request> read_request(connection& from);
bool write_response(connection& to, const http_response& response);

/// A stand-in for the platform's metadata store. It answers at once, serves
/// every read from its newest state, and loses nothing.
class object_store {
 public:
  /// @param heartbeat entries of kind `servers` are removed after three of
  /// these intervals without a write.
  object_store(const std::string& ip, milliseconds heartbeat, record& log);

  const address& where() const { return server_.where(); }
  /// Writes the `spec` of an object, as the operator or a database does.
  void put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  void remove(const std::string& kind, const std::string& name);
  bool contains(const std::string& kind, const std::string& name);
  /// Called after each write of the system, with the kind, name and spec.
  using write_observer =
      std::function<void(const std::string& kind, const std::string& name,
                         const nlohmann::json& spec)>;
  void observe_writes(write_observer observer);
  /// While silent, the store reads calls and answers none; connections on which
  /// an answer is due end afterwards.
  void set_silent(bool silent) { silent_ = silent; }

 private:
  struct object {
    nlohmann::json spec;
    nlohmann::json status = nlohmann::json::object();
    nlohmann::json finalizers = nlohmann::json::array();
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    clock::time_point written_at;
  };
  struct change {
    std::string kind;
    std::uint64_t revision = 0;
    nlohmann::json event;
  };
  using kind_objects = std::map<std::string, object>;

  void serve(const connection_ptr& caller);
  void wait_while_silent() const;
  http_response handle(const http_request& request);
  http_response list(const std::string& kind, const http_request& request);
  http_response watch(const std::string& kind, const http_request& request);
  http_response read(const std::string& kind, const std::string& name);
  http_response create(const std::string& kind, const nlohmann::json& body);
  http_response replace(const std::string& kind, const std::string& name,
                        const nlohmann::json& body, bool status_only);
  http_response erase(const std::string& kind, const std::string& name,
                      const http_request& request);
  static nlohmann::json body_of(const std::string& name, const object& stored);
  void set_spec(const std::string& kind, const std::string& name,
                const nlohmann::json& spec);
  void remove_object(const std::string& kind, const std::string& name);
  void record_change(const std::string& kind, const std::string& name,
                     const object& stored, bool removed);
  void expire_entries();

  std::mutex mutex_;
  std::condition_variable changed_;
  milliseconds heartbeat_;
  record& log_;
  std::uint64_t revision_ = 10;
  std::map<std::string, kind_objects> objects_;
  std::deque<change> changes_;
  write_observer observer_;
  std::atomic<bool> silent_ = false;
  tcp_server server_;
};

}  // namespace review
