#include "proxy/store-sync.h"

#include <algorithm>
#include <set>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The reader of a failure domain proves the configuration so often, for all
// instances in it: three times within the shortest bound for a change.
constexpr duration domain_read_interval = milliseconds(800);
// Others read for themselves when no peer's proof has come for so long: half
// of the bound on withdrawn keys.
constexpr duration own_read_age = milliseconds(2200);
// A hub that another one goes before: two of its reports are missing.
constexpr duration hub_read_age = milliseconds(1500);
// Proofs come over two hubs and are older; a call still fits into the bound.
constexpr duration member_read_age = milliseconds(3000);
// Leases are shorter than the bound on withdrawn keys, so the records of
// leaders are read sooner than the configuration where proofs are late.
constexpr duration own_duty_age = milliseconds(1300);
constexpr duration member_duty_age = milliseconds(1600);
constexpr duration retry_interval = milliseconds(400);
// Several times the store's usual answer, so that a silent connection is
// noticed and a slow store still serves.
constexpr duration call_limit = milliseconds(1200);
// A watch comes back by then even if nothing changes; one that does not is
// silent. A whole failure domain is blind until then, and has to hear of a
// draining database well within the shortest bound, 7 s.
constexpr duration watch_wait = seconds(3);
constexpr duration watch_limit = seconds(4);
// Until then most instances know whether another one follows the store for
// them. The list has its revision, so no change is lost meanwhile.
constexpr duration first_watch_after = seconds(1);
// News of the reader take a millisecond; one datagram of them may be lost.
constexpr duration news_late = milliseconds(500);
// An instance makes sure so often that others find its record and that it has
// theirs: a record may be removed or be written by one that was cut off.
constexpr duration check_interval = seconds(40);
// When others are known to be missing it looks again after this.
constexpr duration missing_interval = seconds(3);
constexpr duration unchecked_for = check_interval - missing_interval;
// More changes at once than a datagram holds are read from the store.
constexpr std::size_t most_changes = 8;

}  // namespace

store_sync::store_sync(proxy_state& state, peer_service& peers)
    : state_(state),
      peers_(peers),
      store_(state.loop, state.settings.store_address),
      watcher_(state.loop, state.settings.store_address) {}

void store_sync::start() {
  next_watch_ = state_.loop.now() + first_watch_after;
  tick();
}

void store_sync::tick() {
  instant now = state_.loop.now();
  if (!reading_ && now >= next_read_) {
    auto due = config_reads_.due(now, config_situation());
    if (due) read_config(*due);
  }
  note_leads_elsewhere();
  if (!reading_duties_ && now >= next_duties_ && duties_are_due()) {
    duties_.clear();
    duties_asked_.reset();
    read_duties({});
  }
  if (revision_ == 0 && !listing_ && now >= next_list_) list_upstreams({});
  if (lags_behind_reader()) revision_ = 0;
  bool watches = peers_.reads_for_domain() && revision_ != 0 && !watching_;
  if (watches && now >= next_watch_) watch_upstreams();
  if (now < next_members_) return;
  if (registering_ || listing_members_) return;
  if (!members_listed_) return list_members({});
  if (!registered_) return register_self();
  bool check = now >= next_check_ ||
               (peers_.lacks_records() && now >= next_check_ - unchecked_for);
  if (check) check_members();
}

// Only the reader of the failure domain watches; a news of it may be lost.
bool store_sync::lags_behind_reader() {
  if (revision_ == 0 || peers_.upstream_revision() <= changed_revision_) {
    lags_since_.reset();
    return false;
  }
  instant now = state_.loop.now();
  if (!lags_since_) lags_since_ = now;
  if (now - *lags_since_ < news_late) return false;
  lags_since_.reset();
  return true;
}

duration store_sync::read_interval() const {
  using role = peer_directory::role;
  switch (peers_.own_role()) {
    case role::mesh:
      return peers_.reads_for_domain() ? domain_read_interval : own_read_age;
    case role::hub:
      return peers_.reads_for_all() ? domain_read_interval : hub_read_age;
    case role::member:
      break;
  }
  return member_read_age;
}

void store_sync::note_store(bool reached, std::string_view call) {
  if (!reached) {
    for (auto& [id, group] : state_.groups) {
      group->watch().store_away(state_.loop.now());
    }
  }
  failures_ = reached ? 0 : failures_ + 1;
  if (reached == store_reached_) return;
  store_reached_ = reached;
  state_.log.write(journal_kind::dependency,
                   reached ? "store_regained" : "store_lost", {{"call", call}});
}

