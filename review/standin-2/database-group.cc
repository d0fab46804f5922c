#include "database-group.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

std::string pop_word(std::string& rest) {
  auto end = rest.find(' ');
  auto word = rest.substr(0, end);
  rest.erase(0, end == std::string::npos ? rest.size() : end + 1);
  return word;
}

log_position parse_position(const std::string& text) {
  auto dot = text.find('.');
  return {std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1))};
}

}  // namespace

struct database_group::database {
  std::string id;
  std::string zone;
  bool is_primary = false;
  bool running = true;
  bool dark = false;
  bool draining = false;
  bool receives = true;
  bool reaches_store = true;
  std::uint64_t paused_term = 0;  ///< Receives nothing until a promote.
  std::uint64_t sequence = 0;
  std::uint64_t term = 0;  ///< The newest term that it knows.
  std::vector<log_entry> log;
  unsigned connections = 0;
  unsigned working = 0;
  std::unique_ptr<tcp_server> server;
};

/// One connection to a database.
class database_group::session {
 public:
  session(database_group& group, database& own, const connection_ptr& caller)
      : group_(group), database_(own), caller_(caller) {}

  void run() {
    if (!open()) return;
    for (;;) {
      auto line = caller_->read_line();
      if (!line || was_dark()) break;
      auto rest = *line;
      if (pop_word(rest) != "QUERY") break;
      auto id = pop_word(rest);
      if (!handle(id, rest)) break;
    }
    std::lock_guard lock(group_.mutex_);
    if (database_.connections > 0) --database_.connections;
  }

 private:
  // Waits while the database is dark, and tells whether it was.
  bool was_dark() {
    std::unique_lock lock(group_.mutex_);
    if (!database_.dark) return false;
    group_.replicated_.wait(lock, [&] { return !database_.dark; });
    return true;
  }

  bool open() {
    auto line = caller_->read_line();
    if (!line || was_dark()) return false;
    auto rest = *line;
    bool known =
        pop_word(rest) == "CONNECT" && pop_word(rest) == group_.settings_.name;
    team_ = pop_word(rest);
    std::unique_lock lock(group_.mutex_);
    if (!known || (!rest.empty() && rest != database_.id)) {
      lock.unlock();
      caller_->write("ERR MOVED " + database_.id + "\r\n");
      return false;
    }
    if (database_.connections >= group_.settings_.max_connections) {
      lock.unlock();
      caller_->write("ERR MAXCONN " + database_.id + "\r\n");
      return false;
    }
    ++database_.connections;
    auto ready = ready_line();
    lock.unlock();
    return caller_->write(ready);
  }

  bool handle(const std::string& id, std::string text) {
    std::unique_lock lock(group_.mutex_);
    auto rest = text;
    auto verb = pop_word(rest);
    if (verb == "AFTER") {
      auto required = parse_position(pop_word(rest));
      text = rest;
      verb = pop_word(rest);
      if (end_of(database_) < required) return fail(lock, "LAGGING");
    }
    if (state_ == 'E' && verb != "ROLLBACK" && verb != "COMMIT")
      return fail(lock, "PROTOERR");
    if (verb == "BEGIN") return begin(lock, rest == "FETCH");
    if (verb == "ROLLBACK") {
      end_transaction();
      return done(lock);
    }
    if (verb == "COMMIT") return commit(lock, id);
    if (verb == "FETCH" || verb == "PUT" || verb == "EXEC")
      return execute(lock, id, text);
    if (verb == "SET" || verb == "CLOSE") return done(lock);
    if (verb == "RESET") {
      prepared_.clear();
      return done(lock);
    }
    if (verb == "PREPARE") {
      auto name = pop_word(rest);
      prepared_[name] = pop_word(rest) == "PUT";
      return done(lock);
    }
    return control(lock, verb, rest);
  }

