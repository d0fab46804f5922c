#include "toucanmux/process/fair-queue.h"

#include <algorithm>

namespace toucanmux {

namespace {

// A measured time moves the expected one by this share of the difference.
constexpr double learning_share = 1.0 / 16;
// Teams that have nothing here are looked for when there are twice as many
// as after the last time.
constexpr std::size_t least_forget_at = 64;

double to_seconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

duration to_duration(double seconds) {
  return duration(static_cast<duration::rep>(seconds * 1e6));
}

}  // namespace

struct fair_queue::team_queue {
  double weight = 1;
  double tag = 0;  ///< Virtual time up to which the team has been served.
  std::size_t waiting = 0;
  std::size_t running = 0;
  flow flows[kinds];

  bool active() const { return waiting + running > 0; }
};

bool fair_queue::lower_tag::operator()(const flow& a, const flow& b) const {
  if (a.team->tag != b.team->tag) return a.team->tag < b.team->tag;
  return a.turn < b.turn;
}

fair_queue::fair_queue(const settings& values)
    : settings_(values), slots_(values.slots), forget_at_(least_forget_at) {
  for (auto& seconds : service_seconds_) {
    seconds = to_seconds(values.service_time);
  }
}

fair_queue::~fair_queue() {
  deadlines_.clear();
  for (auto& set : ready_) set.clear();
  for (auto& [id, team] : teams_) {
    for (auto& one : team.flows) one.waiting.clear();
  }
}

fair_queue::actions fair_queue::step(instant now, const event& what) {
  now_ = std::max(now, now_);
  std::visit([this](const auto& e) { take(e); }, what);
  pump();
  plan_wake();
  return std::exchange(out_, {});
}

std::uint32_t fair_queue::transaction_slots() const {
  return slots_ > 1 ? slots_ - 1 : slots_;
}

void fair_queue::take(const slot_wanted& e) {
  if (items_.contains(e.id)) return;
  if (leaving_) {
    return refuse(e.id, reason_code::leaving, settings_.least_retry_after);
  }
  auto what = e.transaction ? kind::transaction : kind::single;
  auto& team = find_team(e);
  auto why = refusal(team, e.time_left, what);
  if (why != reason_code::none) {
    auto wait = expected_wait(team, what);
    return refuse(e.id, why, std::max(wait, settings_.least_retry_after));
  }
  auto& arrived = items_[e.id];
  arrived.id = e.id;
  arrived.team = &team;
  arrived.what = what;
  arrived.deadline = now_ + e.time_left;
  push(arrived);
}

fair_queue::team_queue& fair_queue::find_team(const slot_wanted& e) {
  forget_idle_teams();
  auto [it, added] = teams_.try_emplace(e.team);
  auto& team = it->second;
  if (added) {
    for (auto& one : team.flows) one.team = &team;
  }
  double weight = e.weight > 0 ? e.weight : 1;
  if (team.active()) active_weight_ += weight - team.weight;
  team.weight = weight;
  return team;
}

reason_code fair_queue::refusal(const team_queue& team, duration time_left,
                                kind what) const {
  if (team.waiting >= settings_.team_limit) return reason_code::queue_full;
  if (waiting() >= settings_.total_limit) return reason_code::queue_full;
  if (time_left <= duration(0)) return reason_code::deadline;
  auto wait = expected_wait(team, what);
  if (wait == duration(0)) return reason_code::none;
  auto service = to_duration(service_seconds_[index_of(kind::single)]);
  return wait + service > time_left ? reason_code::deadline : reason_code::none;
}

// The lesser of two bounds: the team gets its share of the slots for what it
// has waiting, and all slots together serve what all teams have waiting.
duration fair_queue::expected_wait(const team_queue& team, kind what) const {
  auto free = free_slots(what);
  auto index = index_of(what);
  if (waiting_[index] == 0 && free > 0) return duration(0);
  auto slots = what == kind::transaction
                   ? transaction_slots()
                   : slots_ - std::min<std::size_t>(slots_, transactions_);
  double turn = service_seconds_[index] /
                static_cast<double>(std::max<std::size_t>(slots, 1));
  double weight = active_weight_ + (team.active() ? 0 : team.weight);
  auto own = static_cast<double>(team.flows[index].waiting.size());
  auto all = static_cast<double>(waiting_[index]);
  return to_duration(std::min(own * weight / team.weight, all) * turn + turn);
}

std::size_t fair_queue::free_slots(kind what) const {
  auto free = slots_ - std::min<std::size_t>(slots_, running_);
  if (what == kind::single) return free;
  auto limit = transaction_slots();
  return std::min(free, limit - std::min<std::size_t>(limit, transactions_));
}

void fair_queue::take(const slot_cancelled& e) {
  auto it = items_.find(e.id);
  if (it == items_.end() || it->second.granted) return;
  drop(it->second, reason_code::none, duration(0));
}

void fair_queue::take(const team_withdrawn& e) {
  auto it = teams_.find(e.team);
  if (it == teams_.end()) return;
  refuse_waiting(it->second, reason_code::key_refused, duration(0));
  if (it->second.running == 0) return;
  for (auto& [id, one] : items_) {
    if (one.team == &it->second && one.what == kind::transaction) end(one);
  }
}

void fair_queue::take(const slot_released& e) {
  auto it = items_.find(e.id);
  if (it == items_.end() || !it->second.granted) return;
  auto& done = it->second;
  auto& team = *done.team;
  double seconds = to_seconds(now_ - done.started);
  auto& expected = service_seconds_[index_of(done.what)];
  expected += (seconds - expected) * learning_share;
  if (done.deadline_hook::is_linked()) {
    deadlines_.erase(deadlines_.iterator_to(done));
  }
  if (done.what == kind::transaction) --transactions_;
  --running_;
  --team.running;
  pay_so_far(done);
  if (!team.active()) active_weight_ -= team.weight;
  items_.erase(it);
}

void fair_queue::take(const transaction_busy& e) {
  auto it = items_.find(e.id);
  if (it == items_.end() || !it->second.granted) return;
  auto& one = it->second;
  if (one.what != kind::transaction || one.ending) return;
  pay_so_far(one);
  auto held = one.started + settings_.transaction_hold;
  auto idle = now_ + settings_.transaction_idle;
  set_deadline(one, e.busy ? held : std::min(held, idle));
}

void fair_queue::take(const slots_changed& e) { slots_ = e.slots; }

void fair_queue::take(const upstream_lost& e) {
  for (auto& [id, team] : teams_) refuse_waiting(team, e.why, e.retry_after);
}

void fair_queue::take(const upstream_leaving& e) { leaving_ = e.leaving; }

void fair_queue::take(const queue_timer&) {
  while (!deadlines_.empty() && deadlines_.begin()->deadline <= now_) {
    auto& late = *deadlines_.begin();
    if (late.granted) {
      end(late);
      continue;
    }
    auto wait = expected_wait(*late.team, late.what);
    drop(late, reason_code::deadline,
         std::max(wait, settings_.least_retry_after));
  }
}

void fair_queue::refuse(std::uint64_t id, reason_code why,
                        duration retry_after) {
  out_.push_back(refuse_slot{id, why, retry_after});
}

void fair_queue::drop(item& waiting, reason_code why, duration retry_after) {
  refuse(waiting.id, why, retry_after);
  auto& team = *waiting.team;
  auto id = waiting.id;
  unlink(waiting);
  if (!team.active()) active_weight_ -= team.weight;
  items_.erase(id);
}

void fair_queue::refuse_waiting(team_queue& team, reason_code why,
                                duration retry_after) {
  for (auto& one : team.flows) {
    while (!one.waiting.empty()) drop(one.waiting.front(), why, retry_after);
  }
}

// A team that comes back after a pause has a small claim on the time before,
// so that its short bursts do not wait behind a team that never pauses.
void fair_queue::push(item& arrived) {
  auto& team = *arrived.team;
  if (!team.active()) {
    active_weight_ += team.weight;
    double credit = to_seconds(settings_.pause_credit) / team.weight;
    team.tag = std::max(team.tag, virtual_time_ - credit);
  }
  auto& queue = team.flows[index_of(arrived.what)];
  queue.waiting.push_back(arrived);
  if (!queue.is_linked()) insert(queue, arrived.what);
  deadlines_.insert(arrived);
  ++team.waiting;
  ++waiting_[index_of(arrived.what)];
}

void fair_queue::unlink(item& waiting) {
  auto& team = *waiting.team;
  auto index = index_of(waiting.what);
  auto& queue = team.flows[index];
  queue.waiting.erase(queue.waiting.iterator_to(waiting));
  if (queue.waiting.empty()) {
    ready_[index].erase(ready_[index].iterator_to(queue));
  }
  deadlines_.erase(deadlines_.iterator_to(waiting));
  --team.waiting;
  --waiting_[index];
}

void fair_queue::pump() {
  while (running_ < slots_) {
    auto* next = next_flow();
    if (next == nullptr) return;
    auto& first = next->waiting.front();
    if (first.deadline > now_) {
      grant(first);
    } else {
      drop(first, reason_code::deadline, settings_.least_retry_after);
    }
  }
}

fair_queue::flow* fair_queue::next_flow() {
  auto& singles = ready_[index_of(kind::single)];
  auto& begins = ready_[index_of(kind::transaction)];
  flow* single = singles.empty() ? nullptr : &*singles.begin();
  bool may_begin = transactions_ < transaction_slots() && !begins.empty();
  flow* begin = may_begin ? &*begins.begin() : nullptr;
  if (single == nullptr || begin == nullptr) {
    return single != nullptr ? single : begin;
  }
  return lower_tag()(*begin, *single) ? begin : single;
}

void fair_queue::grant(item& next) {
  auto& team = *next.team;
  virtual_time_ = std::max(virtual_time_, team.tag);
  unlink(next);
  ++running_;
  ++team.running;
  next.granted = true;
  next.started = now_;
  next.charged = service_seconds_[index_of(next.what)];
  charge(team, next.charged);
  if (next.what == kind::transaction) {
    ++transactions_;
    next.deadline = now_ + settings_.transaction_hold;
    deadlines_.insert(next);
  }
  out_.push_back(grant_slot{next.id});
}

// Corrects what was paid in advance; a transaction pays at each of its steps.
void fair_queue::pay_so_far(item& one) {
  double seconds = to_seconds(now_ - one.started);
  charge(*one.team, seconds - one.charged);
  one.charged = seconds;
}

void fair_queue::charge(team_queue& team, double seconds) {
  leave_sets(team);
  team.tag += seconds / team.weight;
  join_sets(team);
}

void fair_queue::insert(flow& ready, kind what) {
  ready.turn = ++turn_;
  ready_[index_of(what)].insert(ready);
}

void fair_queue::leave_sets(team_queue& team) {
  for (std::size_t i = 0; i < kinds; ++i) {
    auto& one = team.flows[i];
    if (one.is_linked()) ready_[i].erase(ready_[i].iterator_to(one));
  }
}

void fair_queue::join_sets(team_queue& team) {
  for (std::size_t i = 0; i < kinds; ++i) {
    auto& one = team.flows[i];
    if (!one.waiting.empty()) insert(one, static_cast<kind>(i));
  }
}

void fair_queue::set_deadline(item& one, instant at) {
  deadlines_.erase(deadlines_.iterator_to(one));
  one.deadline = at;
  deadlines_.insert(one);
}

void fair_queue::end(item& transaction) {
  if (!transaction.granted || transaction.ending) return;
  transaction.ending = true;
  deadlines_.erase(deadlines_.iterator_to(transaction));
  out_.push_back(end_transaction{transaction.id});
}

// Amortised: each look is paid by as many teams that came since the last.
void fair_queue::forget_idle_teams() {
  if (teams_.size() < forget_at_) return;
  std::erase_if(teams_, [this](const auto& entry) {
    return !entry.second.active() && entry.second.tag <= virtual_time_;
  });
  forget_at_ = std::max(least_forget_at, teams_.size() * 2);
}

void fair_queue::plan_wake() {
  auto next =
      deadlines_.empty() ? instant::max() : deadlines_.begin()->deadline;
  // A wake that comes too early does no harm, so only earlier ones are said.
  if (wake_ <= now_) wake_ = instant::max();
  if (next >= wake_) return;
  wake_ = next;
  out_.push_back(queue_wake{wake_});
}

}  // namespace toucanmux
