#pragma once

#include <QObject>
#include <QThread>
#include <functional>

namespace toucanmux {

/// A thread with an event loop that runs the work posted to it. State that
/// belongs to the thread is created, used and destroyed on it.
class traffic_thread {
 public:
  traffic_thread() {
    context_.moveToThread(&thread_);
    thread_.start();
  }
  ~traffic_thread() {
    thread_.quit();
    thread_.wait();
  }
  Q_DISABLE_COPY_MOVE(traffic_thread)

  /// Runs `work` on the thread after all work posted earlier.
  template <class Work>
  void post(Work&& work) {
    QMetaObject::invokeMethod(&context_, std::forward<Work>(work),
                              Qt::QueuedConnection);
  }
  /// Runs `work` on the thread and waits until it returns. Must not be called
  /// on the thread itself.
  template <class Work>
  void run(Work&& work) {
    QMetaObject::invokeMethod(&context_, std::forward<Work>(work),
                              Qt::BlockingQueuedConnection);
  }

 private:
  QThread thread_;
  QObject context_;
};

}  // namespace toucanmux
