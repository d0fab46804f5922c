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

/// Simulates the promoters of one database group, its databases and the
/// platform in virtual time. A simulated database has only a log, a receiver
/// and its control state.
namespace toucanmux::fake {

using std::chrono::milliseconds;

struct fleet_settings {
  std::uint64_t seed = 1;
  std::size_t databases = 3;
  std::size_t pools_per_domain = 1;
  /// One-way delay within a failure domain.
  duration local_delay = std::chrono::microseconds(100);
  /// One-way delay between failure domains.
  duration cross_domain_delay = milliseconds(1);
  /// Duration of a call to the platform.
  duration platform_delay = milliseconds(4);
  duration tick = milliseconds(20);
  duration write_interval = milliseconds(10);
  duration call_timeout = milliseconds(1000);
  /// Time from the death of a pool until its peers get the new owners.
  duration membership_delay = milliseconds(2000);
  /// Share of messages between pools that are lost.
  double loss_rate = 0;
  /// Share of messages and database calls that are delayed by up to 3 s.
  double late_rate = 0;
  /// Clients also write to former primaries that still run as primary.
  bool write_to_former_primaries = true;
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
  int source = -1;  ///< Index of the database that it follows; -1 if none.
  std::uint64_t term = 1;  ///< Term of the entries that it writes as primary.
  std::vector<log_entry> log;
  duration lag{0};  ///< Additional delay of its receiver.
  struct commit {
    std::size_t length;
    std::function<void()> done;
  };
  std::vector<commit> waiting_commits;

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
    after(settings_.write_interval, [this] { write_as_clients(); });
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
  void after(duration delay, std::function<void()> callback) {
    queue_.push({now_ + delay, ++sequence_, std::move(callback)});
  }

  // Faults that a test injects.
  void kill(std::size_t db) {
    databases_[db].alive = false;
    databases_[db].waiting_commits.clear();
  }
  void restart(std::size_t db) {
    databases_[db].alive = true;
    stream(db);
  }
  void freeze(std::size_t db, duration time) {
    databases_[db].frozen_until = now_ + time;
    after(time, [this, db] { stream(db); });
  }
  /// Delays the next follow command to this database.
  void delay_follow(std::size_t db, duration extra_delay) {
    delayed_follow_ = {databases_[db].id, extra_delay};
  }
  void set_lag(std::size_t db, duration lag) { databases_[db].lag = lag; }
  void set_isolated(std::size_t domain, bool isolated) {
    isolated_[domain] = isolated;
    if (isolated) return;
    for (std::size_t i = 0; i < databases_.size(); ++i) stream(i);
  }
  void kill_pool(std::size_t i) {
    pools_[i].alive = false;
    ++pools_[i].incarnation;
    after(settings_.membership_delay, [this] { announce_owners(); });
  }
  void start_pool(std::size_t i) {
    if (pools_[i].alive) return;
    pools_[i].alive = true;
    start_promoter(i);
  }
  void pause_pool(std::size_t i, duration time) {
    pools_[i].paused_until = now_ + time;
  }
  void set_platform_down(bool down) { platform_down_ = down; }
  void slow_platform(duration delay) { extra_platform_delay_ = delay; }
  void lose_platform_answers(double share) { lost_answer_share_ = share; }
  void edit_group(const std::function<void(database_group&)>& edit) {
    auto group = parse_database_group(stored_value_);
    edit(group);
    stored_value_ = to_json_text(group);
    ++stored_version_;
    announce_group();
  }
  void heal() {
    for (auto& [domain, isolated] : isolated_) isolated = false;
    platform_down_ = false;
    extra_platform_delay_ = duration(0);
    lost_answer_share_ = 0;
    settings_.loss_rate = 0;
    settings_.late_rate = 0;
    for (auto& db : databases_) db.lag = duration(0);
    for (std::size_t i = 0; i < databases_.size(); ++i) restart(i);
    for (std::size_t i = 0; i < pools_.size(); ++i) start_pool(i);
    announce_owners();
  }
  void on_action(
      std::function<void(std::size_t, const promoter::action&)> handler) {
    action_handler_ = std::move(handler);
  }
  void on_event(
      std::function<void(std::size_t, const promoter::event&)> handler) {
    event_handler_ = std::move(handler);
  }
  void inject(std::size_t pool, const promoter::event& event) {
    deliver(pool, event);
  }

