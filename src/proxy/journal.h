#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "toucanmux/core.h"

namespace toucanmux {

/// The subject of a log line. Each kind has its own rate limit.
enum class journal_kind : std::uint8_t {
  process,     ///< Start, stop or reload of the process.
  dependency,  ///< A dependency was lost or regained.
  belief,      ///< The view that the process has of the fleet changed.
  refusal,     ///< A statement was refused.
  served       ///< A statement was served; only a sample is logged.
};

/// One named value of a log line.
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
  /// Written in milliseconds, rounded toward zero.
  journal_field(std::string_view key, duration time)
      : name(key), value(std::int64_t{time.count() / 1000}) {}
};

/// The log of a process: one JSON object per line on standard output. A line
/// over the rate limit of its kind, or that standard output does not accept, is
/// dropped and counted, so logging never blocks.
class journal {
 public:
  /// @param enabled false writes nothing, to measure the cost of logging.
  explicit journal(const member_id& self, bool enabled = true);

  void write(journal_kind kind, std::string_view event_name,
             std::initializer_list<journal_field> fields);
  /// True if the rate limit allows a line of this kind now, so that the caller
  /// needn't gather the fields of a line that would be dropped.
  bool would_write(journal_kind kind);
  /// Lines dropped since the start, by the rate limits or because standard
  /// output did not accept them; all lines if the log is disabled.
  std::uint64_t dropped() const;

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
