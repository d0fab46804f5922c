#include "process/database-worker.h"

#include <algorithm>

#include "process/clock.h"
#include "process/log.h"
#include "process/recorder.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::chrono::milliseconds reopen_delay{100};
constexpr std::chrono::milliseconds come_back{250};

// Four teams can fill the queue of one database.
constexpr int teams_to_fill = 4;

fair_queue::settings make_settings(const database_worker::limits& bounds) {
  fair_queue::settings out;
  out.slots = 0;  // Until a connection is open.
  out.total_limit = static_cast<std::uint32_t>(bounds.queue);
  out.team_limit = std::max(1U, out.total_limit / teams_to_fill);
  out.transaction_idle = bounds.transaction_idle;
  return out;
}

bool is_single(const statement& what) {
  return what.step == statement_step::single ||
         what.step == statement_step::begin;
}

}  // namespace

struct database_worker::job {
  statement what;
  link_origin from;
  bool forgotten = false;  ///< Its transaction is rolled back.
};

// A connection and what it does. A transaction keeps its slot until it ends.
struct database_worker::connection_slot {
  upstream_connection connection;
  bool open = false;
  std::unique_ptr<job> running;
  std::uint64_t ticket = 0;  ///< Of the queue; 0 if it holds no slot.
  std::uint64_t transaction = 0;
  link_origin owner;
  team_id team;

  bool free() const {
    return open && connection.usable() && !running && ticket == 0;
  }
};

database_worker::database_worker(const database& target, const limits& bounds,
                                 answer_function reply)
    : target_(target),
      bounds_(bounds),
      reply_(std::move(reply)),
      trace_id_("queue-" + target.id.value),
      queue_(make_settings(bounds)) {
  process_recorder().built<fair_queue>(trace_id_, "fair_queue",
                                       make_settings(bounds));
  QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
  timer_.start(tick_interval);
  wake_timer_.setSingleShot(true);
  wake_timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&wake_timer_, &QTimer::timeout,
                   [this] { step(queue_timer()); });
}

database_worker::~database_worker() = default;

bool database_worker::idle() const {
  return waiting_.empty() && queue_.running() == 0;
}

void database_worker::drain() {
  draining_ = true;
  step(upstream_leaving{true});
}

bool database_worker::on_replica() const {
  return state_.hint.primary != target_.id;
}

void database_worker::submit(statement&& what, const link_origin& from) {
  auto made = std::make_unique<job>();
  made->what = std::move(what);
  made->from = from;
  if (!is_single(made->what)) return run_in_transaction(std::move(made));
  queue_job(std::move(made));
}

void database_worker::queue_job(std::unique_ptr<job> made) {
  if (lacks_primary(made->what)) {
    return refuse(*made, reason_code::no_primary, state_.hint.retry_after);
  }
  slot_wanted e;
  e.id = ++last_ticket_;
  e.team = made->what.team;
  e.weight = made->what.weight;
  e.transaction = made->what.step == statement_step::begin;
  e.time_left = made->what.time_left;
  waiting_.emplace(e.id, std::move(made));
  step(e);
  open_connection();
}

bool database_worker::lacks_primary(const statement& what) const {
  if (what.access == access_class::read) return false;
  return on_replica() || !state_.hint.writable;
}

void database_worker::step(const fair_queue::event& event) {
  auto actions = process_recorder().step(queue_, trace_id_, now(), event);
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { carry_out(a); }, action);
  }
}

// The primary may have changed while the statement waited.
void database_worker::carry_out(const grant_slot& action) {
  auto it = waiting_.find(action.id);
  auto made = std::move(it->second);
  waiting_.erase(it);
  auto* slot = idle_connection();
  if (slot == nullptr || lacks_primary(made->what)) {
    auto why =
        slot == nullptr ? reason_code::no_upstream : reason_code::no_primary;
    refuse(*made, why, std::max<duration>(come_back, state_.hint.retry_after));
    return step(slot_released{action.id});
  }
  slot->ticket = action.id;
  run(*slot, std::move(made));
}

