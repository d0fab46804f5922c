#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace toucanmux {

class journal;

/// Logs input of other programs that can't be read, once for each source: it
/// may be read again several times a second.
class unreadable_log {
 public:
  explicit unreadable_log(journal& log) : log_(log) {}

  /// @param kind what the input belongs to, such as a list of the store.
  /// @param name of the object or of the sender.
  void note(std::string_view kind, std::string_view name,
            std::string_view reason = "malformed");
  template <class Names>
  void note_all(std::string_view kind, const Names& names) {
    for (const auto& name : names) note(kind, name);
  }

 private:
  // Bounds the memory; later sources are not logged.
  static constexpr std::size_t max_sources = 1000;

  journal& log_;
  std::set<std::string> logged_;
};

}  // namespace toucanmux
