#include <cstdlib>
#include <iostream>
#include <string>

#include "process/command-line.h"
#include "proxy/event-loop.h"
#include "proxy/proxy-process.h"
#include "proxy/proxy-settings.h"

namespace {

using namespace toucanmux;

std::string settings_path(const std::string& option_value) {
  if (!option_value.empty()) return option_value;
  const char* variable_value =
      std::getenv(std::string(settings_variable()).c_str());
  return variable_value ? variable_value : "";
}

}  // namespace

int main(int argc, char** argv) {
  return run_program("toucanmux-proxy", [&] {
    std::string path;
    bool check = false;
    bool no_log = false;
    auto command_line = read_command_line(
        {"toucanmux-proxy",
         "",
         {{"settings", "FILE",
           "settings file; overrides the environment variable", &path, nullptr},
          {"check", "", "check the settings and exit", nullptr, &check},
          {"no-log", "", "write no log, to measure the cost of logging",
           nullptr, &no_log}}},
        argc, argv);
    if (command_line.should_exit) return command_line.code;
    path = settings_path(path);
    auto settings = read_proxy_settings(path);
    settings.log_enabled = !no_log;
    if (check) {
      std::cout << path << ": good\n";
      return exit_code::ok;
    }
    event_loop loop;
    proxy_process process(loop, settings, path);
    process.run();
    return exit_code::ok;
  });
}
