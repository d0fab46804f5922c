#pragma once

#include <QTimer>
#include <functional>

#include "process/member-service.h"
#include "toucanmux/process/drain.h"

namespace toucanmux {

/// Drains a process: executes the actions of `drain`. Lives on the control
/// thread.
class drain_service {
 public:
  struct handlers {
    std::function<void()> stop_new_work;
    std::function<bool()> idle;  ///< True if no request is in flight.
  };

  drain_service(duration notice, member_service& members, handlers callbacks);

  /// Starts the drain and calls `done` once every request is answered. A drain
  /// that the platform requests passes no `done`: the drained process then runs
  /// on until its stop signal.
  void start(std::function<void()> done);
  /// True until the drain starts.
  bool serving() const { return drain_.state() == drain::phase::serving; }

 private:
  void step(const drain::event& event);
  void tick();
  void finish();

  member_service& members_;
  handlers handlers_;
  drain drain_;
  std::function<void()> done_;
  QTimer timer_;
};

}  // namespace toucanmux
