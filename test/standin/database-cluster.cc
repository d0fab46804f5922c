#include "standin/database-cluster.h"

#include <functional>
#include <map>

namespace toucanmux::standin {

database_cluster::database_cluster(const database_settings& settings) {
  std::vector<database_server*> peers;
  for (const auto& description : settings.group.databases) {
    databases_.push_back(
        std::make_unique<database_server>(description, settings));
    peers.push_back(databases_.back().get());
  }
  for (auto* peer : peers) peer->start(peers);
  reattach_all();
}

database_cluster::~database_cluster() {
  for (auto& each : databases_) each->stop();
}

database_server& database_cluster::at(std::string_view id) {
  for (auto& each : databases_) {
    if (each->description().id.value == id) return *each;
  }
  throw error("no database named " + std::string(id));
}

void database_cluster::inject_fault(const nlohmann::json& request) {
  auto& server = at(request.at("database").get<std::string>());
  auto kind = request.at("fault").get<std::string>();
  auto ms = request.value("ms", 0U);
  bool callers = request.value("callers", false);
  const std::map<std::string, std::function<void()>> faults{
      {"kill", [&] { server.kill(); }},
      {"restart", [&] { server.restart(); }},
      {"freeze", [&] { server.freeze(); }},
      {"thaw", [&] { server.thaw(); }},
      {"cut", [&] { server.partition(callers); }},
      {"heal", [&] { server.end_partition(); }},
      {"cancel_waits", [&] { server.cancel_waits(); }},
      {"terminate", [&] { server.terminate_sessions(); }},
      {"drop", [&] { server.drop_sessions(); }},
      {"lag", [&] { server.replay_lag_ms = ms; }},
      {"receive_lag", [&] { server.receive_lag_ms = ms; }},
      {"service_time",
       [&] { server.service_time_us = request.value("us", ms * 1000U); }}};
  auto found = faults.find(kind);
  if (found == faults.end()) throw error("no fault named " + kind);
  server.run_on_thread(found->second);
  if (kind == "heal" || kind == "restart") reattach_all();
}

/// Replicas request the log again from their end on, as messages may have been
/// lost.
void database_cluster::reattach_all() {
  for (auto& each : databases_) {
    QMetaObject::invokeMethod(
        each.get(), [server = each.get()] { server->reattach(); },
        Qt::QueuedConnection);
  }
}

nlohmann::json database_cluster::state() {
  auto out = nlohmann::json::array();
  for (auto& each : databases_) {
    each->run_on_thread([&] { out.push_back(each->state()); });
  }
  return out;
}

nlohmann::json database_cluster::dump(std::string_view id,
                                      std::string_view sql) {
  sql_result result;
  auto& server = at(id);
  server.run_on_thread([&] { result = server.dump(sql); });
  auto out = nlohmann::json::array();
  for (const auto& row : result.rows) {
    auto values = nlohmann::json::array();
    for (const auto& value : row) {
      values.push_back(value.null ? nlohmann::json()
                                  : nlohmann::json(value.text));
    }
    out.push_back(values);
  }
  return out;
}

}  // namespace toucanmux::standin
