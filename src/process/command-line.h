#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanmux {

/// Exit codes of every program; documented in docs/OPERATIONS.md.
enum class exit_code {
  ok = 0,
  failed = 1,    ///< The work was done, but its result is a failure.
  usage = 2,     ///< The command line is invalid.
  settings = 3,  ///< The settings are invalid.
  refused = 4    ///< Another process refused or could not be reached.
};

/// An option with an argument, or a switch if `argument` is empty.
struct command_option {
  std::string name;
  std::string argument;
  std::string help;
  std::string* value = nullptr;  ///< Receives the argument, if not null.
  bool* given = nullptr;         ///< Set to true if the option is given.
};

/// The command line of one program, read by popt.
struct command_line {
  std::string program;
  /// Arguments after the options, for the usage line.
  std::string positional_usage;
  std::vector<command_option> options;
};

/// Result of `read_command_line`.
struct parsed_command_line {
  /// Set after `--version`, or after an error was printed.
  bool should_exit = false;
  exit_code code = exit_code::ok;
  std::vector<std::string> arguments;
};

/// Reads the options. Handles `--help` and `--version` and prints errors
/// itself.
parsed_command_line read_command_line(const command_line& line, int argc,
                                      char** argv);

/// Runs a program's work; turns exceptions into a message on stderr and an exit
/// code.
int run_program(std::string_view program,
                const std::function<exit_code()>& work);

}  // namespace toucanmux
