#include "toucanmux/proxy/placement/load-meter.h"

#include <algorithm>

namespace toucanmux {

namespace {

constexpr duration use_period = std::chrono::seconds(1);

double in_seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void load_meter::add_work(instant now, duration time) {
  busy_seconds_.add(now, in_seconds(std::max(time, duration{0})));
  used_at_ = now;
  ever_used_ = true;
}

void load_meter::record_read(instant now, outcome result, duration latency) {
  reads_.add(now, 1);
  if (result == outcome::refused) refused_.add(now, 1);
  if (result == outcome::failed) failed_.add(now, 1);
  if (result != outcome::served) return;
  timed_.add(now, 1);
  latency_seconds_.add(now, in_seconds(latency));
}

bool load_meter::used(instant now) const {
  return ever_used_ && now - used_at_ <= use_period;
}

// By Little's law the mean number of statements in progress is the time that
// they took, divided by the time in which they ran.
database_load load_meter::load(instant now, std::uint32_t reference,
                               duration outstanding) const {
  database_load out;
  out.database = reference;
  auto busy = busy_seconds_.value(now) + in_seconds(outstanding);
  out.in_flight = busy / in_seconds(work_window);
  out.reads = reads_.value(now);
  if (out.reads > 0) {
    out.refused_rate = std::min(1.0, refused_.value(now) / out.reads);
    out.failed_rate = std::min(1.0, failed_.value(now) / out.reads);
  }
  auto timed = timed_.value(now);
  if (timed > 0) {
    out.latency = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(latency_seconds_.value(now) / timed));
  }
  return out;
}

}  // namespace toucanmux
