#include "process/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <string>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

using boost::log::sources::severity_logger_mt;

std::string_view prefix(log_part part) {
  switch (part) {
    case log_part::process:
      return "process: ";
    case log_part::callers:
      return "callers: ";
    case log_part::links:
      return "links: ";
    case log_part::upstreams:
      return "upstreams: ";
    case log_part::platform:
      return "platform: ";
    case log_part::members:
      return "members: ";
    case log_part::lists:
      return "lists: ";
    case log_part::limits:
      return "limits: ";
    case log_part::promotion:
      return "promotion: ";
  }
  return "";
}

severity_logger_mt<log_level>& logger() {
  static severity_logger_mt<log_level> instance;
  return instance;
}

}  // namespace

void start_log(std::string_view process, std::string_view level) {
  namespace expr = boost::log::expressions;
  log_level lowest{};
  if (!boost::log::trivial::from_string(level.data(), level.size(), lowest)) {
    throw settings_error("log level '" + std::string(level) +
                         "': use trace, debug, info, warning or error");
  }
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::clog, boost::log::keywords::auto_flush = true,
      boost::log::keywords::format =
          expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                              "TimeStamp", "%Y-%m-%d %H:%M:%S.%f")
                       << " " << boost::log::trivial::severity << " "
                       << std::string(process) << " " << expr::smessage);
  boost::log::core::get()->set_filter(boost::log::trivial::severity >= lowest);
}

void log(log_part part, log_level level, std::string_view sentence) {
  BOOST_LOG_SEV(logger(), level) << prefix(part) << sentence;
}

}  // namespace toucanmux
