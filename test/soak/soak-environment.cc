#include "soak/soak-environment.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>

#include "standin/process-address.h"

namespace toucanmux::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick_interval = milliseconds(40);
constexpr duration heartbeat = milliseconds(400);
// Time a process has to end after SIGTERM; the next process starts after it.
constexpr int grace_s = 2;
constexpr int statement_timeout_ms = 800;
// Time for the fleet to start before planned work begins.
constexpr duration start_time = milliseconds(1500);
// More than the longest time from SIGTERM until the instance serves again.
constexpr duration stop_settling = seconds(4);
// Less than the time for which a stopping process runs at least.
constexpr int shortest_stop_ms = 900;
constexpr int max_slow_readers = 12;
constexpr duration slow_work = milliseconds(350);
// More than the kernel's buffers hold for a slow reader.
constexpr unsigned large_rows = 24;
// Far longer than recovery takes on a slow machine, so a fleet that exceeds it
// will not recover.
constexpr duration recovery_timeout = seconds(120);

caller_kind kind_of(int number) {
  constexpr std::array kinds{caller_kind::plain,       caller_kind::pipelining,
                             caller_kind::slow_reader, caller_kind::halting,
                             caller_kind::idle,        caller_kind::plain};
  auto kind = kinds[static_cast<std::size_t>(number) % kinds.size()];
  bool too_many = number / static_cast<int>(kinds.size()) >= max_slow_readers;
  return kind == caller_kind::slow_reader && too_many ? caller_kind::plain
                                                      : kind;
}

}  // namespace

soak_environment::soak_environment(event_loop& loop, const soak_plan& plan)
    : loop_(loop),
      plan_(plan),
      random_(plan.seed),
      fault_random_(plan.seed),
      stop_check_(plan.instances, seconds(grace_s),
                  milliseconds(statement_timeout_ms)),
      store_(loop),
      timer_([this] { tick(); }) {
  write_config();
  for (const char* id : {"i-1", "i-2", "i-3"}) add_database(id);
  databases_[0].server->is_primary = true;
  write_heartbeats();
  for (int i = 0; i < plan_.instances; ++i) add_instance(i);
  for (int i = 0; i < plan_.caller_count; ++i) add_caller(i);
}

void soak_environment::add_database(const std::string& id) {
  database out;
  out.server = std::make_unique<standin::line_database>(loop_, id, "ledger");
  out.server->slow_work = slow_work;
  out.server->large_rows = large_rows;
  // Connections of killed instances and of restarts count too.
  out.server->connection_limit = std::size_t{2} * max_connections() + 20;
  out.relay = std::make_unique<fault_relay>(loop_, out.server->entry().address);
  databases_.push_back(std::move(out));
}

void soak_environment::add_instance(int number) {
  instance out;
  out.client_address = standin::next_address();
  out.readiness_address = standin::next_address();
  out.peer_address = standin::next_address();
  out.store_relay = std::make_unique<fault_relay>(loop_, store_.address());
  auto name = std::to_string(number);
  std::ofstream file(plan_.folder + "/instance-" + name + ".toml");
  file << "node_name = \"edge-" << name << "\"\nzone = \"zone-" << number % 2
       << "\"\nheartbeat_ms = " << 400 << "\nport_range = ["
       << out.peer_address.port << ", " << out.peer_address.port
       << "]\n[listen]\n"
       << "frontend = \"" << to_text(out.client_address) << "\"\nreadiness = \""
       << to_text(out.readiness_address)
       << "\"\n[limits_cfg]\nrevoke_ms = 4000\n"
       << "grace_s = " << grace_s << "\n[platform]\naddr = \""
       << to_text(out.store_relay->address()) << "\"\n[provider]\naddr = \""
       << to_text(store_.address()) << "\"\n";
  file.close();
  instances_.push_back(std::move(out));
  start(number);
}

void soak_environment::add_caller(int number) {
  caller_hooks hooks;
  for (const auto& each : instances_)
    hooks.instances.push_back(each.client_address);
  hooks.api_key = [this] { return api_key(); };
  hooks.on_outcome = [this](const soak_outcome& outcome) {
    outcomes_.push_back(outcome);
  };
  hooks.on_written = [this](std::uint64_t position) {
    acknowledged_number_ = std::max(acknowledged_number_, position);
  };
  hooks.begin_read = [this] {
    return [this, needed = acknowledged_number_](std::uint64_t position) {
      ++served_reads_;
      if (position >= needed) return;
      fail("stale read at " + std::to_string(position) +
           ", acknowledged up to " + std::to_string(needed));
    };
  };
  hooks.on_cut = [this](cut_statement cut) {
    cut.open_until = previous_turn_;
    cut.noticed_at = boot_time();
    stop_check_.on_cut(cut);
  };
  callers_.push_back(std::make_unique<soak_caller>(
      loop_, hooks, "c" + std::to_string(number), random_(), kind_of(number)));
}

