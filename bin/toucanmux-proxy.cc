#include <cstdlib>
#include <iostream>
#include <string>

#include "process/command-line.h"
#include "proxy/event-loop.h"
#include "proxy/proxy-process.h"
#include "proxy/proxy-settings.h"

namespace {

using namespace toucanmux;

std::string settings_path(const std::string& given) {
  if (!given.empty()) return given;
  const char* named = std::getenv(std::string(settings_variable()).c_str());
  return named ? named : "";
}

}  // namespace

int main(int argc, char** argv) {
  return run_program("toucanmux-proxy", [&] {
    std::string path;
    bool check = false;
    bool no_log = false;
    auto words = read_command_line(
        {"toucanmux-proxy",
         "",
         {{"settings", "FILE", "settings file; or the environment names it",
           &path, nullptr},
          {"check", "", "check the settings and leave", nullptr, &check},
          {"no-log", "", "write no log, to measure what it costs", nullptr,
           &no_log}}},
        argc, argv);
    if (words.should_exit) return words.code;
    path = settings_path(path);
    auto settings = read_proxy_settings(path);
    settings.logs = !no_log;
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
