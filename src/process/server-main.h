#pragma once

#include <QCoreApplication>
#include <QSocketNotifier>
#include <string>

#include "process/command-line.h"
#include "process/log.h"
#include "process/recorder.h"
#include "process/timeline.h"
#include "toucanmux/error.h"

namespace toucanmux {

/// Blocks SIGTERM and SIGINT, so that only `on_stop_signal` gets them. Call it
/// before any thread starts, because threads inherit the signal mask. SIGHUP is
/// ignored: settings are read only at the start.
void block_stop_signals();

/// Calls `stop` from the event loop at the first SIGTERM or SIGINT.
void on_stop_signal(std::function<void()> stop);

/// The main function of an entry or a pool: reads the settings, handles
/// `--check`, runs the event loop, and drains at SIGTERM or SIGINT.
template <class Process, class Settings>
int run_server(const std::string& program,
               Settings (*read)(const std::string& path), int argc,
               char** argv) {
  return run_program(program, [&] {
    std::string settings_path;
    std::string record_path;
    bool check = false;
    command_line line{
        program,
        "",
        {{"settings", "FILE", "Read the settings from FILE", &settings_path,
          nullptr},
         {"record", "FILE", "Record the decisions for toucanmux-replay",
          &record_path, nullptr},
         {"check", "", "Check the settings and exit", nullptr, &check}}};
    auto arguments = read_command_line(line, argc, argv);
    if (arguments.should_exit) return arguments.code;
    if (settings_path.empty())
      throw settings_error("no settings: add --settings FILE");
    Settings settings = read(settings_path);
    if (check) return exit_code::ok;
    block_stop_signals();
    const auto& self = settings.process.self;
    start_log(self.id.value, settings.process.log_level);
    process_timeline().start(self.id.value, timeline_capacity);
    if (!record_path.empty()) process_recorder().start(record_path);
    QCoreApplication application(argc, argv);
    Process process(settings);
    process.start();
    on_stop_signal([&] { process.drain([] { QCoreApplication::quit(); }); });
    QCoreApplication::exec();
    return exit_code::ok;
  });
}

}  // namespace toucanmux
