#include "proxy/store-sync.h"

#include <algorithm>
#include <set>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How often the domain reader confirms the configuration for all instances in
// its failure domain: three times within the shortest time limit for applying a
// change.
constexpr duration domain_read_interval = milliseconds(800);
// Other instances read the configuration themselves when the last confirmation
// is older than this: half of the time limit for rejecting withdrawn keys.
constexpr duration max_mesh_config_age = milliseconds(2200);
// For a hub that is outranked by another one: beyond this age, two reports of
// the other hub are missing.
constexpr duration max_hub_config_age = milliseconds(1500);
// Confirmations that pass through two hubs are older; at this age, a call to
// the store still fits into that limit.
constexpr duration max_member_config_age = milliseconds(3000);
// Until then instances that don't read the store wait for the confirmation of
// the one that does.
constexpr duration settled_report_time = milliseconds(400);
constexpr duration retry_interval = milliseconds(400);
// Several times the usual response time, so that calls to a slow store succeed
// and a dead connection is noticed.
constexpr duration call_timeout = milliseconds(1200);
// The store ends a watch after `watch_wait` even without changes; a watch that
// takes longer is on a dead connection. Meanwhile the whole failure domain
// misses changes, and it has to learn of a draining database well within the
// shortest time limit, 7 s.
constexpr duration watch_wait = seconds(3);
constexpr duration watch_timeout = seconds(4);
// After this delay most instances know whether a peer follows the store for
// them. No change is lost, since the watch continues from the revision of the
// list.
constexpr duration first_watch_delay = seconds(1);
// An update from the domain reader usually takes about a millisecond; after
// this time it counts as lost.
constexpr duration update_timeout = milliseconds(500);
// How often an instance checks the member records: its own may have been
// removed, and those of new instances may be unknown here, after a partition.
constexpr duration member_check_interval = seconds(40);
// The interval of these checks while a hub knows more instances.
constexpr duration missing_record_check_interval = seconds(3);
constexpr duration early_check_lead =
    member_check_interval - missing_record_check_interval;
constexpr duration store_probe_interval = seconds(3);
// More changes do not fit into a datagram; receivers list the databases
// instead.
constexpr std::size_t max_update_changes = 8;

}  // namespace

store_sync::store_sync(proxy_state& state, peer_service& peers)
    : state_(state),
      peers_(peers),
      store_caller_(state.loop, state.settings.store_address),
      watch_caller_(state.loop, state.settings.store_address),
      duties_(state, peers, *this) {}

void store_sync::start() {
  next_watch_ = state_.loop.now() + first_watch_delay;
  tick();
}

void store_sync::tick() {
  instant now = state_.loop.now();
  if (!reading_config_ && now >= next_config_read_) {
    auto due_read = config_read_policy_.due_read(now, config_situation());
    if (due_read) read_config(*due_read);
  }
  probe_store();
  duties_.tick(registered_);
  if (watch_from_ == 0 && !listing_ && now >= next_list_ && list_allowed())
    list_upstreams({});
  if (update_reader_lag()) watch_from_ = 0;
  bool watch_needed =
      peers_.is_domain_reader() && watch_from_ != 0 && !watching_upstreams_;
  if (watch_needed && now >= next_watch_) watch_upstreams();
  if (now < next_member_call_) return;
  if (registering_ || listing_members_) return;
  if (!members_listed_) return list_members({});
  if (!registered_) return register_self();
  bool check_needed = now >= next_member_check_ ||
                      (peers_.lacks_member_records() &&
                       now >= next_member_check_ - early_check_lead);
  if (check_needed) check_members();
}

// An instance that lost the store no longer reads it for its failure domain, so
// it has to find out by itself when the store is reachable again.
void store_sync::probe_store() {
  instant now = state_.loop.now();
  bool due = state_.contact.lost(now) && !peers_.is_domain_reader() &&
             !reading_config_ && now >= next_store_probe_;
  if (!due) return;
  next_store_probe_ = now + store_probe_interval;
  read_config(read_consistency::stale);
}

void store_sync::call(http_call request, duration timeout,
                      http_caller::result_handler on_done) {
  call_from(store_caller_, std::move(request), timeout, std::move(on_done));
}

