#pragma once

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace toucanmux {

/// A statement that was prepared under a name.
struct prepared_statement {
  bool writes = false;
  std::string shape;  ///< The statement without its arguments.

  bool operator==(const prepared_statement&) const = default;
  bool operator<(const prepared_statement& other) const {
    return std::tie(writes, shape) < std::tie(other.writes, other.shape);
  }
};

/// The settings and prepared statements, by name, of a caller's session or of
/// an upstream connection.
struct session_values {
  std::map<std::string, std::string, std::less<>> values;
  std::map<std::string, prepared_statement, std::less<>> prepared;

  bool empty() const { return values.empty() && prepared.empty(); }
};

/// True if the connection has a value that the session has not set. Such a
/// value is removed only by a reset of the connection.
bool needs_reset(const session_values& session,
                 const session_values& connection);

}  // namespace toucanmux
