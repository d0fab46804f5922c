#include "process/database-worker.h"

#include <algorithm>

#include "process/clock.h"
#include "process/log.h"
#include "process/recorder.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::chrono::milliseconds reopen_delay{100};
constexpr std::chrono::milliseconds default_retry_after{250};

// At least four teams are needed to fill the queue of one database.
constexpr int teams_to_fill_queue = 4;

fair_queue::settings make_settings(const database_worker::limits& bounds) {
  fair_queue::settings out;
  out.slots = 0;  // A slot needs an open connection.
  out.total_limit = static_cast<std::uint32_t>(bounds.queue);
  out.team_limit = std::max(1U, out.total_limit / teams_to_fill_queue);
  out.transaction_idle = bounds.transaction_idle_timeout;
  return out;
}

bool needs_new_slot(const statement& request) {
  return request.step == statement_step::single ||
         request.step == statement_step::begin;
}

}  // namespace

struct database_worker::job {
  statement request;
  link_origin from;
  bool cancelled = false;  ///< Roll back its transaction when it ends.
};

// A connection with the statement or transaction that uses it. A transaction
// keeps its slot until it ends.
struct database_worker::connection_slot {
  upstream_connection connection;
  bool open = false;
  std::unique_ptr<job> running;
  std::uint64_t ticket = 0;  ///< The queue's id of the slot; 0 if none is held.
  std::uint64_t transaction = 0;  ///< 0 if none is open.
  link_origin owner;              ///< The link that began the transaction.
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
  process_recorder().record_construction<fair_queue>(trace_id_, "fair_queue",
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

void database_worker::submit(statement&& request, const link_origin& from) {
  auto new_job = std::make_unique<job>();
  new_job->request = std::move(request);
  new_job->from = from;
  if (!needs_new_slot(new_job->request))
    return run_in_transaction(std::move(new_job));
  queue_job(std::move(new_job));
}

void database_worker::queue_job(std::unique_ptr<job> new_job) {
  if (lacks_primary(new_job->request)) {
    return refuse(*new_job, reason_code::no_primary, state_.hint.retry_after);
  }
  slot_wanted wanted;
  wanted.id = ++last_ticket_;
  wanted.team = new_job->request.team;
  wanted.weight = new_job->request.weight;
  wanted.transaction = new_job->request.step == statement_step::begin;
  wanted.time_left = new_job->request.time_left;
  waiting_.emplace(wanted.id, std::move(new_job));
  step(wanted);
  open_connection();
}

bool database_worker::lacks_primary(const statement& request) const {
  if (request.access == access_class::read) return false;
  return on_replica() || !state_.hint.writable;
}

void database_worker::step(const fair_queue::event& event) {
  auto actions = process_recorder().step(queue_, trace_id_, now(), event);
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { execute(a); }, action);
  }
}

// Checks again for a primary, which may have changed while the statement
// waited.
void database_worker::execute(const grant_slot& action) {
  auto it = waiting_.find(action.id);
  auto new_job = std::move(it->second);
  waiting_.erase(it);
  auto* slot = idle_connection();
  if (slot == nullptr || lacks_primary(new_job->request)) {
    auto cause =
        slot == nullptr ? reason_code::no_upstream : reason_code::no_primary;
    refuse(*new_job, cause,
           std::max<duration>(default_retry_after, state_.hint.retry_after));
    return step(slot_released{action.id});
  }
  slot->ticket = action.id;
  run(*slot, std::move(new_job));
}

void database_worker::execute(const refuse_slot& action) {
  auto it = waiting_.find(action.id);
  refuse(*it->second, action.cause, action.retry_after);
  waiting_.erase(it);
}

void database_worker::execute(const end_transaction& action) {
  for (auto& slot : connections_) {
    if (slot->ticket != action.id) continue;
    if (!slot->running) return roll_back(*slot);
    slot->running->cancelled = true;
  }
}

