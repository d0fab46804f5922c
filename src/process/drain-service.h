#pragma once

#include <QTimer>
#include <functional>

#include "process/member-service.h"
#include "toucanmux/process/drain.h"

namespace toucanmux {

/// Carries out a process's `drain`. Lives on the control thread.
class drain_service {
 public:
  struct handlers {
    std::function<void()> stop_new_work;
    std::function<bool()> idle;  ///< True if nothing is left to answer.
  };

  drain_service(duration notice, member_service& members, handlers handle);

  /// Starts to leave, and calls `done` once all is answered. The platform's
  /// word, which has no `done`, leaves the process there until its signal.
  void start(std::function<void()> done);
  bool serving() const { return drain_.state() == drain::phase::serving; }

 private:
  void step(const drain::event& what);
  void tick();
  void finish();

  member_service& members_;
  handlers handlers_;
  drain drain_;
  std::function<void()> done_;
  QTimer timer_;
};

}  // namespace toucanmux
