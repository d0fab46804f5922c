#include "lease-world.h"

#include <algorithm>

#include "toucanmux/hash.h"

namespace toucanmux {

/// Visits the private state that decides a takeover's further course.
struct takeover_inspector {
  template <class Add>
  static void visit(const takeover& inspected, Add add) {
    add(static_cast<std::uint64_t>(inspected.phase_));
    if (!inspected.running()) {
      add(inspected.refused_version_.revision);
      return;
    }
    add(inspected.phase_entered_at_);
    add(inspected.positions_queried_at_);
    add(stable_hash(inspected.request_.leader.value));
    add(std::uint64_t{inspected.request_.planned});
    add(std::uint64_t{inspected.request_.leaderless});
    add(inspected.request_.known_revision);
    add(inspected.request_.known_since);
    add(inspected.token_);
    add(inspected.duty_revision_);
    add(inspected.fence_term_);
    add(inspected.revoked_at_);
    add(std::uint64_t{inspected.revoked_before_});
    add(std::uint64_t{inspected.failure_confirmed_});
    add(std::uint64_t{inspected.suspicion_withdrawn_});
    add(std::uint64_t{inspected.leases_released_});
    add(std::uint64_t{inspected.old_leader_position_.has_value()});
    add(std::uint64_t{inspected.replica_positions_.size()});
    add(stable_hash(inspected.new_leader_.value));
    add(stable_hash(inspected.pending_promotion_.value));
    add(std::uint64_t{inspected.promotion_inherited_});
    add(inspected.refused_version_.revision);
    add(inspected.last_read_version_.revision);
    add(inspected.last_read_since_);
  }
};

namespace standin {

namespace {

const group_id group("ledger");
// Older times all have the same effect, so they are hashed alike.
constexpr duration max_age = std::chrono::seconds(10);

class hasher {
 public:
  explicit hasher(instant now) : now_(now) {}
  void operator()(std::uint64_t value) { sum_ = mix(sum_ ^ value) + value; }
  void operator()(instant at) {
    (*this)(static_cast<std::uint64_t>(
        std::clamp<duration>(now_ - at, -max_age, max_age).count()));
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

lease_world::lease_world(const flaws& enabled, bool tokens_checked,
                         unsigned takeovers, unsigned crashes)
    : flaws_(enabled),
      tokens_checked_(tokens_checked),
      takeovers_left_(takeovers),
      crashes_left_(crashes) {
  for (std::size_t i = 0; i < instances; ++i) {
    instances_[i].leases.mark_registered(now_);
    if (i < replacers)
      instances_[i].takeover_state.emplace(settings(), member(i));
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
    out.promotion_send_timeout = max_age;
    out.step_timeout = max_age;
    out.silent_holder_timeout = duration{0};
  }
  if (flaws_.overrides_pending_promotion) out.promotion_lifetime = duration{0};
  return out;
}

bool lease_world::lease_valid(const instance& holder) const {
  auto then = flaws_.doubles_lease ? now_ - leader_lease::length : now_;
  return holder.leases.valid(then);
}

// The database that the instance uses as leader under a valid lease.
std::optional<std::size_t> lease_world::served_leader(
    const instance& holder) const {
  if (!lease_valid(holder)) return {};
  const auto* record = holder.leases.find(short_hash(group.value));
  if (!record) return 0;
  bool revoked = record->phase == leadership_phase::revoked;
  if (revoked && !flaws_.serves_while_revoked) return {};
  return index_of(record->leader);
}

std::string lease_world::violation() const {
  if (lower_token_accepted_)
    return "a promotion had a lower token than an earlier one";
  for (const auto& holder : instances_) {
    auto leader = served_leader(holder);
    // A database that stepped down or is not promoted yet accepts no writes.
    if (!leader || !leads_[*leader]) continue;
    if (*leader != current_leader_) return "a replaced leader is still in use";
  }
  return {};
}

std::optional<leader_record> lease_world::stored() const {
  if (store_.revision == 0) return {};
  const auto& record = store_.record;
  return leader_record{short_hash(record.group.value), store_.revision,
                       record.phase, short_hash(record.leader.value),
                       short_hash(record.holder.value)};
}

// Returns the new revision, or 0 if the write's condition fails.
std::uint64_t lease_world::execute(const write_duty& request) {
  bool unchanged = request.revision == store_.revision;
  if (!unchanged && !flaws_.writes_without_condition) return 0;
  ++store_.revision;
  store_.record = request;
  return store_.revision;
}

// The previous leader continues to accept writes.
bool lease_world::execute(const call<request_promotion>& promotion) {
  const request_promotion& request = promotion.request;
  bool lower = request.token < highest_token_;
  if (lower && tokens_checked_) return false;
  // A request sent before the higher token was used may be delayed on its way.
  if (lower && promotion.sent_at > highest_token_at_)
    lower_token_accepted_ = true;
  if (request.token > highest_token_) highest_token_at_ = now_;
  highest_token_ = std::max(highest_token_, request.token);
  auto index = index_of(short_hash(request.database.value));
  current_leader_ = index;
  leads_[index] = true;
  return true;
}

void lease_world::start_takeover(std::size_t replacer, bool planned,
                                 bool leaderless) {
  instance& own = instances_[replacer];
  const auto* record = own.leases.find(short_hash(group.value));
  auto leader = record ? index_of(record->leader) : 0;
  takeover_start start;
  start.group = group;
  start.leader = name_of(leader);
  start.planned = planned;
  start.suspected = !planned && !leaderless;
  start.leaderless = leaderless;
  for (std::size_t i = 0; i < databases; ++i) {
    if (i != leader || leaderless) start.candidates.push_back(name_of(i));
  }
  start.replica_count = start.candidates.size();
  if (record) {
    start.known_revision = record->revision;
    start.known_since = own.leases.known_since(record->group);
  }
  --takeovers_left_;
  step_takeover(replacer, start);
}

void lease_world::step_takeover(std::size_t replacer,
                                const takeover_event& input) {
  for (const auto& action :
       instances_[replacer].takeover_state->step(now_, input)) {
    carry_out(replacer, action);
  }
}

void lease_world::carry_out(std::size_t replacer,
                            const takeover_action& action) {
  instance& own = instances_[replacer];
  if (std::holds_alternative<read_duty>(action)) {
    duty_read duty;
    duty.store_reached = true;
    duty.exists = store_.revision != 0;
    duty.revision = store_.revision;
    duty.token = store_.record.token;
    duty.holder = store_.record.holder;
    duty.replaces = store_.record.replaces;
    duty.phase = store_.record.phase;
    duty.leader = store_.record.leader;
    duty.pending_promotion = store_.record.pending_promotion;
    if (duty.exists) own.leases.apply_record(now_, *stored());
    step_takeover(replacer, duty);
  } else if (const auto* write = std::get_if<write_duty>(&action)) {
    own.writing = {*write, false, false, 0, now_};
  } else if (const auto* promotion = std::get_if<request_promotion>(&action)) {
    own.promoting = {*promotion, false, false, 0, now_};
  } else if (const auto* query = std::get_if<query_position>(&action)) {
    auto index = index_of(short_hash(query->database.value));
    // Varies which of the two replicas is the most advanced.
    auto position = (highest_token_ + index) % 2;
    step_takeover(replacer,
                  position_received{
                      query->database, true, leads_[index], 1, {1, position}});
  } else if (const auto* demotion = std::get_if<step_down>(&action)) {
    own.told_to_step_down = index_of(short_hash(demotion->database.value));
  }
}

// A bare report has no record: instances send only recent ones.
void lease_world::send_report(std::size_t from, std::size_t to, bool bare) {
  const instance& own = instances_[from];
  report out;
  out.digest = own.leases.digest();
  out.confirmed = own.leases.confirmed();
  out.age = out.confirmed ? own.leases.age(now_) : max_age;
  const auto* record = own.leases.find(short_hash(group.value));
  if (record && !bare) out.record = *record;
  out.echo = own.stamps[to];
  out.stamp = now_;
  reports_[from][to] = out;
}

void lease_world::deliver_report(std::size_t from, std::size_t to) {
  report received = *reports_[from][to];
  reports_[from][to].reset();
  instance& own = instances_[to];
  bool late = received.stamp < own.stamps[from];
  if (late) return;
  if (received.record) own.leases.apply_record(now_, *received.record);
  own.digests[from] = received.digest;
  own.stamps[from] = received.stamp;
  bool echoed = received.echo != instant{};
  if (!received.confirmed || !echoed) return;
  auto moment = flaws_.confirms_at_arrival ? now_ : received.echo;
  auto digest = flaws_.confirms_with_other_records ? own.leases.digest()
                                                   : received.digest;
  own.leases.confirm_from_peer(moment - received.age, digest);
}

bool lease_world::all_know_records(std::size_t index) const {
  const instance& own = instances_[index];
  for (std::size_t i = 0; i < instances; ++i) {
    if (i != index && own.digests[i] != own.leases.digest()) return false;
  }
  return true;
}

void lease_world::crash(std::size_t index) {
  instance restarted;
  restarted.leases.mark_registered(now_);
  if (index < replacers)
    restarted.takeover_state.emplace(settings(), member(index));
  instance& own = instances_[index];
  if (own.writing && !own.writing->executed)
    late_writes_.push_back(*own.writing);
  if (own.promoting && !own.promoting->executed) {
    late_promotions_.push_back(*own.promoting);
  }
  own = std::move(restarted);
  // The new process starts its stamps anew; echoes of old ones confirm nothing.
  for (std::size_t i = 0; i < instances; ++i) {
    reports_[i][index].reset();
    instances_[i].stamps[index] = {};
  }
  --crashes_left_;
}

std::vector<lease_world::event> lease_world::events() const {
  std::vector<event> out;
  out.push_back({"time", [](lease_world& world) {
                   world.now_ += step;
                   std::erase_if(
                       world.late_promotions_, [&](const auto& promotion) {
                         return world.now_ - promotion.sent_at >=
                                takeover::settings{}.promotion_lifetime;
                       });
                 }});
  add_takeovers(out);
  add_late_calls(out);
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
    auto label = std::to_string(i);
    if (!instances_[i].reading) {
      out.push_back(
          {"read " + label, [i](lease_world& world) {
             world.instances_[i].reading = {world.now_, world.stored()};
           }});
      continue;
    }
    out.push_back({"answer " + label, [i](lease_world& world) {
                     instance& own = world.instances_[i];
                     std::vector<leader_record> records;
                     if (own.reading->record) {
                       records.push_back(*own.reading->record);
                     }
                     auto moment = world.flaws_.confirms_at_arrival
                                       ? world.now_
                                       : own.reading->sent_at;
                     own.leases.apply_records(world.now_, moment, records);
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
    auto label = std::to_string(i);
    auto add = [&](const char* name, auto apply) {
      out.push_back({std::string(name) + ' ' + label, apply});
    };
    if (!own.takeover_state->running()) {
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
        instance& replacer = world.instances_[i];
        auto ended = *replacer.writing;
        replacer.writing.reset();
        if (!ended.executed) ended.revision = world.execute(ended.request);
        bool written = ended.revision != 0;
        if (written) {
          const auto& request = ended.request;
          replacer.leases.apply_record(
              world.now_, {short_hash(request.group.value), ended.revision,
                           request.phase, short_hash(request.leader.value),
                           short_hash(request.holder.value)});
        }
        world.step_takeover(i,
                            duty_written{written ? duty_write_outcome::written
                                                 : duty_write_outcome::conflict,
                                         ended.revision});
      });
      if (!own.writing->executed) {
        add("write done", [i](lease_world& world) {
          auto& pending_write = *world.instances_[i].writing;
          pending_write.executed = true;
          pending_write.revision = world.execute(pending_write.request);
        });
      }
      add("write lost", [i](lease_world& world) {
        instance& replacer = world.instances_[i];
        auto ended = *replacer.writing;
        replacer.writing.reset();
        if (!ended.executed) world.late_writes_.push_back(ended);
        world.step_takeover(i, duty_written{duty_write_outcome::unknown, 0});
      });
      continue;
    }
    if (own.promoting) {
      add("promotion answered", [i](lease_world& world) {
        auto ended = *world.instances_[i].promoting;
        world.instances_[i].promoting.reset();
        bool accepted = ended.executed ? ended.accepted : world.execute(ended);
        world.step_takeover(
            i, promotion_ended{accepted ? promotion_outcome::accepted
                                        : promotion_outcome::refused});
      });
      add("promotion lost", [i](lease_world& world) {
        auto ended = *world.instances_[i].promoting;
        world.instances_[i].promoting.reset();
        if (!ended.executed) world.late_promotions_.push_back(ended);
        world.step_takeover(i, promotion_ended{promotion_outcome::unknown});
      });
      continue;
    }
    if (own.told_to_step_down) {
      add("steps down", [i](lease_world& world) {
        instance& replacer = world.instances_[i];
        auto leader = *replacer.told_to_step_down;
        replacer.told_to_step_down.reset();
        world.leads_[leader] = false;
        world.step_takeover(
            i, position_received{name_of(leader), true, false, 1, {1, 0}});
      });
    }
    if (own.takeover_state->awaiting_lease_expiry()) {
      add("confirm", [i](lease_world& world) {
        world.step_takeover(i, failure_confirmed{});
      });
      add("withdraw", [i](lease_world& world) {
        world.step_takeover(i, suspicion_withdrawn{});
      });
      if (all_know_records(i) || flaws_.promotes_without_waiting) {
        add("leases released", [i](lease_world& world) {
          world.step_takeover(i, leases_released{});
        });
      }
    }
    add("tick",
        [i](lease_world& world) { world.step_takeover(i, takeover_tick{}); });
  }
}

void lease_world::add_late_calls(std::vector<event>& out) const {
  for (std::size_t i = 0; i < late_writes_.size(); ++i) {
    out.push_back({"late write", [i](lease_world& world) {
                     world.execute(world.late_writes_[i].request);
                     world.late_writes_.erase(world.late_writes_.begin() +
                                              static_cast<std::ptrdiff_t>(i));
                   }});
  }
  for (std::size_t i = 0; i < late_promotions_.size(); ++i) {
    out.push_back({"late promotion", [i](lease_world& world) {
                     world.execute(world.late_promotions_[i]);
                     world.late_promotions_.erase(
                         world.late_promotions_.begin() +
                         static_cast<std::ptrdiff_t>(i));
                   }});
  }
}

std::uint64_t lease_world::fingerprint() const {
  hasher add(now_);
  add(store_.revision);
  add(static_cast<std::uint64_t>(store_.record.phase));
  add(store_.record.token);
  add(stable_hash(store_.record.leader.value));
  add(stable_hash(store_.record.pending_promotion.value));
  add(stable_hash(store_.record.holder.value));
  for (const auto& own : instances_) {
    add(std::uint64_t{own.leases.confirmed()});
    add(own.leases.confirmed_at());
    const auto* record = own.leases.find(short_hash(group.value));
    add(record ? record->revision : 0);
    add(own.leases.known_since(short_hash(group.value)));
    if (own.takeover_state)
      takeover_inspector::visit(*own.takeover_state, std::ref(add));
    add(std::uint64_t{own.reading.has_value()});
    if (own.reading) {
      add(own.reading->sent_at);
      add(own.reading->record);
    }
    add(std::uint64_t{own.writing ? 1U + own.writing->executed : 0U});
    if (own.writing) {
      add(own.writing->revision);
      add(static_cast<std::uint64_t>(own.writing->request.phase));
    }
    add(std::uint64_t{own.promoting ? 1U + own.promoting->executed : 0U});
    add(std::uint64_t{own.told_to_step_down.value_or(databases)});
    for (auto digest : own.digests) add(digest);
    for (auto stamp : own.stamps) add(stamp);
  }
  for (const auto& row : reports_) {
    for (const auto& sent : row) {
      add(std::uint64_t{sent.has_value()});
      if (!sent) continue;
      add(sent->digest);
      add(static_cast<std::uint64_t>(sent->age.count()));
      add(sent->record);
      add(sent->echo);
      add(sent->stamp);
    }
  }
  for (const auto& write : late_writes_) {
    add(write.request.revision);
    add(static_cast<std::uint64_t>(write.request.phase));
    add(stable_hash(write.request.leader.value));
  }
  for (const auto& promotion : late_promotions_) {
    add(promotion.request.token);
    add(stable_hash(promotion.request.database.value));
    add(promotion.sent_at);
  }
  for (bool leads : leads_) add(std::uint64_t{leads});
  add(std::uint64_t{current_leader_});
  add(highest_token_);
  add(std::uint64_t{takeovers_left_} * 8 + crashes_left_);
  return add.sum();
}

}  // namespace standin
}  // namespace toucanmux
