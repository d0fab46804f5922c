#include <popt.h>

#include <QCoreApplication>
#include <QTimer>
#include <csignal>
#include <iostream>

#include "standin/database-cluster.h"
#include "standin/database-control.h"

using namespace toucanmux;

namespace {

volatile std::sig_atomic_t stopping = 0;

void stop(int) { stopping = 1; }

std::string settings_file(int argc, char** argv) {
  char* file = nullptr;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &file, 0, "The settings", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  auto* context =
      poptGetContext(nullptr, argc, const_cast<const char**>(argv), options, 0);
  int code = poptGetNextOpt(context);
  std::string out = file ? file : "";
  poptFreeContext(context);
  if (code < -1 || out.empty()) {
    throw settings_error("no settings: add --settings FILE");
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    QCoreApplication application(argc, argv);
    auto settings = standin::read_database_settings(settings_file(argc, argv));
    standin::database_cluster cluster(settings);
    standin::database_control control(cluster, settings.control_port);
    std::signal(SIGTERM, stop);
    std::signal(SIGINT, stop);
    QTimer poll;
    QObject::connect(&poll, &QTimer::timeout, [] {
      if (stopping) QCoreApplication::quit();
    });
    poll.start(50);
    return QCoreApplication::exec();
  } catch (const std::exception& e) {
    std::cerr << "standin-database: " << e.what() << "\n";
    return 1;
  }
}