config_reads::situation store_sync::config_situation() const {
  config_reads::situation out;
  out.proven = state_.confirmation.proven();
  out.proof_age = state_.confirmation.age(state_.loop.now());
  out.interval = read_interval();
  out.newer_elsewhere = peers_.config_is_newer_elsewhere();
  out.peer_reads = !peers_.reads_for_domain();
  return out;
}

void store_sync::read_config(read_age age) {
  reading_ = true;
  // A store that is away is asked less and less, down to once a second.
  auto wait = retry_interval * (1 + std::min(failures_, 2U));
  next_read_ = state_.loop.now() + wait;
  store_.call(store_api::read_config(age), call_limit,
              [this, age](http_result&& result) {
                take_config(age, std::move(result));
              });
}

void store_sync::take_config(read_age age, http_result&& result) {
  reading_ = false;
  bool good = result.answered && result.status == 200;
  bool absent = result.answered && result.status == 404;
  note_store(good || absent, "config");
  if (absent) config_reads_.absent();
  if (!good) return;
  bool first = state_.config->version() == 0;
  if (result.body != last_body_) {
    apply(result.body);
    last_body_ = std::move(result.body);
  }
  // The groups are known now, so their databases are listed.
  if (first && state_.config->version() != 0) {
    state_.loop.defer([this] { tick(); });
  }
  bool newer_elsewhere = peers_.config_is_newer_elsewhere();
  config_reads_.found(state_.loop.now(), age, newer_elsewhere);
  if (state_.config->version() == 0) return;
  if (age == read_age::newest) return state_.confirmation.prove(result.asked);
  // A read of the newest state follows at once where this one was not enough.
  next_read_ = state_.loop.now();
}

void store_sync::apply(std::string_view body) {
  try {
    auto next =
        std::make_shared<const fleet_config>(store_api::parse_config(body));
    // A version that is in force is never left for an older one.
    if (next->version() < state_.config->version()) return;
    state_.config = next;
  } catch (const list_error& e) {
    state_.log.write(journal_kind::belief, "config_refused",
                     {{"reason", e.what()}});
    return;
  }
  const fleet_config& config = *state_.config;
  state_.rate_limits.configure(state_.loop.now(), config.teams());
  auto members = peers_.members();
  for (const auto& policy : config.groups()) {
    auto& group = state_.groups[policy.id];
    if (!group) {
      group = std::make_unique<upstream_group>(
          state_.loop, state_.log, policy.id, state_.settings.self,
          state_.settings.domain, state_.leader_leases,
          state_.settings.heartbeat_interval, state_.settings.drain_timeout);
      revision_ = 0;  // Its databases were passed over until now.
    }
    group->set_policy(policy);
    if (!config.teams().empty()) {
      group->set_probe_team(config.teams().front().team);
    }
    group->set_members(members);
  }
  state_.log.write(journal_kind::belief, "config_in_force",
                   {{"version", config.version()},
                    {"revision", config.revision()},
                    {"teams", std::uint64_t{config.teams().size()}},
                    {"bytes", std::uint64_t{body.size()}}});
  peers_.hurry();
}

duration store_sync::duty_interval() const {
  using role = peer_directory::role;
  switch (peers_.own_role()) {
    case role::mesh:
      return peers_.reads_for_domain() ? domain_read_interval : own_duty_age;
    case role::hub:
      return domain_read_interval;
    case role::member:
      break;
  }
  return peers_.scouts_for_domain() ? member_duty_age : duration::max();
}

bool store_sync::duties_are_due() const {
  const auto& leases = state_.leader_leases;
  if (!registered_) return false;
  if (!leases.proven()) return true;
  instant now = state_.loop.now();
  // News of a change may come by another peer first.
  bool differs = leads_differ_since_ && now - *leads_differ_since_ > news_late;
  return differs || leases.age(now) >= duty_interval();
}

void store_sync::note_leads_elsewhere() {
  if (!peers_.leads_differ_elsewhere()) {
    leads_differ_since_.reset();
  } else if (!leads_differ_since_) {
    leads_differ_since_ = state_.loop.now();
  }
}

void store_sync::read_duties(const std::string& after) {
  reading_duties_ = true;
  // Nothing is served by a leader until one who reads for others has it again.
  bool for_others = peers_.reads_for_domain();
  auto tries = for_others ? 0U : std::min(failures_, 2U);
  next_duties_ = state_.loop.now() + retry_interval * (1 + tries);
  store_.call(store_api::list_duties(after), call_limit,
              [this](http_result&& result) { take_duties(std::move(result)); });
}

