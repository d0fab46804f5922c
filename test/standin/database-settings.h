#pragma once

#include <string>
#include <vector>

#include "toucanmux/version/topology.h"

namespace toucanmux::standin {

/// Settings of a stand-in for one database group.
struct database_settings {
  database_group group;
  std::uint32_t connect_delay_ms = 0;
  std::uint32_t receive_lag_ms = 0;
  std::uint32_t replay_lag_ms = 0;
  std::uint32_t service_time_us = 0;
  std::uint16_t control_port = 0;
};

/// @throws settings_error if the file can't be read or lists no database.
database_settings read_database_settings(const std::string& file);

}  // namespace toucanmux::standin
