#pragma once

#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <string_view>

namespace toucanmux {

/// The parts of a process. The name of a part is the prefix of its log lines.
enum class log_part {
  process,
  callers,
  links,
  upstreams,
  platform,
  members,
  lists,
  limits,
  promotion
};

using log_level = boost::log::trivial::severity_level;

/// Starts logging to stderr, from the given level on.
/// @param process the process name that each line carries.
/// @throws settings_error if `level` is not the name of a level.
void start_log(std::string_view process, std::string_view level);

/// Logs one short sentence. Thread-safe.
void log(log_part part, log_level level, std::string_view sentence);

inline void log_info(log_part part, std::string_view sentence) {
  log(part, log_level::info, sentence);
}
inline void log_warning(log_part part, std::string_view sentence) {
  log(part, log_level::warning, sentence);
}
inline void log_debug(log_part part, std::string_view sentence) {
  log(part, log_level::debug, sentence);
}

}  // namespace toucanmux
