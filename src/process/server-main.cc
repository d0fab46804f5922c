#include "process/server-main.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

namespace toucanmux {

namespace {

sigset_t stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

// SIGHUP would end the process and the work of its callers.
void block_stop_signals() {
  signal(SIGHUP, SIG_IGN);
  sigset_t signals = stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void on_stop_signal(std::function<void()> stop) {
  sigset_t signals = stop_signals();
  int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  auto* notifier = new QSocketNotifier(descriptor, QSocketNotifier::Read,
                                       QCoreApplication::instance());
  QObject::connect(notifier, &QSocketNotifier::activated,
                   [notifier, stop = std::move(stop)] {
                     notifier->setEnabled(false);
                     stop();
                   });
}

}  // namespace toucanmux