  // The state of the simulation.
  instant now() const { return now_; }
  database_group stored_group() const {
    return parse_database_group(stored_value_);
  }
  std::vector<pool_model>& pools() { return pools_; }
  std::vector<database_model>& databases() { return databases_; }
  const std::string& violation() const { return violation_; }
  std::size_t acknowledged() const { return acknowledged_writes_.size(); }
  instant last_client_ack() const { return last_client_ack_; }
  std::uint64_t last_ack_term() const { return max_acked_term_; }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t message_bytes() const { return message_bytes_; }
  std::uint64_t platform_calls() const { return platform_calls_; }
  std::mt19937_64& random() { return random_; }
  std::size_t primary_index() const {
    auto primary = stored_group().primary;
    for (std::size_t i = 0; i < databases_.size(); ++i) {
      if (databases_[i].id == primary) return i;
    }
    return 0;
  }

  /// The first violation after all faults have been healed; empty if none.
  std::string check_end() {
    if (!violation_.empty()) return violation_;
    const auto& primary = databases_[primary_index()];
    if (primary.in_recovery) return "the recorded primary was not promoted";
    std::set<std::uint64_t> kept_ids;
    for (const auto& entry : primary.log) kept_ids.insert(entry.id);
    for (const auto& write : acknowledged_writes_) {
      if (!kept_ids.contains(write.entry.id)) {
        return "acknowledged write " + std::to_string(write.entry.id) +
               " is lost";
      }
    }
    if (now_ - last_client_ack_ > milliseconds(500)) return "writes stopped";
    for (const auto& db : databases_) {
      if (db.id != primary.id && (db.source < 0 || db.fenced)) {
        return db.id.value + " does not follow the primary";
      }
    }
    return {};
  }

 private:
  struct scheduled_call {
    instant at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const scheduled_call& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  struct acknowledged_write {
    log_entry entry;
    instant at;
  };
  static constexpr duration age_check_interval = milliseconds(101);

  double random_share() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  duration random_duration(duration limit) {
    return duration(std::uniform_int_distribution<duration::rep>(
        0, limit.count())(random_));
  }
  void fail(const std::string& violation) {
    if (violation_.empty()) violation_ = violation;
  }

  void add_database(std::size_t i) {
    database_model db;
    db.id = database_id("db" + std::to_string(i));
    db.domain = i;
    db.source = i == 0 ? -1 : 0;
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
    stored_value_ = to_json_text(group);
    stored_version_ = 1;
  }

