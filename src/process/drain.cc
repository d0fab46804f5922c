#include "toucanmux/process/drain.h"

namespace toucanmux {

std::vector<drain::action> drain::step(instant now, const event& new_event) {
  std::vector<action> actions;
  if (phase_ == phase::drained) return actions;
  std::visit(overloaded{
                 [](const tick&) {},
                 [&](const leave&) {
                   if (phase_ != phase::serving) return;
                   phase_ = phase::not_ready;
                   drain_started_at_ = now;
                   actions.push_back(show_not_ready());
                 },
                 [&](const cancel&) {
                   if (phase_ == phase::serving) return;
                   phase_ = phase::serving;
                   actions.push_back(resume_work());
                 },
                 [&](const work& count) {
                   if (open_work_ > 0 && count.open == 0) idle_since_ = now;
                   open_work_ = count.open;
                 },
             },
             new_event);
  advance(now, actions);
  return actions;
}

void drain::advance(instant now, std::vector<action>& actions) {
  if (phase_ == phase::not_ready && now - drain_started_at_ >= values_.notice) {
    phase_ = phase::finishing;
    idle_since_ = now;
    actions.push_back(stop_new_work());
  }
  if (phase_ != phase::finishing || open_work_ > 0) return;
  if (now - idle_since_ < values_.linger) return;
  phase_ = phase::drained;
  actions.push_back(completed());
}

}  // namespace toucanmux
