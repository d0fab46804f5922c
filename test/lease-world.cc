#include "lease-world.h"

#include <algorithm>

#include "toucanmux/hash.h"

namespace toucanmux {

/// Reads what decides a takeover's further course.
struct takeover_inspector {
  template <class Take>
  static void visit(const takeover& what, Take take) {
    take(static_cast<std::uint64_t>(what.phase_));
    if (!what.running()) {
      take(what.refused_revision_);
      return;
    }
    take(what.phase_entered_at_);
    take(what.positions_queried_at_);
    take(stable_hash(what.request_.leader.value));
    take(std::uint64_t{what.request_.planned});
    take(std::uint64_t{what.request_.leaderless});
    take(what.request_.known_revision);
    take(what.request_.known_since);
    take(what.token_);
    take(what.duty_revision_);
    take(what.fence_term_);
    take(what.revoked_at_);
    take(std::uint64_t{what.revoked_before_});
    take(std::uint64_t{what.failure_confirmed_});
    take(std::uint64_t{what.suspicion_withdrawn_});
    take(std::uint64_t{what.leases_released_});
    take(std::uint64_t{what.old_leader_position_.has_value()});
    take(std::uint64_t{what.replica_positions_.size()});
    take(stable_hash(what.new_leader_.value));
    take(stable_hash(what.pending_promotion_.value));
    take(std::uint64_t{what.promotion_inherited_});
    take(what.refused_revision_);
    take(what.last_read_revision_);
    take(what.last_read_since_);
  }
};

namespace standin {

namespace {

const group_id group("ledger");
// Ages beyond this make no difference to anything.
constexpr duration oldest = std::chrono::seconds(10);

class hasher {
 public:
  explicit hasher(instant now) : now_(now) {}
  void operator()(std::uint64_t value) { sum_ = mix(sum_ ^ value) + value; }
  void operator()(instant at) {
    (*this)(static_cast<std::uint64_t>(
        std::clamp<duration>(now_ - at, -oldest, oldest).count()));
  }
  void operator()(const std::optional<leader_record>& record) {
    (*this)(record ? record->revision : 0);
  }
  std::uint64_t sum() const { return sum_; }

