#include "proxy/duty-sync.h"

#include <algorithm>

#include "proxy/store-sync.h"
#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;

// How often the domain reader confirms the leaders for all instances in its
// failure domain.
constexpr duration domain_read_interval = milliseconds(800);
// Leases are shorter than the limit for withdrawn keys, so late confirmations
// lead to a read of the duties sooner than to one of the configuration.
constexpr duration max_mesh_age = milliseconds(1300);
constexpr duration max_member_age = milliseconds(1600);
// Limits the reads for instances that start.
constexpr duration min_early_read_age = milliseconds(150);
constexpr duration retry_interval = milliseconds(400);
constexpr duration call_timeout = milliseconds(1200);
// A report of another peer may bring a change of records first.
constexpr duration update_timeout = milliseconds(500);
// Two rounds of reports between failure domains may pass before the records of
// a generation are confirmed.
constexpr duration first_confirmation_timeout = milliseconds(1500);
// After this time instances look for the base of a generation themselves; only
// the first ones can write it.
constexpr duration replacer_base_timeout = milliseconds(1000);
constexpr duration member_base_timeout = milliseconds(5000);
// Copies of older generations that are searched for the last known leaders. A
// generation without a base ended before an instance had written one.
constexpr std::uint64_t max_older_generations = 4;

}  // namespace

duty_sync::duty_sync(proxy_state& state, peer_service& peers, store_sync& store)
    : state_(state), peers_(peers), store_(store) {}

void duty_sync::tick(bool registered) {
  update_leader_difference();
  instant now = state_.loop.now();
  if (!state_.leader_leases.follows(state_.store.current()))
    follows_since_ = now;
  if (!registered) return;
  bool due = (now >= next_read_ && read_due()) || early_read_due();
  if (!reading_ && due) start_read();
  write_base_if_due();
  note_settled_if_due();
}

void duty_sync::discard_older_generation() {
  state_.leader_leases.mark_restored();
  recovery_.reset();
  settled_ = false;
  older_duties_.clear();
  next_read_ = state_.loop.now();
}

duty_read duty_sync::inherited_duty(const group_id& group) const {
  auto found = inherited_.find(group);
  if (found != inherited_.end()) return found->second;
  duty_read absent;
  absent.store_reached = true;
  return absent;
}

duration duty_sync::max_age() const {
  using role = peer_directory::role;
  switch (peers_.own_role()) {
    case role::mesh:
      return peers_.is_domain_reader() ? domain_read_interval : max_mesh_age;
    case role::hub:
      return domain_read_interval;
    case role::member:
      break;
  }
  return peers_.is_backup_reader() ? max_member_age : duration::max();
}

bool duty_sync::read_due() const {
  const auto& leases = state_.leader_leases;
  instant now = state_.loop.now();
  auto generation = state_.store.current();
  if (!leases.follows(generation)) {
    // Until the base exists one instance of a failure domain looks for it,
    // which is no use if it has no records to write.
    auto timeout = peers_.may_replace_leaders() ? replacer_base_timeout
                                                : member_base_timeout;
    return peers_.reader_follows(generation) ||
           !peers_.reader_follows(leases.generation()) ||
           state_.store.age(now) >= timeout;
  }
  if (!leases.confirmed()) {
    // The report that brought the records usually confirms them as well.
    return peers_.is_domain_reader() ||
           now - follows_since_ > first_confirmation_timeout;
  }
  bool differs =
      leaders_differ_since_ && now - *leaders_differ_since_ > update_timeout;
  return differs || leases.age(now) >= max_age();
}

// A read from before an instance has registered gives it no lease. After a
// restart of the fleet that is nearly every instance.
bool duty_sync::early_read_due() const {
  const auto& leases = state_.leader_leases;
  return leases.confirmed() && peers_.is_domain_reader() &&
         leases.age(state_.loop.now()) >= min_early_read_age &&
         peers_.new_process_lacks_lease();
}

void duty_sync::update_leader_difference() {
  if (!peers_.leader_records_differ()) {
    leaders_differ_since_.reset();
  } else if (!leaders_differ_since_) {
    leaders_differ_since_ = state_.loop.now();
  }
}

