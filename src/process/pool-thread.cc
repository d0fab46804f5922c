#include "process/pool-thread.h"

#include "connection/delivery-watch.h"

namespace toucanmux {

namespace {

answer make_moved(std::uint64_t id) {
  answer out;
  out.id = id;
  out.outcome = outcome_code::moved;
  out.reason = reason_code::no_upstream;
  return out;
}

}  // namespace

// A link from an entry, with the thread that runs each of its statements.
struct pool_thread::entry_link {
  explicit entry_link(int descriptor) : link(descriptor) {}

  // Answers that are left in this process are lost when it ends.
  bool all_sent(instant current_time) {
    if (!link.has_unsent()) {
      delivery = {};
      return true;
    }
    return delivery.check(current_time, link.undelivered()) >=
           default_send_timeout;
  }

  frame_link link;
  delivery_watch delivery;
  std::unordered_map<std::uint64_t, std::size_t> waiting;
};

pool_thread::pool_thread(std::size_t number, std::size_t count,
                         const pool_settings& settings, post_function post)
    : number_(number),
      count_(count),
      self_(settings.process.self),
      limits_{settings.connections_per_database, settings.queue_limit,
              settings.transaction_idle_timeout},
      post_(std::move(post)),
      view_(new fleet_view) {}

pool_thread::~pool_thread() = default;

void pool_thread::adopt(qintptr descriptor) {
  auto id = ++last_link_;
  auto entry = std::make_unique<entry_link>(static_cast<int>(descriptor));
  entry->link.on(
      [this, id](link_message&& message) {
        handle_message(id, std::move(message));
      },
      [this, id] { handle_link_closed(id); });
  for (const auto& [group, state] : group_states_) entry->link.send(state.hint);
  links_.emplace(id, std::move(entry));
}

void pool_thread::update(fleet_view_ptr view) {
  view_ = std::move(view);
  for (const auto& [id, group] : view_->groups) update_workers(group);
}

void pool_thread::update_workers(const database_group& group) {
  for (const auto& target : group.databases) {
    auto it = workers_.find(target.id);
    if (it != workers_.end())
      it->second->update(target, group_states_[group.id]);
  }
}

void pool_thread::update(const group_state& state) {
  group_states_[state.hint.group] = state;
  for (auto& [id, one] : links_) one->link.send(state.hint);
  auto group = view_->groups.find(state.hint.group);
  if (group != view_->groups.end()) update_workers(group->second);
}

void pool_thread::drain() {
  draining_ = true;
  for (auto& [id, worker] : workers_) worker->drain();
}

bool pool_thread::idle(instant current_time) {
  for (const auto& [id, worker] : workers_) {
    if (!worker->idle()) return false;
  }
  // The first check of a link starts its timeout.
  bool all_sent = true;
  for (const auto& [id, one] : links_)
    all_sent = one->all_sent(current_time) && all_sent;
  return all_sent;
}

void pool_thread::handle_message(std::uint64_t link, link_message&& message) {
  link_origin from{number_, link};
  std::visit(
      overloaded{
          [&](statement& request) { dispatch(std::move(request), from); },
          [&](cancel& request) { cancel_statement(request.id, from); },
          [](auto&) {}},
      message);
}

// The answer to the cancelled statement may arrive before this returns.
void pool_thread::cancel_statement(std::uint64_t id, const link_origin& from) {
  auto waiting = links_.at(from.link)->waiting.extract(id);
  if (waiting.empty()) return;
  run_on_thread(waiting.mapped(), [id, from](pool_thread& other) {
    for (auto& [name, worker] : other.workers_) worker->cancel(id, from);
  });
}

void pool_thread::dispatch(statement&& request, const link_origin& from) {
  auto thread = thread_of(request.database);
  links_.at(from.link)->waiting.emplace(request.id, thread);
  if (thread == number_) return submit(std::move(request), from);
  run_on_thread(
      thread, [request = std::move(request), from](pool_thread& other) mutable {
        other.submit(std::move(request), from);
      });
}

void pool_thread::submit(statement&& request, const link_origin& from) {
  if (auto* worker = worker_for(request))
    return worker->submit(std::move(request), from);
  run_on_thread(from.thread, [id = request.id, from](pool_thread& other) {
    other.deliver(from.link, make_moved(id));
  });
}

void pool_thread::deliver(std::uint64_t link, answer&& reply) {
  auto it = links_.find(link);
  if (it == links_.end()) return;
  it->second->waiting.erase(reply.id);
  it->second->link.send(std::move(reply));
}

void pool_thread::handle_link_closed(std::uint64_t link) {
  links_.erase(link);
  link_origin from{number_, link};
  for (std::size_t i = 0; i < count_; ++i) {
    run_on_thread(i, [from](pool_thread& other) {
      for (auto& [name, worker] : other.workers_)
        worker->handle_link_closed(from);
    });
  }
}

void pool_thread::run_on_thread(std::size_t number,
                                std::function<void(pool_thread&)> work) {
  if (number == number_) return work(*this);
  post_(number, std::move(work));
}

std::size_t pool_thread::thread_of(const database_id& id) const {
  return std::hash<database_id>()(id) % count_;
}

database_worker* pool_thread::worker_for(const statement& request) {
  auto known = workers_.find(request.database);
  auto group = view_->groups.find(request.group);
  if (group == view_->groups.end()) return nullptr;
  const auto* target =
      fleet_view::find_database(group->second, request.database);
  if (target == nullptr) return nullptr;
  const auto* owner = view_->owner(*target);
  bool own = owner != nullptr && owner->id == self_.id;
  // A new worker would accept statements that the others refuse.
  if (draining_ && known == workers_.end()) return nullptr;
  // A former owner still serves the transactions that are open on it.
  bool may_hold = known != workers_.end() && request.transaction != 0;
  if (!own && !may_hold) return nullptr;
  if (known != workers_.end()) return known->second.get();
  auto reply = [this](const link_origin& to, answer&& answered) {
    if (to.thread == number_) return deliver(to.link, std::move(answered));
    run_on_thread(to.thread, [to, answered = std::move(answered)](
                                 pool_thread& other) mutable {
      other.deliver(to.link, std::move(answered));
    });
  };
  auto worker = std::make_unique<database_worker>(*target, limits_, reply);
  worker->update(*target, group_states_[request.group]);
  return workers_.emplace(request.database, std::move(worker))
      .first->second.get();
}

}  // namespace toucanmux