 private:
  instant now_;
  std::uint64_t sum_ = 1;
};

}  // namespace

lease_world::lease_world(const flaws& without, bool tokens_checked,
                         unsigned changes, unsigned crashes)
    : flaws_(without),
      tokens_checked_(tokens_checked),
      takeovers_left_(changes),
      crashes_left_(crashes) {
  for (std::size_t i = 0; i < instances; ++i) {
    instances_[i].leases.mark_registered(now_);
    if (i < replacers)
      instances_[i].running_takeover.emplace(settings(), member(i));
  }
}

database_id lease_world::name_of(std::size_t database) {
  return database_id("i-" + std::to_string(database));
}

member_id lease_world::member(std::size_t index) {
  return member_id("edge-" + std::to_string(index));
}

std::size_t lease_world::index_of(std::uint32_t database) {
  std::size_t out = 0;
  while (short_hash(name_of(out).value) != database) ++out;
  return out;
}

takeover::settings lease_world::settings() const {
  takeover::settings out;
  out.tokens_checked = tokens_checked_;
  if (flaws_.promotes_late) {
    out.promotion_send_timeout = oldest;
    out.step_timeout = oldest;
    out.silent_holder_timeout = duration{0};
  }
  if (flaws_.overrides_pending_promotion) out.promotion_lifetime = duration{0};
  return out;
}

bool lease_world::lease_valid(const instance& what) const {
  auto then = flaws_.doubles_lease ? now_ - leader_lease::length : now_;
  return what.leases.valid(then);
}

// The database that the instance takes for the leader and may act by.
std::optional<std::size_t> lease_world::served_leader(
    const instance& what) const {
  if (!lease_valid(what)) return {};
  const auto* record = what.leases.find(short_hash(group.value));
  if (!record) return 0;
  bool revoked = record->phase == leadership_phase::revoked;
  if (revoked && !flaws_.serves_while_revoked) return {};
  return index_of(record->leader);
}

std::string lease_world::violation() const {
  if (lower_token_accepted_)
    return "an order had a lower token than one before";
  for (const auto& one : instances_) {
    auto by = served_leader(one);
    // One that has stepped down, or was not promoted yet, serves nobody.
    if (!by || !leads_[*by]) continue;
    if (*by != current_leader_) return "a replaced leader is served by";
  }
  return {};
}

std::optional<leader_record> lease_world::stored() const {
  if (store_.revision == 0) return {};
  const auto& what = store_.what;
  return leader_record{short_hash(what.group.value), store_.revision,
                       what.phase, short_hash(what.leader.value),
                       short_hash(what.holder.value)};
}

// The revision after it, or 0 if its condition does not hold.
std::uint64_t lease_world::execute(const write_duty& what) {
  bool holds = what.revision == store_.revision;
  if (!holds && !flaws_.writes_without_condition) return 0;
  ++store_.revision;
  store_.what = what;
  return store_.revision;
}

// Whoever led before goes on.
bool lease_world::execute(const call<request_promotion>& order) {
  const request_promotion& what = order.what;
  bool lower = what.token < highest_token_;
  if (lower && tokens_checked_) return false;
  // One that was sent in time may still come late.
  if (lower && order.sent_at > highest_since_) lower_token_accepted_ = true;
  if (what.token > highest_token_) highest_since_ = now_;
  highest_token_ = std::max(highest_token_, what.token);
  auto index = index_of(short_hash(what.database.value));
  current_leader_ = index;
  leads_[index] = true;
  return true;
}

void lease_world::start_takeover(std::size_t who, bool planned,
                                 bool leaderless) {
  instance& own = instances_[who];
  const auto* record = own.leases.find(short_hash(group.value));
  auto leader = record ? index_of(record->leader) : 0;
  takeover_start goal;
  goal.group = group;
  goal.leader = name_of(leader);
  goal.planned = planned;
  goal.suspected = !planned && !leaderless;
  goal.leaderless = leaderless;
  for (std::size_t i = 0; i < databases; ++i) {
    if (i != leader || leaderless) goal.candidates.push_back(name_of(i));
  }
  goal.replica_count = goal.candidates.size();
  if (record) {
    goal.known_revision = record->revision;
    goal.known_since = own.leases.known_since(record->group);
  }
  --takeovers_left_;
  step_takeover(who, goal);
}

void lease_world::step_takeover(std::size_t who, const takeover_event& what) {
  for (const auto& action :
       instances_[who].running_takeover->step(now_, what)) {
    carry_out(who, action);
  }
}

void lease_world::carry_out(std::size_t who, const takeover_action& action) {
  instance& own = instances_[who];
  if (std::holds_alternative<read_duty>(action)) {
    duty_read found;
    found.store_reached = true;
    found.exists = store_.revision != 0;
    found.revision = store_.revision;
    found.token = store_.what.token;
    found.holder = store_.what.holder;
    found.replaces = store_.what.replaces;
    found.phase = store_.what.phase;
    found.leader = store_.what.leader;
    found.pending_promotion = store_.what.pending_promotion;
    if (found.exists) own.leases.apply_record(now_, *stored());
    step_takeover(who, found);
  } else if (const auto* write = std::get_if<write_duty>(&action)) {
    own.writing = {*write, false, false, 0, now_};
  } else if (const auto* order = std::get_if<request_promotion>(&action)) {
    own.promoting = {*order, false, false, 0, now_};
  } else if (const auto* asked = std::get_if<query_position>(&action)) {
    auto index = index_of(short_hash(asked->database.value));
    // Either of the two may be the furthest.
    auto far = (highest_token_ + index) % 2;
    step_takeover(
        who, position_reply{asked->database, true, leads_[index], 1, {1, far}});
  } else if (const auto* told = std::get_if<step_down>(&action)) {
    own.told_to_step_down = index_of(short_hash(told->database.value));
  }
}

// Records are told for a while only.
void lease_world::send_report(std::size_t from, std::size_t to, bool bare) {
  const instance& own = instances_[from];
  report out;
  out.digest = own.leases.digest();
  out.confirmed = own.leases.confirmed();
  out.age = out.confirmed ? own.leases.age(now_) : oldest;
  const auto* record = own.leases.find(short_hash(group.value));
  if (record && !bare) out.record = *record;
  out.echo = own.stamps[to];
  out.stamp = now_;
  reports_[from][to] = out;
}

void lease_world::deliver_report(std::size_t from, std::size_t to) {
  report what = *reports_[from][to];
  reports_[from][to].reset();
  instance& own = instances_[to];
  bool late = what.stamp < own.stamps[from];
  if (late) return;
  if (what.record) own.leases.apply_record(now_, *what.record);
  own.digests[from] = what.digest;
  own.stamps[from] = what.stamp;
  bool echoed = what.echo != instant{};
  if (!what.confirmed || !echoed) return;
  auto since = flaws_.confirms_at_arrival ? now_ : what.echo;
  auto digest =
      flaws_.confirms_with_other_records ? own.leases.digest() : what.digest;
  own.leases.confirm_from_peer(since - what.age, digest);
}

bool lease_world::all_released(std::size_t who) const {
  const instance& own = instances_[who];
  for (std::size_t i = 0; i < instances; ++i) {
    if (i != who && own.digests[i] != own.leases.digest()) return false;
  }
  return true;
}

void lease_world::crash(std::size_t who) {
  instance fresh;
  fresh.leases.mark_registered(now_);
  if (who < replacers) fresh.running_takeover.emplace(settings(), member(who));
  instance& own = instances_[who];
  if (own.writing && !own.writing->done) late_writes_.push_back(*own.writing);
  if (own.promoting && !own.promoting->done) {
    late_promotions_.push_back(*own.promoting);
  }
  own = std::move(fresh);
  // Its stamps begin anew, and those of its last process prove nothing.
  for (std::size_t i = 0; i < instances; ++i) {
    reports_[i][who].reset();
    instances_[i].stamps[who] = {};
  }
  --crashes_left_;
}

std::vector<lease_world::event> lease_world::events() const {
  std::vector<event> out;
  out.push_back({"time", [](lease_world& world) {
                   world.now_ += step;
                   std::erase_if(
                       world.late_promotions_, [&](const auto& order) {
                         return world.now_ - order.sent_at >=
                                takeover::settings{}.promotion_lifetime;
                       });
                 }});
  add_takeovers(out);
  add_late(out);
  add_reads(out);
  add_reports(out);
  for (std::size_t i = 0; i < instances && crashes_left_ > 0; ++i) {
    out.push_back({"crash " + std::to_string(i),
                   [i](lease_world& world) { world.crash(i); }});
  }
  return out;
}

void lease_world::add_reads(std::vector<event>& out) const {
  for (std::size_t i = 0; i < instances; ++i) {
    auto who = std::to_string(i);
    if (!instances_[i].reading) {
      out.push_back(
          {"read " + who, [i](lease_world& world) {
             world.instances_[i].reading = {world.now_, world.stored()};
           }});
      continue;
    }
    out.push_back({"answer " + who, [i](lease_world& world) {
                     instance& own = world.instances_[i];
                     std::vector<leader_record> records;
                     if (own.reading->record) {
                       records.push_back(*own.reading->record);
                     }
                     auto since = world.flaws_.confirms_at_arrival
                                      ? world.now_
                                      : own.reading->sent_at;
                     own.leases.apply_records(world.now_, since, records);
                     own.reading.reset();
                   }});
  }
}

void lease_world::add_reports(std::vector<event>& out) const {
  for (std::size_t i = 0; i < instances; ++i) {
    for (std::size_t j = 0; j < instances; ++j) {
      if (i == j) continue;
      auto pair = std::to_string(i) + " to " + std::to_string(j);
      if (!reports_[i][j]) {
        for (bool bare : {false, true}) {
          out.push_back({(bare ? "short report " : "report ") + pair,
                         [i, j, bare](lease_world& world) {
                           world.send_report(i, j, bare);
                         }});
        }
        continue;
      }
      out.push_back({"heard " + pair, [i, j](lease_world& world) {
                       world.deliver_report(i, j);
                     }});
    }
  }
}

void lease_world::add_takeovers(std::vector<event>& out) const {
  for (std::size_t i = 0; i < replacers; ++i) {
    const instance& own = instances_[i];
    auto who = std::to_string(i);
    auto add = [&](const char* name, auto apply) {
      out.push_back({std::string(name) + ' ' + who, apply});
    };
    if (!own.running_takeover->running()) {
      if (takeovers_left_ == 0) continue;
      add("suspect",
          [i](lease_world& world) { world.start_takeover(i, false); });
      add("plan", [i](lease_world& world) { world.start_takeover(i, true); });
      add("leaderless",
          [i](lease_world& world) { world.start_takeover(i, false, true); });
      continue;
    }
    if (own.writing) {
      add("write answered", [i](lease_world& world) {
        instance& taker = world.instances_[i];
        auto ended = *taker.writing;
        taker.writing.reset();
        if (!ended.done) ended.revision = world.execute(ended.what);
        bool taken = ended.revision != 0;
        if (taken) {
          const auto& what = ended.what;
          taker.leases.apply_record(
              world.now_,
              {short_hash(what.group.value), ended.revision, what.phase,
               short_hash(what.leader.value), short_hash(what.holder.value)});
        }
        world.step_takeover(i,
                            duty_written{taken ? duty_write_outcome::written
                                               : duty_write_outcome::conflict,
                                         ended.revision});
      });
      if (!own.writing->done) {
        add("write done", [i](lease_world& world) {
          auto& open = *world.instances_[i].writing;
          open.done = true;
          open.revision = world.execute(open.what);
        });
      }
      add("write lost", [i](lease_world& world) {
        instance& taker = world.instances_[i];
        auto ended = *taker.writing;
        taker.writing.reset();
        if (!ended.done) world.late_writes_.push_back(ended);
        world.step_takeover(i, duty_written{duty_write_outcome::unknown, 0});
      });
      continue;
    }
    if (own.promoting) {
      add("order answered", [i](lease_world& world) {
        auto ended = *world.instances_[i].promoting;
        world.instances_[i].promoting.reset();
        bool good = ended.done ? ended.accepted : world.execute(ended);
        world.step_takeover(i,
                            promotion_ended{good ? promotion_outcome::accepted
                                                 : promotion_outcome::refused});
      });
      add("order lost", [i](lease_world& world) {
        auto ended = *world.instances_[i].promoting;
        world.instances_[i].promoting.reset();
        if (!ended.done) world.late_promotions_.push_back(ended);
        world.step_takeover(i, promotion_ended{promotion_outcome::unknown});
      });
      continue;
    }
    if (own.told_to_step_down) {
      add("steps down", [i](lease_world& world) {
        instance& taker = world.instances_[i];
        auto leader = *taker.told_to_step_down;
        taker.told_to_step_down.reset();
        world.leads_[leader] = false;
        world.step_takeover(
            i, position_reply{name_of(leader), true, false, 1, {1, 0}});
      });
    }
    if (own.running_takeover->awaiting_lease_expiry()) {
      add("confirm", [i](lease_world& world) {
        world.step_takeover(i, failure_confirmed{});
      });
      add("withdraw", [i](lease_world& world) {
        world.step_takeover(i, suspicion_withdrawn{});
      });
      if (all_released(i) || flaws_.promotes_without_waiting) {
        add("given up", [i](lease_world& world) {
          world.step_takeover(i, leases_released{});
        });
      }
    }
    add("tick",
        [i](lease_world& world) { world.step_takeover(i, takeover_tick{}); });
  }
}

void lease_world::add_late(std::vector<event>& out) const {
  for (std::size_t i = 0; i < late_writes_.size(); ++i) {
    out.push_back({"late write", [i](lease_world& world) {
                     world.execute(world.late_writes_[i].what);
                     world.late_writes_.erase(world.late_writes_.begin() +
                                              static_cast<std::ptrdiff_t>(i));
                   }});
  }
  for (std::size_t i = 0; i < late_promotions_.size(); ++i) {
    out.push_back({"late order", [i](lease_world& world) {
                     world.execute(world.late_promotions_[i]);
                     world.late_promotions_.erase(
                         world.late_promotions_.begin() +
                         static_cast<std::ptrdiff_t>(i));
                   }});
  }
}

std::uint64_t lease_world::fingerprint() const {
  hasher take(now_);
  take(store_.revision);
  take(static_cast<std::uint64_t>(store_.what.phase));
  take(store_.what.token);
  take(stable_hash(store_.what.leader.value));
  take(stable_hash(store_.what.pending_promotion.value));
  take(stable_hash(store_.what.holder.value));
  for (const auto& own : instances_) {
    take(std::uint64_t{own.leases.confirmed()});
    take(own.leases.confirmed_at());
    const auto* record = own.leases.find(short_hash(group.value));
    take(record ? record->revision : 0);
    take(own.leases.known_since(short_hash(group.value)));
    if (own.running_takeover)
      takeover_inspector::visit(*own.running_takeover, std::ref(take));
    take(std::uint64_t{own.reading.has_value()});
    if (own.reading) {
      take(own.reading->sent_at);
      take(own.reading->record);
    }
    take(std::uint64_t{own.writing ? 1U + own.writing->done : 0U});
    if (own.writing) {
      take(own.writing->revision);
      take(static_cast<std::uint64_t>(own.writing->what.phase));
    }
    take(std::uint64_t{own.promoting ? 1U + own.promoting->done : 0U});
    take(std::uint64_t{own.told_to_step_down.value_or(databases)});
    for (auto digest : own.digests) take(digest);
    for (auto stamp : own.stamps) take(stamp);
  }
  for (const auto& row : reports_) {
    for (const auto& sent : row) {
      take(std::uint64_t{sent.has_value()});
      if (!sent) continue;
      take(sent->digest);
      take(static_cast<std::uint64_t>(sent->age.count()));
      take(sent->record);
      take(sent->echo);
      take(sent->stamp);
    }
  }
  for (const auto& write : late_writes_) {
    take(write.what.revision);
    take(static_cast<std::uint64_t>(write.what.phase));
    take(stable_hash(write.what.leader.value));
  }
  for (const auto& order : late_promotions_) {
    take(order.what.token);
    take(stable_hash(order.what.database.value));
    take(order.sent_at);
  }
  for (bool leads : leads_) take(std::uint64_t{leads});
  take(std::uint64_t{current_leader_});
  take(highest_token_);
  take(std::uint64_t{takeovers_left_} * 8 + crashes_left_);
  return take.sum();
}

}  // namespace standin
}  // namespace toucanmux
