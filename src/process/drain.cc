#include "toucanmux/process/drain.h"

namespace toucanmux {

std::vector<drain::action> drain::step(instant now, const event& what) {
  std::vector<action> out;
  if (phase_ == phase::drained) return out;
  std::visit(overloaded{
                 [](const tick&) {},
                 [&](const leave&) {
                   if (phase_ != phase::serving) return;
                   phase_ = phase::not_ready;
                   left_ = now;
                   out.push_back(show_not_ready());
                 },
                 [&](const cancel&) {
                   if (phase_ == phase::serving) return;
                   phase_ = phase::serving;
                   out.push_back(resume_work());
                 },
                 [&](const work& got) {
                   if (open_ > 0 && got.open == 0) finished_ = now;
                   open_ = got.open;
                 },
             },
             what);
  advance(now, out);
  return out;
}

void drain::advance(instant now, std::vector<action>& out) {
  if (phase_ == phase::not_ready && now - left_ >= values_.notice) {
    phase_ = phase::finishing;
    finished_ = now;
    out.push_back(stop_new_work());
  }
  if (phase_ != phase::finishing || open_ > 0) return;
  if (now - finished_ < values_.linger) return;
  phase_ = phase::drained;
  out.push_back(completed());
}

}  // namespace toucanmux
