#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "toucanmux/core.h"

namespace toucanmux {

/// What a line of the log is about; each kind has a bound of its own.
enum class journal_kind : std::uint8_t {
  process,     ///< Start, stop, reload.
  dependency,  ///< Lost or regained.
  belief,      ///< What the process believes has changed.
  refusal,     ///< A statement was not served.
  served       ///< A statement was served; a sample.
};

/// One named value of a line.
struct journal_field {
  std::string_view name;
  std::variant<std::string_view, std::uint64_t, std::int64_t, bool> value;

  journal_field(std::string_view key, std::string_view text)
      : name(key), value(text) {}
  journal_field(std::string_view key, const std::string& text)
      : name(key), value(std::string_view(text)) {}
  journal_field(std::string_view key, const char* text)
      : name(key), value(std::string_view(text)) {}
  journal_field(std::string_view key, std::uint64_t number)
      : name(key), value(number) {}
  journal_field(std::string_view key, std::int64_t number)
      : name(key), value(number) {}
  journal_field(std::string_view key, bool flag) : name(key), value(flag) {}
  /// Written in whole milliseconds.
  journal_field(std::string_view key, duration time)
      : name(key), value(std::int64_t{time.count() / 1000}) {}
};

/// The log of a process: one JSON object a line on standard output. A line
/// beyond its kind's bound, or that standard output does not take, is dropped
/// and counted; nothing ever waits for it.
class journal {
 public:
  /// @param on false writes nothing, to measure what writing costs.
  explicit journal(const member_id& self, bool enabled = true);

  void write(journal_kind kind, std::string_view event_name,
             std::initializer_list<journal_field> fields);
  /// True if a line of this kind would be written now. Saves the work of
  /// gathering fields for one that would not.
  bool would_write(journal_kind kind);
  /// Lines dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct line_budget {
    double lines_left = 0;
    instant refilled_at;
  };

  bool spend_line(journal_kind kind);

  member_id self_;
  bool enabled_;
  line_budget budgets_[5];
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_drops_ = 0;
};

}  // namespace toucanmux
