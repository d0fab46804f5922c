#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace toucanmux {

/// Lines that wait until an output accepts them. A line that does not fit is
/// dropped and counted.
class line_buffer {
 public:
  explicit line_buffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Appends a line and its line end, unless they do not fit.
  void append(std::string_view line);
  std::string_view pending() const { return pending_; }
  /// Removes bytes that the output has accepted.
  void consume(std::size_t byte_count) { pending_.erase(0, byte_count); }
  /// Lines dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::size_t max_bytes_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

}  // namespace toucanmux
