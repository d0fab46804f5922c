#include "toucanmux/process/fair-queue.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Weight of a new measurement in the moving average of the service time.
constexpr double smoothing_factor = 1.0 / 16;
// Idle teams are erased when the number of teams has doubled since the last
// sweep, but not below this number.
constexpr std::size_t min_sweep_size = 64;

double to_seconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

duration to_duration(double seconds) {
  return duration(static_cast<duration::rep>(seconds * 1e6));
}

}  // namespace

struct fair_queue::team_queue {
  double weight = 1;
  /// Virtual time up to which the team has been served.
  double virtual_finish = 0;
  std::size_t waiting = 0;
  std::size_t running = 0;
  flow flows[kind_count];

  bool active() const { return waiting + running > 0; }
};

bool fair_queue::lower_virtual_finish::operator()(const flow& a,
                                                  const flow& b) const {
  if (a.team->virtual_finish != b.team->virtual_finish)
    return a.team->virtual_finish < b.team->virtual_finish;
  return a.insertion_number < b.insertion_number;
}

fair_queue::fair_queue(const settings& values)
    : settings_(values), slots_(values.slots), sweep_size_(min_sweep_size) {
  for (auto& seconds : expected_service_seconds_) {
    seconds = to_seconds(values.service_time);
  }
}

fair_queue::~fair_queue() {
  deadlines_.clear();
  for (auto& set : ready_flows_) set.clear();
  for (auto& [id, team] : teams_) {
    for (auto& queue : team.flows) queue.waiting.clear();
  }
}

fair_queue::actions fair_queue::step(instant now, const event& new_event) {
  now_ = std::max(now, now_);
  std::visit([this](const auto& handled_event) { handle(handled_event); },
             new_event);
  grant_free_slots();
  schedule_wake();
  return std::exchange(actions_, {});
}

std::uint32_t fair_queue::transaction_slots() const {
  return slots_ > 1 ? slots_ - 1 : slots_;
}

void fair_queue::handle(const slot_wanted& request) {
  if (requests_.contains(request.id)) return;
  if (leaving_) {
    return refuse(request.id, reason_code::leaving,
                  settings_.least_retry_after);
  }
  auto kind =
      request.transaction ? request_kind::transaction : request_kind::single;
  auto& team = find_team(request);
  auto cause = refusal_cause(team, request.time_left, kind);
  if (cause != reason_code::none) {
    auto wait = expected_wait(team, kind);
    return refuse(request.id, cause,
                  std::max(wait, settings_.least_retry_after));
  }
  auto& arrived = requests_[request.id];
  arrived.id = request.id;
  arrived.team = &team;
  arrived.kind = kind;
  // It still has to run before the deadline; with a free slot it is tried.
  auto latest_start = request.time_left - expected_service();
  arrived.deadline = now_ + std::max(latest_start, duration(1));
  enqueue(arrived);
}

fair_queue::team_queue& fair_queue::find_team(const slot_wanted& request) {
  erase_idle_teams();
  auto [it, added] = teams_.try_emplace(request.team);
  auto& team = it->second;
  if (added) {
    for (auto& queue : team.flows) queue.team = &team;
  }
  double weight = request.weight > 0 ? request.weight : 1;
  if (team.active()) active_weight_ += weight - team.weight;
  team.weight = weight;
  return team;
}

reason_code fair_queue::refusal_cause(const team_queue& team,
                                      duration time_left,
                                      request_kind kind) const {
  if (team.waiting >= settings_.team_limit) return reason_code::queue_full;
  if (waiting() >= settings_.total_limit) return reason_code::queue_full;
  if (time_left <= duration(0)) return reason_code::deadline;
  auto wait = expected_wait(team, kind);
  if (wait == duration(0)) return reason_code::none;
  return wait + expected_service() > time_left ? reason_code::deadline
                                               : reason_code::none;
}

// Of a transaction, only the first statement has to end before the deadline.
duration fair_queue::expected_service() const {
  return to_duration(expected_service_seconds_[index_of(request_kind::single)]);
}

// Returns the smaller of two upper bounds: the time to serve the team's waiting
// requests with its share of the slots, and the time to serve all waiting
// requests with all slots.
duration fair_queue::expected_wait(const team_queue& team,
                                   request_kind kind) const {
  auto free = free_slots(kind);
  auto index = index_of(kind);
  if (waiting_[index] == 0 && free > 0) return duration(0);
  auto slots =
      kind == request_kind::transaction
          ? transaction_slots()
          : slots_ - std::min<std::size_t>(slots_, running_transactions_);
  double seconds_per_grant =
      expected_service_seconds_[index] /
      static_cast<double>(std::max<std::size_t>(slots, 1));
  double weight = active_weight_ + (team.active() ? 0 : team.weight);
  auto team_waiting = static_cast<double>(team.flows[index].waiting.size());
  auto total_waiting = static_cast<double>(waiting_[index]);
  return to_duration(
      std::min(team_waiting * weight / team.weight, total_waiting) *
          seconds_per_grant +
      seconds_per_grant);
}

