#pragma once

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace toucanmux {

/// What a prepared name stands for.
struct prepared_statement {
  bool writes = false;
  std::string shape;

  bool operator==(const prepared_statement&) const = default;
  bool operator<(const prepared_statement& other) const {
    return std::tie(writes, shape) < std::tie(other.writes, other.shape);
  }
};

/// The values and prepared names of a caller's session, or those that stand on
/// an upstream connection.
struct session_values {
  std::map<std::string, std::string, std::less<>> values;
  std::map<std::string, prepared_statement, std::less<>> prepared;

  bool empty() const { return values.empty() && prepared.empty(); }
};

/// True if a connection holds a value that the session has not set, so that
/// only a reset makes it fit.
bool needs_reset(const session_values& session,
                 const session_values& connection);

}  // namespace toucanmux
