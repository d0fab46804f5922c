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
    throw toucanmux::settings_error("--platform: write IP:PORT");
  }
  return out;
}

exit_code work(int argc, char** argv) {
  std::string platform = "127.0.0.1:7000";
  toucanmux::command_line line{
      "toucanmux-ctl",
      toucanmux::ctl_commands::usage(),
      {{"platform", "IP:PORT", "The platform's address", &platform, nullptr}}};
  auto words = read_command_line(line, argc, argv);
  if (words.should_exit) return words.code;
  QCoreApplication application(argc, argv);
  toucanmux::ctl_commands commands(read_endpoint(platform), std::cout);
  return commands.run(words.arguments);
}

}  // namespace

int main(int argc, char** argv) {
  return toucanmux::run_program("toucanmux-ctl",
                                [&] { return work(argc, argv); });
}