std::string soak_environment::api_key() const {
  return "key-" + std::to_string(key_number_);
}

unsigned soak_environment::max_connections() const {
  return static_cast<unsigned>(std::max(40, plan_.instances * 10));
}

void soak_environment::write_config() {
  auto rate = std::to_string(std::max(5000, plan_.instances * 1250));
  store_.put(
      "config", "main",
      "{\"version\":" + std::to_string(config_version_) +
          R"(,"routes":[{"host":"orders","kind":"primary","timeout_ms":)" +
          std::to_string(statement_timeout_ms) + R"(,
          "goal_ms":250,"priority":1,"service":"ledger","public":false}],
          "services":[{"name":"ledger","max_conns":)" +
          std::to_string(max_connections()) + R"(,"sync_replicas":0}],
          "limits":{"tx_idle_ms":3000},"tenants":[{"name":"glaziers",
          "api_keys":["key-0",")" +
          api_key() + R"("],"rate_per_s":)" + rate + R"(,"burst":)" + rate +
          "}]}");
}

// A silent database writes no heartbeats either.
void soak_environment::write_heartbeats() {
  next_heartbeat_ = loop_.now() + heartbeat;
  for (const auto& each : databases_) {
    if (each.server->silent) continue;
    store_.put(
        "servers", each.server->entry().id.value,
        R"({"service":"ledger","addr":")" + to_text(each.relay->address()) +
            R"(","zone":"zone-0","slots":3,"state":"ready","db_role":")" +
            (each.server->is_primary ? "primary" : "replica") + R"(","seq":)" +
            std::to_string(++sequence_) + R"(,"born":1})");
  }
}

void soak_environment::send_command(const std::string& command) {
  std::cout << command << std::endl;
}

void soak_environment::call_later(duration delay,
                                  std::function<void()> callback) {
  scheduled_calls_.push_back({loop_.now() + delay, std::move(callback)});
}

void soak_environment::tick() {
  instant now = loop_.now();
  report_trouble();
  if (now >= next_heartbeat_) write_heartbeats();
  apply_failovers();
  for (std::size_t i = 0; i < scheduled_calls_.size(); ++i) {
    if (scheduled_calls_[i].due_at > now) continue;
    auto callback = std::move(scheduled_calls_[i].callback);
    scheduled_calls_.erase(scheduled_calls_.begin() +
                           static_cast<std::ptrdiff_t>(i--));
    callback();
  }
  while (injecting_faults_ && now >= next_fault_) inject_fault();
  report_trouble();
  loop_.arm_in(timer_, tick_interval);
}

// The database named by a failover call becomes leader with every committed
// record.
void soak_environment::apply_failovers() {
  for (; handled_failovers_ < store_.failovers().size(); ++handled_failovers_) {
    const auto& body = store_.failovers()[handled_failovers_];
    auto promoted = std::find_if(
        databases_.begin(), databases_.end(), [&](const database& each) {
          return body.find(each.server->entry().id.value) != std::string::npos;
        });
    if (promoted == databases_.end()) {
      fail("a failover call names an unknown database: " + body);
      continue;
    }
    stop_former_leader(*promoted);
    std::uint64_t last_record = 0;
    for (auto& each : databases_) {
      bool replicates = !each.replaced_after;
      if (replicates) last_record = std::max(last_record, each.server->log_end);
      if (&each != &*promoted) replace_leader(each);
    }
    promoted->server->is_primary = true;
    promoted->server->log_end = last_record;
    write_heartbeats();
  }
  // Replicas catch up at once: the soak does not test replication lag.
  std::uint64_t last_record = 0;
  for (const auto& each : databases_) {
    if (!each.replaced_after)
      last_record = std::max(last_record, each.server->log_end);
  }
  for (auto& each : databases_) {
    if (!each.replaced_after) each.server->log_end = last_record;
  }
}

