#include "standin/object-store.h"

#include <nlohmann/json.hpp>

#include "process/clock.h"

namespace toucanmux::standin {

namespace {

constexpr std::chrono::milliseconds watch_check_interval{20};
constexpr std::size_t value_limit_bytes = 1U << 20U;

std::uint64_t number(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

http_response make_response(unsigned status, std::string body) {
  http_response out;
  out.status = status;
  out.body = std::move(body);
  return out;
}

std::string key_of(std::string_view path, std::string_view kind) {
  auto start = path.find(kind) + kind.size() + 1;
  return start < path.size() ? std::string(path.substr(start)) : "";
}

}  // namespace

object_store::object_store(const std::string& address, std::uint16_t port)
    : server_(
          http_limits{.body_bytes = value_limit_bytes},
          [this](http_connection& caller, http_request&& request) {
            handle_request(caller, std::move(request));
          },
          [this](auto& closed) {
            watchers_.remove_if(
                [&](const auto& each) { return each.connection == &closed; });
          }) {
  server_.listen(address, port);
  QObject::connect(&timer_, &QTimer::timeout, [this] { answer_watchers(); });
  timer_.start(watch_check_interval);
}

void object_store::handle_request(http_connection& caller,
                                  http_request&& request) {
  if (request.path() == "/fault") return set_fault(caller, request);
  if (fault_ == fault_mode::down) {
    auto response = make_response(503, "{}");
    response.close = true;
    return caller.respond(std::move(response));
  }
  if (fault_ != fault_mode::slow) return serve(caller, request);
  // `caller` remains valid: a connection is served one request at a time.
  QTimer::singleShot(slow_ms_, &timer_,
                     [this, &caller, request = std::move(request)] {
                       serve(caller, request);
                     });
}

void object_store::serve(http_connection& caller, const http_request& request) {
  auto parts = split_path(request.path());
  if (request.path() == "/counts") {
    nlohmann::json counts{{"reads", reads_},
                          {"writes", writes_},
                          {"watches", watches_},
                          {"waiting", watchers_.size()},
                          {"revision", revision_}};
    return caller.respond(make_response(200, counts.dump()));
  }
  if (parts.size() < 3 || parts[0] != "v1") {
    return caller.respond(make_response(404, "{}"));
  }
  std::string kind(parts[2]);
  std::string key = key_of(request.path(), kind);
  if (parts[1] == "watch") return watch(caller, kind, request);
  if (request.method == "PUT") {
    auto response = write(kind, key, request);
    if (fault_ == fault_mode::lose_answers) response = make_response(504, "{}");
    return caller.respond(std::move(response));
  }
  ++reads_;
  if (key.empty()) {
    return caller.respond(make_response(200, objects_since(kind, 0)));
  }
  caller.respond(read(kind, key));
}

void object_store::set_fault(http_connection& caller,
                             const http_request& request) {
  auto mode = request.query("mode");
  fault_ = mode == "down"           ? fault_mode::down
           : mode == "slow"         ? fault_mode::slow
           : mode == "lose_answers" ? fault_mode::lose_answers
                                    : fault_mode::ok;
  slow_ms_ = static_cast<int>(number(request.query("ms")));
  if (fault_ == fault_mode::down) {
    for (auto& each : watchers_) {
      each.connection->respond(make_response(503, "{}"));
    }
    watchers_.clear();
  }
  caller.respond(make_response(200, "{}"));
}

http_response object_store::read(const std::string& kind,
                                 const std::string& key) {
  auto it = objects_.find({kind, key});
  if (it == objects_.end()) return make_response(404, "{}");
  auto response = make_response(200, it->second.value);
  response.headers.emplace_back("ETag", std::to_string(it->second.version));
  return response;
}

http_response object_store::write(const std::string& kind,
                                  const std::string& key,
                                  const http_request& request) {
  ++writes_;
  auto it = objects_.find({kind, key});
  std::uint64_t current_version = it == objects_.end() ? 0 : it->second.version;
  if (number(request.header("If-Match")) != current_version) {
    return make_response(412, "{}");
  }
  objects_[{kind, key}] = {++revision_, request.body};
  auto response = make_response(200, "{}");
  response.headers.emplace_back("ETag", std::to_string(revision_));
  answer_watchers();
  return response;
}

std::string object_store::objects_since(const std::string& kind,
                                        std::uint64_t since) const {
  nlohmann::json out{{"revision", revision_},
                     {"objects", nlohmann::json::array()}};
  for (const auto& [id, value] : objects_) {
    if (id.first != kind || value.version <= since) continue;
    out["objects"].push_back({{"kind", id.first},
                              {"key", id.second},
                              {"version", value.version},
                              {"value", value.value}});
  }
  return out.dump();
}

bool object_store::has_newer(const std::string& kind,
                             std::uint64_t since) const {
  for (const auto& [id, value] : objects_) {
    if (id.first == kind && value.version > since) return true;
  }
  return false;
}

void object_store::watch(http_connection& caller, const std::string& kind,
                         const http_request& request) {
  ++watches_;
  std::chrono::milliseconds wait(number(request.query("wait_ms")));
  watchers_.push_back(
      {&caller, kind, number(request.query("since")), now() + wait});
  answer_watchers();
}

void object_store::answer_watchers() {
  auto current_time = now();
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    if (current_time < it->deadline && !has_newer(it->kind, it->since)) {
      ++it;
      continue;
    }
    auto body = objects_since(it->kind, it->since);
    auto* caller = it->connection;
    it = watchers_.erase(it);
    caller->respond(make_response(200, std::move(body)));
  }
}

}  // namespace toucanmux::standin