void database_worker::carry_out(const refuse_slot& action) {
  auto it = waiting_.find(action.id);
  refuse(*it->second, action.cause, action.retry_after);
  waiting_.erase(it);
}

void database_worker::carry_out(const end_transaction& action) {
  for (auto& slot : connections_) {
    if (slot->ticket != action.id) continue;
    if (!slot->running) return roll_back(*slot);
    slot->running->forgotten = true;
  }
}

void database_worker::carry_out(const queue_wake& action) {
  auto left = std::max(duration(0), action.at - now());
  wake_timer_.start(std::chrono::ceil<std::chrono::milliseconds>(left));
}

// A broken connection is counted out before its slot can be granted again.
void database_worker::release(connection_slot& slot) {
  slot.transaction = 0;
  auto ticket = std::exchange(slot.ticket, 0);
  count_slots();
  if (ticket != 0) step(slot_released{ticket});
}

// Only what has a connection can run.
void database_worker::count_slots() {
  auto held = std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& one) { return one->free() || one->ticket != 0; });
  auto slots = std::min(static_cast<std::uint32_t>(held), target_.slots);
  if (slots == slots_) return;
  slots_ = slots;
  step(slots_changed{slots});
}

void database_worker::run_in_transaction(std::unique_ptr<job> made) {
  for (auto& slot : connections_) {
    bool same = slot->transaction == made->what.transaction &&
                slot->owner == made->from && slot->team == made->what.team;
    if (!same) continue;
    if (slot->running) return refuse(*made, reason_code::bad_request, {});
    return run(*slot, std::move(made));
  }
  refuse(*made, reason_code::transaction_gone, {});
}

database_worker::connection_slot* database_worker::idle_connection() {
  for (auto& slot : connections_) {
    if (slot->free()) return slot.get();
  }
  return nullptr;
}

void database_worker::open_connection() {
  auto held = static_cast<int>(connections_.size());
  auto missing = static_cast<int>(target_.slots) - held;
  auto wanted = std::min(static_cast<int>(waiting_.size()), missing + opening_);
  if (opening_ >= wanted || held >= bounds_.connections) return;
  if (now() < open_again_) return;
  ++opening_;
  auto& slot = *connections_.emplace_back(std::make_unique<connection_slot>());
  slot.connection.open(
      {target_.address, target_.port, "toucanmux"},
      [this, &slot](const open_result& result) { opened(slot, result); });
  open_connection();
}

void database_worker::opened(connection_slot& slot, const open_result& result) {
  --opening_;
  if (result.ok) {
    slot.open = true;
    slot.connection.when_lost([this, &slot] { lost(slot); });
    return count_slots();
  }
  log_debug(log_part::upstreams,
            target_.id.value + " refused a connection: " + result.message);
  open_again_ = now() + reopen_delay;
  drop(slot);
  bool none = std::none_of(connections_.begin(), connections_.end(),
                           [](const auto& one) { return one->open; });
  if (!none) return;
  auto why = result.connection_limit_reached ? reason_code::upstream_full
                                             : reason_code::no_upstream;
  step(upstream_lost{why, come_back});
}

// A connection broke while nothing ran on it; its transaction is rolled back.
void database_worker::lost(connection_slot& slot) {
  release(slot);
  drop(slot);
}

void database_worker::run(connection_slot& slot, std::unique_ptr<job> made) {
  slot.running = std::move(made);
  if (slot.transaction != 0) step(transaction_busy{slot.ticket, true});
  slot.connection.run(slot.running->what, on_replica(),
                      [this, &slot](answer got) { ran(slot, std::move(got)); });
}

