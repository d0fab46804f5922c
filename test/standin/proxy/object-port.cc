#include "standin/proxy/object-port.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include "proxy/let-go.h"
#include "standin/proxy/loopback.h"

namespace toucanmux::standin {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;

std::string query_value(const std::string& target, const std::string& name) {
  auto at = target.find(name + '=');
  if (at == std::string::npos) return {};
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

}  // namespace

class platform_stub::session final : public stream_owner {
 public:
  session(platform_stub& port, int descriptor)
      : port_(port),
        stream_(port.loop_, *this),
        wait_([this] { end_watch(); }) {
    stream_.adopt(descriptor);
  }

  void on_input() override {
    std::string& input = stream_.input();
    while (!input.empty() && !stream_.closed()) {
      http::request_parser<http::string_body> parser;
      parser.eager(true);
      boost::system::error_code failed;
      auto used = parser.put(boost::asio::buffer(input), failed);
      if (!parser.is_done()) return;
      input.erase(0, used);
      ++port_.calls_;
      if (port_.silent) return;
      auto target = parser.get().target();
      serve(std::string(parser.get().method_string()),
            std::string(target.data(), target.size()), parser.get().body());
    }
  }
  void on_closed() override {
    wait_.disarm();
    let_go(port_.loop_, port_.sessions_, *this);
  }

  /// Answers a watch that waits, if there is news for it.
  void look() {
    if (watched_.empty()) return;
    if (since_ < port_.oldest_) return finish_watch(410, "{}");
    json events = json::array();
    for (const auto& change : port_.changes_) {
      if (change.kind != watched_ || change.revision <= since_) continue;
      events.push_back(json::parse(change.body));
    }
    if (events.empty()) return;
    finish_watch(
        200,
        json{{"events", events}, {"store_revision", port_.revision_}}.dump());
  }

 private:
  void serve(const std::string& method, const std::string& target,
             const std::string& body) {
    if (target == "/failover") {
      port_.failovers_.push_back(body);
      return reply(200, "{}");
    }
    auto path = target.substr(0, target.find('?'));
    path.erase(0, std::string("/objects/").size());
    auto slash = path.find('/');
    auto kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    bool old = port_.old_kinds_ && !query_value(target, "allow_stale").empty();
    if (method == "GET" && name.empty()) return list(kind, target, old);
    if (method == "GET") return read(kind, name, old);
    ++port_.writes_;
    write(kind, name, json::parse(body));
  }

  void list(const std::string& kind, const std::string& target, bool old) {
    auto since = query_value(target, "watch");
    if (!since.empty()) {
      watched_ = kind;
      ++port_.watches_;
      since_ = std::stoull(since);
      auto wait = std::stoll(query_value(target, "wait_ms"));
      port_.loop_.arm_in(wait_, std::chrono::milliseconds(wait));
      return look();
    }
    json items = json::array();
    for (const auto& [name, object] : state_of(old)[kind]) {
      items.push_back(json::parse(port_.body_of(name, object)));
    }
    reply(200,
          json{{"items", items},
               {"more", false},
               {"store_revision", old ? port_.old_revision_ : port_.revision_}}
              .dump());
  }

  state& state_of(bool old) { return old ? *port_.old_kinds_ : port_.kinds_; }

  void read(const std::string& kind, const std::string& name, bool old) {
    auto& all = state_of(old)[kind];
    auto at = all.find(name);
    if (at == all.end()) return reply(404, "{}");
    reply(200, port_.body_of(name, at->second));
  }

  void write(const std::string& kind, std::string name, const json& body) {
    bool creates = name.empty();
    if (creates) name = body["meta"]["name"];
    auto& all = port_.kinds_[kind];
    auto at = all.find(name);
    bool exists = at != all.end();
    auto revision = body["meta"].value("revision", std::uint64_t{0});
    bool conflict =
        creates ? exists
                : !exists || (revision != 0 && revision != at->second.revision);
    if (conflict) {
      return reply(409, exists ? port_.body_of(name, at->second) : "{}");
    }
    port_.put(kind, name, body["spec"].dump());
    reply(200, port_.body_of(name, all[name]));
  }

  void finish_watch(unsigned status, const std::string& body) {
    wait_.disarm();
    watched_.clear();
    reply(status, body);
  }
  void end_watch() {
    finish_watch(
        200,
        json{{"events", json::array()}, {"store_revision", since_}}.dump());
  }

  void reply(unsigned status, const std::string& body) {
    stream_.send("HTTP/1.1 " + std::to_string(status) +
                 " -\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
  }

  platform_stub& port_;
  tcp_stream stream_;
  timer wait_;
  std::string watched_;
  std::uint64_t since_ = 0;
};

platform_stub::platform_stub(event_loop& loop)
    : loop_(loop), listener_(loop, {loopback, 0}, [this](int descriptor) {
        sessions_.push_back(std::make_unique<session>(*this, descriptor));
      }) {}

platform_stub::~platform_stub() = default;

std::string platform_stub::body_of(const std::string& name,
                                 const object& what) const {
  return "{\"meta\":{\"name\":\"" + name +
         "\",\"revision\":" + std::to_string(what.revision) +
         "},\"spec\":" + what.spec + "}";
}

void platform_stub::put(const std::string& kind, const std::string& name,
                      const std::string& spec) {
  auto& written = kinds_[kind][name];
  written.spec = spec;
  written.revision = ++revision_;
  note(kind, name, false);
}

void platform_stub::remove(const std::string& kind, const std::string& name) {
  kinds_[kind].erase(name);
  ++revision_;
  note(kind, name, true);
}

std::string platform_stub::spec(const std::string& kind,
                              const std::string& name) const {
  return kinds_.at(kind).at(name).spec;
}

void platform_stub::note(const std::string& kind, const std::string& name,
                       bool removed) {
  object what = removed ? object{"null", revision_} : kinds_[kind][name];
  changes_.push_back({kind, name,
                      std::string("{\"removed\":") +
                          (removed ? "true" : "false") +
                          ",\"object\":" + body_of(name, what) + "}",
                      revision_});
  for (auto& open : sessions_) open->look();
}

void platform_stub::discard_history() {
  oldest_ = ++revision_;
  changes_.clear();
  for (auto& open : sessions_) open->look();
}

}  // namespace toucanmux::standin