std::size_t fair_queue::free_slots(request_kind kind) const {
  auto free = slots_ - std::min<std::size_t>(slots_, running_);
  if (kind == request_kind::single) return free;
  auto limit = transaction_slots();
  return std::min(free,
                  limit - std::min<std::size_t>(limit, running_transactions_));
}

void fair_queue::handle(const slot_cancelled& cancelled) {
  auto it = requests_.find(cancelled.id);
  if (it == requests_.end() || it->second.granted) return;
  refuse_queued(it->second, reason_code::none, duration(0));
}

void fair_queue::handle(const team_withdrawn& withdrawn) {
  auto it = teams_.find(withdrawn.team);
  if (it == teams_.end()) return;
  refuse_all_waiting(it->second, reason_code::key_refused, duration(0));
  if (it->second.running == 0) return;
  for (auto& [id, request] : requests_) {
    if (request.team == &it->second &&
        request.kind == request_kind::transaction)
      request_rollback(request);
  }
}

void fair_queue::handle(const slot_released& released) {
  auto it = requests_.find(released.id);
  if (it == requests_.end() || !it->second.granted) return;
  auto& finished = it->second;
  auto& team = *finished.team;
  double seconds = to_seconds(now_ - finished.granted_at);
  auto& expected = expected_service_seconds_[index_of(finished.kind)];
  expected += (seconds - expected) * smoothing_factor;
  if (finished.deadline_hook::is_linked()) {
    deadlines_.erase(deadlines_.iterator_to(finished));
  }
  if (finished.kind == request_kind::transaction) --running_transactions_;
  --running_;
  --team.running;
  charge_actual_time(finished);
  if (!team.active()) active_weight_ -= team.weight;
  requests_.erase(it);
}

void fair_queue::handle(const transaction_busy& change) {
  auto it = requests_.find(change.id);
  if (it == requests_.end() || !it->second.granted) return;
  auto& transaction = it->second;
  if (transaction.kind != request_kind::transaction ||
      transaction.rollback_requested)
    return;
  charge_actual_time(transaction);
  auto hold_end = transaction.granted_at + settings_.transaction_hold;
  auto idle_end = now_ + settings_.transaction_idle;
  set_deadline(transaction,
               change.busy ? hold_end : std::min(hold_end, idle_end));
}

void fair_queue::handle(const slots_changed& change) { slots_ = change.slots; }

void fair_queue::handle(const upstream_lost& loss) {
  for (auto& [id, team] : teams_)
    refuse_all_waiting(team, loss.cause, loss.retry_after);
}

void fair_queue::handle(const upstream_leaving& change) {
  leaving_ = change.leaving;
}

void fair_queue::handle(const queue_timer&) {
  while (!deadlines_.empty() && deadlines_.begin()->deadline <= now_) {
    auto& expired = *deadlines_.begin();
    if (expired.granted) {
      request_rollback(expired);
      continue;
    }
    refuse_late(expired);
  }
}

void fair_queue::refuse_late(slot_request& request) {
  auto wait = expected_wait(*request.team, request.kind);
  refuse_queued(request, reason_code::deadline,
                std::max(wait, settings_.least_retry_after));
}

void fair_queue::refuse(std::uint64_t id, reason_code cause,
                        duration retry_after) {
  actions_.push_back(refuse_slot{id, cause, retry_after});
}

void fair_queue::refuse_queued(slot_request& request, reason_code cause,
                               duration retry_after) {
  refuse(request.id, cause, retry_after);
  auto& team = *request.team;
  auto id = request.id;
  dequeue(request);
  if (!team.active()) active_weight_ -= team.weight;
  requests_.erase(id);
}

void fair_queue::refuse_all_waiting(team_queue& team, reason_code cause,
                                    duration retry_after) {
  for (auto& queue : team.flows) {
    while (!queue.waiting.empty())
      refuse_queued(queue.waiting.front(), cause, retry_after);
  }
}

// A team that was idle gets a bounded credit, so that its short bursts do not
// wait behind a team that always has requests.
void fair_queue::enqueue(slot_request& arrived) {
  auto& team = *arrived.team;
  if (!team.active()) {
    active_weight_ += team.weight;
    double credit = to_seconds(settings_.pause_credit) / team.weight;
    team.virtual_finish = std::max(team.virtual_finish, virtual_time_ - credit);
  }
  auto& queue = team.flows[index_of(arrived.kind)];
  queue.waiting.push_back(arrived);
  if (!queue.is_linked()) insert(queue, arrived.kind);
  deadlines_.insert(arrived);
  ++team.waiting;
  ++waiting_[index_of(arrived.kind)];
}

