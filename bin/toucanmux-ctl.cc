#include <QCoreApplication>
#include <charconv>
#include <iostream>

#include "process/ctl-commands.h"
#include "toucanmux/error.h"

namespace {

using toucanmux::endpoint;
using toucanmux::exit_code;

endpoint read_endpoint(const std::string& text) {
  auto colon = text.rfind(':');
  endpoint out;
  if (colon != std::string::npos) {
    out.address = text.substr(0, colon);
    std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                    out.port);
  }
  if (out.port == 0) {
    throw toucanmux::settings_error("--platform: expected IP:PORT");
  }
  return out;
}

exit_code run_command(int argc, char** argv) {
  std::string platform = "127.0.0.1:7000";
  toucanmux::command_line line{
      "toucanmux-ctl",
      toucanmux::ctl_commands::usage(),
      {{"platform", "IP:PORT", "The platform's address", &platform, nullptr}}};
  auto arguments = read_command_line(line, argc, argv);
  if (arguments.should_exit) return arguments.code;
  QCoreApplication application(argc, argv);
  toucanmux::ctl_commands commands(read_endpoint(platform), std::cout);
  return commands.run(arguments.arguments);
}

}  // namespace

int main(int argc, char** argv) {
  return toucanmux::run_program("toucanmux-ctl",
                                [&] { return run_command(argc, argv); });
}