void soak_environment::replace_leader(database& former) {
  if (!former.server->is_primary) return;
  if (!plan_.former_leaders_keep_running) {
    former.server->is_primary = false;
    return;
  }
  if (former.replaced_after) return;
  faults_.push_back("replaced leader keeps running " +
                    former.server->entry().id.value);
  former.replaced_after = former.server->executed().size();
  call_later(milliseconds(draw(random_, 500, 4000)), [this, &former] {
    if (former.replaced_after) stop_former_leader(former);
  });
}

// The replaced leader becomes a replica, or is about to be promoted again.
void soak_environment::stop_former_leader(database& former) {
  if (!former.replaced_after) return;
  const auto& executed = former.server->executed();
  for (std::size_t i = *former.replaced_after; i < executed.size(); ++i) {
    ran_at_former_leader_.insert(executed[i].substr(0, executed[i].find(' ')));
  }
  former.replaced_after.reset();
  former.server->is_primary = false;
}

void soak_environment::report_trouble() {
  instant now = boot_time();
  bool shared =
      store_.silent ||
      std::any_of(databases_.begin(), databases_.end(), [](const auto& each) {
        return each.server->silent || each.server->answers_to_lose > 0 ||
               each.relay->in_trouble();
      });
  if (shared) stop_check_.on_shared_trouble(now);
  for (int i = 0; i < plan_.instances; ++i) {
    const auto& each = instances_[static_cast<std::size_t>(i)];
    if (each.in_trouble || each.store_relay->in_trouble())
      stop_check_.on_trouble(i, now);
  }
}

// The planned times don't depend on the delays of the loop, so that every draw
// follows from the seed.
void soak_environment::inject_fault() {
  fault_time_ = next_fault_;
  next_fault_ += milliseconds(draw(fault_random_, 200, 1500));
  fault_time_ < unplanned_from_ ? inject_planned_work()
                                : inject_unplanned_fault();
}

void soak_environment::inject_unplanned_fault() {
  int last_instance = plan_.instances - 1;
  switch (draw(fault_random_, 0, 4)) {
    case 0:
    case 1:
      return inject_instance_fault(draw(fault_random_, 0, last_instance));
    case 2:
      return inject_database_fault(
          databases_[static_cast<std::size_t>(draw(fault_random_, 0, 2))]);
    case 3:
      return inject_store_fault(draw(fault_random_, 0, last_instance));
    default:
      return change_keys();
  }
}

// Stops come alone, at the same time or as a rolling restart.
void soak_environment::inject_planned_work() {
  int first = draw(fault_random_, 0, plan_.instances - 1);
  int count = draw(fault_random_, 1, std::min(plan_.instances, 8));
  auto gap = milliseconds(draw(fault_random_, 100, 1000));
  switch (draw(fault_random_, 0, 5)) {
    case 0:
      return hang_up(first);
    case 1:
      return change_keys();
    case 2:
      gap = milliseconds(0);
      break;
    default:
      break;
  }
  for (int i = 0; i < count; ++i)
    plan_stop((first + i) % plan_.instances, gap * i);
}

void soak_environment::inject_instance_fault(int number) {
  auto& target = instances_[static_cast<std::size_t>(number)];
  if (fault_time_ < target.settled_at) return;
  auto kind = draw(fault_random_, 0, 3);
  if (kind == 2) return plan_stop(number, duration{0});
  target.settled_at = fault_time_ + seconds(3);
  if (kind == 0) return kill_instance(number);
  if (kind == 1) return pause_instance(number);
  hang_up(number);
}

void soak_environment::kill_instance(int number) {
  faults_.push_back("kill " + std::to_string(number));
  instances_[static_cast<std::size_t>(number)].in_trouble = true;
  signal("KILL", number);
  call_later(milliseconds(draw(fault_random_, 50, 1500)),
             [this, number] { start(number); });
}

void soak_environment::pause_instance(int number) {
  faults_.push_back("pause " + std::to_string(number));
  auto& target = instances_[static_cast<std::size_t>(number)];
  target.in_trouble = true;
  signal("STOP", number);
  call_later(milliseconds(draw(fault_random_, 100, 3000)),
             [this, &target, number] {
               signal("CONT", number);
               target.in_trouble = false;
             });
}