void database_worker::execute(const queue_wake& action) {
  auto delay = std::max(duration(0), action.at - now());
  wake_timer_.start(std::chrono::ceil<std::chrono::milliseconds>(delay));
}

// Updates the slot count first, so that the slot of a broken connection can't
// be granted again.
void database_worker::release_slot(connection_slot& slot) {
  slot.transaction = 0;
  auto ticket = std::exchange(slot.ticket, 0);
  update_slot_count();
  if (ticket != 0) step(slot_released{ticket});
}

// Gives the queue one slot for each connection that is free or holds a ticket,
// up to the database's slots.
void database_worker::update_slot_count() {
  auto usable = std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& one) { return one->free() || one->ticket != 0; });
  auto slots = std::min(static_cast<std::uint32_t>(usable), target_.slots);
  if (slots == announced_slots_) return;
  announced_slots_ = slots;
  step(slots_changed{slots});
}

void database_worker::run_in_transaction(std::unique_ptr<job> new_job) {
  for (auto& slot : connections_) {
    bool matches = slot->transaction == new_job->request.transaction &&
                   slot->owner == new_job->from &&
                   slot->team == new_job->request.team;
    if (!matches) continue;
    if (slot->running) return refuse(*new_job, reason_code::bad_request, {});
    return run(*slot, std::move(new_job));
  }
  refuse(*new_job, reason_code::transaction_gone, {});
}

database_worker::connection_slot* database_worker::idle_connection() {
  for (auto& slot : connections_) {
    if (slot->free()) return slot.get();
  }
  return nullptr;
}

void database_worker::open_connection() {
  auto existing = static_cast<int>(connections_.size());
  auto missing = static_cast<int>(target_.slots) - existing;
  auto wanted = std::min(static_cast<int>(waiting_.size()),
                         missing + opening_connections_);
  if (opening_connections_ >= wanted || existing >= bounds_.connections) return;
  if (now() < reopen_at_) return;
  ++opening_connections_;
  auto& slot = *connections_.emplace_back(std::make_unique<connection_slot>());
  slot.connection.open({target_.address, target_.port, "toucanmux"},
                       [this, &slot](const open_result& result) {
                         handle_open_result(slot, result);
                       });
  open_connection();
}

void database_worker::handle_open_result(connection_slot& slot,
                                         const open_result& result) {
  --opening_connections_;
  if (result.ok) {
    slot.open = true;
    slot.connection.set_idle_loss_handler(
        [this, &slot] { handle_connection_lost(slot); });
    return update_slot_count();
  }
  log_debug(
      log_part::upstreams,
      target_.id.value +
          " refused a connection; retrying after a delay: " + result.message);
  reopen_at_ = now() + reopen_delay;
  remove_connection(slot);
  bool none_open = std::none_of(connections_.begin(), connections_.end(),
                                [](const auto& one) { return one->open; });
  if (!none_open) return;
  auto cause = result.connection_limit_reached ? reason_code::upstream_full
                                               : reason_code::no_upstream;
  step(upstream_lost{cause, default_retry_after});
}

// Handles the loss of a connection that ran no statement. The database rolls
// back the transaction that was open on it.
void database_worker::handle_connection_lost(connection_slot& slot) {
  release_slot(slot);
  remove_connection(slot);
}

void database_worker::run(connection_slot& slot, std::unique_ptr<job> new_job) {
  slot.running = std::move(new_job);
  if (slot.transaction != 0) step(transaction_busy{slot.ticket, true});
  slot.connection.run(
      slot.running->request, on_replica(),
      [this, &slot](answer reply) { handle_answer(slot, std::move(reply)); });
}

void database_worker::handle_answer(connection_slot& slot, answer&& reply) {
  auto finished = std::move(slot.running);
  update_transaction(slot, *finished, reply);
  reply.id = finished->request.id;
  reply.from_replica = on_replica();
  // Rollbacks that the worker itself starts have id 0 and no caller.
  bool lost = !slot.connection.usable();
  if (lost) {
    log_info(log_part::upstreams,
             "Connection to " + target_.id.value +
                 " was lost while a statement ran: " + reply.message);
  }
  if (reply.id != 0) reply_(finished->from, std::move(reply));
  if (lost) return remove_connection(slot);
  open_connection();
}