void store_sync::call_from(http_caller& caller, http_call request,
                           duration timeout,
                           http_caller::result_handler on_done) {
  auto sent_in = state_.store.current();
  caller.call(
      std::move(request), timeout,
      [this, sent_in, on_done = std::move(on_done)](http_result&& result) {
        check_generation(sent_in, result);
        on_done(std::move(result));
      });
}

void store_sync::check_generation(std::uint64_t sent_in, http_result& result) {
  if (!result.answered) return;
  result.generation = store_api::store_generation(result);
  auto was = state_.store.current();
  if (state_.store.observe(state_.loop.now(), result.generation)) {
    state_.log.write(journal_kind::dependency, "store_generation_changed",
                     {{"generation", result.generation}, {"was", was}});
    if (was != 0) discard_older_generation();
  }
  result.answered = state_.store.usable(sent_in, result.generation);
}

// The restored store has lost writes, and may have given their revisions to
// others: everything is read again.
void store_sync::discard_older_generation() {
  watch_from_ = 0;
  listed_upstreams_.clear();
  next_list_ = next_config_read_ = next_member_call_ = state_.loop.now();
  members_listed_ = registered_ = false;
  members_consistency_ = read_consistency::linearizable;
  duties_.discard_older_generation();
  for (auto& [id, group] : state_.groups)
    group->watch().note_store_unreachable(state_.loop.now());
  state_.loop.defer([this] { tick(); });
}

// Only the domain reader watches the databases, and its updates may be lost.
bool store_sync::update_reader_lag() {
  if (watch_from_ == 0 ||
      peers_.reader_upstream_version() <= changed_version_) {
    reader_lag_since_.reset();
    return false;
  }
  instant now = state_.loop.now();
  if (!reader_lag_since_) reader_lag_since_ = now;
  // No update leads from one generation of the store to the next.
  bool update_expected = peers_.reader_upstream_version().generation ==
                         changed_version_.generation;
  if (update_expected && now - *reader_lag_since_ < update_timeout)
    return false;
  reader_lag_since_.reset();
  return true;
}

// Before the operator has written again what a restore undid, no read confirms
// the configuration.
duration store_sync::max_config_age() const {
  bool may_confirm =
      state_.store.settled(state_.loop.now() - settled_report_time);
  if (!may_confirm && !peers_.is_domain_reader()) return duration::max();
  using role = peer_directory::role;
  switch (peers_.own_role()) {
    case role::mesh:
      return peers_.is_domain_reader() ? domain_read_interval
                                       : max_mesh_config_age;
    case role::hub:
      return peers_.is_fleet_reader() ? domain_read_interval
                                      : max_hub_config_age;
    case role::member:
      break;
  }
  return max_member_config_age;
}

void store_sync::record_call(bool reached, std::string_view operation) {
  if (!reached) {
    for (auto& [id, group] : state_.groups) {
      group->watch().note_store_unreachable(state_.loop.now());
    }
  }
  state_.contact.record(state_.loop.now(), reached);
  if (reached == store_reached_) return;
  store_reached_ = reached;
  state_.log.write(journal_kind::dependency,
                   reached ? "store_regained" : "store_lost",
                   {{"call", operation}});
}

config_read_policy::situation store_sync::config_situation() const {
  config_read_policy::situation out;
  out.confirmed = state_.confirmation.confirmed();
  out.confirmation_age = state_.confirmation.age(state_.loop.now());
  out.max_age = max_config_age();
  out.confirmable_for = state_.store.settled_for(state_.loop.now());
  out.peer_has_newer = peers_.peer_has_newer_config();
  out.peer_confirms = !peers_.is_domain_reader();
  return out;
}

void store_sync::read_config(read_consistency consistency) {
  reading_config_ = true;
  // Backs off while the store is unreachable, up to one read in 1.2 s.
  auto failures = std::min(consecutive_failures(), 2U);
  auto retry_delay = retry_interval * (1 + failures);
  next_config_read_ = state_.loop.now() + retry_delay;
  call(store_api::read_config(consistency), call_timeout,
       [this, consistency](http_result&& result) {
         handle_config(consistency, std::move(result));
       });
}

