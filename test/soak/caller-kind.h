#pragma once

namespace toucanmux::soak {

/// How a caller sends its statements and reads their answers.
enum class caller_kind {
  plain,
  pipelining,   ///< Sends two or three statements in one write.
  halting,      ///< Sends the second half of each line later.
  idle,         ///< Pauses for long between its operations.
  slow_reader,  ///< Reads long answers slowly.
};

}  // namespace toucanmux::soak
