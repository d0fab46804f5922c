#include "toucanmux/json-scan.h"

#include <algorithm>

namespace toucanmux::json_scan {

namespace {

constexpr std::string_view spaces = " \t\r\n";
constexpr std::string_view value_ends = ",]} \t\r\n";

/// Reads tokens from the front of a text.
class scanner {
 public:
  explicit scanner(std::string_view text) : rest_(text) {}

  bool at_end() {
    skip_spaces();
    return rest_.empty();
  }
  bool skip(char expected) {
    skip_spaces();
    if (rest_.empty() || rest_.front() != expected) return false;
    rest_.remove_prefix(1);
    return true;
  }
  /// Takes a string with its quotes, or nothing.
  std::string_view take_string() {
    skip_spaces();
    return take(string_size());
  }
  /// Takes a value of any type, or nothing.
  std::string_view take_value() {
    skip_spaces();
    if (rest_.empty()) return {};
    if (rest_.front() == '"') return take(string_size());
    if (rest_.front() == '{' || rest_.front() == '[')
      return take(container_size());
    return take(std::min(rest_.find_first_of(value_ends), rest_.size()));
  }

 private:
  void skip_spaces() {
    rest_.remove_prefix(
        std::min(rest_.find_first_not_of(spaces), rest_.size()));
  }
  std::string_view take(std::size_t size) {
    auto out = rest_.substr(0, size);
    rest_.remove_prefix(out.size());
    return out;
  }
  // 0 if the text starts with no complete string.
  std::size_t string_size(std::size_t from = 0) const {
    if (from >= rest_.size() || rest_[from] != '"') return 0;
    for (auto at = from + 1; at < rest_.size(); ++at) {
      if (rest_[at] == '\\') {
        ++at;
      } else if (rest_[at] == '"') {
        return at + 1 - from;
      }
    }
    return 0;
  }
  std::size_t container_size() const {
    std::size_t level = 0;
    for (std::size_t at = 0; at < rest_.size(); ++at) {
      char c = rest_[at];
      if (c == '"') {
        auto size = string_size(at);
        if (size == 0) return 0;
        at += size - 1;
      } else if (c == '{' || c == '[') {
        ++level;
      } else if (c == '}' || c == ']') {
        if (--level == 0) return at + 1;
      }
    }
    return 0;
  }

  std::string_view rest_;
};

}  // namespace

std::optional<std::vector<member>> split_object(std::string_view text) {
  scanner in(text);
  std::vector<member> out;
  if (!in.skip('{')) return {};
  if (in.skip('}')) return out;
  do {
    auto name = in.take_string();
    if (name.empty() || !in.skip(':')) return {};
    auto value = in.take_value();
    if (value.empty()) return {};
    out.push_back({name.substr(1, name.size() - 2), value});
  } while (in.skip(','));
  if (!in.skip('}') || !in.at_end()) return {};
  return out;
}

std::optional<std::vector<std::string_view>> split_array(
    std::string_view text) {
  scanner in(text);
  std::vector<std::string_view> out;
  if (!in.skip('[')) return {};
  if (in.skip(']')) return out;
  do {
    auto value = in.take_value();
    if (value.empty()) return {};
    out.push_back(value);
  } while (in.skip(','));
  if (!in.skip(']') || !in.at_end()) return {};
  return out;
}

std::size_t depth(std::string_view text) {
  std::size_t level = 0;
  std::size_t deepest = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    char c = text[at];
    if (c == '"') in_string = !in_string;
    if (in_string && c == '\\') ++at;
    if (in_string) continue;
    if (c == '{' || c == '[') deepest = std::max(deepest, ++level);
    if ((c == '}' || c == ']') && level > 0) --level;
  }
  return deepest;
}

}  // namespace toucanmux::json_scan
