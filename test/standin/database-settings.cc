#include "standin/database-settings.h"

#include <toml++/toml.h>

#include "toucanmux/error.h"

namespace toucanmux::standin {

namespace {

database read_database(const toml::table& table) {
  database out;
  out.id = database_id(table["id"].value_or(""));
  out.domain = domain_id(table["domain"].value_or(""));
  out.address = table["address"].value_or("127.0.0.1");
  out.port = table["port"].value_or<std::uint16_t>(0);
  out.slots = table["slots"].value_or(3U);
  out.connection_limit = table["connection_limit"].value_or(50U);
  return out;
}

}  // namespace

database_settings read_database_settings(const std::string& file) {
  toml::table table;
  try {
    table = toml::parse_file(file);
  } catch (const toml::parse_error& e) {
    throw settings_error(file + ":" + std::to_string(e.source().begin.line) +
                         ": " + std::string(e.description()));
  }
  database_settings out;
  out.group.id = group_id(table["group"].value_or(""));
  out.group.service = service_id(table["service"].value_or(""));
  out.group.term = table["term"].value_or<std::uint64_t>(1);
  out.group.primary = database_id(table["primary"].value_or(""));
  out.connect_delay_ms = table["connect_delay_ms"].value_or(0U);
  out.receive_lag_ms = table["receive_lag_ms"].value_or(0U);
  out.replay_lag_ms = table["replay_lag_ms"].value_or(0U);
  out.service_time_us = table["service_time_us"].value_or(0U);
  out.control_port = table["control_port"].value_or<std::uint16_t>(0);
  if (auto* databases = table["databases"].as_array()) {
    for (auto& item : *databases) {
      if (auto* database_table = item.as_table()) {
        out.group.databases.push_back(read_database(*database_table));
      }
    }
  }
  if (out.group.databases.empty()) {
    throw settings_error(file + ": no databases; add a [[databases]] table");
  }
  return out;
}

}  // namespace toucanmux::standin
