#pragma once

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <ostream>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "toucanmux/codec.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/process/position-watch.h"
#include "toucanmux/process/promoter.h"
#include "toucanmux/trace.h"
#include "toucanmux/version/list-codec.h"

/// A few promoters before a tiny model of a group's databases, in simulated
/// time. The model keeps logs and receivers, and nothing else of a database.
namespace toucanmux::fake {

using std::chrono::milliseconds;

struct fleet_settings {
  std::uint64_t seed = 1;
  std::size_t databases = 3;
  std::size_t pools_per_domain = 1;
  duration near = std::chrono::microseconds(100);  ///< One way, same domain.
  duration far = milliseconds(1);                  ///< One way, other domain.
  duration platform_delay = milliseconds(4);       ///< A whole call.
  duration tick = milliseconds(20);
  duration write_interval = milliseconds(10);
  duration call_timeout = milliseconds(1000);
  duration membership_delay = milliseconds(2000);
  double loss = 0;  ///< Share of messages between pools.
  double late = 0;  ///< Share of messages and commands that take up to 3 s.
  bool any_writer = true;  ///< Clients also write to deposed primaries.
  bool count_bytes = false;
  promoter::settings decision;
};

struct log_entry {
  std::uint64_t term = 0;
  std::uint64_t id = 0;
  bool operator==(const log_entry&) const = default;
};

struct database_model {
  database_id id;
  std::size_t domain = 0;
  bool alive = true;
  instant frozen_until{};
  bool in_recovery = true;
  bool fenced = false;
  std::uint64_t control_term = 0;
  std::uint64_t primary_term = 0;
  int follows = -1;
  std::uint64_t term = 1;  ///< Of what it writes as primary.
  std::vector<log_entry> log;
  duration lag{0};  ///< Extra delay of its receiver.
  struct commit {
    std::size_t length;
    std::function<void()> done;
  };
  std::vector<commit> waiting;

  log_position position() const {
    return {log.empty() ? 1 : log.back().term, log.size()};
  }
};

struct pool_model {
  member_id id;
  std::size_t domain = 0;
  bool alive = true;
  instant paused_until{};
  std::unique_ptr<promoter> decision;
  std::uint64_t incarnation = 0;
  std::unique_ptr<position_watch> watch;
  instant heartbeat_sent_at{};
};

class fleet {
 public:
  explicit fleet(const fleet_settings& values, std::ostream* trace = nullptr)
      : settings_(values), random_(values.seed), trace_(trace) {
    for (std::size_t i = 0; i < settings_.databases; ++i) add_database(i);
    databases_[0].in_recovery = false;
    store_group();
    for (std::size_t i = 0; i < settings_.databases; ++i) {
      for (std::size_t j = 0; j < settings_.pools_per_domain; ++j) add_pool(i);
    }
    after(settings_.write_interval, [this] { client_writes(); });
    after(age_check_interval, [this] { check_ages(); });
  }

  void run(duration time) {
    auto end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end) {
      auto next = queue_.top();
      queue_.pop();
      now_ = next.at;
      next.run();
    }
    now_ = end;
  }
  void after(duration delay, std::function<void()> what) {
    queue_.push({now_ + delay, ++sequence_, std::move(what)});
  }