void duty_sync::start_read() {
  duties_.clear();
  base_.reset();
  sent_at_.reset();
  read_page({});
}

void duty_sync::read_page(const std::string& after) {
  reading_ = true;
  // No backoff for the domain reader: nobody sends statements to leaders until
  // the leases are confirmed again.
  bool is_domain_reader = peers_.is_domain_reader();
  auto failures =
      is_domain_reader ? 0U : std::min(store_.consecutive_failures(), 2U);
  next_read_ = state_.loop.now() + retry_interval * (1 + failures);
  store_.call(store_api::list_duties(after, state_.store.current()),
              call_timeout,
              [this](http_result&& result) { handle_page(std::move(result)); });
}

// Each page is at least as new as the moment when the first page's read was
// sent.
void duty_sync::handle_page(http_result&& result) {
  reading_ = false;
  bool succeeded = result.answered && result.status == 200;
  store_.record_call(succeeded, "duties");
  if (!succeeded) return;
  auto page = store_api::parse_duties(result.body);
  if (!page) return state_.unreadable.note("list", "duties");
  state_.unreadable.note_all("duty", page->skipped);
  if (!sent_at_) sent_at_ = result.sent_at;
  for (auto& [group, duty] : page->duties) duties_[group] = std::move(duty);
  if (page->base) {
    base_.emplace();
    for (auto& [group, duty] : *page->base) (*base_)[group] = std::move(duty);
  }
  settled_ = settled_ || page->settled;
  if (!page->continue_after.empty()) return read_page(page->continue_after);
  apply_duties();
}

void duty_sync::apply_duties() {
  instant now = state_.loop.now();
  if (!base_) {
    if (!recovery_.missing_since()) {
      // Peers answer the report with what they know.
      recovery_.note_base_missing(now);
      peers_.report_now();
    }
    // Without records this instance is the last one to write the base, and
    // learns of it by reports.
    if (state_.leader_leases.generation() == 0)
      next_read_ = now + member_base_timeout;
    return write_base_if_due();
  }
  recovery_.reset();
  inherited_ = std::move(*base_);
  auto& leases = state_.leader_leases;
  auto generation = state_.store.current();
  if (!leases.follows(generation)) {
    leases.begin_generation(generation);
    state_.log.write(journal_kind::belief, "leaders_inherited",
                     {{"generation", generation},
                      {"groups", std::uint64_t{inherited_.size()}}});
  }
  bool lease_was_held = leases.valid(now);
  leases.apply_records(now, *sent_at_, merged_records());
  if (settled_) {
    state_.store.mark_settled(now);
    store_.handle_settled();
  }
  bool peers_wait = !lease_was_held || peers_.new_process_lacks_lease();
  if (peers_wait && peers_.is_domain_reader()) peers_.report_now();
}

// A group's own object is newer than its entry in the base.
std::vector<leader_record> duty_sync::merged_records() const {
  std::vector<leader_record> out;
  auto generation = state_.store.current();
  for (const auto& [group, duty] : duties_) {
    out.push_back(store_api::to_leader_record(group, duty, generation));
  }
  for (const auto& [group, duty] : inherited_) {
    if (duties_.contains(group)) continue;
    out.push_back(store_api::to_leader_record(group, duty, generation));
  }
  return out;
}

std::size_t duty_sync::own_turn() const {
  return peers_.own_turn("store generation", peers_.leader_replacers());
}

store_recovery::situation duty_sync::recovery_situation(
    std::span<const store_recovery::peer_knowledge> peers) const {
  const auto& leases = state_.leader_leases;
  return {state_.store.age(state_.loop.now()),
          {leases.generation(), leases.digest()},
          peers,
          own_turn()};
}

void duty_sync::write_base_if_due() {
  // A peer's report may have brought the base.
  if (state_.leader_leases.follows(state_.store.current())) recovery_.reset();
  instant now = state_.loop.now();
  bool may_write = peers_.may_replace_leaders() && !writing_base_;
  if (!recovery_.missing_since() || !may_write || now < next_base_write_)
    return;
  auto peers = peers_.leader_knowledge(*recovery_.missing_since());
  if (!recovery_.base_due(now, recovery_situation(peers))) return;
  writing_base_ = true;
  next_base_write_ = now + retry_interval;
  if (state_.leader_leases.generation() != 0) return write_base(known_duties());
  older_duties_.clear();
  read_older_generation(state_.store.current(), {});
}