void store_sync::handle_config(read_consistency consistency,
                               http_result&& result) {
  reading_config_ = false;
  bool succeeded = result.answered && result.status == 200;
  bool absent = result.answered && result.status == 404;
  record_call(succeeded || absent, "config");
  if (absent) config_read_policy_.record_absent();
  if (!succeeded) return;
  bool first_config = state_.config->version() == 0;
  if (result.body != last_config_body_) {
    apply_config(result.body);
    last_config_body_ = std::move(result.body);
  }
  // The groups are known now, so their databases can be listed.
  if (first_config && state_.config->version() != 0) {
    state_.loop.defer([this] { tick(); });
  }
  bool peer_has_newer = peers_.peer_has_newer_config();
  config_read_policy_.record_read(state_.loop.now(), consistency,
                                  peer_has_newer);
  if (state_.config->version() == 0) return;
  if (consistency == read_consistency::linearizable) {
    if (state_.store.settled(result.sent_at))
      state_.confirmation.confirm(result.sent_at);
    return;
  }
  // A stale read confirms nothing; if a linearizable read is due, it follows at
  // once.
  next_config_read_ = state_.loop.now();
}

void store_sync::handle_settled() {
  if (state_.confirmation.valid(state_.loop.now())) return;
  next_config_read_ = state_.loop.now();
  state_.loop.defer([this] { tick(); });
}

void store_sync::apply_config(std::string_view body) {
  std::size_t skipped_items = 0;
  try {
    auto parsed = store_api::parse_config(body);
    // An older version never replaces the active one.
    if (parsed.config.version() < state_.config->version()) return;
    skipped_items = parsed.skipped_items;
    state_.config =
        std::make_shared<const fleet_config>(std::move(parsed.config));
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
      group->set_domain_rules(state_.domains);
      group->set_promotion_time(state_.promotions);
      // Earlier lists skipped the databases of this group.
      watch_from_ = 0;
    }
    group->set_policy(policy);
    if (!config.teams().empty()) {
      group->set_probe_team(config.teams().front().team);
    }
    group->set_members(members);
  }
  state_.log.write(journal_kind::belief, "config_in_force",
                   {{"version", config.version()},
                    {"revision", store_api::object_revision(body)},
                    {"generation", state_.store.current()},
                    {"teams", std::uint64_t{config.teams().size()}},
                    {"skipped_items", std::uint64_t{skipped_items}},
                    {"bytes", std::uint64_t{body.size()}}});
  peers_.expedite_reports();
}

// The first list is needed once the configuration is confirmed, by a peer or by
// a read of a settled generation.
bool store_sync::list_allowed() const {
  instant now = state_.loop.now();
  return upstreams_known_ || state_.store.settled(now) ||
         state_.confirmation.valid(now);
}

void store_sync::list_upstreams(const std::string& after) {
  if (state_.groups.empty()) return;
  listing_ = true;
  next_list_ = state_.loop.now() + retry_interval;
  if (after.empty()) listed_upstreams_.clear();
  // A stale first list is enough: an instance that watches gets what the list
  // lacks from the watch, and the others notice that they lag behind the
  // reader. After a restore it might be of the time before.
  bool stale_is_enough =
      !upstreams_known_ && state_.store.settled(state_.loop.now());
  auto consistency = stale_is_enough ? read_consistency::stale
                                     : read_consistency::linearizable;
  call(store_api::list_upstreams(after, consistency), call_timeout,
       [this, consistency](http_result&& result) {
         handle_upstreams(consistency, std::move(result));
       });
}

void store_sync::handle_upstreams(read_consistency consistency,
                                  http_result&& result) {
  listing_ = false;
  bool succeeded = result.answered && result.status == 200;
  record_call(succeeded, "list");
  if (!succeeded) return;
  auto page = store_api::parse_upstreams(result.body);
  if (!page) return state_.unreadable.note("list", "databases");
  state_.unreadable.note_all("database", page->skipped);
  // The watch continues from the first page's revision, so changes during the
  // later pages are delivered again.
  if (listed_upstreams_.empty()) {
    watch_from_ = 0;
    list_sent_at_ = result.sent_at;
  }
  for (auto& entry : page->entries) {
    entry.version.generation = result.generation;
    listed_upstreams_.push_back(std::move(entry));
  }
  if (!page->continue_after.empty()) {
    return list_upstreams(page->continue_after);
  }
  watch_from_ = page->revision;
  apply_upstream_list();
  if (consistency == read_consistency::linearizable)
    state_.upstream_confirmation.confirm_list(list_sent_at_);
}

