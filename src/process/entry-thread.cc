#include "process/entry-thread.h"

#include <algorithm>
#include <vector>

#include "process/clock.h"

namespace toucanmux {

namespace {

http_limits make_limits(const entry_settings& settings) {
  http_limits limits;
  limits.request_timeout = settings.request_timeout;
  limits.idle_timeout = settings.idle_timeout;
  return limits;
}

http_response make_refusal(const call_fault& fault) {
  call_reply reply;
  reply.outcome = outcome_code::not_run;
  reply.reason = reason_code::bad_request;
  reply.message = fault.remedy;
  auto response = make_response(reply);
  response.status = fault.status;
  return response;
}

}  // namespace

entry_thread::entry_thread(const entry_settings& settings, admit_function admit,
                           statement_metrics& metrics)
    : greeting_{settings.process.self.id, settings.process.self.incarnation},
      tokens_(settings.session_key),
      admit_(std::move(admit)),
      metrics_(metrics),
      view_(new fleet_view),
      server_(
          make_limits(settings),
          [this](auto& caller, http_request&& request) {
            handle_request(caller, std::move(request));
          },
          [this](auto& caller) { handle_caller_closed(caller); }) {}

entry_thread::~entry_thread() {
  requests_.clear_and_dispose([](caller_request* one) { delete one; });
}

void entry_thread::update(fleet_view_ptr view) {
  view_ = std::move(view);
  for (const auto& [id, group] : view_->groups) {
    group_hint new_hint;
    new_hint.group = id;
    new_hint.term = group.term;
    new_hint.primary = group.primary;
    bool known = hints_.contains(id);
    if (!known || hints_.at(id).hint.term < group.term) apply_hint(new_hint);
  }
  for (auto it = requests_.begin(); it != requests_.end();) {
    (it++)->check_key();
  }
}

void entry_thread::drain() { server_.drain(); }

// A connection with a request rolls its transactions back when it is closed.
void entry_thread::end_transactions() {
  std::vector<http_connection*> callers;
  for (const auto& [id, transaction] : transactions_)
    callers.push_back(transaction.caller);
  for (auto* caller : callers) {
    if (!caller->in_request()) roll_back_all(*caller);
    caller->release();
  }
}

pool_link& entry_thread::link(const endpoint& to) {
  auto& slot = links_[to];
  if (slot) return *slot;
  auto hint = [this](const group_hint& new_hint) { apply_hint(new_hint); };
  auto closed = [this, to] { links_.erase(to); };
  slot = std::make_unique<pool_link>(to, greeting_, hint, closed);
  return *slot;
}

void entry_thread::apply_hint(const group_hint& new_hint) {
  merge_hint(hints_[new_hint.group], new_hint, now());
  for (auto it = requests_.begin(); it != requests_.end();) {
    (it++)->hints_changed(new_hint.group);
  }
}

std::vector<candidate> entry_thread::candidates(const database_group& group,
                                                const freshness& wanted) const {
  return rank_candidates(hints_.at(group.id), group.databases, view_->domain,
                         wanted, now());
}

const group_hint* entry_thread::hint(const group_id& group) const {
  auto it = hints_.find(group);
  return it == hints_.end() ? nullptr : &it->second.hint;
}

void entry_thread::observe(const group_id& group, const database_id& database,
                           const log_position& position) {
  auto it = hints_.find(group);
  if (it != hints_.end()) observe_position(it->second, database, position);
}

void entry_thread::observe_read(const group_id& group,
                                const database_id& replica,
                                const log_position& required, bool fresh) {
  auto it = hints_.find(group);
  if (it == hints_.end()) return;
  toucanmux::observe_read(it->second, replica, required, fresh, now());
}

std::uint64_t entry_thread::add_transaction(open_transaction&& opened) {
  opened.caller->hold();
  transactions_.emplace(++last_transaction_id_, std::move(opened));
  return last_transaction_id_;
}

void entry_thread::remove_transaction(std::uint64_t id) {
  auto removed = transactions_.extract(id);
  if (removed.empty()) return;
  auto* caller = removed.mapped().caller;
  bool has_more =
      std::any_of(transactions_.begin(), transactions_.end(),
                  [&](const auto& one) { return one.second.caller == caller; });
  if (!has_more) caller->release();
}

open_transaction* entry_thread::find_transaction(
    std::uint64_t id, const http_connection& caller) {
  auto it = transactions_.find(id);
  if (it == transactions_.end() || it->second.caller != &caller) {
    return nullptr;
  }
  return &it->second;
}

void entry_thread::handle_request(http_connection& caller,
                                  http_request&& request) {
  try {
    auto* created = new caller_request(*this, caller, parse_call(request));
    requests_.push_back(*created);
    created->start();
  } catch (const call_error& e) {
    caller.respond(make_refusal(e.fault()));
  }
}

void entry_thread::handle_caller_closed(http_connection& caller) {
  for (auto it = requests_.begin(); it != requests_.end();) {
    auto& one = *it++;
    if (one.caller() == &caller) one.handle_caller_disconnect();
  }
  roll_back_all(caller);
}

void entry_thread::roll_back_all(const http_connection& caller) {
  for (auto it = transactions_.begin(); it != transactions_.end();) {
    if (it->second.caller != &caller) {
      ++it;
      continue;
    }
    roll_back(it->second);
    it = transactions_.erase(it);
  }
}

void entry_thread::roll_back(const open_transaction& abandoned) {
  statement rollback;
  rollback.team = abandoned.team;
  rollback.group = abandoned.group;
  rollback.database = abandoned.database;
  rollback.access = access_class::transaction;
  rollback.step = statement_step::rollback;
  rollback.transaction = abandoned.id_at_pool;
  rollback.time_left = std::chrono::seconds(5);
  link(abandoned.pool).send(std::move(rollback), [](auto&&) {});
}

}  // namespace toucanmux
