#include "soak/stop-check.h"

namespace toucanmux::soak {

namespace {

using std::chrono::milliseconds;

// A statement is judged only if there was no trouble for this long before it.
constexpr duration quiet = milliseconds(4000);
// A statement that no database received may be lost if it arrives just as the
// connection ends.
constexpr duration slack = milliseconds(200);

std::string milliseconds_text(duration value) {
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(value).count()) +
         " ms";
}

std::string describe(const cut_statement& cut,
                     const std::optional<instant>& stopped_at, bool received) {
  auto out = cut.id + " at instance " + std::to_string(cut.instance) +
             " was cut off " + milliseconds_text(cut.noticed_at - cut.sent_at) +
             " after it was sent, ";
  if (stopped_at) {
    out += "sent " + milliseconds_text(cut.sent_at - *stopped_at) +
           " and cut off " + milliseconds_text(cut.noticed_at - *stopped_at) +
           " after SIGTERM, ";
  } else {
    out += "with no SIGTERM before, ";
  }
  return out + "received by a database: " + (received ? "yes" : "no");
}

}  // namespace

stop_check::stop_check(int instances, duration grace, duration time_limit)
    : grace_(grace),
      time_limit_(time_limit),
      instances_(static_cast<std::size_t>(instances)) {}

void stop_check::on_trouble(int instance, instant now) {
  instances_[static_cast<std::size_t>(instance)].trouble_at = now;
}

// A second SIGTERM doesn't begin another stop.
void stop_check::on_stop(int instance, instant now) {
  auto& stopped = instances_[static_cast<std::size_t>(instance)].stopped_at;
  if (stopped && now - *stopped < grace_) return;
  stopped = now;
  if (!had_trouble(instance, now - quiet)) ++calm_stops_;
}

void stop_check::on_cut(const cut_statement& cut) {
  ++cut_count_;
  bool timed_out = cut.noticed_at - cut.sent_at >= time_limit_;
  if (timed_out || had_trouble(cut.instance, cut.sent_at - quiet)) return;
  cuts_.push_back(
      {cut, instances_[static_cast<std::size_t>(cut.instance)].stopped_at});
}

bool stop_check::had_trouble(int number, instant since) const {
  const auto& at = instances_[static_cast<std::size_t>(number)];
  return shared_trouble_at_ >= since || at.trouble_at >= since;
}

bool stop_check::valid(const judged_cut& judged,
                       const database_work& work) const {
  const auto& cut = judged.cut;
  if (!work.received) return cut.open_until - cut.sent_at <= slack;
  if (!judged.stopped_at) return false;
  auto last_sixth = *judged.stopped_at + grace_ * 5 / 6;
  bool at_work = !work.answered_at || *work.answered_at >= last_sixth;
  return at_work && cut.noticed_at >= last_sixth &&
         cut.sent_at <= *judged.stopped_at + grace_ / 2;
}

std::vector<std::string> stop_check::violations(
    const std::function<database_work(const std::string& id)>& work_on) const {
  std::vector<std::string> out;
  for (const auto& judged : cuts_) {
    auto work = work_on(judged.cut.id);
    if (valid(judged, work)) continue;
    out.push_back(describe(judged.cut, judged.stopped_at, work.received));
  }
  return out;
}

}  // namespace toucanmux::soak
