#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace toucanmux {

/// Reads documents that other programs write: a field that is missing, of
/// another type or out of range gets a default, and nothing throws.
class json_fields {
 public:
  /// A text that can't be parsed, or that is no object, has no fields.
  explicit json_fields(std::string_view text);

  bool is_object() const { return fields_.is_object(); }
  std::string text(const char* name, std::string_view default_value = {}) const;
  std::uint64_t number(const char* name) const;
  std::uint16_t port(const char* name) const;  ///< 0 if there is none.
  bool flag(const char* name) const;

 private:
  nlohmann::json fields_;
};

}  // namespace toucanmux
