#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanmux {

/// How every program ends; documented in docs/OPERATIONS.md.
enum class exit_code {
  ok = 0,
  failed = 1,    ///< The work was done and its outcome is bad.
  usage = 2,     ///< The command line can't be used.
  settings = 3,  ///< The settings can't be used.
  refused = 4    ///< Another process refused or could not be reached.
};

/// An option with an argument, or a switch if `argument` is empty.
struct command_option {
  std::string name;
  std::string argument;
  std::string help;
  std::string* value = nullptr;  ///< Where an argument goes.
  bool* given = nullptr;         ///< Set if the option is there.
};

/// The command line of one program, read by popt.
struct command_line {
  std::string program;
  std::string
      positional_usage;  ///< What follows the options, for the usage line.
  std::vector<command_option> options;
};

/// What `read_command_line` found.
struct parsed_command_line {
  bool should_exit = false;  ///< `--help` or `--version` was served.
  exit_code code = exit_code::ok;
  std::vector<std::string> arguments;
};

/// Reads the options; serves `--help` and `--version` itself.
parsed_command_line read_command_line(const command_line& line, int argc,
                                      char** argv);

/// Runs a program's work; turns errors into a message and an exit code.
int run_program(std::string_view program,
                const std::function<exit_code()>& work);

}  // namespace toucanmux
