#include <algorithm>

#include "proxy/connections/connection-sharing.h"
#include "proxy/journal.h"
#include "proxy/upstream-group.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Backoff between probes of a suspended database; doubled each time.
constexpr duration min_probe_backoff = milliseconds(150);
constexpr duration max_probe_backoff = milliseconds(1000);
// An answer is late if it exceeds the usual response time by this multiple of
// the usual deviation, which is rare also where the work varies by a multiple.
constexpr int late_deviations = 8;
// TCP repeats a lost segment after 200 ms or more.
constexpr duration min_answer_timeout = milliseconds(250);
// A connection without a user whose answer is this late is aborted.
constexpr duration abandoned_answer_timeout = seconds(3);
// The leader is probed when it has not answered for this time.
constexpr duration probe_after = milliseconds(400);
// The leader is probed when reads need samples and the newest is this old.
constexpr duration max_sample_age = milliseconds(600);
// How long the leader is still probed after a read that needed samples.
constexpr duration samples_request_lifetime = seconds(3);
// Samples for peers are renewed sooner, since they age until they are reported.
constexpr duration max_shared_sample_age = milliseconds(300);
// At this age of the newest sample a report of the probing peer was lost.
constexpr duration late_sample_age = milliseconds(1000);

}  // namespace

void upstream_group::suspend(upstream& database) {
  ++database.consecutive_failures;
  auto backoff = min_probe_backoff *
                 (1U << std::min(database.consecutive_failures - 1, 3U));
  database.next_probe_at =
      loop_.now() + std::min<duration>(backoff, max_probe_backoff);
  if (expected_leader() == database.entry.id) watch_.leader_failed(loop_.now());
  if (database.suspended) return;
  database.suspended = true;
  schedule_check();
  log_.write(journal_kind::dependency, "upstream_lost",
             {{"group", id_.value}, {"upstream", database.entry.id.value}});
}

duration upstream_group::answer_timeout(std::size_t index) const {
  const upstream& up = *upstreams_[index];
  return std::max<duration>(
      up.response_time + up.response_deviation * late_deviations,
      min_answer_timeout);
}

// A database is silent if the oldest statement without an answer is late and
// the database has sent nothing on any connection since that statement.
void upstream_group::suspend_silent() {
  instant now = loop_.now();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    upstream& up = *upstreams_[i];
    auto links = up.links;
    std::optional<instant> oldest_sent_at;
    for (const auto& link : links) {
      auto sent_at = link->oldest_unanswered_at();
      if (!sent_at) continue;
      if (!oldest_sent_at || *sent_at < *oldest_sent_at)
        oldest_sent_at = sent_at;
      if (!link->user() && now - *sent_at > abandoned_answer_timeout)
        link->abort();
    }
    if (!oldest_sent_at || now - *oldest_sent_at < answer_timeout(i)) continue;
    if (up.last_answer_at && *up.last_answer_at >= *oldest_sent_at) continue;
    if (!up.suspended) suspend(up);
    for (const auto& link : links) {
      bool awaits_answer = link->oldest_unanswered_at() && link->user();
      if (awaits_answer) link->user()->on_link_silent(*link);
    }
  }
}

void upstream_group::probe_suspended(std::size_t index) {
  upstream& up = *upstreams_[index];
  if (!up.suspended || removal_is_final(up) || loop_.now() < up.next_probe_at)
    return;
  if (upstream_link* idle = oldest_idle_link(up)) {
    up.next_probe_at = loop_.now() + max_probe_backoff;
    ++up.in_flight;
    idle->send_probe();
    return;
  }
  open_probe(index);
}

// The probe may use any team's connection: it only shows whether the database
// is reachable.
bool upstream_group::open_probe(std::size_t index) {
  const upstream& up = *upstreams_[index];
  bool connecting =
      std::any_of(up.links.begin(), up.links.end(), [](const auto& link) {
        return link->current_state() == upstream_link::state::connecting;
      });
  if (connecting) return false;
  for (const auto& database : upstreams_) {
    if (!database->last_team.empty())
      return open_link(index, database->last_team);
  }
  return !probe_team_.empty() && open_link(index, probe_team_);
}

bool upstream_group::need_newer_samples(duration older_than) const {
  instant now = loop_.now();
  return now - samples_requested_at_ < samples_request_lifetime &&
         now - samples_.newest_sent_at() > older_than;
}

bool upstream_group::needs_samples() const {
  return probe_mode_ == probe_mode::none && expected_leader() &&
         need_newer_samples(late_sample_age);
}

bool upstream_group::borrows_leader_connections() const {
  auto index = expected_leader_index();
  return index && (sharing_ || upstreams_[*index]->allowance.borrows);
}

void upstream_group::probe_leader() {
  instant now = loop_.now();
  auto index = expected_leader_index();
  if (!index) return;
  upstream& up = *upstreams_[*index];
  if (up.suspended || probe_mode_ == probe_mode::none) return;
  // A newly named leader is probed until it leads: the probe's answer comes
  // sooner than the discovery entry.
  bool unconfirmed = record() && leader_index() != index;
  bool probe_due = unconfirmed || !up.last_answer_at ||
                   now - *up.last_answer_at > probe_after;
  auto max_age = probe_mode_ == probe_mode::shared ? max_shared_sample_age
                                                   : max_sample_age;
  if (!probe_due && !need_newer_samples(max_age)) return;
  if (upstream_link* idle = oldest_idle_link(up)) {
    ++up.in_flight;
    idle->send_probe();
  } else if (up.links.empty()) {
    open_probe(*index);
  }
}

// Closes connections beyond the quota and those that were idle too long.
void upstream_group::close_surplus_links() {
  auto leader = expected_leader_index();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    close_surplus_links_to(*upstreams_[i], leader == i);
  }
}

void upstream_group::close_surplus_links_to(upstream& database,
                                            bool is_leader) {
  instant now = loop_.now();
  const auto& idle_timeout = database.link_idle_timeout;
  auto max_idle = idle_timeout.value(database.allowance.borrows);
  bool is_owner =
      sharing_ && sharing_->owners_of(database.entry, policy_.max_connections)
                      .contains(self_);
  if (is_owner) max_idle = connection_sharing::owned_idle_timeout;
  // One link to the leader stays open for the next probe.
  std::size_t kept_links = is_leader && probe_mode_ != probe_mode::none ? 1 : 0;
  bool unused_database =
      !usable(database) && (database.removed_at || database.draining_since);
  auto links = database.links;
  auto open_links = static_cast<std::size_t>(
      std::count_if(links.begin(), links.end(), [](const auto& link) {
        return link->current_state() != upstream_link::state::retiring;
      }));
  for (const auto& link : links) {
    if (!link->idle()) continue;
    bool surplus = open_links > database.allowance.limit;
    bool borrowed = open_links > database.allowance.share;
    auto timeout = borrowed ? idle_timeout.value(true) : max_idle;
    bool idle_too_long =
        open_links > kept_links && now - link->idle_since() > timeout;
    if (!unused_database && !surplus && !idle_too_long) continue;
    link->retire(retire_timeout);
    --open_links;
  }
}

// Aborts the links to databases that were removed so long ago that statements
// must have ended there.
void upstream_group::abort_removed() {
  for (auto& up : upstreams_) {
    bool expired = up->removed_at && loop_.now() - *up->removed_at >
                                         drain_timeout_ + removed_use_period;
    if (!expired) continue;
    auto links = up->links;
    for (const auto& link : links) link->abort();
  }
}

}  // namespace toucanmux
