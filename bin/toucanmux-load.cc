#include <QCoreApplication>
#include <fstream>
#include <iostream>

#include "process/command-line.h"
#include "process/load-run.h"
#include "toucanmux/error.h"

namespace {

using toucanmux::exit_code;

exit_code run_load(int argc, char** argv) {
  std::string settings_path;
  std::string report_path;
  bool check = false;
  toucanmux::command_line line{
      "toucanmux-load",
      "",
      {{"settings", "FILE", "Read the run's settings from FILE", &settings_path,
        nullptr},
       {"report", "FILE", "Write the JSON report to FILE", &report_path,
        nullptr},
       {"check", "", "Check the settings and exit", nullptr, &check}}};
  auto arguments = read_command_line(line, argc, argv);
  if (arguments.should_exit) return arguments.code;
  if (settings_path.empty()) {
    throw toucanmux::settings_error("no settings: add --settings FILE");
  }
  auto settings = toucanmux::read_load_settings(settings_path);
  if (check) return exit_code::ok;
  QCoreApplication application(argc, argv);
  toucanmux::load_history history(settings);
  toucanmux::load_run run(settings, history);
  exit_code code = exit_code::failed;
  run.start([&](const toucanmux::found_orders& found) {
    auto report = history.report(found);
    std::cout << "seed " << settings.seed << "\n" << report.text();
    if (!report_path.empty()) std::ofstream(report_path) << report.json();
    if (report.all_promises_kept()) code = exit_code::ok;
    QCoreApplication::quit();
  });
  QCoreApplication::exec();
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  return toucanmux::run_program("toucanmux-load",
                                [&] { return run_load(argc, argv); });
}
