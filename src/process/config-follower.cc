#include "toucanmux/process/config-follower.h"

#include <algorithm>

#include "toucanmux/error.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/rendezvous.h"
#include "toucanmux/version/list-codec.h"

namespace toucanmux {

namespace {

constexpr std::string_view watcher_key = "platform watchers";
// A watch counts as failed if its result is later than the requested wait by
// more than this.
constexpr duration watch_answer_grace = std::chrono::seconds(10);
// A longer gap between two steps means that the process was paused.
constexpr duration pause_threshold = std::chrono::seconds(1);
constexpr duration publish_interval = std::chrono::seconds(1);
// Limits the watchers that are added while the platform does not answer, to
// this multiple of `settings::watchers`.
constexpr std::int64_t max_watchers_factor = 3;
constexpr std::uint32_t max_backoff_doublings = 16;
constexpr duration unknown_age = std::chrono::hours(24 * 365);
// Bounds the stored peer digests. Members of other failure domains send digests
// too, but only a few of them contact this member.
constexpr std::size_t max_peer_digests = 64;

const std::pair<std::string, std::string> team_list_name{"lists", "teams"};
const std::pair<std::string, std::string> plan_list_name{"lists", "plans"};

}  // namespace

config_follower::config_follower(const settings& values)
    : values_(values),
      random_(values.random_seed),
      // The source differs at each start because the confirmation numbers
      // restart from 1.
      own_source_(mix(stable_hash(values.self.value) ^ values.random_seed)) {
  for (const char* kind : {"groups", "lists", "services"}) watches_[kind];
}

std::vector<config_follower::action> config_follower::step(
    instant now, const event& new_event) {
  if (!stepped_) started_at_ = last_step_at_ = now;
  stepped_ = true;
  now_ = now;
  detect_pause();
  actions_.clear();
  std::visit([this](const auto& handled_event) { handle(handled_event); },
             new_event);
  if (versions_changed_) publish_digest(true);
  check_ready();
  return std::move(actions_);
}

void config_follower::handle(const tick&) {
  if (!fetch_.peer.empty() &&
      now_ - fetch_.started_at > values_.fetch_timeout) {
    fetch_ = {};
  }
  start_due_watches();
  if (now_ - published_at_ >= publish_interval) publish_digest(false);
}

void config_follower::handle(const domain_members& update) {
  members_ = update.members;
  // The digest of a member that has left may name versions that no live
  // peer has. It must not keep this member from becoming ready.
  std::set<member_id> live_ids(members_.begin(), members_.end());
  std::erase_if(peer_digests_, [&](const auto& entry) {
    return !live_ids.contains(entry.first) &&
           digest_.lacks_versions_of(entry.second);
  });
}

void config_follower::handle(const peer_digest& received) {
  auto their_digest = config_digest::parse(received.digest);
  if (!their_digest) return;
  if (peer_digests_.size() >= max_peer_digests &&
      !peer_digests_.contains(received.from)) {
    peer_digests_.erase(peer_digests_.begin());
  }
  peer_digests_[received.from] = *their_digest;
  if (last_confirmations_.size() > max_peer_digests)
    last_confirmations_.clear();
  if (digest_.same_versions(*their_digest)) {
    // Without any version here there is nothing that the platform could have
    // confirmed.
    bool usable =
        digest_.version_sum > 0 && their_digest->confirmation_age < unknown_age;
    if (!usable || now_ < trust_ages_from_) return;
    record_confirmation(now_ - their_digest->confirmation_age,
                        their_digest->watcher_id,
                        their_digest->confirmation_number);
    return;
  }
  if (digest_.lacks_versions_of(*their_digest) && fetch_.peer.empty()) {
    std::uint64_t newest = 0;
    for (const auto& [name, state] : objects_) {
      newest = std::max(newest, state.newest_version());
    }
    start_fetch(received.from, newest);
  }
}

void config_follower::start_fetch(const member_id& peer,
                                  std::uint64_t newer_than) {
  fetch_ = {peer, newer_than, now_};
  actions_.push_back(fetch_from_peer{peer, newer_than});
}

void config_follower::handle(const fetch_ended& result) {
  for (const auto& object : result.objects) record_object(object);
  apply_pending();
  if (fetch_.peer != result.peer) return;
  auto finished = std::exchange(fetch_, {});
  auto their_digest = peer_digests_.find(result.peer);
  if (!result.reached || their_digest == peer_digests_.end()) return;
  // The missing version is older than the newest one here, so all objects are
  // fetched.
  if (finished.newer_than > 0 &&
      digest_.lacks_versions_of(their_digest->second)) {
    start_fetch(result.peer, 0);
  }
}

void config_follower::handle(const peer_fetches& request) {
  send_objects reply{request.request, {}};
  for (const auto& [name, state] : objects_) {
    for (const auto* object : {&state.active, &state.pending}) {
      if (object->version > request.newer_than)
        reply.objects.push_back(*object);
    }
  }
  actions_.push_back(std::move(reply));
}

void config_follower::handle(const watch_ended& result) {
  auto it = watches_.find(result.kind);
  if (it == watches_.end()) return;
  finish_watch(it->second, result.reached);
  if (!result.reached) return;
  it->second.last_revision =
      std::max(it->second.last_revision, result.revision);
  for (const auto& object : result.objects) record_object(object);
  apply_pending();
  record_platform_confirmation();
  start_due_watches();
}

// The age of the configuration is that of the kind with the oldest
// confirmation.
void config_follower::record_platform_confirmation() {
  instant oldest = now_;
  for (const auto& [kind, kind_watch] : watches_) {
    if (!kind_watch.ever_confirmed) return;
    oldest = std::min(oldest, kind_watch.confirmed_at);
  }
  record_confirmation(oldest, own_source_, ++own_confirmations_);
}

// Each confirmation is applied once. If it were applied again from every peer,
// the unmeasured transit time between peers would make the age appear smaller
// each time.
void config_follower::record_confirmation(instant at, std::uint64_t source,
                                          std::uint64_t number) {
  auto& last_number = last_confirmations_[source];
  if (number <= last_number) return;
  last_number = number;
  if (ever_confirmed_ && at <= confirmed_at_) return;
  ever_confirmed_ = true;
  confirmed_at_ = at;
  confirmation_source_ = source;
  confirmation_number_ = number;
}

// Data that was buffered in a socket during the pause is older than it appears,
// so reported ages are ignored for a short time.
void config_follower::detect_pause() {
  if (now_ - last_step_at_ > pause_threshold)
    trust_ages_from_ = now_ + pause_threshold;
  last_step_at_ = now_;
}

void config_follower::finish_watch(watch& finished_watch, bool reached) {
  finished_watch.in_progress = false;
  if (reached) {
    finished_watch.failures = 0;
    finished_watch.next_start_at = now_;
    finished_watch.confirmed_at =
        now_ < trust_ages_from_ ? finished_watch.started_at : now_;
    finished_watch.ever_confirmed = true;
    return;
  }
  finished_watch.next_start_at = now_ + retry_delay(finished_watch.failures);
  ++finished_watch.failures;
}

// The jitter covers the whole range between the shortest and the longest delay,
// so that members do not retry at the same time when an outage ends.
duration config_follower::retry_delay(std::uint32_t failures) {
  auto max_delay =
      values_.retry_min *
      (std::int64_t{1} << std::min(failures + 1, max_backoff_doublings));
  max_delay = std::min<duration>(max_delay, values_.retry_max);
  auto range =
      std::max<std::int64_t>((max_delay - values_.retry_min).count(), 1);
  auto jitter = random_() % static_cast<std::uint64_t>(range);
  return values_.retry_min + duration(static_cast<std::int64_t>(jitter));
}

bool config_follower::should_watch() const {
  bool alone = members_.size() <= 1;
  if (alone) return now_ - started_at_ >= values_.join_wait;
  auto silence = std::min(age(now_), now_ - started_at_);
  auto extra_watchers = silence / values_.stale_after;
  std::int64_t min_watchers = values_.watchers;
  auto wanted = std::min(min_watchers + extra_watchers,
                         min_watchers * max_watchers_factor);
  return owns(values_.self, watcher_key, members_,
              static_cast<std::size_t>(wanted));
}

void config_follower::start_due_watches() {
  if (!should_watch()) return;
  for (auto& [kind, kind_watch] : watches_) {
    if (kind_watch.in_progress && now_ - kind_watch.started_at >
                                      values_.watch_wait + watch_answer_grace) {
      finish_watch(kind_watch, false);
    }
    if (kind_watch.in_progress || now_ < kind_watch.next_start_at) continue;
    kind_watch.in_progress = true;
    kind_watch.started_at = now_;
    actions_.push_back(
        watch_kind{kind, kind_watch.last_revision, values_.watch_wait});
  }
}

void config_follower::record_object(const config_object& object) {
  std::pair name(object.kind, object.key);
  object_state& state = objects_[name];
  if (object.version <= state.active.version) return;
  if (object.version == state.pending.version) return;
  if (object.version < state.pending.version) {
    // A peer sends its last valid version together with a newer, invalid one.
    if (load_object(object).empty()) activate(state, object);
    return;
  }
  if (state.newest_version() > 0)
    digest_.remove(object.kind, object.key, state.newest_version());
  digest_.add(object.kind, object.key, object.version);
  state.pending = object;
  state.load_error.clear();
  pending_names_.insert(name);
  versions_changed_ = true;
}

void config_follower::apply_pending() {
  bool progress = true;
  while (progress) {
    progress = false;
    auto names = pending_names_;
    for (const auto& name : names) {
      if (apply_if_valid(objects_[name])) progress = true;
    }
    if (!progress) progress = apply_both_lists();
  }
}

bool config_follower::apply_if_valid(object_state& state) {
  std::pair name(state.pending.kind, state.pending.key);
  // The team list can only be checked against a plan list.
  if (name == team_list_name && plans_.version == 0) return false;
  auto error = load_object(state.pending);
  if (error.empty()) {
    activate(state, state.pending);
    return true;
  }
  if (state.load_error == error) return false;
  state.load_error = error;
  const auto& [kind, key, version, value] = state.pending;
  actions_.push_back(refuse_object{kind, key, version, error});
  return false;
}

// A change that removes a plan and moves its teams to another one affects both
// lists. Neither new list is valid with the active version of the other.
bool config_follower::apply_both_lists() {
  if (!pending_names_.contains(team_list_name) ||
      !pending_names_.contains(plan_list_name)) {
    return false;
  }
  object_state& teams = objects_[team_list_name];
  object_state& plans = objects_[plan_list_name];
  try {
    auto new_plans =
        parse_plan_list(plans.pending.value, plans.pending.version);
    teams_ =
        parse_team_list(teams.pending.value, teams.pending.version, &new_plans);
    plans_ = std::move(new_plans);
  } catch (const list_error&) {
    return false;
  }
  activate(plans, plans.pending);
  activate(teams, teams.pending);
  return true;
}

std::string config_follower::load_object(const config_object& object) {
  try {
    std::pair name(object.kind, object.key);
    if (name == team_list_name) {
      teams_ = parse_team_list(object.value, object.version, &plans_);
    } else if (name == plan_list_name) {
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

void config_follower::activate(object_state& state,
                               const config_object& object) {
  state.active = object;
  if (state.pending.version <= object.version) {
    pending_names_.erase({object.kind, object.key});
    state.pending = {};
    state.load_error.clear();
  }
  actions_.push_back(activate_object{state.active});
}

void config_follower::check_ready() {
  if (ready_ || teams_.version == 0 || plans_.version == 0) return;
  bool peer_has_newer = std::any_of(
      peer_digests_.begin(), peer_digests_.end(), [&](const auto& entry) {
        return digest_.lacks_versions_of(entry.second);
      });
  if (peer_has_newer) return;
  // The number of peers is unknown at the start. With fewer than `ready_peers`
  // digests, the member waits for `join_wait` before it becomes ready.
  bool compared = peer_digests_.size() >= values_.ready_peers;
  bool waited = now_ - started_at_ >= values_.join_wait;
  if (!compared && !waited) return;
  if (peer_digests_.empty() && !ever_confirmed_) return;
  ready_ = true;
  actions_.push_back(become_ready());
}

void config_follower::publish_digest(bool urgent) {
  versions_changed_ = false;
  published_at_ = now_;
  auto digest = digest_;
  digest.confirmation_age = age(now_);
  digest.watcher_id = confirmation_source_;
  digest.confirmation_number = confirmation_number_;
  actions_.push_back(set_digest{digest.text(), urgent});
}

duration config_follower::age(instant now) const {
  return ever_confirmed_ ? now - confirmed_at_ : unknown_age;
}

std::uint64_t config_follower::version(const std::string& kind,
                                       const std::string& key) const {
  auto it = objects_.find({kind, key});
  return it == objects_.end() ? 0 : it->second.active.version;
}

}  // namespace toucanmux
