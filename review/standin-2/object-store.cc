#include "object-store.h"

#include <algorithm>
#include <cctype>
#include <thread>

namespace review {

namespace {

using nlohmann::json;

constexpr std::size_t page_size = 500;

std::string percent_decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      out += text[i];
      continue;
    }
    auto code = std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16);
    out += static_cast<char>(code);
    i += 2;
  }
  return out;
}

void parse_target(const std::string& target, http_request& out) {
  auto mark = target.find('?');
  out.path = target.substr(0, mark);
  if (mark == std::string::npos) return;
  auto rest = target.substr(mark + 1);
  while (!rest.empty()) {
    auto end = rest.find('&');
    auto item = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    auto equals = item.find('=');
    if (equals == std::string::npos) continue;
    out.query[item.substr(0, equals)] =
        percent_decoded(item.substr(equals + 1));
  }
}

std::uint64_t number_in(const http_request& request, const std::string& name) {
  auto found = request.query.find(name);
  return found != request.query.end() ? std::stoull(found->second) : 0;
}

std::uint64_t revision_in(const json& body) {
  if (!body.contains("meta")) return 0;
  return body["meta"].value("revision", std::uint64_t{0});
}

json without_sequence(json spec) {
  if (spec.is_object()) spec.erase("seq");
  return spec;
}

}  // namespace

std::optional<http_request> read_request(connection& from) {
  auto first = from.read_line();
  if (!first) return {};
  http_request out;
  auto space = first->find(' ');
  auto end = first->rfind(' ');
  if (space == std::string::npos || end <= space) return {};
  out.method = first->substr(0, space);
  parse_target(first->substr(space + 1, end - space - 1), out);
  for (;;) {
    auto line = from.read_line();
    if (!line) return {};
    if (line->empty()) break;
    auto colon = line->find(':');
    if (colon == std::string::npos) continue;
    auto name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    auto value = line->substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    out.headers[name] = value;
  }
  auto length = out.headers.find("content-length");
  if (length == out.headers.end()) return out;
  auto body = from.read_bytes(std::stoul(length->second));
  if (!body) return {};
  out.body = std::move(*body);
  return out;
}