// Opens, continues or ends the slot's transaction after a statement of it has
// finished; releases the slot if no transaction is left.
void database_worker::update_transaction(connection_slot& slot,
                                         const job& finished, answer& reply) {
  bool began = finished.request.step == statement_step::begin &&
               reply.outcome == outcome_code::done && !finished.cancelled;
  if (began) {
    slot.transaction = ++last_transaction_;
    slot.owner = finished.from;
    slot.team = finished.request.team;
    reply.transaction = slot.transaction;
    return step(transaction_busy{slot.ticket, false});
  }
  bool inside = finished.request.step == statement_step::inside &&
                slot.connection.usable();
  if (inside && finished.cancelled) return roll_back(slot);
  if (inside) return step(transaction_busy{slot.ticket, false});
  bool leaves_open_transaction =
      finished.request.step == statement_step::begin && finished.cancelled;
  if (leaves_open_transaction) slot.connection.abandon();
  release_slot(slot);
}

void database_worker::cancel(std::uint64_t id, const link_origin& from) {
  auto matches = [&](const job& one) {
    return one.request.id == id && one.from == from;
  };
  drop_waiting(matches);
  for (auto& slot : connections_) {
    if (slot->running && matches(*slot->running))
      slot->running->cancelled = true;
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

void database_worker::handle_link_closed(const link_origin& from) {
  drop_waiting([&](const job& one) { return one.from == from; });
  for (auto& slot : connections_) {
    if (slot->running && slot->running->from == from) {
      slot->running->cancelled = true;
    } else if (slot->transaction != 0 && slot->owner == from) {
      roll_back(*slot);
    }
  }
}

void database_worker::roll_back(connection_slot& slot) {
  auto new_job = std::make_unique<job>();
  new_job->request.step = statement_step::rollback;
  new_job->request.access = access_class::transaction;
  new_job->request.transaction = slot.transaction;
  new_job->cancelled = true;
  run(slot, std::move(new_job));
}

void database_worker::update(const database& target, const group_state& state) {
  bool new_term = state.hint.term != state_.hint.term;
  bool leaving_changed = target.leaving != target_.leaving;
  bool moved = target.address != target_.address || target.port != target_.port;
  target_ = target;
  state_ = state;
  if (leaving_changed) step(upstream_leaving{draining_ || target_.leaving});
  update_slot_count();
  if (!new_term && !moved) return;
  for (auto& slot : connections_) {
    // A busy connection of the old term keeps running its statement.
    if (slot->free()) slot->connection.abandon();
  }
  std::erase_if(connections_, [](const auto& slot) {
    return slot->open && !slot->running && slot->ticket == 0 &&
           !slot->connection.usable();
  });
  update_slot_count();
  open_connection();
}

void database_worker::refuse(const job& refused, reason_code cause,
                             duration retry_after) {
  answer out;
  out.id = refused.request.id;
  out.outcome = outcome_code::not_run;
  out.reason = cause;
  out.retry_after = retry_after;
  reply_(refused.from, std::move(out));
}

void database_worker::remove_connection(connection_slot& slot) {
  // The caller may be a callback of this connection, so the connection is
  // destroyed in a later turn of the event loop.
  auto it = std::find_if(connections_.begin(), connections_.end(),
                         [&](const auto& one) { return one.get() == &slot; });
  std::shared_ptr<connection_slot> removed = std::move(*it);
  connections_.erase(it);
  removed->connection.close();
  update_slot_count();
  QTimer::singleShot(0, &timer_, [removed] {});
}

void database_worker::tick() {
  update_slot_count();
  open_connection();
}

}  // namespace toucanmux