  // Faults.
  void kill(std::size_t db) {
    databases_[db].alive = false;
    databases_[db].waiting.clear();
  }
  void restart(std::size_t db) {
    databases_[db].alive = true;
    stream(db);
  }
  void freeze(std::size_t db, duration time) {
    databases_[db].frozen_until = now_ + time;
    after(time, [this, db] { stream(db); });
  }
  /// The next order to follow that this database gets is late.
  void delay_follow(std::size_t db, duration late) {
    late_follow_ = {databases_[db].id, late};
  }
  void set_lag(std::size_t db, duration lag) { databases_[db].lag = lag; }
  void cut(std::size_t domain, bool down) {
    cut_[domain] = down;
    if (down) return;
    for (std::size_t i = 0; i < databases_.size(); ++i) stream(i);
  }
  void kill_pool(std::size_t i) {
    pools_[i].alive = false;
    ++pools_[i].incarnation;
    after(settings_.membership_delay, [this] { tell_owners(); });
  }
  void start_pool(std::size_t i) {
    if (pools_[i].alive) return;
    pools_[i].alive = true;
    make_decision(i);
  }
  void pause_pool(std::size_t i, duration time) {
    pools_[i].paused_until = now_ + time;
  }
  void platform_down(bool down) { platform_down_ = down; }
  void platform_slow(duration delay) { platform_slow_ = delay; }
  void lose_platform_answers(double share) { lost_answers_ = share; }
  void edit_group(const std::function<void(database_group&)>& edit) {
    auto group = parse_database_group(value_);
    edit(group);
    value_ = to_json_text(group);
    ++version_;
    tell_object();
  }
  void heal() {
    for (auto& [domain, down] : cut_) down = false;
    platform_down_ = false;
    platform_slow_ = duration(0);
    lost_answers_ = 0;
    settings_.loss = 0;
    settings_.late = 0;
    for (auto& db : databases_) db.lag = duration(0);
    for (std::size_t i = 0; i < databases_.size(); ++i) restart(i);
    for (std::size_t i = 0; i < pools_.size(); ++i) start_pool(i);
    tell_owners();
  }
  void on_step(std::function<void(std::size_t, const promoter::action&)> see) {
    watcher_ = std::move(see);
  }
  void on_event(std::function<void(std::size_t, const promoter::event&)> hear) {
    listener_ = std::move(hear);
  }
  void inject(std::size_t pool, const promoter::event& what) {
    deliver(pool, what);
  }

  // What is seen.
  instant now() const { return now_; }
  database_group object() const { return parse_database_group(value_); }
  std::vector<pool_model>& pools() { return pools_; }
  std::vector<database_model>& databases() { return databases_; }
  const std::string& violation() const { return violation_; }
  std::size_t acknowledged() const { return acked_.size(); }
  instant last_client_ack() const { return last_client_ack_; }
  std::uint64_t last_ack_term() const { return max_acked_term_; }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t message_bytes() const { return message_bytes_; }
  std::uint64_t platform_calls() const { return platform_calls_; }
  std::mt19937_64& random() { return random_; }
  std::size_t primary_index() const {
    auto primary = object().primary;
    for (std::size_t i = 0; i < databases_.size(); ++i) {
      if (databases_[i].id == primary) return i;
    }
    return 0;
  }

  /// What is wrong once all faults are over; empty if nothing.
  std::string check_end() {
    if (!violation_.empty()) return violation_;
    const auto& primary = databases_[primary_index()];
    if (primary.in_recovery) return "the recorded primary was not promoted";
    std::set<std::uint64_t> kept;
    for (const auto& entry : primary.log) kept.insert(entry.id);
    for (const auto& write : acked_) {
      if (!kept.contains(write.entry.id)) {
        return "acknowledged write " + std::to_string(write.entry.id) +
               " is lost";
      }
    }
    if (now_ - last_client_ack_ > milliseconds(500)) return "no write goes on";
    for (const auto& db : databases_) {
      if (db.id != primary.id && (db.follows < 0 || db.fenced)) {
        return db.id.value + " does not follow";
      }
    }
    return {};
  }

 private:
  struct timed {
    instant at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const timed& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  struct acknowledged_write {
    log_entry entry;
    instant at;
  };
  static constexpr duration age_check_interval = milliseconds(101);

  double chance() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  duration up_to(duration limit) {
    return duration(std::uniform_int_distribution<duration::rep>(
        0, limit.count())(random_));
  }
  void fail(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }

  void add_database(std::size_t i) {
    database_model db;
    db.id = database_id("db" + std::to_string(i));
    db.domain = i;
    db.follows = i == 0 ? -1 : 0;
    databases_.push_back(db);
  }
  void store_group() {
    database_group group;
    group.id = group_id("g");
    group.service = service_id("orders");
    group.term = 1;
    group.primary = databases_[0].id;
    for (const auto& db : databases_) {
      database listed;
      listed.id = db.id;
      listed.address = "127.0.0.1";
      listed.port = static_cast<std::uint16_t>(5000 + db.domain);
      listed.domain = domain_id("domain" + std::to_string(db.domain));
      group.databases.push_back(listed);
    }
    value_ = to_json_text(group);
    version_ = 1;
  }