// Each page is at least as new as the moment at which the first was asked for.
void store_sync::take_duties(http_result&& result) {
  reading_duties_ = false;
  bool good = result.answered && result.status == 200;
  note_store(good, "duties");
  if (!good) return;
  auto page = store_api::parse_duties(result.body);
  if (!page) return;
  if (!duties_asked_) duties_asked_ = result.asked;
  duties_.insert(duties_.end(), page->records.begin(), page->records.end());
  if (!page->continue_after.empty()) {
    return read_duties(page->continue_after);
  }
  bool held = state_.leader_leases.holds(state_.loop.now());
  state_.leader_leases.take_list(state_.loop.now(), *duties_asked_, duties_);
  if (!held && peers_.reads_for_domain()) peers_.announce();
}

void store_sync::list_upstreams(const std::string& after) {
  if (state_.groups.empty()) return;
  listing_ = true;
  next_list_ = state_.loop.now() + retry_interval;
  if (after.empty()) listed_.clear();
  // Who follows the store hears of what an older state lacks; the others see
  // that they lag behind it.
  auto age = upstreams_known_ ? read_age::newest : read_age::seconds_old;
  store_.call(store_api::list_upstreams(after, age), call_limit,
              [this](http_result&& result) { take_list(std::move(result)); });
}

void store_sync::take_list(http_result&& result) {
  listing_ = false;
  bool good = result.answered && result.status == 200;
  note_store(good, "list");
  if (!good) return;
  auto page = store_api::parse_upstreams(result.body);
  if (!page) return;
  if (page->skipped > 0) {
    state_.log.write(journal_kind::belief, "entries_skipped",
                     {{"count", std::uint64_t{page->skipped}}});
  }
  // The first page's revision is watched from: what changes while further
  // pages are read is then seen again.
  if (listed_.empty()) revision_ = 0;
  listed_.insert(listed_.end(), page->entries.begin(), page->entries.end());
  if (!page->continue_after.empty()) {
    return list_upstreams(page->continue_after);
  }
  revision_ = page->revision;
  finish_list();
}

void store_sync::finish_list() {
  std::set<database_id> present;
  std::uint64_t newest = 0;
  for (const auto& entry : listed_) {
    present.insert(entry.id);
    newest = std::max(newest, entry.revision);
    place(entry);
  }
  for (auto& [id, group] : state_.groups) {
    for (const auto* up : group->all()) {
      if (up->removed || present.contains(up->entry.id)) continue;
      group->remove_entry(up->entry.id);
      newest = revision_;  // Nothing in the list tells when it went.
    }
  }
  listed_.clear();
  upstreams_known_ = true;
  note_change(newest);
}

void store_sync::note_change(std::uint64_t revision) {
  changed_revision_ = std::max(changed_revision_, revision);
  peers_.set_upstream_revision(changed_revision_);
}

void store_sync::place(const upstream_entry& entry) {
  for (auto& [id, group] : state_.groups) {
    if (id == entry.group) {
      group->set_entry(entry);
    } else if (group->find(entry.id)) {
      group->remove_entry(entry.id);
    }
  }
}

void store_sync::remove(const database_id& id) {
  for (auto& [name, group] : state_.groups) group->remove_entry(id);
}

void store_sync::watch_upstreams() {
  watching_ = true;
  next_watch_ = state_.loop.now() + retry_interval;
  watcher_.call(
      store_api::watch_upstreams(revision_, watch_wait), watch_limit,
      [this](http_result&& result) { take_events(std::move(result)); });
}

void store_sync::take_events(http_result&& result) {
  watching_ = false;
  if (result.answered && result.status == 410) {
    revision_ = 0;  // The history is gone: list anew.
    return tick();
  }
  bool good = result.answered && result.status == 200;
  if (!good) return note_store(false, "watch");
  auto events = store_api::parse_upstream_events(result.body);
  if (!events) {
    revision_ = 0;
    return;
  }
  for (const auto& event : events->events) {
    if (event.removed) {
      remove(event.entry.id);
    } else if (event.readable) {
      place(event.entry);
    }
  }
  if (events->revision != 0) revision_ = events->revision;
  if (!events->events.empty()) tell_news(*events);
  if (peers_.reads_for_domain()) watch_upstreams();
}

// Who misses the news, or finds too many in them, lists the databases anew
// once a report shows that it lags.
void store_sync::tell_news(const store_api::upstream_events& events) {
  upstream_news news;
  news.from_revision = changed_revision_;
  note_change(events.revision);
  news.to_revision = changed_revision_;
  if (events.events.size() > most_changes) return;
  for (const auto& event : events.events) {
    if (!event.removed && !event.readable) continue;
    news.changes.items.push_back({event.removed, event.entry});
  }
  peers_.tell(news);
}

