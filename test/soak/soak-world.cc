#include "soak/soak-world.h"

#include <algorithm>
#include <fstream>
#include <iostream>

#include "standin/proxy/loopback.h"

namespace toucanmux::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick_interval = milliseconds(40);
constexpr duration heartbeat = milliseconds(400);
// A process that was told to end has this long, and the start of the next one
// takes some more.
constexpr int grace_s = 2;
// Far longer than any machine needs; a fleet that is not back then never is.
constexpr duration longest_return = seconds(120);

}  // namespace

soak_world::soak_world(event_loop& loop, const soak_plan& plan)
    : loop_(loop),
      plan_(plan),
      random_(plan.seed),
      store_(loop),
      timer_([this] { tick(); }) {
  write_config();
  for (const char* id : {"i-1", "i-2", "i-3"}) add_database(id);
  databases_[0].server->is_primary = true;
  beat();
  for (int i = 0; i < plan_.instances; ++i) add_instance(i);
  for (int i = 0; i < plan_.callers; ++i) add_caller(i);
}

void soak_world::add_database(const std::string& id) {
  database out;
  out.server = std::make_unique<standin::line_database>(loop_, id, "ledger");
  out.relay = std::make_unique<fault_relay>(loop_, out.server->entry().address);
  databases_.push_back(std::move(out));
}

void soak_world::add_instance(int number) {
  instance out;
  out.callers = standin::free_address(loop_);
  out.readiness = standin::free_address(loop_);
  out.peers = standin::free_address(loop_);
  out.store = std::make_unique<fault_relay>(loop_, store_.address());
  auto name = std::to_string(number);
  std::ofstream file(plan_.folder + "/instance-" + name + ".toml");
  file << "node_name = \"edge-" << name << "\"\nzone = \"zone-" << number % 2
       << "\"\nheartbeat_ms = " << 400 << "\nport_range = [" << out.peers.port
       << ", " << out.peers.port << "]\n[listen]\n"
       << "frontend = \"" << to_text(out.callers) << "\"\nreadiness = \""
       << to_text(out.readiness) << "\"\n[limits_cfg]\nrevoke_ms = 4000\n"
       << "grace_s = " << grace_s << "\n[platform]\naddr = \""
       << to_text(out.store->address()) << "\"\n[provider]\naddr = \""
       << to_text(store_.address()) << "\"\n";
  file.close();
  instances_.push_back(std::move(out));
  tell("start " + name);
}

void soak_world::add_caller(int number) {
  caller_world around;
  around.somewhere = [this] {
    auto last = static_cast<int>(instances_.size()) - 1;
    return instances_[static_cast<std::size_t>(draw(random_, 0, last))].callers;
  };
  around.key = [this] { return key(); };
  around.ended = [this](const soak_outcome& what) {
    outcomes_.push_back(what);
  };
  around.wrote = [this](std::uint64_t position) {
    acknowledged_ = std::max(acknowledged_, position);
  };
  around.read = [this] {
    return [this, needed = acknowledged_](std::uint64_t position) {
      ++served_reads_;
      if (position >= needed) return;
      fail("stale read at " + std::to_string(position) +
           ", acknowledged were " + std::to_string(needed));
    };
  };
  callers_.push_back(std::make_unique<soak_caller>(
      loop_, around, "c" + std::to_string(number), random_()));
}

std::string soak_world::key() const {
  return "key-" + std::to_string(key_number_);
}

void soak_world::write_config() {
  store_.put(
      "config", "main",
      "{\"version\":" + std::to_string(version_) +
          R"(,"routes":[{"host":"orders","kind":"primary","timeout_ms":800,
          "goal_ms":250,"priority":1,"service":"ledger","public":false}],
          "services":[{"name":"ledger","max_conns":40,"sync_replicas":0}],
          "limits":{"tx_idle_ms":3000},"tenants":[{"name":"glaziers",
          "api_keys":["key-0",")" +
          key() + R"("],"rate_per_s":5000,"burst":5000}]})");
}

// A database that answers nobody writes no heartbeats either.
void soak_world::beat() {
  next_beat_ = loop_.now() + heartbeat;
  for (const auto& one : databases_) {
    if (one.server->silent) continue;
    store_.put(
        "servers", one.server->entry().id.value,
        R"({"service":"ledger","addr":")" + to_text(one.relay->address()) +
            R"(","zone":"zone-0","slots":3,"state":"ready","db_role":")" +
            (one.server->is_primary ? "primary" : "replica") + R"(","seq":)" +
            std::to_string(++sequence_) + R"(,"born":1})");
  }
}

void soak_world::tell(const std::string& command) {
  std::cout << command << std::endl;
}

void soak_world::later(duration wait, std::function<void()> call) {
  repairs_.push_back({loop_.now() + wait, std::move(call)});
}