std::vector<store_api::group_duty> duty_sync::known_duties() const {
  std::vector<store_api::group_duty> out;
  auto records =
      state_.leader_leases.recent(state_.loop.now(), duration::max());
  for (const auto& record : records) {
    const auto* group = state_.find_group(record.group);
    if (!group) continue;
    out.push_back({group->id(), duty_from_record(group->id(), record)});
  }
  return out;
}

// The record names databases by hash. One that is not known here any more can't
// be named, so the group has no leader then.
duty_read duty_sync::duty_from_record(const group_id& group,
                                      const leader_record& record) const {
  duty_read out;
  out.phase = leadership_phase::revoked;
  for (const auto* up : state_.find_group(group)->upstreams()) {
    auto hash = short_hash(up->entry.id.value);
    if (hash == record.pending_promotion) out.pending_promotion = up->entry.id;
    if (hash != record.leader) continue;
    out.leader = up->entry.id;
    out.phase = record.phase;
  }
  for (const auto& member : *peers_.members()) {
    if (short_hash(member.value) == record.holder) out.holder = member;
  }
  return out;
}

// The newest generation that has a base tells the last known leaders.
void duty_sync::read_older_generation(std::uint64_t generation,
                                      const std::string& after) {
  auto current = state_.store.current();
  bool exhausted =
      generation == 0 || current - generation >= max_older_generations;
  if (after.empty() && exhausted) return write_base({});
  auto older = after.empty() ? generation - 1 : generation;
  store_.call(store_api::list_duties(after, older), call_timeout,
              [this, older](http_result&& result) {
                handle_older_page(older, std::move(result));
              });
}

void duty_sync::handle_older_page(std::uint64_t generation,
                                  http_result&& result) {
  auto page = result.answered && result.status == 200
                  ? store_api::parse_duties(result.body)
                  : std::nullopt;
  if (!page) {
    writing_base_ = false;
    return;
  }
  // Objects of groups come after the base and replace its entries.
  bool found = page->base.has_value() || !older_duties_.empty();
  if (page->base) {
    for (auto& [group, duty] : *page->base) older_duties_.emplace(group, duty);
  }
  for (auto& [group, duty] : page->duties) older_duties_[group] = duty;
  if (!page->continue_after.empty())
    return read_older_generation(generation, page->continue_after);
  if (!found && older_duties_.empty())
    return read_older_generation(generation, {});
  std::vector<store_api::group_duty> duties;
  for (const auto& [group, duty] : older_duties_)
    duties.push_back({group, duty});
  write_base(duties);
}

void duty_sync::write_base(std::span<const store_api::group_duty> duties) {
  auto generation = state_.store.current();
  bool settled = state_.store.settled(state_.loop.now());
  state_.log.write(journal_kind::belief, "store_base_written",
                   {{"generation", generation},
                    {"groups", std::uint64_t{duties.size()}},
                    {"known_generation", state_.leader_leases.generation()}});
  store_.call(store_api::create_base(duties, settled, generation), call_timeout,
              [this](http_result&&) {
                writing_base_ = false;
                next_read_ = state_.loop.now();
                if (!reading_) start_read();
              });
}

void duty_sync::note_settled_if_due() {
  instant now = state_.loop.now();
  bool noted = settled_ || now < next_settled_note_;
  bool follows = state_.leader_leases.follows(state_.store.current());
  if (noted || !follows || !peers_.is_domain_reader()) return;
  if (!peers_.may_replace_leaders()) return;
  if (!recovery_.settled_note_due(state_.store.age(now), own_turn())) return;
  next_settled_note_ = now + call_timeout;
  store_.call(store_api::create_settled_note(state_.store.current()),
              call_timeout, [](http_result&&) {});
}

}  // namespace toucanmux
