#include "proxy/journal.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <ctime>

#include "proxy/event-loop.h"
#include "proxy/line-buffer.h"

namespace toucanmux {

namespace {

namespace logging = boost::log;

struct kind_limit {
  std::string_view name;
  double lines_per_second;
  double burst;  ///< Lines.
};

// Served statements are only sampled: the metrics count all of them.
constexpr std::array<kind_limit, 5> kind_limits{{{"process", 50, 100},
                                                 {"dependency", 20, 100},
                                                 {"belief", 50, 200},
                                                 {"refusal", 20, 60},
                                                 {"served", 0.5, 2}}};

constexpr std::size_t max_pending_bytes = 65'536;

// Lines that standard output has not accepted yet.
line_buffer& output_lines() {
  static line_buffer buffer(max_pending_bytes);
  return buffer;
}

/// Writes lines to standard output without blocking. Output that isn't accepted
/// is kept up to a limit.
class line_sink : public logging::sinks::basic_formatted_sink_backend<
                      char, logging::sinks::concurrent_feeding> {
 public:
  void consume(const logging::record_view&, const string_type& line) {
    line_buffer& lines = output_lines();
    // Room is made first, so that the line is not dropped needlessly.
    if (!lines.pending().empty()) write_pending(lines);
    lines.append(line);
    write_pending(lines);
  }

 private:
  static void write_pending(line_buffer& lines) {
    auto bytes = lines.pending();
    auto count = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (count > 0) lines.consume(static_cast<std::size_t>(count));
  }
};

void start_sink() {
  static bool started = false;
  if (started) return;
  started = true;
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  using sink = logging::sinks::unlocked_sink<line_sink>;
  logging::core::get()->add_sink(boost::make_shared<sink>());
}

logging::sources::logger& logger() {
  static logging::sources::logger instance;
  return instance;
}

void append_string(std::string& out, std::string_view text) {
  constexpr std::string_view digits = "0123456789abcdef";
  out += '"';
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      out += "\\u00";
      out += digits[byte >> 4U];
      out += digits[byte & 15U];
    } else {
      out += c;
    }
  }
  out += '"';
}

void append_value(std::string& out, const journal_field& field) {
  std::visit(
      [&](const auto& value) {
        using type = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<type, std::string_view>) {
          append_string(out, value);
        } else if constexpr (std::is_same_v<type, bool>) {
          out += value ? "true" : "false";
        } else {
          out += std::to_string(value);
        }
      },
      field.value);
}

std::int64_t wall_clock_ms() {
  timespec value{};
  clock_gettime(CLOCK_REALTIME, &value);
  return value.tv_sec * 1000 + value.tv_nsec / 1'000'000;
}

}  // namespace

journal::journal(const member_id& self, bool enabled)
    : self_(self), enabled_(enabled) {
  for (std::size_t i = 0; i < kind_limits.size(); ++i) {
    budgets_[i].lines_left = kind_limits[i].burst;
  }
  start_sink();
}

std::uint64_t journal::dropped() const {
  return dropped_ + output_lines().dropped();
}

bool journal::would_write(journal_kind kind) {
  if (!enabled_) return false;
  auto index = static_cast<std::size_t>(kind);
  line_budget& budget = budgets_[index];
  instant now = boot_time();
  std::chrono::duration<double> elapsed = now - budget.refilled_at;
  budget.refilled_at = now;
  budget.lines_left =
      std::min(kind_limits[index].burst,
               budget.lines_left +
                   elapsed.count() * kind_limits[index].lines_per_second);
  return budget.lines_left >= 1;
}

bool journal::spend_line(journal_kind kind) {
  if (!would_write(kind)) {
    ++dropped_;
    return false;
  }
  budgets_[static_cast<std::size_t>(kind)].lines_left -= 1;
  return true;
}

void journal::write(journal_kind kind, std::string_view event_name,
                    std::initializer_list<journal_field> fields) {
  if (!spend_line(kind)) return;
  std::string line = "{\"time_ms\":" + std::to_string(wall_clock_ms());
  line += ",\"kind\":\"";
  line += kind_limits[static_cast<std::size_t>(kind)].name;
  line += "\",\"event\":";
  append_string(line, event_name);
  line += ",\"instance\":";
  append_string(line, self_.value);
  for (const auto& field : fields) {
    line += ',';
    append_string(line, field.name);
    line += ':';
    append_value(line, field);
  }
  std::uint64_t dropped_lines = dropped();
  if (dropped_lines != reported_drops_) {
    line += ",\"dropped_lines\":" + std::to_string(dropped_lines);
    reported_drops_ = dropped_lines;
  }
  line += '}';
  BOOST_LOG(logger()) << line;
}

}  // namespace toucanmux