void soak_world::tick() {
  instant now = loop_.now();
  if (now >= next_beat_) beat();
  promote();
  for (std::size_t i = 0; i < repairs_.size(); ++i) {
    if (repairs_[i].at > now) continue;
    auto call = std::move(repairs_[i].call);
    repairs_.erase(repairs_.begin() + static_cast<std::ptrdiff_t>(i--));
    call();
  }
  if (disturbs_ && now >= next_fault_) disturb();
  loop_.arm_in(timer_, tick_interval);
}

// The one that is named takes over with all that was committed.
void soak_world::promote() {
  for (; failovers_ < store_.failovers().size(); ++failovers_) {
    const auto& body = store_.failovers()[failovers_];
    auto named = std::find_if(
        databases_.begin(), databases_.end(), [&](const database& one) {
          return body.find(one.server->entry().id.value) != std::string::npos;
        });
    if (named == databases_.end()) {
      fail("a leader was named that does not exist: " + body);
      continue;
    }
    give_up(*named);
    std::uint64_t end = 0;
    for (auto& one : databases_) {
      bool follows = !one.replaced_after;
      if (follows) end = std::max(end, one.server->log_end);
      if (&one != &*named) replace(one);
    }
    named->server->is_primary = true;
    named->server->log_end = end;
    beat();
  }
  // Replicas follow at once; how late they are is not what is tested here.
  std::uint64_t end = 0;
  for (const auto& one : databases_) {
    if (!one.replaced_after) end = std::max(end, one.server->log_end);
  }
  for (auto& one : databases_) {
    if (!one.replaced_after) one.server->log_end = end;
  }
}

void soak_world::replace(database& what) {
  if (!what.server->is_primary) return;
  if (!plan_.leaders_go_on) {
    what.server->is_primary = false;
    return;
  }
  if (what.replaced_after) return;
  faults_.push_back("goes on " + what.server->entry().id.value);
  what.replaced_after = what.server->executed().size();
  later(milliseconds(draw(random_, 500, 4000)), [this, &what] {
    if (what.replaced_after) give_up(what);
  });
}

// It follows the present leader from now on, or leads again.
void soak_world::give_up(database& what) {
  if (!what.replaced_after) return;
  const auto& ran = what.server->executed();
  for (std::size_t i = *what.replaced_after; i < ran.size(); ++i) {
    at_replaced_.insert(ran[i].substr(0, ran[i].find(' ')));
  }
  what.replaced_after.reset();
  what.server->is_primary = false;
}

void soak_world::disturb() {
  next_fault_ = loop_.now() + milliseconds(draw(random_, 200, 1500));
  int last = plan_.instances - 1;
  switch (draw(random_, 0, 4)) {
    case 0:
    case 1:
      return disturb_instance(draw(random_, 0, last));
    case 2:
      return disturb_database(
          databases_[static_cast<std::size_t>(draw(random_, 0, 2))]);
    case 3:
      return disturb_store(draw(random_, 0, last));
    default:
      ++version_;
      ++key_number_;
      faults_.push_back("keys");
      return write_config();
  }
}

void soak_world::disturb_instance(int number) {
  auto& what = instances_[static_cast<std::size_t>(number)];
  auto name = std::to_string(number);
  if (loop_.now() < what.settled) return;
  what.settled = loop_.now() + seconds(3);
  switch (draw(random_, 0, 3)) {
    case 0:
      faults_.push_back("kill " + name);
      tell("signal KILL " + name);
      return later(milliseconds(draw(random_, 50, 1500)),
                   [this, name] { tell("start " + name); });
    case 1:
      faults_.push_back("pause " + name);
      tell("signal STOP " + name);
      return later(milliseconds(draw(random_, 100, 3000)),
                   [this, name] { tell("signal CONT " + name); });
    case 2:
      faults_.push_back("term " + name);
      tell("signal TERM " + name);
      return later(seconds(grace_s), [this, name] { tell("start " + name); });
    default:
      faults_.push_back("hup " + name);
      return tell("signal HUP " + name);
  }
}

void soak_world::disturb_database(database& what) {
  auto until = milliseconds(draw(random_, 200, 2500));
  auto id = what.server->entry().id.value;
  auto* server = what.server.get();
  auto* relay = what.relay.get();
  switch (draw(random_, 0, 5)) {
    case 0:
      faults_.push_back("silent " + id);
      server->silent = true;
      return later(until, [server] {
        server->silent = false;
        server->reset_connections();
      });
    case 1:
      faults_.push_back("reset " + id);
      return relay->reset_all();
    case 2:
      faults_.push_back("slow " + id);
      relay->delay = milliseconds(draw(random_, 20, 300));
      return later(until, [relay] { relay->delay = duration{0}; });
    case 3:
      faults_.push_back("one way " + id);
      relay->drops_back = true;
      return later(until, [relay] {
        relay->drops_back = false;
        relay->reset_all();
      });
    case 4:
      faults_.push_back("mute connections " + id);
      return relay->silence_open();
    default:
      faults_.push_back("lost answers " + id);
      server->answers_to_lose = static_cast<unsigned>(draw(random_, 1, 4));
  }
}

