#pragma once

#include <list>
#include <set>
#include <string>
#include <vector>

#include "loop.h"
#include "nlohmann/json.hpp"

namespace review {

/// The platform's store and its failover call: linearizable, loses nothing.
class store {
 public:
  struct promotion {
    std::string service;
    std::string database;
    std::string holder;
    std::uint64_t token = 0;
    double at_ms = 0;
  };

  store(loop& events, const std::string& ip) : loop_(events) {
    port_ =
        loop_.listen(ip, [this](connection_ptr accepted) { accept(accepted); });
  }

  std::uint16_t port() const { return port_; }
  /// Writes an object; `spec` is JSON text, kept as it is.
  void put(const std::string& kind, const std::string& name,
           const std::string& spec) {
    objects_[kind][name] = {spec, ++revision_};
    changes_.push_back(
        {kind, revision_,
         "{\"removed\":false,\"object\":" + body(kind, name) + "}"});
    answer_watches();
  }
  void remove(const std::string& kind, const std::string& name) {
    if (objects_[kind].erase(name) == 0) return;
    ++revision_;
    changes_.push_back(
        {kind, revision_,
         "{\"removed\":true,\"object\":{\"meta\":{\"name\":\"" + name +
             "\",\"revision\":" + std::to_string(revision_) + "}}}"});
    answer_watches();
  }
  /// Called for each failover call; returns the status of the answer, or 0 to
  /// leave it unanswered.
  std::function<int(const promotion&)> on_promotion;
  /// Reads requests and answers none.
  bool silent = false;

 private:
  struct object {
    std::string spec;
    std::uint64_t revision = 0;
  };
  struct change {
    std::string kind;
    std::uint64_t revision;
    std::string body;
  };
  struct watch {
    connection_ptr to;
    std::string kind;
    std::uint64_t since;
  };

  static std::string query_value(const std::string& target,
                                 const std::string& name) {
    auto start = target.find(name + '=');
    if (start == std::string::npos) return {};
    start += name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
  }
  std::string body(const std::string& kind, const std::string& name) {
    const auto& stored = objects_[kind][name];
    return "{\"meta\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(stored.revision) +
           "},\"spec\":" + stored.spec + "}";
  }
  static void reply(connection& to, int status, const std::string& text) {
    to.output += "HTTP/1.1 " + std::to_string(status) +
                 " -\r\nStore-Era: 0\r\nContent-Type: "
                 "application/json\r\nContent-Length: " +
                 std::to_string(text.size()) + "\r\n\r\n" + text;
  }

  void accept(const connection_ptr& accepted) {
    std::weak_ptr<connection> weak = accepted;
    accepted->on_input = [this, weak] {
      if (auto from = weak.lock()) handle_input(from);
    };
  }

  void handle_input(const connection_ptr& from) {
    for (;;) {
      auto end = from->input.find("\r\n\r\n");
      if (end == std::string::npos) return;
      auto head = from->input.substr(0, end + 2);
      std::size_t length = 0;
      auto field = head.find("Content-Length: ");
      if (field != std::string::npos)
        length = std::stoul(head.substr(field + 16));
      if (from->input.size() < end + 4 + length) return;
      auto text = from->input.substr(end + 4, length);
      from->input.erase(0, end + 4 + length);
      auto method = pop_word(head);
      auto target = pop_word(head);
      serve(from, method, target, head, text);
    }
  }

  static std::string header(const std::string& head, const std::string& name) {
    auto start = head.find(name + ": ");
    if (start == std::string::npos) return {};
    start += name.size() + 2;
    return head.substr(start, head.find("\r\n", start) - start);
  }

  void serve(const connection_ptr& from, const std::string& method,
             const std::string& target, const std::string& head,
             const std::string& text) {
    using nlohmann::json;
    if (silent) return;
    if (target == "/failover") {
      auto request = json::parse(text);
      promotion call{request.at("service"), request.at("id"),
                     header(head, "Toucanmux-Lease-Holder"),
                     std::stoull(header(head, "Toucanmux-Fence-Token")),
                     now_ms()};
      int status = on_promotion ? on_promotion(call) : 200;
      if (status != 0) reply(*from, status, "{}");
      return;
    }
    auto path = target.substr(0, target.find('?'));
    path.erase(0, std::string("/objects/").size());
    auto slash = path.find('/');
    auto kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    auto& objects = objects_[kind];
    if (method == "GET" && !name.empty()) {
      if (objects.contains(name)) return reply(*from, 200, body(kind, name));
      return reply(*from, 404, "{}");
    }
    auto since = query_value(target, "watch");
    if (method == "GET" && !since.empty()) {
      watches_.push_back({from, kind, std::stoull(since)});
      auto position = std::prev(watches_.end());
      open_watches_.insert(&*position);
      auto* key = &*position;
      loop_.call_in(std::stod(query_value(target, "wait_ms")),
                    [this, key] { end_watch(key); });
      return answer_watches();
    }
    if (method == "GET") {
      std::string items;
      for (const auto& [each, stored] : objects)
        items += (items.empty() ? "" : ",") + body(kind, each);
      return reply(*from, 200,
                   "{\"items\":[" + items +
                       "],\"more\":false,\"store_revision\":" +
                       std::to_string(revision_) + "}");
    }
    if (method == "DELETE") {
      remove(kind, name);
      return reply(*from, 200, "{}");
    }
    auto request = json::parse(text);
    bool creates = method == "POST";
    if (creates) name = request["meta"]["name"];
    auto found = objects.find(name);
    bool exists = found != objects.end();
    auto revision = request["meta"].value("revision", std::uint64_t{0});
    bool conflict = creates ? exists
                            : !exists || (revision != 0 &&
                                          revision != found->second.revision);
    if (conflict) return reply(*from, 409, exists ? body(kind, name) : "{}");
    put(kind, name, request["spec"].dump());
    reply(*from, 200, body(kind, name));
  }

  void answer_watches() {
    if (silent) return;
    for (auto at = watches_.begin(); at != watches_.end();) {
      std::string events;
      for (const auto& each : changes_) {
        if (each.kind == at->kind && each.revision > at->since)
          events += (events.empty() ? "" : ",") + each.body;
      }
      if (events.empty()) {
        ++at;
        continue;
      }
      reply(*at->to, 200,
            "{\"events\":[" + events +
                "],\"store_revision\":" + std::to_string(revision_) + "}");
      open_watches_.erase(&*at);
      at = watches_.erase(at);
    }
  }

  void end_watch(watch* key) {
    if (silent || open_watches_.erase(key) == 0) return;
    for (auto at = watches_.begin(); at != watches_.end(); ++at) {
      if (&*at != key) continue;
      reply(*at->to, 200,
            "{\"events\":[],\"store_revision\":" + std::to_string(at->since) +
                "}");
      watches_.erase(at);
      return;
    }
  }

  loop& loop_;
  std::uint16_t port_ = 0;
  std::uint64_t revision_ = 10;
  std::map<std::string, std::map<std::string, object>> objects_;
  std::vector<change> changes_;
  std::list<watch> watches_;
  std::set<watch*> open_watches_;
};

}  // namespace review