void store_sync::apply_upstream_list() {
  std::set<database_id> present;
  std::uint64_t newest_revision = 0;
  for (const auto& entry : listed_upstreams_) {
    present.insert(entry.id);
    newest_revision = std::max(newest_revision, entry.version.revision);
    apply_entry(entry);
  }
  for (auto& [id, group] : state_.groups) {
    for (const auto* up : group->upstreams()) {
      if (up->removed_at || present.contains(up->entry.id)) continue;
      group->remove_entry(up->entry.id);
      // The list does not say at which revision the entry was removed.
      newest_revision = watch_from_;
    }
  }
  listed_upstreams_.clear();
  upstreams_known_ = true;
  state_.log.write(journal_kind::belief, "upstreams_listed",
                   {{"databases", std::uint64_t{present.size()}},
                    {"revision", newest_revision},
                    {"generation", state_.store.current()}});
  set_changed_version({state_.store.current(), newest_revision});
}

void store_sync::set_changed_version(const store_version& version) {
  changed_version_ = std::max(changed_version_, version);
  peers_.set_upstream_version(changed_version_);
}

void store_sync::apply_entry(const upstream_entry& entry) {
  auto changed_after =
      state_.upstream_confirmation.changed_after(state_.loop.now());
  for (auto& [id, group] : state_.groups) {
    if (id == entry.group) {
      group->set_entry(entry, changed_after);
    } else if (group->find(entry.id)) {
      group->remove_entry(entry.id);
    }
  }
}

void store_sync::remove_entry(const database_id& id) {
  for (auto& [name, group] : state_.groups) group->remove_entry(id);
}

void store_sync::watch_upstreams() {
  watching_upstreams_ = true;
  next_watch_ = state_.loop.now() + retry_interval;
  call_from(watch_caller_, store_api::watch_upstreams(watch_from_, watch_wait),
            watch_timeout, [this](http_result&& result) {
              handle_upstream_events(std::move(result));
            });
}

void store_sync::handle_upstream_events(http_result&& result) {
  watching_upstreams_ = false;
  if (result.answered && result.status == 410) {
    // The store no longer has the changes since this revision.
    watch_from_ = 0;
    return tick();
  }
  bool succeeded = result.answered && result.status == 200;
  if (!succeeded) return record_call(false, "watch");
  auto events = store_api::parse_upstream_events(result.body);
  if (!events) {
    state_.unreadable.note("watch", "databases");
    watch_from_ = 0;
    return;
  }
  for (auto& event : events->events) {
    event.entry.version.generation = result.generation;
    if (event.removed) {
      remove_entry(event.entry.id);
    } else if (event.readable) {
      apply_entry(event.entry);
    } else {
      state_.unreadable.note("database", event.entry.id.value);
    }
  }
  bool waited = events->events.empty() &&
                state_.loop.now() - result.sent_at >= watch_wait;
  state_.upstream_confirmation.confirm_watch(result.sent_at,
                                             waited ? watch_wait : duration{0});
  if (events->revision != 0) watch_from_ = events->revision;
  if (!events->events.empty()) send_update(*events);
  if (peers_.is_domain_reader()) watch_upstreams();
}

// An instance that misses the update, or gets none because there are too many
// changes, lists the databases again once a report shows a newer revision.
void store_sync::send_update(const store_api::upstream_events& events) {
  upstream_update update;
  update.from = changed_version_;
  set_changed_version({state_.store.current(), events.revision});
  update.to = changed_version_;
  if (events.events.size() > max_update_changes) return;
  for (const auto& event : events.events) {
    if (!event.removed && !event.readable) continue;
    update.changes.items.push_back({event.removed, event.entry});
  }
  peers_.send_upstream_update(update);
}

void store_sync::apply_update(const upstream_update& update) {
  bool can_apply =
      watch_from_ != 0 && changed_version_.generation == update.to.generation &&
      changed_version_ >= update.from && changed_version_ < update.to;
  if (!can_apply) return;
  for (const auto& change : update.changes.items) {
    if (change.removed) {
      remove_entry(change.entry.id);
    } else {
      apply_entry(change.entry);
    }
  }
  watch_from_ = std::max(watch_from_, update.to.revision);
  set_changed_version(update.to);
}