void soak_world::disturb_store(int number) {
  auto until = milliseconds(draw(random_, 200, 3000));
  auto* relay = instances_[static_cast<std::size_t>(number)].store.get();
  auto name = std::to_string(number);
  switch (draw(random_, 0, 4)) {
    case 0:
      faults_.push_back("store silent");
      store_.silent = true;
      return later(until, [this] { store_.silent = false; });
    case 1:
      faults_.push_back("store forgets");
      return store_.discard_history();
    case 2:
      faults_.push_back("store slow for " + name);
      relay->delay = milliseconds(draw(random_, 50, 800));
      return later(until, [relay] { relay->delay = duration{0}; });
    case 3:
      faults_.push_back("store deaf to " + name);
      relay->drops_forward = true;
      return later(until, [relay] {
        relay->drops_forward = false;
        relay->reset_all();
      });
    default:
      faults_.push_back("store mute to " + name);
      return relay->silence_open();
  }
}

void soak_world::fail(const std::string& what) {
  tell("broken " + what);
  faults_.push_back("BROKEN " + what);
}

void soak_world::heal() {
  disturbs_ = false;
  for (auto& one : repairs_) one.call();
  repairs_.clear();
  store_.silent = false;
}

// Each instance has to serve a write again.
bool soak_world::comes_back() {
  auto end = boot_time() + longest_return;
  while (boot_time() < end) {
    auto reads = served_reads_;
    auto writes = acknowledged_;
    auto until = boot_time() + seconds(2);
    while (boot_time() < until) loop_.turn(milliseconds(20));
    bool all = store_.calls() > 0 && served_reads_ > reads + 20 &&
               acknowledged_ > writes + 10;
    if (all) return true;
  }
  fail("the fleet does not serve again");
  return false;
}

void soak_world::check_transaction(const soak_outcome& what) {
  for (const auto& id : what.writes) {
    if (places_[id] == places_[what.decisive]) continue;
    fail(id + " ran on " + places_[id] + ", its commit on " +
         places_[what.decisive]);
  }
}

void soak_world::check_outcomes() {
  for (const auto& one : databases_) {
    for (const auto& line : one.server->executed()) {
      ++runs_[line.substr(0, line.find(' '))];
    }
    for (const auto& line : one.server->received_lines()) {
      auto query = line.find(" QUERY ");
      if (query == std::string::npos) continue;
      auto rest = line.substr(query + 7);
      places_[rest.substr(0, rest.find(' '))] =
          one.server->entry().id.value + '/' + line.substr(0, query);
    }
  }
  unsigned acknowledged = 0;
  for (const auto& what : outcomes_) {
    auto runs = runs_[what.decisive];
    acknowledged += what.acknowledged ? 1 : 0;
    if (runs > 1) fail(what.decisive + " took effect twice");
    if (what.acknowledged && at_replaced_.contains(what.decisive)) {
      fail(what.decisive + " was acknowledged by a replaced leader");
    }
    if (what.acknowledged && runs == 0) fail(what.decisive + " was lost");
    if (what.promised && what.decisive != what.writes.back() && runs != 0) {
      fail(what.decisive + " was committed though nothing was to be kept");
    }
    if (what.promised && !what.transaction && runs != 0) {
      fail(what.decisive + " ran though it was said not to");
    }
    if (what.acknowledged && what.transaction) check_transaction(what);
  }
  std::cout << "report seed " << plan_.seed << ": " << acknowledged << " of "
            << outcomes_.size() << " writes and transactions acknowledged, "
            << served_reads_ << " reads, " << failovers_
            << " leaders named, faults:";
  for (const auto& fault : faults_) std::cout << ' ' << fault << ';';
  std::cout << std::endl;
}

bool soak_world::run() {
  tick();
  auto end = boot_time() + seconds(plan_.seconds);
  while (boot_time() < end) loop_.turn(milliseconds(20));
  heal();
  bool back = comes_back();
  for (auto& caller : callers_) caller->stop();
  auto rest = boot_time() + seconds(3);
  while (boot_time() < rest) loop_.turn(milliseconds(20));
  check_outcomes();
  bool good = back && std::none_of(faults_.begin(), faults_.end(),
                                   [](const std::string& fault) {
                                     return fault.substr(0, 6) == "BROKEN";
                                   });
  tell(good ? "done good" : "done broken");
  return good;
}

}  // namespace toucanmux::soak
