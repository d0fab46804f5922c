#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

/// Splits JSON text into its parts without parsing them, so that a part that no
/// parser accepts does not cost the others. Only brackets and quotes have to
/// match; no function recurses.
namespace toucanmux::json_scan {

struct member {
  std::string_view name;  ///< Between the quotes; escapes are kept.
  std::string_view value;
};

/// The members of an object; nothing if the text is no object.
std::optional<std::vector<member>> split_object(std::string_view text);
/// The elements of an array; nothing if the text is no array.
std::optional<std::vector<std::string_view>> split_array(std::string_view text);
/// How many arrays and objects contain the innermost value.
std::size_t depth(std::string_view text);

}  // namespace toucanmux::json_scan