  // Pools.
  void add_pool(std::size_t domain) {
    pool_model pool;
    pool.id = member_id("pool" + std::to_string(pools_.size()));
    pool.domain = domain;
    pools_.push_back(std::move(pool));
    make_decision(pools_.size() - 1);
  }
  void make_decision(std::size_t i) {
    auto& pool = pools_[i];
    auto values = settings_.decision;
    values.self = pool.id;
    values.group = group_id("g");
    pool.decision = std::make_unique<promoter>(values);
    pool.watch = std::make_unique<position_watch>(position_watch::settings());
    auto incarnation = ++pool.incarnation;
    if (trace_) {
      *trace_ << "new " << pool.id.value << " promoter "
              << changed_fields(values) << "\n";
    }
    after(up_to(settings_.tick), [this, i, incarnation] {
      tell_owners_to(i);
      tell_object_to(i);
      tick_pool(i, incarnation);
    });
  }
  void tick_pool(std::size_t i, std::uint64_t incarnation) {
    if (pools_[i].incarnation != incarnation) return;
    if (now_ >= pools_[i].paused_until) deliver(i, group_tick{});
    after(settings_.tick,
          [this, i, incarnation] { tick_pool(i, incarnation); });
  }
  std::vector<database_owner> owners() const {
    std::vector<database_owner> out;
    for (const auto& db : databases_) {
      member_id owner;
      for (const auto& pool : pools_) {
        if (!pool.alive || pool.domain != db.domain) continue;
        owner = pool.id;
        break;
      }
      out.push_back({db.id, owner});
    }
    return out;
  }
  void tell_owners() {
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      after(up_to(milliseconds(100)), [this, i] { tell_owners_to(i); });
    }
  }
  void tell_owners_to(std::size_t i) { deliver(i, owners_changed{owners()}); }
  void tell_object() {
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      after(milliseconds(5), [this, i] { tell_object_to(i); });
    }
  }
  void tell_object_to(std::size_t i) {
    if (platform_down_ || cut_[pools_[i].domain]) return;
    deliver(i,
            object_read{"groups", "g", read_result::found, version_, value_});
  }

  // A paused process takes what waits for it when it goes on.
  void deliver(std::size_t i, const promoter::event& what) {
    auto& pool = pools_[i];
    if (!pool.alive) return;
    if (now_ < pool.paused_until) {
      auto incarnation = pool.incarnation;
      after(pool.paused_until - now_, [this, i, what, incarnation] {
        if (pools_[i].incarnation == incarnation) deliver(i, what);
      });
      return;
    }
    watch_positions(pool, what);
    if (listener_) listener_(i, what);
    auto actions = pool.decision->step(now_, what);
    if (trace_) record(pool, what, actions);
    for (const auto& action : actions) {
      if (!pool.alive) return;
      if (watcher_) watcher_(i, action);
      if (!pool.alive) return;
      std::visit([&](const auto& a) { carry_out(i, a); }, action);
    }
  }

  // The position watch of each pool hears what the promoter hears.
  void watch_positions(pool_model& pool, const promoter::event& what) {
    auto handlers = overloaded{
        [&](const heartbeat_ended& end) {
          if (end.result != heartbeat_result::ok) return;
          pool.watch->step(
              now_, heartbeat_confirmed{pool.heartbeat_sent_at, end.position});
        },
        [&](const report_received& received) {
          const auto& report = received.report;
          pool.watch->step(
              now_, heartbeat_reported{report.echo, report.echo_age,
                                       report.heartbeat_age, report.heartbeat});
        },
        [](const auto&) {}};
    std::visit(handlers, what);
  }

  // Whatever was acknowledged before the bound must be in the database.
  void check_ages() {
    after(age_check_interval, [this] { check_ages(); });
    for (const auto& pool : pools_) {
      for (const auto& db : databases_) {
        auto age = pool.watch->age_bound(now_, db.position());
        if (age < duration(0)) continue;
        auto last = std::find_if(
            acked_.rbegin(), acked_.rend(),
            [&](const auto& write) { return write.at < now_ - age; });
        if (last == acked_.rend()) continue;
        bool held = std::find(db.log.rbegin(), db.log.rend(), last->entry) !=
                    db.log.rend();
        if (!held) fail(db.id.value + " looks fresh to " + pool.id.value);
      }
    }
  }

  template <class Message>
  static std::string changed_fields(const Message& message) {
    auto values = to_fields(message);
    for (const auto& [path, value] : to_fields(Message())) {
      auto it = values.find(path);
      if (it != values.end() && it->second == value) values.erase(it);
    }
    return format_fields(values);
  }
  void record(const pool_model& pool, const promoter::event& what,
              const std::vector<promoter::action>& actions) {
    std::visit(
        [&](const auto& e) {
          *trace_ << now_.time_since_epoch().count() << " " << pool.id.value
                  << " " << e.name << " " << changed_fields(e) << "\n";
        },
        what);
    auto shown = overloaded{[](const send_report&) { return false; },
                            [](const poll_database&) { return false; },
                            [](const send_heartbeat&) { return false; },
                            [](const auto&) { return true; }};
    for (const auto& action : actions) {
      if (!std::visit(shown, action)) continue;
      auto text = to_trace(action);
      *trace_ << "  > " << text.name << " " << format_fields(text.values)
              << "\n";
    }
  }

  // The network.
  bool linked(std::size_t a, std::size_t b) {
    return a == b || (!cut_[a] && !cut_[b]);
  }
  duration delay(std::size_t a, std::size_t b) {
    auto base = a == b ? settings_.near : settings_.far;
    return base + up_to(base / 10);
  }
  std::size_t pool_index(const member_id& id) const {
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      if (pools_[i].id == id) return i;
    }
    return 0;
  }
  int database_index(const database_id& id) const {
    for (std::size_t i = 0; i < databases_.size(); ++i) {
      if (databases_[i].id == id) return static_cast<int>(i);
    }
    return -1;
  }
  void send(std::size_t from, const member_id& to, const promoter::event& what,
            std::size_t bytes) {
    ++messages_;
    message_bytes_ += bytes;
    auto target = pool_index(to);
    if (!linked(pools_[from].domain, pools_[target].domain)) return;
    if (settings_.loss > 0 && chance() < settings_.loss) return;
    auto time = delay(pools_[from].domain, pools_[target].domain);
    if (settings_.late > 0 && chance() < settings_.late) {
      time += up_to(std::chrono::seconds(3));
    }
    after(time, [this, target, what] { deliver(target, what); });
  }
  void carry_out(std::size_t i, const send_report& a) {
    send(i, a.to, report_received{pools_[i].id, a.report}, size_of(a.report));
  }
  void carry_out(std::size_t i, const send_fence_request& a) {
    send(i, a.to, fence_requested{pools_[i].id, a.request}, size_of(a.request));
  }
  void carry_out(std::size_t i, const send_fence_reply& a) {
    send(i, a.to, fence_answered{pools_[i].id, a.reply}, size_of(a.reply));
  }
  std::size_t size_of(const group_message& message) const {
    if (!settings_.count_bytes) return 0;
    datagram sent;
    sent.part = control_part::promotion;
    sent.from = member_id("norte-1/pool");
    sent.payload = encode(message);
    return pack(sent).size();
  }

  // The platform.
  duration platform_delay() {
    return settings_.platform_delay + up_to(settings_.platform_delay / 4) +
           (platform_slow_ > duration(0) ? up_to(platform_slow_) : duration(0));
  }
  bool platform_reached(std::size_t i) {
    return !platform_down_ && !cut_[pools_[i].domain];
  }
  void carry_out(std::size_t i, const read_object&) {
    ++platform_calls_;
    auto incarnation = pools_[i].incarnation;
    after(platform_delay(), [this, i, incarnation] {
      if (pools_[i].incarnation != incarnation) return;
      object_read read{"groups", "g", read_result::unreachable, 0, ""};
      if (platform_reached(i)) {
        read = {"groups", "g", read_result::found, version_, value_};
      }
      deliver(i, read);
    });
  }
  void carry_out(std::size_t i, const write_object& write) {
    ++platform_calls_;
    auto incarnation = pools_[i].incarnation;
    auto time = platform_delay();
    bool lost = lost_answers_ > 0 && chance() < lost_answers_;
    // A write whose answer is lost may also take effect after the caller has
    // read the object back.
    auto effect =
        lost && chance() < 0.5 ? time + up_to(milliseconds(500)) : time / 2;
    auto result = std::make_shared<object_written>(
        object_written{"groups", "g", write_result::unknown, 0});
    after(effect, [this, i, write, result, lost] {
      if (!platform_reached(i)) return;
      bool fits = write.if_version == version_;
      if (fits) apply(write.value);
      if (lost) return;
      result->result = fits ? write_result::written : write_result::conflict;
      result->version = version_;
    });
    after(time, [this, i, incarnation, result] {
      if (pools_[i].incarnation == incarnation) deliver(i, *result);
    });
  }
  void apply(const std::string& value) {
    auto before = parse_database_group(value_).term;
    auto change = parse_database_group(value);
    if (change.term <= before) fail("the term in the platform did not grow");
    value_ = value;
    ++version_;
    tell_object();
  }
  void carry_out(std::size_t, const group_view&) {}

  // Databases. A call that is not over in time ends as not reached, though
  // it may still run: a frozen database goes on with what it had received.
  template <class Run, class End>
  void call(std::size_t i, const database_id& id, Run run, End end) {
    auto db = static_cast<std::size_t>(database_index(id));
    auto incarnation = pools_[i].incarnation;
    auto ended = std::make_shared<bool>(false);
    auto finish = [this, i, incarnation, ended, end](int how) {
      if (*ended || pools_[i].incarnation != incarnation) return;
      *ended = true;
      deliver(i, end(how));
    };
    after(settings_.call_timeout, [finish] { finish(call_silent); });
    if (!linked(pools_[i].domain, databases_[db].domain)) return;
    auto way = delay(pools_[i].domain, databases_[db].domain);
    auto late = duration(0);
    if (settings_.late > 0 && chance() < settings_.late) {
      late = up_to(std::chrono::seconds(3));
    }
    after(way + late,
          [this, i, db, way, run, finish] { arrive(i, db, way, run, finish); });
  }
  template <class Run, class Finish>
  void arrive(std::size_t i, std::size_t db, duration way, Run run,
              Finish finish) {
    auto& target = databases_[db];
    if (!target.alive) return after(way, [finish] { finish(call_refused); });
    if (now_ < target.frozen_until) {
      return after(target.frozen_until - now_, [this, i, db, way, run, finish] {
        arrive(i, db, way, run, finish);
      });
    }
    run(target, [this, i, db, way, finish] {
      if (!linked(pools_[i].domain, databases_[db].domain)) return;
      after(way, [finish] { finish(call_done); });
    });
  }
  enum : int { call_done, call_refused, call_silent };

  database_status status_of(const database_model& db) {
    database_status out;
    out.in_recovery = db.in_recovery;
    out.fenced = db.fenced;
    out.control_term = db.control_term;
    out.primary_term = db.primary_term;
    out.received = db.position();
    out.replayed = out.received;
    if (!db.in_recovery || db.fenced || db.follows < 0) return out;
    const auto& source = databases_[static_cast<std::size_t>(db.follows)];
    out.streaming = source.alive;
    return out;
  }

  void carry_out(std::size_t i, const poll_database& poll) {
    auto seen = std::make_shared<database_status>();
    call(
        i, poll.database,
        [this, seen](database_model& db, auto answer) {
          *seen = status_of(db);
          answer();
        },
        [poll, seen](int how) -> promoter::event {
          return database_polled{poll.database, how == call_done, *seen};
        });
  }
  template <class Change>
  void command(std::size_t i, control_command what, const database_id& id,
               std::uint64_t term, Change change) {
    auto end = std::make_shared<command_ended>(
        command_ended{what, id, term, false, false, {}});
    call(
        i, id,
        [this, end, change](database_model& db, auto answer) {
          end->done = change(db);
          end->status = status_of(db);
          answer();
        },
        [end](int how) -> promoter::event {
          auto out = *end;
          out.reached = how == call_done;
          if (!out.reached) out.done = false;
          return out;
        });
  }
  void carry_out(std::size_t i, const fence_database& a) {
    command(i, control_command::fence, a.database, a.term,
            [a](database_model& db) {
              bool same =
                  db.control_term == a.term && (db.fenced || !db.in_recovery);
              if (db.control_term >= a.term && !same) return false;
              db.control_term = a.term;
              if (!db.in_recovery) return true;
              db.fenced = true;
              db.follows = -1;
              return true;
            });
  }
  void carry_out(std::size_t i, const promote_database& a) {
    command(i, control_command::promote, a.database, a.term,
            [this, a](database_model& db) {
              if (!db.in_recovery && db.control_term == 0) {
                db.control_term = a.term;
              }
              if (db.control_term != a.term) return false;
              if (db.in_recovery && !db.fenced) return false;
              db.primary_term = a.term;
              if (!db.in_recovery) return true;
              db.in_recovery = false;
              db.term = a.term;
              append(static_cast<std::size_t>(database_index(db.id)), {});
              return true;
            });
  }
  void carry_out(std::size_t i, const follow_database& a) {
    if (late_follow_.second > duration(0) && a.database == late_follow_.first) {
      auto late = std::exchange(late_follow_.second, duration(0));
      return after(late, [this, i, a] { carry_out(i, a); });
    }
    command(i, control_command::follow, a.database, a.term,
            [this, a](database_model& db) {
              if (db.control_term > a.term) return false;
              db.control_term = a.term;
              db.in_recovery = true;
              db.fenced = false;
              db.waiting.clear();
              db.follows = database_index(a.primary);
              stream(static_cast<std::size_t>(database_index(db.id)));
              return true;
            });
  }
  void carry_out(std::size_t i, const send_heartbeat& a) {
    pools_[i].heartbeat_sent_at = now_;
    auto end = std::make_shared<heartbeat_ended>(
        heartbeat_ended{a.database, heartbeat_result::not_primary, {}});
    call(
        i, a.database,
        [this, end](database_model& db, auto answer) {
          if (db.in_recovery) return answer();
          auto index = static_cast<std::size_t>(database_index(db.id));
          auto length = db.log.size() + 1;
          end->position = {db.term, length};
          append(index, [end, answer] {
            end->result = heartbeat_result::ok;
            answer();
          });
        },
        [end](int how) -> promoter::event {
          auto out = *end;
          if (how == call_refused) out.result = heartbeat_result::refused;
          if (how == call_silent) out.result = heartbeat_result::silent;
          return out;
        });
  }

  // The log.
  void append(std::size_t db, const std::function<void()>& acknowledged) {
    auto& primary = databases_[db];
    log_entry entry{primary.term, ++next_entry_};
    primary.log.push_back(entry);
    primary.waiting.push_back(
        {primary.log.size(), [this, db, entry, acknowledged] {
           acknowledge(db, entry);
           if (acknowledged) acknowledged();
         }});
    for (std::size_t i = 0; i < databases_.size(); ++i) {
      if (databases_[i].follows == static_cast<int>(db)) stream(i);
    }
  }
  // A replica's receipt may reach a deposed primary that stood still after
  // the later one has acknowledged writes: no clock could tell. The entry was
  // then received before the fence, so the later primary must hold it.
  void acknowledge(std::size_t db, const log_entry& entry) {
    if (entry.term < max_acked_term_ && !later_primary_holds(entry)) {
      fail(databases_[db].id.value + " acknowledged in term " +
           std::to_string(entry.term) + " what term " +
           std::to_string(max_acked_term_) + " does not hold");
    }
    max_acked_term_ = std::max(max_acked_term_, entry.term);
    acked_.push_back({entry, now_});
  }
  bool later_primary_holds(const log_entry& entry) const {
    return std::all_of(
        databases_.begin(), databases_.end(), [&](const auto& db) {
          if (db.in_recovery || db.term != max_acked_term_) return true;
          return std::find(db.log.begin(), db.log.end(), entry) != db.log.end();
        });
  }
  bool can_stream(std::size_t follower) {
    auto& db = databases_[follower];
    if (!db.alive || db.follows < 0 || now_ < db.frozen_until) return false;
    auto& source = databases_[static_cast<std::size_t>(db.follows)];
    return source.alive && now_ >= source.frozen_until &&
           linked(db.domain, source.domain);
  }
  void stream(std::size_t follower) {
    if (!can_stream(follower)) return;
    auto& db = databases_[follower];
    auto source = static_cast<std::size_t>(db.follows);
    auto length = databases_[source].log.size();
    auto way = delay(db.domain, databases_[source].domain);
    after(way + db.lag, [this, follower, source, length, way] {
      if (databases_[follower].follows != static_cast<int>(source)) return;
      if (!can_stream(follower)) return;
      if (!copy_log(source, follower, length)) return;
      for (std::size_t i = 0; i < databases_.size(); ++i) {
        if (databases_[i].follows == static_cast<int>(follower)) stream(i);
      }
      after(way, [this, follower, source, length] {
        receive_ack(source, follower, length);
      });
    });
  }
  // What is no part of the source's log is given up first.
  bool copy_log(std::size_t from, std::size_t to, std::size_t length) {
    const auto& source = databases_[from].log;
    auto& log = databases_[to].log;
    if (source.size() < length) return false;
    auto common = std::min(log.size(), source.size());
    while (common > 0 && log[common - 1] != source[common - 1]) --common;
    if (log.size() > common) log.resize(common);
    for (auto i = log.size(); i < length; ++i) log.push_back(source[i]);
    return true;
  }
  void receive_ack(std::size_t source, std::size_t follower,
                   std::size_t length) {
    auto& primary = databases_[source];
    if (!primary.alive || primary.in_recovery) return;
    if (now_ < primary.frozen_until) {
      return after(primary.frozen_until - now_,
                   [this, source, follower, length] {
                     receive_ack(source, follower, length);
                   });
    }
    if (!linked(primary.domain, databases_[follower].domain)) return;
    std::vector<database_model::commit> done;
    std::erase_if(primary.waiting, [&](const auto& commit) {
      if (commit.length > length) return false;
      done.push_back(commit);
      return true;
    });
    for (const auto& commit : done) commit.done();
  }

  // Clients write through the owner of the primary; some also write to any
  // database that still believes to be primary.
  void client_writes() {
    after(settings_.write_interval, [this] { client_writes(); });
    for (std::size_t i = 0; i < databases_.size(); ++i) {
      auto& db = databases_[i];
      if (!db.alive || db.in_recovery || now_ < db.frozen_until) continue;
      bool routed = open_at_owner(db);
      if (!routed && !settings_.any_writer) continue;
      append(i, [this, routed] {
        if (routed) last_client_ack_ = now_;
      });
    }
  }
  bool open_at_owner(const database_model& db) {
    return std::any_of(pools_.begin(), pools_.end(), [&](const auto& pool) {
      const auto& view = pool.decision->view();
      return pool.alive && pool.domain == db.domain && view.primary == db.id &&
             view.state == write_state::open;
    });
  }

  fleet_settings settings_;
  std::mt19937_64 random_;
  std::ostream* trace_;
  // Decisions take the epoch for never.
  instant now_{std::chrono::seconds(10)};
  std::uint64_t sequence_ = 0;
  std::priority_queue<timed> queue_;
  std::vector<database_model> databases_;
  std::vector<pool_model> pools_;
  std::map<std::size_t, bool> cut_;
  bool platform_down_ = false;
  duration platform_slow_{0};
  double lost_answers_ = 0;
  std::pair<database_id, duration> late_follow_;

  std::uint64_t version_ = 0;
  std::string value_;
  std::uint64_t next_entry_ = 0;
  std::vector<acknowledged_write> acked_;
  std::uint64_t max_acked_term_ = 0;
  instant last_client_ack_{};
  std::string violation_;
  std::uint64_t messages_ = 0;
  std::uint64_t message_bytes_ = 0;
  std::uint64_t platform_calls_ = 0;
  std::function<void(std::size_t, const promoter::action&)> watcher_;
  std::function<void(std::size_t, const promoter::event&)> listener_;
};

}  // namespace toucanmux::fake