  bool control(std::unique_lock<std::mutex>& lock, const std::string& verb,
               const std::string& rest) {
    if (verb == "PAUSE" && !database_.is_primary &&
        std::stoull(rest) > database_.term)
      database_.paused_term = std::stoull(rest);
    if (verb == "RESUME") database_.paused_term = 0;
    if (verb == "STEPDOWN" && database_.is_primary &&
        database_.term < std::stoull(rest)) {
      database_.is_primary = false;
      group_.write_entry(database_);
    }
    auto position = end_of(database_);
    auto row = std::string("ROW ") +
               (database_.is_primary ? "primary" : "replica") + ' ' +
               std::to_string(database_.term) + ' ' + position.text() + ' ' +
               std::to_string(database_.paused_term) + " 0 0 " +
               std::to_string(database_.connections) + "\r\n";
    if (verb != "STATUS")
      group_.log_.write("run ", database_.id, " - ", verb, ' ', rest);
    return answer(lock, row, "-");
  }

  bool begin(std::unique_lock<std::mutex>& lock, bool read_only) {
    if (state_ != 'I') return fail(lock, "PROTOERR");
    if (!read_only && !database_.is_primary) return fail(lock, "READONLY");
    state_ = 'T';
    plain_ = !read_only;
    return done(lock);
  }

  bool execute(std::unique_lock<std::mutex>& lock, const std::string& id,
               const std::string& text) {
    auto rest = text;
    auto verb = pop_word(rest);
    bool writes = verb == "PUT";
    if (verb == "EXEC") {
      auto prepared = prepared_.find(pop_word(rest));
      if (prepared == prepared_.end()) return fail(lock, "NOSTMT");
      writes = prepared->second;
    }
    bool lost_lead = state_ == 'T' && plain_ && !database_.is_primary;
    if ((writes && !database_.is_primary) || lost_lead)
      return fail(lock, "READONLY");
    if (group_.settings_.work > milliseconds(0)) {
      lock.unlock();
      std::this_thread::sleep_for(group_.settings_.work);
      lock.lock();
    }
    if (!database_.running) return false;
    if (writes && !database_.is_primary) return fail(lock, "READONLY");
    if (group_.settings_.records_statements)
      group_.log_.write("run ", database_.id, ' ', id, ' ', shown(text));
    auto item = pop_word(rest);
    if (!writes) return answer(lock, "ROW " + value_of(item) + "\r\n");
    pending_.statement_ids.push_back(id);
    pending_.items[item] = rest;
    if (state_ == 'T') return answer(lock, "");
    return append_pending(lock);
  }

  static std::string shown(const std::string& text) {
    constexpr std::size_t limit = 60;
    return text.size() <= limit ? text : text.substr(0, limit) + "...";
  }

  std::string value_of(const std::string& item) const {
    auto own = pending_.items.find(item);
    if (own != pending_.items.end()) return own->second;
    std::string out = "none";
    for (const auto& entry : database_.log) {
      auto found = entry.items.find(item);
      if (found != entry.items.end()) out = found->second;
    }
    return out;
  }

  bool commit(std::unique_lock<std::mutex>& lock, const std::string& id) {
    if (state_ != 'T') {
      end_transaction();
      return fail(lock, "ABORTED");
    }
    bool wrote = !pending_.statement_ids.empty();
    if (wrote && !database_.is_primary) {
      end_transaction();
      return fail(lock, "READONLY");
    }
    state_ = 'I';
    group_.log_.write("run ", database_.id, ' ', id, " COMMIT");
    if (!wrote) return answer(lock, "");
    pending_.statement_ids.push_back(id);
    return append_pending(lock);
  }

  // Appends the commit and acknowledges it when enough replicas have it.
  bool append_pending(std::unique_lock<std::mutex>& lock) {
    pending_.position = {database_.term, end_of(database_).number + 1};
    database_.log.push_back(std::move(pending_));
    pending_ = {};
    auto position = end_of(database_);
    group_.replicate();
    if (!group_.wait_until_replicated(lock, database_, position, *caller_))
      return false;
    return answer(lock, "");
  }

  void end_transaction() {
    state_ = 'I';
    pending_ = {};
  }

