#include <QCoreApplication>
#include <iostream>

#include "process/command-line.h"
#include "standin/object-store.h"

namespace {

toucanmux::exit_code serve(int argc, char** argv) {
  std::string port = "7000";
  std::string address = "127.0.0.1";
  toucanmux::command_line line{
      "standin-platform",
      "",
      {{"port", "PORT", "Listen on this port", &port, nullptr},
       {"address", "IP", "Listen on this address", &address, nullptr}}};
  auto arguments = read_command_line(line, argc, argv);
  if (arguments.should_exit) return arguments.code;
  QCoreApplication application(argc, argv);
  toucanmux::standin::object_store store(
      address, static_cast<std::uint16_t>(std::stoi(port)));
  std::cout << "listening on " << store.port() << std::endl;
  QCoreApplication::exec();
  return toucanmux::exit_code::ok;
}

}  // namespace

int main(int argc, char** argv) {
  return toucanmux::run_program("standin-platform",
                                [&] { return serve(argc, argv); });
}
