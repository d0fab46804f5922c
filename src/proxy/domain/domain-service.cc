#include "proxy/domain/domain-service.h"

#include <algorithm>

#include "toucanmux/hash.h"
#include "toucanmux/proxy/domain/drained-list-policy.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;

// As for the other calls to the store.
constexpr duration call_timeout = milliseconds(1200);
constexpr duration retry_interval = milliseconds(400);

}  // namespace

void domain_service::tick() {
  if (state_.domains.drained.followed()) follow_list();
  update_warm_ups();
}

void domain_service::follow_list() {
  note_changes();
  check_age();
  if (reading_ || state_.loop.now() < next_read_ || !read_due()) return;
  read_list({});
}

bool domain_service::read_due() const {
  instant now = state_.loop.now();
  // The first list has to be complete.
  if (!read_once_ && !state_.store.settled(now)) return false;
  const auto& list = state_.domains.drained.confirmation();
  drained_list_situation situation;
  situation.read_once = read_once_;
  situation.is_reader = peers_.is_domain_reader();
  if (list.confirmed()) situation.age = list.age(now);
  situation.reader_silence =
      now - std::max(read_at_, peers_.drained_domains_reported_at());
  return drained_list_due(situation, state_.settings.domain_drain_timeout);
}

void domain_service::read_list(const std::string& after) {
  reading_ = true;
  next_read_ =
      state_.loop.now() + retry_interval * (1 + std::min(failed_reads_, 2U));
  if (after.empty()) {
    listed_.clear();
    skipped_ = 0;
  }
  store_.call(store_api::list_drained_domains(after), call_timeout,
              [this, first_page = after.empty()](http_result&& result) {
                if (first_page) list_sent_at_ = result.sent_at;
                handle_list(std::move(result));
              });
}

void domain_service::handle_list(http_result&& result) {
  reading_ = false;
  auto page = store_api::parse_drained_domains(result);
  store_.record_call(page.has_value(), "drained_domains");
  failed_reads_ = page ? 0 : failed_reads_ + 1;
  if (!page) return;
  bool first_page = listed_.empty() && skipped_ == 0;
  // Later pages may show later changes, but not all of them.
  if (first_page) list_revision_ = page->revision;
  skipped_ += page->skipped_entries;
  listed_.insert(listed_.end(), page->domains.begin(), page->domains.end());
  if (!page->continue_after.empty()) return read_list(page->continue_after);
  note_skipped(skipped_);
  order_known_first();
  // Until the operators have written again what a restore undid, a list does
  // not end a drain.
  bool settled = state_.store.settled(list_sent_at_);
  using completeness = drained_domains::completeness;
  state_.domains.drained.apply_list(
      list_sent_at_, {result.generation, list_revision_}, listed_,
      settled ? completeness::complete : completeness::partial);
  read_once_ = read_once_ || settled;
  read_at_ = state_.loop.now();
  note_changes();
}

void domain_service::note_skipped(std::size_t count) {
  if (count == logged_skipped_) return;
  logged_skipped_ = count;
  state_.log.write(journal_kind::belief, "drained_domains_skipped",
                   {{"count", std::uint64_t{count}}});
}

// A report has room for a limited number of domains; names of no domain must
// not take it.
void domain_service::order_known_first() {
  if (listed_.size() <= drained_domains_report::max_domains) return;
  auto known = known_domains();
  std::stable_partition(
      listed_.begin(), listed_.end(), [&](const domain_id& each) {
        return std::find(known.begin(), known.end(), each) != known.end();
      });
  listed_.resize(drained_domains_report::max_domains);
}

std::vector<domain_id> domain_service::known_domains() const {
  std::vector<domain_id> out{state_.settings.domain};
  for (const auto& [id, group] : state_.groups) {
    for (const auto* up : group->upstreams()) out.push_back(up->entry.domain);
  }
  for (const auto& id : peers_.other_domains()) out.push_back(id);
  return out;
}

std::string domain_service::name_of(std::uint32_t hash) const {
  for (const auto& domain : listed_) {
    if (short_hash(domain.value) == hash) return domain.value;
  }
  for (const auto& domain : known_domains()) {
    if (short_hash(domain.value) == hash) return domain.value;
  }
  return '#' + std::to_string(hash);
}

void domain_service::note_changes() {
  auto current = state_.domains.drained.hashes();
  if (std::equal(current.begin(), current.end(), seen_.begin(), seen_.end()))
    return;
  for (auto hash : current) {
    if (!std::binary_search(seen_.begin(), seen_.end(), hash))
      log_change(hash, true);
  }
  for (auto hash : seen_) {
    if (!std::binary_search(current.begin(), current.end(), hash))
      log_change(hash, false);
  }
  seen_.assign(current.begin(), current.end());
  for (auto& [id, group] : state_.groups) group->apply_drain_change();
  peers_.expedite_reports();
}

void domain_service::log_change(std::uint32_t hash, bool drained) {
  const auto& list = state_.domains.drained.confirmation();
  auto age = list.confirmed() ? list.age(state_.loop.now()) : duration{0};
  state_.log.write(journal_kind::belief,
                   drained ? "domain_drain_begun" : "domain_drain_ended",
                   {{"failure_domain", name_of(hash)}, {"age_ms", age}});
}

// The last known list stays valid. An operator needs to know that a drain may
// not be in effect here.
void domain_service::check_age() {
  const auto& list = state_.domains.drained.confirmation();
  if (!list.confirmed()) return;
  auto age = list.age(state_.loop.now());
  bool too_old = age > state_.settings.isolated_drain_timeout;
  if (too_old == age_logged_) return;
  age_logged_ = too_old;
  state_.log.write(
      journal_kind::belief,
      too_old ? "drained_domains_outdated" : "drained_domains_current",
      {{"age_ms", age}});
}

// The whole fleet is only listed while a database is cold.
void domain_service::update_warm_ups() {
  fleet_known_ = fleet_known_ || store_.members_known();
  bool any_cold =
      std::any_of(state_.groups.begin(), state_.groups.end(),
                  [](const auto& item) { return item.second->warming_up(); });
  if (!any_cold) {
    state_.domains.known_members.clear();
    state_.domains.fleet_size = 0;
    return;
  }
  state_.domains.known_members = peers_.known_members();
  state_.domains.fleet_size = fleet_known_ ? peers_.fleet_size() : 0;
  for (auto& [id, group] : state_.groups) group->update_warm_up_shares();
}

void domain_service::update_metrics() {
  auto& metrics = state_.metrics;
  double left = 0;
  for (const auto& [id, group] : state_.groups) left += group->warm_up_left();
  metrics.set("drained_domains",
              static_cast<double>(state_.domains.drained.hashes().size()));
  metrics.set("residency_refusals",
              static_cast<double>(state_.residency_refusals));
  metrics.set("warm_up_left", left);
  const auto& list = state_.domains.drained.confirmation();
  if (!list.confirmed()) return;
  std::chrono::duration<double> age = list.age(state_.loop.now());
  metrics.set("drained_domains_age", age.count());
}

}  // namespace toucanmux
