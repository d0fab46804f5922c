#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace toucanmux {

/// A complete HTTP request.
struct http_request {
  std::string method;
  std::string target;  ///< Path and query, not decoded.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool keep_alive = true;

  /// Returns the first header of that name, in any case; empty if absent.
  std::string_view header(std::string_view name) const;
  /// Returns the target without its query.
  std::string_view path() const;
  /// Returns a query parameter, not decoded; empty if absent.
  std::string_view query(std::string_view name) const;
};

/// An HTTP response.
struct http_response {
  unsigned status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string_view type = "application/json";
  bool close = false;
};

/// Splits a path at its slashes and leaves out empty parts.
std::vector<std::string_view> split_path(std::string_view path);

}  // namespace toucanmux
