#include "standin/proxy/platform-stub.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include "proxy/erase-deferred.h"
#include "standin/process-address.h"

namespace toucanmux::standin {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;

std::string query_value(const std::string& target, const std::string& name) {
  auto start = target.find(name + '=');
  if (start == std::string::npos) return {};
  start += name.size() + 1;
  return target.substr(start, target.find('&', start) - start);
}

// Objects are listed as they were written, also those that no parser accepts.
void append_item(std::string& list, const std::string& item) {
  if (!list.empty()) list += ',';
  list += item;
}

}  // namespace

class platform_stub::session final : public stream_owner {
 public:
  session(platform_stub& platform, int descriptor)
      : platform_(platform),
        stream_(platform.loop_, *this),
        watch_timer_([this] { end_watch(); }) {
    stream_.adopt(descriptor);
  }

  void on_input() override {
    std::string& input = stream_.input();
    while (!input.empty() && !stream_.closed()) {
      http::request_parser<http::string_body> parser;
      parser.eager(true);
      boost::system::error_code parse_error;
      auto parsed_bytes = parser.put(boost::asio::buffer(input), parse_error);
      if (!parser.is_done()) return;
      input.erase(0, parsed_bytes);
      ++platform_.calls_;
      if (platform_.silent) return;
      auto target = parser.get().target();
      auto token = parser.get()["Toucanmux-Fence-Token"];
      if (target == "/failover")
        platform_.failover_tokens_.push_back(std::stoull(std::string(token)));
      serve(std::string(parser.get().method_string()),
            std::string(target.data(), target.size()), parser.get().body());
    }
  }
  void on_closed() override {
    watch_timer_.disarm();
    erase_deferred(platform_.loop_, platform_.sessions_, *this);
  }

  /// Answers the pending watch if the watched kind has changed, or if the
  /// watch's revision is no longer kept.
  void answer_watch() {
    if (watched_kind_.empty()) return;
    bool unknown =
        since_ < platform_.oldest_watchable_ || since_ > platform_.revision_;
    if (unknown) return finish_watch(410, "{}");
    std::string events;
    for (const auto& change : platform_.changes_) {
      if (change.kind != watched_kind_ || change.revision <= since_) continue;
      append_item(events, change.body);
    }
    if (events.empty()) return;
    finish_watch(200, "{\"events\":[" + events + "],\"store_revision\":" +
                          std::to_string(platform_.revision_) + "}");
  }

 private:
  void serve(const std::string& method, const std::string& target,
             const std::string& body) {
    if (target == "/failover") {
      platform_.failovers_.push_back(body);
      return reply(200, "{}");
    }
    auto path = target.substr(0, target.find('?'));
    path.erase(0, std::string("/objects/").size());
    auto slash = path.find('/');
    auto kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    bool stale =
        platform_.stale_objects_ && !query_value(target, "allow_stale").empty();
    if (method == "GET" && name.empty()) return list(kind, target, stale);
    if (method == "GET") return read(kind, name, stale);
    ++platform_.writes_;
    write(kind, name, json::parse(body));
  }

  void list(const std::string& kind, const std::string& target, bool stale) {
    auto since = query_value(target, "watch");
    if (!since.empty()) {
      watched_kind_ = kind;
      ++platform_.watches_;
      since_ = std::stoull(since);
      auto wait = std::stoll(query_value(target, "wait_ms"));
      platform_.loop_.arm_in(watch_timer_, std::chrono::milliseconds(wait));
      return answer_watch();
    }
    std::string items;
    for (const auto& [name, object] : objects_of(stale)[kind]) {
      append_item(items, platform_.body_of(name, object));
    }
    auto revision = stale ? platform_.stale_revision_ : platform_.revision_;
    reply(200, "{\"items\":[" + items + "],\"more\":false," +
                   "\"store_revision\":" + std::to_string(revision) + "}");
  }

  state& objects_of(bool stale) {
    return stale ? *platform_.stale_objects_ : platform_.objects_;
  }

  void read(const std::string& kind, const std::string& name, bool stale) {
    auto& objects = objects_of(stale)[kind];
    auto found = objects.find(name);
    if (found == objects.end()) return reply(404, "{}");
    reply(200, platform_.body_of(name, found->second));
  }

  void write(const std::string& kind, std::string name, const json& body) {
    bool creates = name.empty();
    if (creates) name = body["meta"]["name"];
    auto& objects = platform_.objects_[kind];
    auto found = objects.find(name);
    bool exists = found != objects.end();
    auto revision = body["meta"].value("revision", std::uint64_t{0});
    bool conflict = creates ? exists
                            : !exists || (revision != 0 &&
                                          revision != found->second.revision);
    if (conflict) {
      return reply(409, exists ? platform_.body_of(name, found->second) : "{}");
    }
    platform_.put(kind, name, body["spec"].dump());
    reply(200, platform_.body_of(name, objects[name]));
  }

  void finish_watch(unsigned status, const std::string& body) {
    watch_timer_.disarm();
    watched_kind_.clear();
    reply(status, body);
  }
  void end_watch() {
    finish_watch(
        200,
        json{{"events", json::array()}, {"store_revision", since_}}.dump());
  }

  void reply(unsigned status, const std::string& body) {
    stream_.send("HTTP/1.1 " + std::to_string(status) +
                 " -\r\nStore-Era: " + std::to_string(platform_.era_) +
                 "\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
  }

  platform_stub& platform_;
  tcp_stream stream_;
  timer watch_timer_;
  std::string watched_kind_;
  std::uint64_t since_ = 0;
};

platform_stub::platform_stub(event_loop& loop)
    : loop_(loop), listener_(loop, {process_ip(), 0}, [this](int descriptor) {
        sessions_.push_back(std::make_unique<session>(*this, descriptor));
      }) {
  // Instances have used the store before.
  put("toucanmux-duties-1", "base", R"({"settled":true,"groups":[]})");
}

platform_stub::~platform_stub() = default;

std::string platform_stub::body_of(const std::string& name,
                                   const object& stored) const {
  return "{\"meta\":{\"name\":\"" + name +
         "\",\"revision\":" + std::to_string(stored.revision) +
         "},\"spec\":" + stored.spec + "}";
}

void platform_stub::put(const std::string& kind, const std::string& name,
                        const std::string& spec) {
  auto& written = objects_[kind][name];
  written.spec = spec;
  written.revision = ++revision_;
  record_change(kind, name, false);
}

void platform_stub::remove(const std::string& kind, const std::string& name) {
  objects_[kind].erase(name);
  ++revision_;
  record_change(kind, name, true);
}

std::string platform_stub::spec(const std::string& kind,
                                const std::string& name) const {
  return objects_.at(kind).at(name).spec;
}

void platform_stub::record_change(const std::string& kind,
                                  const std::string& name, bool removed) {
  object stored = removed ? object{"null", revision_} : objects_[kind][name];
  changes_.push_back({kind, name,
                      std::string("{\"removed\":") +
                          (removed ? "true" : "false") +
                          ",\"object\":" + body_of(name, stored) + "}",
                      revision_});
  for (auto& each : sessions_) each->answer_watch();
}

void platform_stub::restore_copy() {
  objects_ = saved_objects_;
  revision_ = saved_revision_;
  ++era_;
  std::erase_if(changes_, [this](const change& each) {
    return each.revision > revision_;
  });
  for (auto& each : sessions_) each->answer_watch();
}

void platform_stub::discard_history() {
  oldest_watchable_ = ++revision_;
  changes_.clear();
  for (auto& each : sessions_) each->answer_watch();
}

}  // namespace toucanmux::standin
