#include "toucanmux/process/stop-schedule.h"

#include <algorithm>

namespace toucanmux {

namespace {

using std::chrono::milliseconds;

// The balancer removes an instance after two failed probes, a second apart.
constexpr duration balancer_notice = milliseconds(2300);
// Reserved at the end of the timeout for sending the last answers.
constexpr duration answer_margin = milliseconds(700);
// The part of it in which the process exits.
constexpr duration exit_margin = milliseconds(200);

}  // namespace

void stop_schedule::begin(instant signalled_at, duration timeout) {
  if (begun_at_) return;
  begun_at_ = signalled_at;
  timeout_ = timeout;
  notice_ = std::min<duration>(balancer_notice, timeout / 2);
}

bool stop_schedule::accepts_operations(instant now) const {
  return !begun_at_ || now - *begun_at_ < notice_;
}

bool stop_schedule::accepts_statement(instant now, instant deadline) const {
  if (!begun_at_ || now - *begun_at_ < timeout_ / 2) return true;
  return deadline <= ends_at();
}

bool stop_schedule::over(instant now) const {
  return begun_at_ && now >= ends_at();
}

bool stop_schedule::expired(instant now) const {
  return begun_at_ && now >= *begun_at_ + timeout_ - exit_margin;
}

instant stop_schedule::ends_at() const {
  return *begun_at_ + timeout_ - answer_margin;
}

}  // namespace toucanmux