void store_sync::take_news(const upstream_news& news) {
  bool follows = revision_ != 0 && changed_revision_ >= news.from_revision &&
                 changed_revision_ < news.to_revision;
  if (!follows) return;
  for (const auto& change : news.changes.items) {
    if (change.removed) {
      remove(change.entry.id);
    } else {
      place(change.entry);
    }
  }
  revision_ = std::max(revision_, news.to_revision);
  note_change(news.to_revision);
}

void store_sync::look_at(const group_id& group, const database_id& id) {
  store_.call(store_api::read_upstream(id), call_limit,
              [this, group](http_result&& result) {
                auto* found = state_.find_group(group);
                bool good = result.answered &&
                            (result.status == 200 || result.status == 404);
                note_store(good, "entry");
                if (!good || !found) return;
                std::optional<std::uint64_t> sequence;
                if (result.status == 200) {
                  auto entry = store_api::parse_upstream(result.body);
                  if (entry) sequence = entry->sequence;
                }
                found->watch().take_entry(state_.loop.now(), sequence);
              });
}

void store_sync::register_self() {
  registering_ = true;
  next_members_ = state_.loop.now() + retry_interval;
  store_.call(
      store_api::create_member(own_record()), call_limit,
      [this](http_result&& result) { take_registration(std::move(result)); });
}

store_api::member_record store_sync::own_record() const {
  const auto& settings = state_.settings;
  return {settings.self, settings.domain, settings.peer_address};
}

void store_sync::take_registration(http_result&& result) {
  registering_ = false;
  bool exists = result.answered && result.status == 409;
  bool good = result.answered && result.status / 100 == 2;
  note_store(good || exists, "register");
  if (exists) replace_own_record(result.body);
  registered_ = good || exists;
  if (!registered_) return;
  state_.leader_leases.admit(state_.loop.now());
  members_age_ = read_age::newest;
  list_members({});
}

// An earlier process of this name wrote it; its address may be another one.
void store_sync::replace_own_record(std::string_view present) {
  auto record = store_api::parse_member(present);
  auto revision = store_api::object_revision(present);
  if (revision == 0 || (record && is_own(*record))) return;
  store_.call(store_api::replace_member(own_record(), revision), call_limit,
              [](http_result&&) {});
}

bool store_sync::is_own(const store_api::member_record& record) const {
  const auto& settings = state_.settings;
  return record.id == settings.self &&
         record.address == settings.peer_address &&
         record.domain == settings.domain;
}

void store_sync::list_members(const std::string& after) {
  if (after.empty()) {
    recorded_.clear();
    own_record_found_ = false;
  }
  listing_members_ = true;
  next_members_ = state_.loop.now() + retry_interval;
  auto age = members_age_;
  store_.call(store_api::list_members(after, age), call_limit,
              [this, age](http_result&& result) {
                take_members(age, std::move(result));
              });
}

void store_sync::take_members(read_age age, http_result&& result) {
  listing_members_ = false;
  bool good = result.answered && result.status == 200;
  note_store(good, "members");
  if (!good) return;
  auto page = store_api::parse_members(result.body);
  if (!page) return;
  for (const auto& member : page->members) {
    peers_.add(member);
    recorded_.insert(member.id);
    own_record_found_ = own_record_found_ || is_own(member);
  }
  if (!page->continue_after.empty()) return list_members(page->continue_after);
  members_age_ = read_age::seconds_old;
  registered_ = own_record_found_;
  if (registered_) state_.leader_leases.admit(state_.loop.now());
  forget_unrecorded();
  members_listed_ = true;
  next_check_ = state_.loop.now() + check_interval;
  if (!registered_ && age == read_age::seconds_old) return register_self();
  // The leaders are read once the own record is known.
  if (!state_.leader_leases.proven()) tick();
}

// Another instance has removed the records of those that are gone.
void store_sync::forget_unrecorded() {
  for (const auto& gone : peers_.long_silent()) {
    if (!recorded_.contains(gone.id)) peers_.remove(gone.id);
  }
}

// Both happen to an instance that lives while a partition lasts: its record is
// removed, and instances come that it does not hear of.
void store_sync::check_members() {
  remove_silent();
  list_members({});
}

// Records of instances that have long been gone; one of each domain's peers
// is enough to remove them.
void store_sync::remove_silent() {
  if (!peers_.reads_for_domain()) return;
  for (const auto& gone : peers_.long_silent()) {
    if (gone.domain != state_.settings.domain) continue;
    store_.call(store_api::remove_member(gone.id), call_limit,
                [](http_result&&) {});
    peers_.remove(gone.id);
  }
}

}  // namespace toucanmux