// Plans SIGTERM, other work during the stop, SIGKILL as by the platform, and
// the next start.
void soak_environment::plan_stop(int number, duration delay) {
  auto& target = instances_[static_cast<std::size_t>(number)];
  auto stop_time = fault_time_ + delay;
  if (stop_time < target.settled_at) return;
  target.settled_at = stop_time + stop_settling;
  auto killed_after = delay + seconds(grace_s);
  auto started_after = killed_after + milliseconds(draw(fault_random_, 0, 800));
  auto next_after =
      delay + milliseconds(draw(fault_random_, 50, shortest_stop_ms));
  auto next = draw(fault_random_, 0, 3);
  call_later(delay, [this, number] { stop_instance(number); });
  call_later(killed_after, [this, number] { signal("KILL", number); });
  call_later(started_after, [this, number] { start(number); });
  if (next == 0) call_later(next_after, [this, number] { hang_up(number); });
  if (next == 1) call_later(next_after, [this] { change_keys(); });
  if (next == 2)
    call_later(next_after, [this, number] { stop_instance(number); });
}

void soak_environment::stop_instance(int number) {
  faults_.push_back("term " + std::to_string(number));
  signal("TERM", number);
  stop_check_.on_stop(number, boot_time());
  auto closes_at = boot_time() + seconds(grace_s) / 2;
  for (auto& caller : callers_) caller->expect_close(number, closes_at);
}

void soak_environment::hang_up(int number) {
  faults_.push_back("hup " + std::to_string(number));
  signal("HUP", number);
}

void soak_environment::change_keys() {
  ++config_version_;
  ++key_number_;
  faults_.push_back("keys");
  write_config();
}

void soak_environment::signal(const std::string& name, int number) {
  send_command("signal " + name + ' ' + std::to_string(number));
}

void soak_environment::start(int number) {
  send_command("start " + std::to_string(number));
  instances_[static_cast<std::size_t>(number)].in_trouble = false;
}

void soak_environment::inject_database_fault(database& target) {
  auto fault_duration = milliseconds(draw(fault_random_, 200, 2500));
  stop_check_.on_shared_trouble(boot_time());
  auto id = target.server->entry().id.value;
  auto* server = target.server.get();
  auto* relay = target.relay.get();
  switch (draw(fault_random_, 0, 5)) {
    case 0:
      faults_.push_back("silent " + id);
      server->silent = true;
      return call_later(fault_duration, [server] {
        server->silent = false;
        server->reset_connections();
      });
    case 1:
      faults_.push_back("reset " + id);
      return relay->reset_all();
    case 2:
      faults_.push_back("slow " + id);
      relay->delay = milliseconds(draw(fault_random_, 20, 300));
      return call_later(fault_duration,
                        [relay] { relay->delay = duration{0}; });
    case 3:
      faults_.push_back("answers held back " + id);
      relay->holds_to_client = true;
      return call_later(fault_duration, [relay] {
        relay->holds_to_client = false;
        relay->reset_all();
      });
    case 4:
      faults_.push_back("muted connections " + id);
      return relay->mute_open_connections();
    default:
      faults_.push_back("lost answers " + id);
      server->answers_to_lose =
          static_cast<unsigned>(draw(fault_random_, 1, 4));
  }
}

void soak_environment::inject_store_fault(int number) {
  auto fault_duration = milliseconds(draw(fault_random_, 200, 3000));
  auto* relay = instances_[static_cast<std::size_t>(number)].store_relay.get();
  auto name = std::to_string(number);
  switch (draw(fault_random_, 0, 4)) {
    case 0:
      faults_.push_back("store silent");
      store_.silent = true;
      return call_later(fault_duration, [this] { store_.silent = false; });
    case 1:
      faults_.push_back("store discards its history");
      stop_check_.on_shared_trouble(boot_time());
      return store_.discard_history();
    case 2:
      faults_.push_back("store slow for " + name);
      relay->delay = milliseconds(draw(fault_random_, 50, 800));
      return call_later(fault_duration,
                        [relay] { relay->delay = duration{0}; });
    case 3:
      faults_.push_back("store requests held back for " + name);
      relay->holds_to_target = true;
      return call_later(fault_duration, [relay] {
        relay->holds_to_target = false;
        relay->reset_all();
      });
    default:
      faults_.push_back("store connections muted for " + name);
      return relay->mute_open_connections();
  }
}

void soak_environment::fail(const std::string& violation) {
  send_command("broken " + violation);
  faults_.push_back("BROKEN " + violation);
}

