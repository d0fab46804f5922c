#include "toucanmux/request/position-check.h"

namespace toucanmux {

namespace {

using action = position_check::action;

bool meets_max_age(const position_read& e) {
  if (e.max_age < duration(0)) return true;
  // The primary of the current term always has the latest data.
  if (!e.replica && e.position.term >= e.current_term) return true;
  return e.age >= duration(0) && e.age <= e.max_age;
}

// A primary of a later term has all writes acknowledged in earlier terms,
// though its log may be shorter than that of an earlier primary.
bool covers_required(const position_read& e) {
  if (e.position.covers(e.required)) return true;
  return !e.replica && e.position.term > e.required.term;
}

action check_read(const position_read& e) {
  return covers_required(e) && meets_max_age(e) ? action(answer_fresh())
                                                : action(answer_behind());
}

action check_write(const position_read& e) {
  bool current =
      !e.replica && e.position.term != 0 && e.position.term >= e.current_term;
  return current ? action(answer_fresh()) : action(answer_doubtful());
}

}  // namespace

position_check::actions position_check::step(instant, const event& new_event) {
  const auto& e = std::get<position_read>(new_event);
  return {e.access == access_class::read ? check_read(e) : check_write(e)};
}

}  // namespace toucanmux