  bool answer(std::unique_lock<std::mutex>& lock, const std::string& rows,
              std::string signature = {}) {
    if (signature.empty()) {
      signature = database_.id + '.' + std::to_string(++group_.signatures_);
    }
    return send(lock, rows + "DONE " + signature + "\r\n");
  }
  bool done(std::unique_lock<std::mutex>& lock) {
    return send(lock, "DONE -\r\n");
  }
  bool fail(std::unique_lock<std::mutex>& lock, const std::string& code) {
    if (state_ == 'T') state_ = 'E';
    return send(lock, "ERR " + code + ' ' + database_.id + "\r\n");
  }
  bool send(std::unique_lock<std::mutex>& lock, const std::string& text) {
    auto message = text + ready_line();
    lock.unlock();
    return !was_dark() && caller_->write(message);
  }
  std::string ready_line() const {
    return std::string("READY ") + state_ + ' ' + end_of(database_).text() +
           "\r\n";
  }

  database_group& group_;
  database& database_;
  connection_ptr caller_;
  std::string team_;
  char state_ = 'I';
  bool plain_ = false;
  log_entry pending_;
  std::map<std::string, bool> prepared_;  ///< Whether the statement writes.
};

database_group::database_group(const settings& values,
                               const std::vector<member>& members,
                               const std::string& ip, object_store& store,
                               record& log)
    : settings_(values), ip_(ip), store_(store), log_(log) {
  for (const auto& each : members) start_database(each);
}

database_group::database& database_group::start_database(const member& added) {
  auto one = std::make_unique<database>();
  one->id = added.id;
  one->zone = added.zone;
  one->is_primary = databases_.empty();
  one->term = term_;
  one->log.push_back({{term_, 100}, {}, {}});
  database* own = one.get();
  one->server = std::make_unique<tcp_server>(
      ip_, [this, own](const connection_ptr& caller) {
        session(*this, *own, caller).run();
      });
  databases_.push_back(std::move(one));
  return *own;
}

database_group::~database_group() = default;

void database_group::start() {
  {
    std::lock_guard lock(mutex_);
    for (auto& one : databases_) write_entry(*one);
  }
  std::thread([this] { heartbeat_loop(); }).detach();
}

database_group::database* database_group::find(const std::string& id) {
  for (auto& one : databases_) {
    if (one->id == id) return one.get();
  }
  return nullptr;
}

void database_group::heartbeat_loop() {
  for (;;) {
    std::this_thread::sleep_for(settings_.heartbeat);
    std::lock_guard lock(mutex_);
    for (auto& one : databases_) write_entry(*one);
  }
}

void database_group::write_entry(database& one) {
  if (!one.running || !one.reaches_store || one.dark) return;
  store_.put("servers", one.id,
             {{"service", settings_.name},
              {"addr", one.server->where().text()},
              {"zone", one.zone},
              {"version", "v1"},
              {"slots", settings_.slots},
              {"state", one.draining ? "draining" : "ready"},
              {"cold_left_ms", 0},
              {"db_role", one.is_primary ? "primary" : "replica"},
              {"seq", ++one.sequence},
              {"born", 1'700'000'000'000}});
}

void database_group::set_reaches_store(const std::string& id, bool reaches) {
  std::lock_guard lock(mutex_);
  auto* one = find(id);
  one->reaches_store = reaches;
  write_entry(*one);
}

void database_group::set_receives(const std::string& id, bool receives) {
  std::lock_guard lock(mutex_);
  find(id)->receives = receives;
  replicate();
}

void database_group::crash(const std::string& id) {
  std::lock_guard lock(mutex_);
  auto* one = find(id);
  one->running = false;
  one->connections = 0;
  one->server->stop();
  replicated_.notify_all();
}

// Another database may have been promoted meanwhile; `is_primary` tells.
void database_group::restart(const std::string& id) {
  std::lock_guard lock(mutex_);
  auto* one = find(id);
  one->running = true;
  one->paused_term = 0;
  one->server->restart();
  write_entry(*one);
  replicate();
}