bool write_response(connection& to, const http_response& response) {
  auto body = response.body.dump();
  return to.write("HTTP/1.1 " + std::to_string(response.status) +
                  " -\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

object_store::object_store(const std::string& ip, milliseconds heartbeat,
                           record& log)
    : heartbeat_(heartbeat),
      log_(log),
      server_(ip, [this](const connection_ptr& caller) { serve(caller); }) {
  std::thread([this] { expire_entries(); }).detach();
}

void object_store::serve(const connection_ptr& caller) {
  for (;;) {
    auto request = read_request(*caller);
    if (!request) return;
    if (silent_) return wait_while_silent();
    auto response = handle(*request);
    if (silent_) return wait_while_silent();
    if (!write_response(*caller, response)) return;
  }
}

void object_store::wait_while_silent() const {
  while (silent_) std::this_thread::sleep_for(milliseconds(10));
}

http_response object_store::handle(const http_request& request) {
  constexpr std::string_view prefix = "/objects/";
  if (!request.path.starts_with(prefix)) return {404, json::object()};
  auto rest = request.path.substr(prefix.size());
  auto slash = rest.find('/');
  auto kind = rest.substr(0, slash);
  std::string name;
  bool status_only = false;
  if (slash != std::string::npos) {
    name = rest.substr(slash + 1);
    constexpr std::string_view status_suffix = "/status";
    status_only = name.ends_with(status_suffix);
    if (status_only) name.resize(name.size() - status_suffix.size());
    name = percent_decoded(name);
  }
  auto body = json::parse(request.body, nullptr, false);
  if (request.method == "GET" && request.query.contains("watch"))
    return watch(kind, request);
  if (request.method == "GET" && name.empty()) return list(kind, request);
  if (request.method == "GET") return read(kind, name);
  if (request.method == "DELETE") return erase(kind, name, request);
  if (body.is_discarded() || !body.is_object()) return {400, json::object()};
  auto response = request.method == "POST"
                      ? create(kind, body)
                      : replace(kind, name, body, status_only);
  write_observer observer;
  {
    std::lock_guard lock(mutex_);
    observer = observer_;
  }
  if (observer && response.status / 100 == 2)
    observer(kind, response.body["meta"]["name"], response.body["spec"]);
  return response;
}

http_response object_store::list(const std::string& kind,
                                 const http_request& request) {
  std::lock_guard lock(mutex_);
  auto after = request.query.find("after");
  json items = json::array();
  bool more = false;
  for (const auto& [name, stored] : objects_[kind]) {
    if (after != request.query.end() && name <= after->second) continue;
    more = items.size() >= page_size;
    if (more) break;
    items.push_back(body_of(name, stored));
  }
  return {200,
          {{"items", items}, {"more", more}, {"store_revision", revision_}}};
}

http_response object_store::watch(const std::string& kind,
                                  const http_request& request) {
  auto since = number_in(request, "watch");
  milliseconds wait(
      std::min<std::uint64_t>(number_in(request, "wait_ms"), 30'000));
  auto deadline = clock::now() + wait;
  std::unique_lock lock(mutex_);
  if (since > revision_) return {410, json::object()};
  json events = json::array();
  for (;;) {
    for (const auto& each : changes_) {
      if (each.kind == kind && each.revision > since)
        events.push_back(each.event);
    }
    if (!events.empty() || clock::now() >= deadline) break;
    changed_.wait_until(lock, deadline);
  }
  return {200, {{"events", events}, {"store_revision", revision_}}};
}

http_response object_store::read(const std::string& kind,
                                 const std::string& name) {
  std::lock_guard lock(mutex_);
  auto& objects = objects_[kind];
  auto found = objects.find(name);
  if (found == objects.end()) return {404, json::object()};
  return {200, body_of(name, found->second)};
}

http_response object_store::create(const std::string& kind, const json& body) {
  std::lock_guard lock(mutex_);
  auto name = body["meta"].value("name", std::string());
  auto& objects = objects_[kind];
  auto found = objects.find(name);
  if (found != objects.end()) return {409, body_of(name, found->second)};
  set_spec(kind, name, body.value("spec", json::object()));
  return {201, body_of(name, objects[name])};
}

http_response object_store::replace(const std::string& kind,
                                    const std::string& name, const json& body,
                                    bool status_only) {
  std::lock_guard lock(mutex_);
  auto& objects = objects_[kind];
  auto found = objects.find(name);
  if (found == objects.end()) return {404, json::object()};
  auto expected = revision_in(body);
  if (expected != 0 && expected != found->second.revision)
    return {409, body_of(name, found->second)};
  if (status_only) {
    found->second.status = body.value("status", json::object());
  } else {
    set_spec(kind, name, body.value("spec", json::object()));
  }
  return {200, body_of(name, found->second)};
}

http_response object_store::erase(const std::string& kind,
                                  const std::string& name,
                                  const http_request& request) {
  std::lock_guard lock(mutex_);
  auto& objects = objects_[kind];
  auto found = objects.find(name);
  if (found == objects.end()) return {404, json::object()};
  auto expected = number_in(request, "revision");
  if (expected != 0 && expected != found->second.revision)
    return {409, body_of(name, found->second)};
  remove_object(kind, name);
  return {200, json::object()};
}

json object_store::body_of(const std::string& name, const object& stored) {
  return {{"meta",
           {{"name", name},
            {"revision", stored.revision},
            {"created", stored.created},
            {"finalizers", stored.finalizers},
            {"deleting", false}}},
          {"spec", stored.spec},
          {"status", stored.status}};
}

// A write that changes nothing raises no revision. Nor does a heartbeat that
// changes the sequence number of a database's entry only.
void object_store::set_spec(const std::string& kind, const std::string& name,
                            const json& spec) {
  auto& objects = objects_[kind];
  auto [found, created] = objects.try_emplace(name);
  object& stored = found->second;
  stored.written_at = clock::now();
  bool unchanged = !created && stored.spec == spec;
  bool heartbeat = !created && kind == "servers" &&
                   without_sequence(stored.spec) == without_sequence(spec);
  stored.spec = spec;
  if (unchanged || heartbeat) return;
  stored.revision = ++revision_;
  if (created) stored.created = revision_;
  record_change(kind, name, stored, false);
}

void object_store::remove_object(const std::string& kind,
                                 const std::string& name) {
  auto& objects = objects_[kind];
  auto found = objects.find(name);
  if (found == objects.end()) return;
  object removed = found->second;
  objects.erase(found);
  removed.revision = ++revision_;
  record_change(kind, name, removed, true);
}

void object_store::record_change(const std::string& kind,
                                 const std::string& name, const object& stored,
                                 bool removed) {
  json event = {{"object", body_of(name, stored)}, {"removed", removed}};
  changes_.push_back({kind, revision_, std::move(event)});
  changed_.notify_all();
}

void object_store::put(const std::string& kind, const std::string& name,
                       const json& spec) {
  std::lock_guard lock(mutex_);
  set_spec(kind, name, spec);
}

void object_store::remove(const std::string& kind, const std::string& name) {
  std::lock_guard lock(mutex_);
  remove_object(kind, name);
}

bool object_store::contains(const std::string& kind, const std::string& name) {
  std::lock_guard lock(mutex_);
  return objects_[kind].contains(name);
}

void object_store::observe_writes(write_observer observer) {
  std::lock_guard lock(mutex_);
  observer_ = std::move(observer);
}

void object_store::expire_entries() {
  for (;;) {
    std::this_thread::sleep_for(milliseconds(20));
    std::lock_guard lock(mutex_);
    std::vector<std::string> expired;
    for (const auto& [name, stored] : objects_["servers"]) {
      if (clock::now() - stored.written_at > 3 * heartbeat_)
        expired.push_back(name);
    }
    for (const auto& name : expired) {
      log_.write("entry of ", name, " expires");
      remove_object("servers", name);
    }
  }
}

}  // namespace review