void soak_environment::turn() {
  previous_turn_ = loop_.now();
  loop_.turn(milliseconds(20));
}

// Faults that have begun end at their planned times.
void soak_environment::end_faults() {
  injecting_faults_ = false;
  while (!scheduled_calls_.empty()) turn();
}

// Waits until reads and writes are served again.
bool soak_environment::wait_for_recovery() {
  auto end = boot_time() + recovery_timeout;
  while (boot_time() < end) {
    auto reads_before = served_reads_;
    auto acknowledged_before = acknowledged_number_;
    auto round_end = boot_time() + seconds(2);
    while (boot_time() < round_end) turn();
    bool recovered = store_.calls() > 0 && served_reads_ > reads_before + 20 &&
                     acknowledged_number_ > acknowledged_before + 10;
    if (recovered) return true;
  }
  fail("the fleet did not recover");
  return false;
}

void soak_environment::check_transaction(const soak_outcome& outcome) {
  for (const auto& id : outcome.write_ids) {
    if (locations_[id] == locations_[outcome.commit_id]) continue;
    fail(id + " ran on " + locations_[id] + ", its commit on " +
         locations_[outcome.commit_id]);
  }
}

void soak_environment::check_outcomes() {
  for (const auto& each : databases_) {
    for (const auto& line : each.server->executed()) {
      ++execution_counts_[line.substr(0, line.find(' '))];
    }
    for (const auto& line : each.server->received_lines()) {
      auto query = line.find(" QUERY ");
      if (query == std::string::npos) continue;
      auto statement = line.substr(query + 7);
      locations_[statement.substr(0, statement.find(' '))] =
          each.server->entry().id.value + '/' + line.substr(0, query);
    }
  }
  unsigned acknowledged = 0;
  for (const auto& result : outcomes_) {
    auto runs = execution_counts_[result.commit_id];
    acknowledged += result.acknowledged ? 1 : 0;
    if (runs > 1) fail(result.commit_id + " took effect twice");
    if (result.acknowledged &&
        ran_at_former_leader_.contains(result.commit_id)) {
      fail(result.commit_id + " was acknowledged by a replaced leader");
    }
    if (result.acknowledged && runs == 0) fail(result.commit_id + " was lost");
    if (result.promised_no_effect &&
        result.commit_id != result.write_ids.back() && runs != 0) {
      fail(result.commit_id +
           " was committed although its error code promised that nothing is "
           "kept");
    }
    if (result.promised_no_effect && !result.transaction && runs != 0) {
      fail(result.commit_id +
           " ran although its error code promised that it had no effect");
    }
    if (result.acknowledged && result.transaction) check_transaction(result);
  }
  std::cout << "report seed " << plan_.seed << ": " << acknowledged << " of "
            << outcomes_.size() << " writes and transactions acknowledged, "
            << served_reads_ << " reads, " << handled_failovers_
            << " failovers, " << stop_check_.calm_stops()
            << " stops without other trouble, " << stop_check_.cut_count()
            << " statements cut off, faults:";
  for (const auto& fault : faults_) std::cout << ' ' << fault << ';';
  std::cout << std::endl;
}

void soak_environment::check_cuts() {
  auto work_on = [this](const std::string& id) {
    stop_check::database_work out;
    out.received = locations_.contains(id);
    for (const auto& each : databases_) {
      auto answered = each.server->answered().find(id);
      if (answered == each.server->answered().end()) continue;
      if (!out.answered_at || *out.answered_at < answered->second)
        out.answered_at = answered->second;
    }
    return out;
  };
  for (const auto& violation : stop_check_.violations(work_on)) fail(violation);
}

bool soak_environment::run() {
  next_fault_ = boot_time() + start_time;
  unplanned_from_ = next_fault_ + seconds(plan_.planned_seconds);
  auto end = unplanned_from_ + seconds(plan_.seconds);
  tick();
  while (boot_time() < end) turn();
  end_faults();
  bool recovered = wait_for_recovery();
  for (auto& caller : callers_) caller->stop();
  auto drained_at = boot_time() + seconds(3);
  while (boot_time() < drained_at) turn();
  check_outcomes();
  check_cuts();
  bool passed =
      recovered && std::none_of(faults_.begin(), faults_.end(),
                                [](const std::string& fault) {
                                  return fault.substr(0, 6) == "BROKEN";
                                });
  send_command(passed ? "done good" : "done broken");
  return passed;
}

}  // namespace toucanmux::soak