void database_group::set_dark(const std::string& id, bool dark) {
  std::lock_guard lock(mutex_);
  auto* one = find(id);
  one->dark = dark;
  write_entry(*one);
  replicate();
}

void database_group::add_replica(const member& added) {
  std::lock_guard lock(mutex_);
  auto& one = start_database(added);
  replicate();
  write_entry(one);
}

void database_group::drain(const std::string& id) {
  std::lock_guard lock(mutex_);
  auto* one = find(id);
  one->draining = true;
  write_entry(*one);
}

void database_group::end_drained(const std::string& id,
                                 const std::string& successor) {
  std::lock_guard lock(mutex_);
  auto* one = find(id);
  auto* next = find(successor);
  if (end_of(*next) < end_of(*one)) receive_log(*next, *one);
  one->running = false;
  one->connections = 0;
  one->server->stop();
  store_.remove("servers", id);
  replicated_.notify_all();
}

bool database_group::promote(const std::string& id) {
  std::lock_guard lock(mutex_);
  auto* chosen = find(id);
  if (!chosen || !chosen->running || chosen->dark) return false;
  if (chosen->is_primary && chosen->term == term_) return true;
  ++term_;
  for (auto& one : databases_) {
    bool was_primary = std::exchange(one->is_primary, one.get() == chosen);
    one->paused_term = 0;
    if (was_primary != one->is_primary) write_entry(*one);
  }
  chosen->term = term_;
  log_.write("promote ", id, " term ", term_, " received ",
             end_of(*chosen).text());
  replicate();
  replicated_.notify_all();
  return true;
}

std::string database_group::leader() {
  std::lock_guard lock(mutex_);
  for (const auto& one : databases_) {
    if (one->is_primary) return one->id;
  }
  return {};
}

bool database_group::has_statement(const std::string& id,
                                   const std::string& statement) {
  std::lock_guard lock(mutex_);
  const auto& log = find(id)->log;
  return std::any_of(log.begin(), log.end(), [&](const log_entry& entry) {
    const auto& ids = entry.statement_ids;
    return std::find(ids.begin(), ids.end(), statement) != ids.end();
  });
}

log_position database_group::received(const std::string& id) {
  std::lock_guard lock(mutex_);
  return end_of(*find(id));
}

log_position database_group::end_of(const database& one) {
  return one.log.back().position;
}

void database_group::replicate() {
  for (auto& leader : databases_) {
    if (!leader->is_primary || !leader->running || leader->dark ||
        leader->term != term_)
      continue;
    for (auto& replica : databases_) {
      if (replica == leader || !replica->running || !replica->receives ||
          replica->dark || replica->paused_term != 0)
        continue;
      receive_log(*replica, *leader);
    }
  }
  replicated_.notify_all();
}

// The replica's entries that the leader lacks are rolled back.
void database_group::receive_log(database& replica, const database& leader) {
  auto same = std::mismatch(replica.log.begin(), replica.log.end(),
                            leader.log.begin(), leader.log.end(),
                            [](const log_entry& one, const log_entry& other) {
                              return one.position == other.position;
                            });
  replica.log.erase(same.first, replica.log.end());
  replica.log.insert(replica.log.end(), same.second, leader.log.end());
  replica.term = leader.term;
}

// False if the primary ends or is replaced, or if the caller does not wait any
// more.
bool database_group::wait_until_replicated(std::unique_lock<std::mutex>& lock,
                                           database& leader,
                                           const log_position& position,
                                           const connection& caller) {
  auto enough = [&] {
    auto having = std::count_if(databases_.begin(), databases_.end(),
                                [&](const auto& one) {
                                  return one.get() != &leader && one->running &&
                                         !(end_of(*one) < position);
                                });
    return static_cast<unsigned>(having) >= settings_.sync_replicas;
  };
  constexpr milliseconds check_interval(50);
  while (!enough() && leader.running && leader.is_primary) {
    replicated_.wait_for(lock, check_interval);
    if (caller.is_closed()) return false;
  }
  return leader.running && leader.is_primary;
}

}  // namespace review
