#include "process/drain-service.h"

#include "process/clock.h"
#include "process/log.h"
#include "process/timeline.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};

drain::settings make_settings(duration notice) {
  drain::settings out;
  out.notice = notice;
  return out;
}

}  // namespace

drain_service::drain_service(duration notice, member_service& members,
                             handlers callbacks)
    : members_(members),
      handlers_(std::move(callbacks)),
      drain_(make_settings(notice)) {
  QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
}

void drain_service::start(std::function<void()> done) {
  if (done) done_ = std::move(done);
  if (drain_.state() == drain::phase::drained) return finish();
  step(drain::leave());
  timer_.start(tick_interval);
}

// Checks for requests in flight only once new work is refused, because the
// check blocks this thread until each traffic thread has run it.
void drain_service::tick() {
  if (drain_.state() == drain::phase::finishing) {
    step(drain::work{handlers_.idle() ? 0U : 1U});
  } else {
    step(drain::tick());
  }
}

void drain_service::step(const drain::event& event) {
  for (const auto& action : drain_.step(now(), event)) {
    std::visit(overloaded{
                   [this](const drain::show_not_ready&) {
                     log_info(log_part::process, "Leaving.");
                     process_timeline().record("leaving", {});
                     members_.leave();
                   },
                   [this](const drain::stop_new_work&) {
                     process_timeline().record("no_new_work", {});
                     handlers_.stop_new_work();
                   },
                   [](const drain::resume_work&) {},
                   [this](const drain::completed&) {
                     process_timeline().record("out", {});
                     members_.stop();
                     finish();
                   },
               },
               action);
  }
}

void drain_service::finish() {
  timer_.stop();
  if (done_) std::exchange(done_, {})();
}

}  // namespace toucanmux
