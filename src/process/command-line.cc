#include "process/command-line.h"

#include <popt.h>

#include <iostream>
#include <memory>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

constexpr int version_option = 1;
constexpr int first_option = 2;

poptOption make_option(const command_option& option, int option_number) {
  poptOption out{};
  out.longName = option.name.c_str();
  out.argInfo = option.argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
  out.val = option_number;
  out.descrip = option.help.c_str();
  out.argDescrip = option.argument.empty() ? nullptr : option.argument.c_str();
  return out;
}

std::vector<poptOption> make_table(const command_line& line) {
  std::vector<poptOption> table;
  int option_number = first_option;
  for (const auto& option : line.options) {
    table.push_back(make_option(option, option_number++));
  }
  poptOption version{};
  version.longName = "version";
  version.argInfo = POPT_ARG_NONE;
  version.val = version_option;
  version.descrip = "Print the version and exit";
  table.push_back(version);
  poptOption help{};
  help.argInfo = POPT_ARG_INCLUDE_TABLE;
  help.arg = poptHelpOptions;
  help.descrip = "Help options:";
  table.push_back(help);
  table.push_back(poptOption{});
  return table;
}

void store_option(const command_option& option, poptContext context) {
  if (option.given != nullptr) *option.given = true;
  if (option.argument.empty()) return;
  std::unique_ptr<char, decltype(&std::free)> text(poptGetOptArg(context),
                                                   &std::free);
  if (option.value != nullptr && text) *option.value = text.get();
}

}  // namespace

parsed_command_line read_command_line(const command_line& line, int argc,
                                      char** argv) {
  auto table = make_table(line);
  std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(line.program.c_str(), argc, const_cast<const char**>(argv),
                     table.data(), 0),
      &poptFreeContext);
  std::string usage = "[OPTION...] " + line.positional_usage;
  poptSetOtherOptionHelp(context.get(), usage.c_str());
  parsed_command_line out;
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    if (code == version_option) {
      std::cout << line.program << " " << TOUCANMUX_VERSION << "\n";
      out.should_exit = true;
      return out;
    }
    auto index = static_cast<std::size_t>(code - first_option);
    store_option(line.options.at(index), context.get());
  }
  if (code < -1) {
    std::cerr << line.program << ": " << poptBadOption(context.get(), 0) << ": "
              << poptStrerror(code) << ": see --help\n";
    out.should_exit = true;
    out.code = exit_code::usage;
    return out;
  }
  while (const char* word = poptGetArg(context.get())) {
    out.arguments.emplace_back(word);
  }
  return out;
}

int run_program(std::string_view program,
                const std::function<exit_code()>& work) {
  auto fail = [&](const std::exception& e, exit_code code) {
    std::cerr << program << ": " << e.what() << "\n";
    return static_cast<int>(code);
  };
  try {
    return static_cast<int>(work());
  } catch (const settings_error& e) {
    return fail(e, exit_code::settings);
  } catch (const platform_error& e) {
    return fail(e, exit_code::refused);
  } catch (const std::exception& e) {
    return fail(e, exit_code::failed);
  }
}

}  // namespace toucanmux