void fair_queue::dequeue(slot_request& request) {
  auto& team = *request.team;
  auto index = index_of(request.kind);
  auto& queue = team.flows[index];
  queue.waiting.erase(queue.waiting.iterator_to(request));
  if (queue.waiting.empty()) {
    ready_flows_[index].erase(ready_flows_[index].iterator_to(queue));
  }
  deadlines_.erase(deadlines_.iterator_to(request));
  --team.waiting;
  --waiting_[index];
}

void fair_queue::grant_free_slots() {
  while (running_ < slots_) {
    auto* next = next_flow();
    if (next == nullptr) return;
    auto& first = next->waiting.front();
    if (first.deadline > now_) {
      grant(first);
    } else {
      refuse_late(first);
    }
  }
}

fair_queue::flow* fair_queue::next_flow() {
  auto& singles = ready_flows_[index_of(request_kind::single)];
  auto& transactions = ready_flows_[index_of(request_kind::transaction)];
  flow* single = singles.empty() ? nullptr : &*singles.begin();
  bool may_grant_transaction =
      running_transactions_ < transaction_slots() && !transactions.empty();
  flow* transaction = may_grant_transaction ? &*transactions.begin() : nullptr;
  if (single == nullptr || transaction == nullptr) {
    return single != nullptr ? single : transaction;
  }
  return lower_virtual_finish()(*transaction, *single) ? transaction : single;
}

void fair_queue::grant(slot_request& next) {
  auto& team = *next.team;
  virtual_time_ = std::max(virtual_time_, team.virtual_finish);
  dequeue(next);
  ++running_;
  ++team.running;
  next.granted = true;
  next.granted_at = now_;
  next.charged_seconds = expected_service_seconds_[index_of(next.kind)];
  charge(team, next.charged_seconds);
  if (next.kind == request_kind::transaction) {
    ++running_transactions_;
    next.deadline = now_ + settings_.transaction_hold;
    deadlines_.insert(next);
  }
  actions_.push_back(grant_slot{next.id});
}

// Replaces the estimate charged in advance by the actual time. Transactions are
// charged at the start and end of each statement.
void fair_queue::charge_actual_time(slot_request& request) {
  double seconds = to_seconds(now_ - request.granted_at);
  charge(*request.team, seconds - request.charged_seconds);
  request.charged_seconds = seconds;
}

void fair_queue::charge(team_queue& team, double seconds) {
  erase_from_ready_flows(team);
  team.virtual_finish += seconds / team.weight;
  insert_into_ready_flows(team);
}

void fair_queue::insert(flow& ready, request_kind kind) {
  ready.insertion_number = ++last_insertion_;
  ready_flows_[index_of(kind)].insert(ready);
}

void fair_queue::erase_from_ready_flows(team_queue& team) {
  for (std::size_t i = 0; i < kind_count; ++i) {
    auto& queue = team.flows[i];
    if (queue.is_linked())
      ready_flows_[i].erase(ready_flows_[i].iterator_to(queue));
  }
}

void fair_queue::insert_into_ready_flows(team_queue& team) {
  for (std::size_t i = 0; i < kind_count; ++i) {
    auto& queue = team.flows[i];
    if (!queue.waiting.empty()) insert(queue, static_cast<request_kind>(i));
  }
}

void fair_queue::set_deadline(slot_request& request, instant at) {
  deadlines_.erase(deadlines_.iterator_to(request));
  request.deadline = at;
  deadlines_.insert(request);
}

void fair_queue::request_rollback(slot_request& transaction) {
  if (!transaction.granted || transaction.rollback_requested) return;
  transaction.rollback_requested = true;
  deadlines_.erase(deadlines_.iterator_to(transaction));
  actions_.push_back(end_transaction{transaction.id});
}

// Takes amortized constant time per new team.
void fair_queue::erase_idle_teams() {
  if (teams_.size() < sweep_size_) return;
  std::erase_if(teams_, [this](const auto& entry) {
    return !entry.second.active() &&
           entry.second.virtual_finish <= virtual_time_;
  });
  sweep_size_ = std::max(min_sweep_size, teams_.size() * 2);
}

void fair_queue::schedule_wake() {
  auto next =
      deadlines_.empty() ? instant::max() : deadlines_.begin()->deadline;
  // A wake-up that is too early does no harm, so the timer is moved only to an
  // earlier time.
  if (wake_at_ <= now_) wake_at_ = instant::max();
  if (next >= wake_at_) return;
  wake_at_ = next;
  actions_.push_back(queue_wake{wake_at_});
}

}  // namespace toucanmux