void store_sync::read_upstream_entry(const group_id& group,
                                     const database_id& id) {
  call(store_api::read_upstream(id), call_timeout,
       [this, group](http_result&& result) {
         auto* found = state_.find_group(group);
         bool succeeded =
             result.answered && (result.status == 200 || result.status == 404);
         record_call(succeeded, "entry");
         if (!succeeded || !found) return;
         std::optional<std::uint64_t> sequence;
         if (result.status == 200) {
           auto entry = store_api::parse_upstream(result.body);
           if (entry) sequence = entry->sequence;
         }
         found->watch().apply_entry(state_.loop.now(), sequence);
       });
}

void store_sync::register_self() {
  registering_ = true;
  next_member_call_ = state_.loop.now() + retry_interval;
  call(
      store_api::create_member(own_record()), call_timeout,
      [this](http_result&& result) { handle_registration(std::move(result)); });
}

store_api::member_record store_sync::own_record() const {
  const auto& settings = state_.settings;
  return {settings.self, settings.domain, settings.peer_address,
          settings.cpu_millicores};
}

void store_sync::handle_registration(http_result&& result) {
  registering_ = false;
  bool exists = result.answered && result.status == 409;
  bool succeeded = result.answered && result.status / 100 == 2;
  record_call(succeeded || exists, "register");
  if (exists) replace_own_record(result.body);
  registered_ = succeeded || exists;
  if (!registered_) return;
  state_.leader_leases.mark_registered(state_.loop.now());
  members_consistency_ = read_consistency::linearizable;
  list_members({});
}

// An earlier process of this name wrote the record, perhaps with another
// address.
void store_sync::replace_own_record(std::string_view stored_object) {
  auto record = store_api::parse_member(stored_object);
  auto revision = store_api::object_revision(stored_object);
  if (revision == 0 || (record && is_own(*record))) return;
  call(store_api::replace_member(own_record(), revision), call_timeout,
       [](http_result&&) {});
}

bool store_sync::is_own(const store_api::member_record& record) const {
  const auto& settings = state_.settings;
  return record.id == settings.self &&
         record.address == settings.peer_address &&
         record.domain == settings.domain &&
         record.capacity == settings.cpu_millicores;
}

void store_sync::list_members(const std::string& after) {
  if (after.empty()) {
    registered_members_.clear();
    own_record_found_ = false;
  }
  listing_members_ = true;
  next_member_call_ = state_.loop.now() + retry_interval;
  auto consistency = members_consistency_;
  call(store_api::list_members(after, consistency), call_timeout,
       [this, consistency](http_result&& result) {
         handle_members(consistency, std::move(result));
       });
}

void store_sync::handle_members(read_consistency consistency,
                                http_result&& result) {
  listing_members_ = false;
  bool succeeded = result.answered && result.status == 200;
  record_call(succeeded, "members");
  if (!succeeded) return;
  auto page = store_api::parse_members(result.body);
  if (!page) return state_.unreadable.note("list", "members");
  state_.unreadable.note_all("member", page->skipped);
  for (const auto& member : page->members) {
    peers_.add(member);
    registered_members_.insert(member.id);
    own_record_found_ = own_record_found_ || is_own(member);
  }
  if (!page->continue_after.empty()) return list_members(page->continue_after);
  members_consistency_ = read_consistency::stale;
  registered_ = own_record_found_;
  if (registered_) state_.leader_leases.mark_registered(state_.loop.now());
  forget_unregistered();
  members_listed_ = true;
  next_member_check_ = state_.loop.now() + member_check_interval;
  if (!registered_ && consistency == read_consistency::stale)
    return register_self();
  // The duties are read once the own record is known.
  if (!state_.leader_leases.follows(state_.store.current())) tick();
}

// Forgets silent members whose records were removed by another instance.
void store_sync::forget_unregistered() {
  for (const auto& silent : peers_.long_silent_members()) {
    if (!registered_members_.contains(silent.id)) peers_.remove(silent.id);
  }
}

// During a partition the record of a live instance may be removed, and new
// instances may register unnoticed.
void store_sync::check_members() {
  remove_silent_members();
  list_members({});
}

// Removes the records of members that have been gone for long. Only the domain
// reader does so, for its own failure domain.
void store_sync::remove_silent_members() {
  if (!peers_.is_domain_reader()) return;
  for (const auto& silent : peers_.long_silent_members()) {
    if (silent.domain != state_.settings.domain) continue;
    call(store_api::remove_member(silent.id), call_timeout,
         [](http_result&&) {});
    peers_.remove(silent.id);
  }
}

}  // namespace toucanmux
