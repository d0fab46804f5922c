#include "process/json-fields.h"

#include <limits>

#include "toucanmux/json-scan.h"

namespace toucanmux {

namespace {

// Far deeper than any document of the platform.
constexpr std::size_t max_depth = 64;

}  // namespace

json_fields::json_fields(std::string_view text) {
  if (json_scan::depth(text) > max_depth) return;
  fields_ = nlohmann::json::parse(text, nullptr, false);
}

std::string json_fields::text(const char* name,
                              std::string_view default_value) const {
  if (!is_object()) return std::string(default_value);
  auto at = fields_.find(name);
  bool is_text = at != fields_.end() && at->is_string();
  return is_text ? at->get<std::string>() : std::string(default_value);
}

std::uint64_t json_fields::number(const char* name) const {
  if (!is_object()) return 0;
  auto at = fields_.find(name);
  bool is_number = at != fields_.end() && at->is_number_unsigned();
  return is_number ? at->get<std::uint64_t>() : 0;
}

std::uint16_t json_fields::port(const char* name) const {
  auto value = number(name);
  bool fits = value <= std::numeric_limits<std::uint16_t>::max();
  return fits ? static_cast<std::uint16_t>(value) : 0;
}

bool json_fields::flag(const char* name) const {
  if (!is_object()) return false;
  auto at = fields_.find(name);
  return at != fields_.end() && at->is_boolean() && at->get<bool>();
}

}  // namespace toucanmux