void database_worker::ran(connection_slot& slot, answer&& got) {
  auto done = std::move(slot.running);
  settle(slot, *done, got);
  got.id = done->what.id;
  got.from_replica = on_replica();
  // The rollbacks of the worker's own have no id.
  bool lost = !slot.connection.usable();
  if (lost) {
    log_info(log_part::upstreams, "Lost a connection to " + target_.id.value +
                                      " in use: " + got.message);
  }
  if (got.id != 0) reply_(done->from, std::move(got));
  if (lost) return drop(slot);
  open_connection();
}

// Keeps the books of slots and transactions when a statement has ended.
void database_worker::settle(connection_slot& slot, const job& done,
                             answer& got) {
  bool began = done.what.step == statement_step::begin &&
               got.outcome == outcome_code::done && !done.forgotten;
  if (began) {
    slot.transaction = ++last_transaction_;
    slot.owner = done.from;
    slot.team = done.what.team;
    got.transaction = slot.transaction;
    return step(transaction_busy{slot.ticket, false});
  }
  bool inside =
      done.what.step == statement_step::inside && slot.connection.usable();
  if (inside && done.forgotten) return roll_back(slot);
  if (inside) return step(transaction_busy{slot.ticket, false});
  bool open_left = done.what.step == statement_step::begin && done.forgotten;
  if (open_left) slot.connection.abandon();
  release(slot);
}

void database_worker::cancel(std::uint64_t id, const link_origin& from) {
  auto same = [&](const job& one) {
    return one.what.id == id && one.from == from;
  };
  drop_waiting(same);
  for (auto& slot : connections_) {
    if (slot->running && same(*slot->running)) slot->running->forgotten = true;
  }
}

template <class Predicate>
void database_worker::drop_waiting(Predicate matches) {
  std::vector<std::uint64_t> dropped;
  for (const auto& [ticket, one] : waiting_) {
    if (matches(*one)) dropped.push_back(ticket);
  }
  for (auto ticket : dropped) step(slot_cancelled{ticket});
}

void database_worker::link_gone(const link_origin& from) {
  drop_waiting([&](const job& one) { return one.from == from; });
  for (auto& slot : connections_) {
    if (slot->running && slot->running->from == from) {
      slot->running->forgotten = true;
    } else if (slot->transaction != 0 && slot->owner == from) {
      roll_back(*slot);
    }
  }
}

void database_worker::roll_back(connection_slot& slot) {
  auto made = std::make_unique<job>();
  made->what.step = statement_step::rollback;
  made->what.access = access_class::transaction;
  made->what.transaction = slot.transaction;
  made->forgotten = true;
  run(slot, std::move(made));
}

void database_worker::update(const database& target, const group_state& state) {
  bool new_term = state.hint.term != state_.hint.term;
  bool leaves = target.leaving != target_.leaving;
  bool moved = target.address != target_.address || target.port != target_.port;
  target_ = target;
  state_ = state;
  if (leaves) step(upstream_leaving{draining_ || target_.leaving});
  count_slots();
  if (!new_term && !moved) return;
  for (auto& slot : connections_) {
    // A busy connection of the old term ends with its statement.
    if (slot->free()) slot->connection.abandon();
  }
  std::erase_if(connections_, [](const auto& slot) {
    return slot->open && !slot->running && slot->ticket == 0 &&
           !slot->connection.usable();
  });
  count_slots();
  open_connection();
}

void database_worker::refuse(const job& one, reason_code why,
                             duration retry_after) {
  answer out;
  out.id = one.what.id;
  out.outcome = outcome_code::not_run;
  out.reason = why;
  out.retry_after = retry_after;
  reply_(one.from, std::move(out));
}

void database_worker::drop(connection_slot& slot) {
  // The connection may be in one of its own calls: it goes a turn later.
  auto it = std::find_if(connections_.begin(), connections_.end(),
                         [&](const auto& one) { return one.get() == &slot; });
  std::shared_ptr<connection_slot> gone = std::move(*it);
  connections_.erase(it);
  gone->connection.close();
  count_slots();
  QTimer::singleShot(0, &timer_, [gone] {});
}

void database_worker::tick() {
  count_slots();
  open_connection();
}

}  // namespace toucanmux
