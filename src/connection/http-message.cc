#include "connection/http-message.h"

#include <algorithm>
#include <cctype>

namespace toucanmux {

namespace {

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

}  // namespace

std::string_view http_request::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (equal_ignoring_case(key, name)) return value;
  }
  return {};
}

std::string_view http_request::path() const {
  std::string_view full_target = target;
  return full_target.substr(0, full_target.find('?'));
}

std::string_view http_request::query(std::string_view name) const {
  std::string_view remaining = target;
  remaining.remove_prefix(std::min(remaining.size(), path().size() + 1));
  while (!remaining.empty()) {
    auto pair = remaining.substr(0, remaining.find('&'));
    remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
    auto equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    if (pair.substr(0, equals) == name) return pair.substr(equals + 1);
  }
  return {};
}

std::vector<std::string_view> split_path(std::string_view path) {
  std::vector<std::string_view> out;
  while (!path.empty()) {
    auto part = path.substr(0, path.find('/'));
    path.remove_prefix(std::min(path.size(), part.size() + 1));
    if (!part.empty()) out.push_back(part);
  }
  return out;
}

}  // namespace toucanmux
