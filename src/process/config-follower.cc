#include "toucanmux/process/config-follower.h"

#include <algorithm>

#include "toucanmux/error.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/rendezvous.h"
#include "toucanmux/version/list-codec.h"

namespace toucanmux {

namespace {

constexpr std::string_view watcher_key = "platform watchers";
// An answer that is later than this after its wait is taken as lost.
constexpr duration watch_grace = std::chrono::seconds(10);
// A longer gap between two steps means that the process stood still.
constexpr duration pause_limit = std::chrono::seconds(1);
constexpr duration publish_every = std::chrono::seconds(1);
// However long the platform is silent, no more members ask it.
constexpr std::int64_t most_watchers_factor = 3;
constexpr std::uint32_t most_doublings = 16;
constexpr duration unknown_age = std::chrono::hours(24 * 365);
// Digests of other domains' members come from a few contacts only.
constexpr std::size_t heard_limit = 64;

const std::pair<std::string, std::string> teams_name{"lists", "teams"};
const std::pair<std::string, std::string> plans_name{"lists", "plans"};

}  // namespace

config_follower::config_follower(const settings& values)
    : values_(values),
      random_(values.random_seed),
      // Another one for each start, as its confirmations count from one.
      source_(mix(stable_hash(values.self.value) ^ values.random_seed)) {
  for (const char* kind : {"groups", "lists", "services"}) watches_[kind];
}

std::vector<config_follower::action> config_follower::step(instant now,
                                                           const event& what) {
  if (!ticked_) started_ = last_step_ = now;
  ticked_ = true;
  now_ = now;
  notice_own_pause();
  out_.clear();
  std::visit([this](const auto& got) { handle(got); }, what);
  if (changed_) publish(true);
  check_ready();
  return std::move(out_);
}

void config_follower::handle(const tick&) {
  if (!fetch_.peer.empty() && now_ - fetch_.started > values_.fetch_timeout) {
    fetch_ = {};
  }
  run_watches();
  if (now_ - published_ >= publish_every) publish(false);
}

void config_follower::handle(const domain_members& got) {
  members_ = got.members;
  // A member that is gone no longer says what this one has to catch up with.
  std::set<member_id> live(members_.begin(), members_.end());
  std::erase_if(heard_, [&](const auto& one) {
    return !live.contains(one.first) && digest_.lacks_versions_of(one.second);
  });
}

void config_follower::handle(const peer_digest& got) {
  auto theirs = config_digest::parse(got.digest);
  if (!theirs) return;
  if (heard_.size() >= heard_limit && !heard_.contains(got.from)) {
    heard_.erase(heard_.begin());
  }
  heard_[got.from] = *theirs;
  if (confirmations_.size() > heard_limit) confirmations_.clear();
  if (digest_.same_versions(*theirs)) {
    // Without a version there is nothing that the platform could confirm.
    bool usable =
        digest_.version_sum > 0 && theirs->confirmation_age < unknown_age;
    if (!usable || now_ < trust_from_) return;
    confirm(now_ - theirs->confirmation_age, theirs->watcher_id,
            theirs->confirmation_number);
    return;
  }
  if (digest_.lacks_versions_of(*theirs) && fetch_.peer.empty()) {
    std::uint64_t newest = 0;
    for (const auto& [name, one] : objects_) {
      newest = std::max(newest, one.seen());
    }
    start_fetch(got.from, newest);
  }
}

void config_follower::start_fetch(const member_id& peer,
                                  std::uint64_t newer_than) {
  fetch_ = {peer, newer_than, now_};
  out_.push_back(fetch_from_peer{peer, newer_than});
}

void config_follower::handle(const fetch_ended& got) {
  for (const auto& object : got.objects) consider(object);
  settle();
  if (fetch_.peer != got.peer) return;
  auto done = std::exchange(fetch_, {});
  auto theirs = heard_.find(got.peer);
  if (!got.reached || theirs == heard_.end()) return;
  // What is missing is older than the newest one here: ask for everything.
  if (done.newer_than > 0 && digest_.lacks_versions_of(theirs->second)) {
    start_fetch(got.peer, 0);
  }
}

void config_follower::handle(const peer_fetches& got) {
  give_objects reply{got.request, {}};
  for (const auto& [name, one] : objects_) {
    for (const auto* object : {&one.in_force, &one.pending}) {
      if (object->version > got.newer_than) reply.objects.push_back(*object);
    }
  }
  out_.push_back(std::move(reply));
}

void config_follower::handle(const watch_ended& got) {
  auto it = watches_.find(got.kind);
  if (it == watches_.end()) return;
  end_watch(it->second, got.reached);
  if (!got.reached) return;
  it->second.since = std::max(it->second.since, got.revision);
  for (const auto& object : got.objects) consider(object);
  settle();
  confirm_by_platform();
  run_watches();
}

// All kinds count: the lists are as old as the kind that was heard of last.
void config_follower::confirm_by_platform() {
  instant oldest = now_;
  for (const auto& [kind, one] : watches_) {
    if (!one.ever_confirmed) return;
    oldest = std::min(oldest, one.confirmed);
  }
  confirm(oldest, source_, ++own_confirmations_);
}

// Each confirmation counts once. Were it taken again from every peer, the
// time that it takes between two peers would make it younger without end.
void config_follower::confirm(instant when, std::uint64_t source,
                              std::uint64_t number) {
  auto& last = confirmations_[source];
  if (number <= last) return;
  last = number;
  if (ever_confirmed_ && when <= confirmed_) return;
  ever_confirmed_ = true;
  confirmed_ = when;
  confirmed_source_ = source;
  confirmed_number_ = number;
}

// What waited in a socket while this process stood still is older than it
// looks; for a moment no word about ages is taken.
void config_follower::notice_own_pause() {
  if (now_ - last_step_ > pause_limit) trust_from_ = now_ + pause_limit;
  last_step_ = now_;
}

void config_follower::end_watch(watch& one, bool reached) {
  one.waiting = false;
  if (reached) {
    one.failures = 0;
    one.next = now_;
    one.confirmed = now_ < trust_from_ ? one.started : now_;
    one.ever_confirmed = true;
    return;
  }
  one.next = now_ + back_off(one.failures);
  ++one.failures;
}

// Spread over the whole time, so that an outage's end brings no stampede.
duration config_follower::back_off(std::uint32_t failures) {
  auto most = values_.retry_min *
              (std::int64_t{1} << std::min(failures + 1, most_doublings));
  most = std::min<duration>(most, values_.retry_max);
  auto range = std::max<std::int64_t>((most - values_.retry_min).count(), 1);
  auto jitter = random_() % static_cast<std::uint64_t>(range);
  return values_.retry_min + duration(static_cast<std::int64_t>(jitter));
}

bool config_follower::should_watch() const {
  bool alone = members_.size() <= 1;
  if (alone) return now_ - started_ >= values_.join_wait;
  auto silent = std::min(age(now_), now_ - started_);
  auto extra = silent / values_.stale_after;
  std::int64_t few = values_.watchers;
  auto wanted = std::min(few + extra, few * most_watchers_factor);
  return owns(values_.self, watcher_key, members_,
              static_cast<std::size_t>(wanted));
}

void config_follower::run_watches() {
  if (!should_watch()) return;
  for (auto& [kind, one] : watches_) {
    if (one.waiting && now_ - one.started > values_.watch_wait + watch_grace) {
      end_watch(one, false);
    }
    if (one.waiting || now_ < one.next) continue;
    one.waiting = true;
    one.started = now_;
    out_.push_back(watch_kind{kind, one.since, values_.watch_wait});
  }
}

void config_follower::consider(const config_object& object) {
  std::pair name(object.kind, object.key);
  state& one = objects_[name];
  if (object.version <= one.in_force.version) return;
  if (object.version == one.pending.version) return;
  if (object.version < one.pending.version) {
    // A peer's last good version, while the newest is refused.
    if (accept(object).empty()) put_in_force(one, object);
    return;
  }
  if (one.seen() > 0) digest_.remove(object.kind, object.key, one.seen());
  digest_.add(object.kind, object.key, object.version);
  one.pending = object;
  one.refusal.clear();
  pending_.insert(name);
  changed_ = true;
}

void config_follower::settle() {
  bool progress = true;
  while (progress) {
    progress = false;
    auto names = pending_;
    for (const auto& name : names) {
      if (settle_one(objects_[name])) progress = true;
    }
    if (!progress) progress = settle_both_lists();
  }
}

bool config_follower::settle_one(state& one) {
  std::pair name(one.pending.kind, one.pending.key);
  // Teams wait for the plans that they name.
  if (name == teams_name && plans_.version == 0) return false;
  auto why = accept(one.pending);
  if (why.empty()) {
    put_in_force(one, one.pending);
    return true;
  }
  if (one.refusal == why) return false;
  one.refusal = why;
  const auto& [kind, key, version, value] = one.pending;
  out_.push_back(refuse_object{kind, key, version, why});
  return false;
}

// A plan may go and its teams change in one go, each in its own list: apart,
// neither passes against the other's version in force.
bool config_follower::settle_both_lists() {
  if (!pending_.contains(teams_name) || !pending_.contains(plans_name)) {
    return false;
  }
  state& teams = objects_[teams_name];
  state& plans = objects_[plans_name];
  try {
    auto new_plans =
        parse_plan_list(plans.pending.value, plans.pending.version);
    teams_ =
        parse_team_list(teams.pending.value, teams.pending.version, &new_plans);
    plans_ = std::move(new_plans);
  } catch (const list_error&) {
    return false;
  }
  put_in_force(plans, plans.pending);
  put_in_force(teams, teams.pending);
  return true;
}

std::string config_follower::accept(const config_object& object) {
  try {
    std::pair name(object.kind, object.key);
    if (name == teams_name) {
      teams_ = parse_team_list(object.value, object.version, &plans_);
    } else if (name == plans_name) {
      auto plans = parse_plan_list(object.value, object.version);
      check_plans_in_use(plans, teams_);
      plans_ = std::move(plans);
    } else if (object.kind == "groups") {
      parse_database_group(object.value);
    }
  } catch (const list_error& e) {
    return e.what();
  }
  return {};
}

void config_follower::put_in_force(state& one, const config_object& object) {
  one.in_force = object;
  if (one.pending.version <= object.version) {
    pending_.erase({object.kind, object.key});
    one.pending = {};
    one.refusal.clear();
  }
  out_.push_back(take_object{one.in_force});
}

void config_follower::check_ready() {
  if (ready_ || teams_.version == 0 || plans_.version == 0) return;
  bool ahead = std::any_of(heard_.begin(), heard_.end(), [&](const auto& one) {
    return digest_.lacks_versions_of(one.second);
  });
  if (ahead) return;
  // How many peers there are is not known at the start, so that a comparison
  // with fewer of them has to take its time.
  bool compared = heard_.size() >= values_.ready_peers;
  bool waited = now_ - started_ >= values_.join_wait;
  if (!compared && !waited) return;
  if (heard_.empty() && !ever_confirmed_) return;
  ready_ = true;
  out_.push_back(become_ready());
}

void config_follower::publish(bool urgent) {
  changed_ = false;
  published_ = now_;
  auto digest = digest_;
  digest.confirmation_age = age(now_);
  digest.watcher_id = confirmed_source_;
  digest.confirmation_number = confirmed_number_;
  out_.push_back(set_digest{digest.text(), urgent});
}

duration config_follower::age(instant now) const {
  return ever_confirmed_ ? now - confirmed_ : unknown_age;
}

std::uint64_t config_follower::version(const std::string& kind,
                                       const std::string& key) const {
  auto it = objects_.find({kind, key});
  return it == objects_.end() ? 0 : it->second.in_force.version;
}

}  // namespace toucanmux