  // Pools.
  void add_pool(std::size_t domain) {
    pool_model pool;
    pool.id = member_id("pool" + std::to_string(pools_.size()));
    pool.domain = domain;
    pools_.push_back(std::move(pool));
    start_promoter(pools_.size() - 1);
  }
  void start_promoter(std::size_t i) {
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
    after(random_duration(settings_.tick), [this, i, incarnation] {
      send_owners(i);
      send_group(i);
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
  void announce_owners() {
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      after(random_duration(milliseconds(100)), [this, i] { send_owners(i); });
    }
  }
  void send_owners(std::size_t i) { deliver(i, owners_changed{owners()}); }
  void announce_group() {
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      after(milliseconds(5), [this, i] { send_group(i); });
    }
  }
  void send_group(std::size_t i) {
    if (platform_down_ || isolated_[pools_[i].domain]) return;
    deliver(i, object_read{"groups", "g", read_result::found, stored_version_,
                           stored_value_});
  }

  // A paused process handles queued events when it resumes.
  void deliver(std::size_t i, const promoter::event& event) {
    auto& pool = pools_[i];
    if (!pool.alive) return;
    if (now_ < pool.paused_until) {
      auto incarnation = pool.incarnation;
      after(pool.paused_until - now_, [this, i, event, incarnation] {
        if (pools_[i].incarnation == incarnation) deliver(i, event);
      });
      return;
    }
    update_position_watch(pool, event);
    if (event_handler_) event_handler_(i, event);
    auto actions = pool.decision->step(now_, event);
    if (trace_) record(pool, event, actions);
    for (const auto& action : actions) {
      if (!pool.alive) return;
      if (action_handler_) action_handler_(i, action);
      if (!pool.alive) return;
      std::visit([&](const auto& a) { execute(i, a); }, action);
    }
  }

  // The position watch of a pool gets the same events as its promoter.
  void update_position_watch(pool_model& pool, const promoter::event& event) {
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
    std::visit(handlers, event);
  }

  // A database must contain every write that was acknowledged before the time
  // given by its age bound.
  void check_ages() {
    after(age_check_interval, [this] { check_ages(); });
    for (const auto& pool : pools_) {
      for (const auto& db : databases_) {
        auto age = pool.watch->age_bound(now_, db.position());
        if (age < duration(0)) continue;
        auto last = std::find_if(
            acknowledged_writes_.rbegin(), acknowledged_writes_.rend(),
            [&](const auto& write) { return write.at < now_ - age; });
        if (last == acknowledged_writes_.rend()) continue;
        bool found = std::find(db.log.rbegin(), db.log.rend(), last->entry) !=
                     db.log.rend();
        if (!found)
          fail(db.id.value +
               " lacks a write that is older than the age bound of " +
               pool.id.value);
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
  void record(const pool_model& pool, const promoter::event& event,
              const std::vector<promoter::action>& actions) {
    std::visit(
        [&](const auto& e) {
          *trace_ << now_.time_since_epoch().count() << " " << pool.id.value
                  << " " << e.name << " " << changed_fields(e) << "\n";
        },
        event);
    auto recorded = overloaded{[](const send_report&) { return false; },
                               [](const poll_database&) { return false; },
                               [](const send_heartbeat&) { return false; },
                               [](const auto&) { return true; }};
    for (const auto& action : actions) {
      if (!std::visit(recorded, action)) continue;
      auto text = to_trace(action);
      *trace_ << "  > " << text.name << " " << format_fields(text.values)
              << "\n";
    }
  }

  // The network.
  bool connected(std::size_t a, std::size_t b) {
    return a == b || (!isolated_[a] && !isolated_[b]);
  }
  duration delay(std::size_t a, std::size_t b) {
    auto base = a == b ? settings_.local_delay : settings_.cross_domain_delay;
    return base + random_duration(base / 10);
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
  void send(std::size_t from, const member_id& to, const promoter::event& event,
            std::size_t bytes) {
    ++messages_;
    message_bytes_ += bytes;
    auto receiver = pool_index(to);
    if (!connected(pools_[from].domain, pools_[receiver].domain)) return;
    if (settings_.loss_rate > 0 && random_share() < settings_.loss_rate) return;
    auto time = delay(pools_[from].domain, pools_[receiver].domain);
    if (settings_.late_rate > 0 && random_share() < settings_.late_rate) {
      time += random_duration(std::chrono::seconds(3));
    }
    after(time, [this, receiver, event] { deliver(receiver, event); });
  }
  void execute(std::size_t i, const send_report& action) {
    send(i, action.to, report_received{pools_[i].id, action.report},
         size_of(action.report));
  }
  void execute(std::size_t i, const send_fence_request& action) {
    send(i, action.to, fence_requested{pools_[i].id, action.request},
         size_of(action.request));
  }
  void execute(std::size_t i, const send_fence_reply& action) {
    send(i, action.to, fence_answered{pools_[i].id, action.reply},
         size_of(action.reply));
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
    return settings_.platform_delay +
           random_duration(settings_.platform_delay / 4) +
           (extra_platform_delay_ > duration(0)
                ? random_duration(extra_platform_delay_)
                : duration(0));
  }
  bool platform_reachable(std::size_t i) {
    return !platform_down_ && !isolated_[pools_[i].domain];
  }
  void execute(std::size_t i, const read_object&) {
    ++platform_calls_;
    auto incarnation = pools_[i].incarnation;
    after(platform_delay(), [this, i, incarnation] {
      if (pools_[i].incarnation != incarnation) return;
      object_read read{"groups", "g", read_result::unreachable, 0, ""};
      if (platform_reachable(i)) {
        read = {"groups", "g", read_result::found, stored_version_,
                stored_value_};
      }
      deliver(i, read);
    });
  }
  void execute(std::size_t i, const write_object& write) {
    ++platform_calls_;
    auto incarnation = pools_[i].incarnation;
    auto time = platform_delay();
    bool lost = lost_answer_share_ > 0 && random_share() < lost_answer_share_;
    // A write whose answer is lost may also take effect after the caller has
    // read the object back.
    auto effect = lost && random_share() < 0.5
                      ? time + random_duration(milliseconds(500))
                      : time / 2;
    auto result = std::make_shared<object_written>(
        object_written{"groups", "g", write_result::unknown, 0});
    after(effect, [this, i, write, result, lost] {
      if (!platform_reachable(i)) return;
      bool version_matches = write.if_version == stored_version_;
      if (version_matches) apply(write.value);
      if (lost) return;
      result->result =
          version_matches ? write_result::written : write_result::conflict;
      result->version = stored_version_;
    });
    after(time, [this, i, incarnation, result] {
      if (pools_[i].incarnation == incarnation) deliver(i, *result);
    });
  }
  void apply(const std::string& value) {
    auto before = parse_database_group(stored_value_).term;
    auto change = parse_database_group(value);
    if (change.term <= before) fail("the platform's term did not grow");
    stored_value_ = value;
    ++stored_version_;
    announce_group();
  }
  void execute(std::size_t, const group_view&) {}

  // Databases. A call that exceeds the timeout ends as not reached but may
  // still take effect: a frozen database runs the calls that it has received
  // when it resumes.
  template <class Run, class End>
  void call(std::size_t i, const database_id& id, Run run, End end) {
    auto db = static_cast<std::size_t>(database_index(id));
    auto incarnation = pools_[i].incarnation;
    auto ended = std::make_shared<bool>(false);
    auto finish = [this, i, incarnation, ended, end](int outcome) {
      if (*ended || pools_[i].incarnation != incarnation) return;
      *ended = true;
      deliver(i, end(outcome));
    };
    after(settings_.call_timeout, [finish] { finish(call_silent); });
    if (!connected(pools_[i].domain, databases_[db].domain)) return;
    auto one_way = delay(pools_[i].domain, databases_[db].domain);
    auto extra_delay = duration(0);
    if (settings_.late_rate > 0 && random_share() < settings_.late_rate) {
      extra_delay = random_duration(std::chrono::seconds(3));
    }
    after(one_way + extra_delay, [this, i, db, one_way, run, finish] {
      run_call(i, db, one_way, run, finish);
    });
  }
  template <class Run, class Finish>
  void run_call(std::size_t i, std::size_t db, duration one_way, Run run,
                Finish finish) {
    auto& model = databases_[db];
    if (!model.alive) return after(one_way, [finish] { finish(call_refused); });
    if (now_ < model.frozen_until) {
      return after(model.frozen_until - now_,
                   [this, i, db, one_way, run, finish] {
                     run_call(i, db, one_way, run, finish);
                   });
    }
    run(model, [this, i, db, one_way, finish] {
      if (!connected(pools_[i].domain, databases_[db].domain)) return;
      after(one_way, [finish] { finish(call_done); });
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
    if (!db.in_recovery || db.fenced || db.source < 0) return out;
    const auto& source = databases_[static_cast<std::size_t>(db.source)];
    out.streaming = source.alive;
    return out;
  }

  void execute(std::size_t i, const poll_database& poll) {
    auto status = std::make_shared<database_status>();
    call(
        i, poll.database,
        [this, status](database_model& db, auto answer) {
          *status = status_of(db);
          answer();
        },
        [poll, status](int outcome) -> promoter::event {
          return database_polled{poll.database, outcome == call_done, *status};
        });
  }
  template <class Change>
  void command(std::size_t i, control_command kind, const database_id& id,
               std::uint64_t term, Change change) {
    auto end = std::make_shared<command_ended>(
        command_ended{kind, id, term, false, false, {}});
    call(
        i, id,
        [this, end, change](database_model& db, auto answer) {
          end->done = change(db);
          end->status = status_of(db);
          answer();
        },
        [end](int outcome) -> promoter::event {
          auto out = *end;
          out.reached = outcome == call_done;
          if (!out.reached) out.done = false;
          return out;
        });
  }
  void execute(std::size_t i, const fence_database& action) {
    command(i, control_command::fence, action.database, action.term,
            [action](database_model& db) {
              bool same = db.control_term == action.term &&
                          (db.fenced || !db.in_recovery);
              if (db.control_term >= action.term && !same) return false;
              db.control_term = action.term;
              if (!db.in_recovery) return true;
              db.fenced = true;
              db.source = -1;
              return true;
            });
  }
  void execute(std::size_t i, const promote_database& action) {
    command(i, control_command::promote, action.database, action.term,
            [this, action](database_model& db) {
              if (!db.in_recovery && db.control_term == 0) {
                db.control_term = action.term;
              }
              if (db.control_term != action.term) return false;
              if (db.in_recovery && !db.fenced) return false;
              db.primary_term = action.term;
              if (!db.in_recovery) return true;
              db.in_recovery = false;
              db.term = action.term;
              append(static_cast<std::size_t>(database_index(db.id)), {});
              return true;
            });
  }
  void execute(std::size_t i, const follow_database& action) {
    if (delayed_follow_.second > duration(0) &&
        action.database == delayed_follow_.first) {
      auto extra_delay = std::exchange(delayed_follow_.second, duration(0));
      return after(extra_delay, [this, i, action] { execute(i, action); });
    }
    command(i, control_command::follow, action.database, action.term,
            [this, action](database_model& db) {
              if (db.control_term > action.term) return false;
              db.control_term = action.term;
              db.in_recovery = true;
              db.fenced = false;
              db.waiting_commits.clear();
              db.source = database_index(action.primary);
              stream(static_cast<std::size_t>(database_index(db.id)));
              return true;
            });
  }
  void execute(std::size_t i, const send_heartbeat& action) {
    pools_[i].heartbeat_sent_at = now_;
    auto end = std::make_shared<heartbeat_ended>(
        heartbeat_ended{action.database, heartbeat_result::not_primary, {}});
    call(
        i, action.database,
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
        [end](int outcome) -> promoter::event {
          auto out = *end;
          if (outcome == call_refused) out.result = heartbeat_result::refused;
          if (outcome == call_silent) out.result = heartbeat_result::silent;
          return out;
        });
  }

  // The logs and their replication.
  void append(std::size_t db, const std::function<void()>& acknowledged) {
    auto& primary = databases_[db];
    log_entry entry{primary.term, ++next_entry_};
    primary.log.push_back(entry);
    primary.waiting_commits.push_back(
        {primary.log.size(), [this, db, entry, acknowledged] {
           acknowledge(db, entry);
           if (acknowledged) acknowledged();
         }});
    for (std::size_t i = 0; i < databases_.size(); ++i) {
      if (databases_[i].source == static_cast<int>(db)) stream(i);
    }
  }
  // A former primary that was frozen may get a replica's acknowledgement after
  // its successor has acknowledged writes, and no clock can detect that. The
  // replica then received the entry before it was fenced, so the successor must
  // have the entry.
  void acknowledge(std::size_t db, const log_entry& entry) {
    if (entry.term < max_acked_term_ && !later_primary_holds(entry)) {
      fail(databases_[db].id.value + " acknowledged in term " +
           std::to_string(entry.term) + " an entry that the primary of term " +
           std::to_string(max_acked_term_) + " does not have");
    }
    max_acked_term_ = std::max(max_acked_term_, entry.term);
    acknowledged_writes_.push_back({entry, now_});
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
    if (!db.alive || db.source < 0 || now_ < db.frozen_until) return false;
    auto& source = databases_[static_cast<std::size_t>(db.source)];
    return source.alive && now_ >= source.frozen_until &&
           connected(db.domain, source.domain);
  }
  void stream(std::size_t follower) {
    if (!can_stream(follower)) return;
    auto& db = databases_[follower];
    auto source = static_cast<std::size_t>(db.source);
    auto length = databases_[source].log.size();
    auto one_way = delay(db.domain, databases_[source].domain);
    after(one_way + db.lag, [this, follower, source, length, one_way] {
      if (databases_[follower].source != static_cast<int>(source)) return;
      if (!can_stream(follower)) return;
      if (!copy_log(source, follower, length)) return;
      for (std::size_t i = 0; i < databases_.size(); ++i) {
        if (databases_[i].source == static_cast<int>(follower)) stream(i);
      }
      after(one_way, [this, follower, source, length] {
        receive_ack(source, follower, length);
      });
    });
  }
  // Entries that are not in the source's log are discarded first.
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
    if (!connected(primary.domain, databases_[follower].domain)) return;
    std::vector<database_model::commit> done;
    std::erase_if(primary.waiting_commits, [&](const auto& commit) {
      if (commit.length > length) return false;
      done.push_back(commit);
      return true;
    });
    for (const auto& commit : done) commit.done();
  }

  // Clients write through the owner of the primary and, with
  // `write_to_former_primaries`, also to every database that still runs as
  // primary.
  void write_as_clients() {
    after(settings_.write_interval, [this] { write_as_clients(); });
    for (std::size_t i = 0; i < databases_.size(); ++i) {
      auto& db = databases_[i];
      if (!db.alive || db.in_recovery || now_ < db.frozen_until) continue;
      bool routed = owner_accepts_writes(db);
      if (!routed && !settings_.write_to_former_primaries) continue;
      append(i, [this, routed] {
        if (routed) last_client_ack_ = now_;
      });
    }
  }
  bool owner_accepts_writes(const database_model& db) {
    return std::any_of(pools_.begin(), pools_.end(), [&](const auto& pool) {
      const auto& view = pool.decision->view();
      return pool.alive && pool.domain == db.domain && view.primary == db.id &&
             view.state == write_state::open;
    });
  }

  fleet_settings settings_;
  std::mt19937_64 random_;
  std::ostream* trace_;
  // Starts after the epoch, which the decision classes use for "never".
  instant now_{std::chrono::seconds(10)};
  std::uint64_t sequence_ = 0;
  std::priority_queue<scheduled_call> queue_;
  std::vector<database_model> databases_;
  std::vector<pool_model> pools_;
  std::map<std::size_t, bool> isolated_;
  bool platform_down_ = false;
  duration extra_platform_delay_{0};
  double lost_answer_share_ = 0;
  std::pair<database_id, duration> delayed_follow_;

  std::uint64_t stored_version_ = 0;
  std::string stored_value_;
  std::uint64_t next_entry_ = 0;
  std::vector<acknowledged_write> acknowledged_writes_;
  std::uint64_t max_acked_term_ = 0;
  instant last_client_ack_{};
  std::string violation_;
  std::uint64_t messages_ = 0;
  std::uint64_t message_bytes_ = 0;
  std::uint64_t platform_calls_ = 0;
  std::function<void(std::size_t, const promoter::action&)> action_handler_;
  std::function<void(std::size_t, const promoter::event&)> event_handler_;
};

}  // namespace toucanmux::fake
