#include <algorithm>

#include "proxy/journal.h"
#include "proxy/upstream-group.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A suspended database is tried again after so long, doubled each time.
constexpr duration first_retry = milliseconds(150);
constexpr duration longest_retry = milliseconds(1000);
// An answer that takes this many times the usual is not coming soon.
constexpr int patience_factor = 6;
constexpr duration least_patience = milliseconds(250);
constexpr duration most_patience = milliseconds(1000);
// A connection that nobody uses any more and whose answer is so late is lost.
constexpr duration lost_answer = seconds(3);
constexpr duration probe_after = milliseconds(400);
constexpr duration sample_age = milliseconds(600);
constexpr duration samples_wanted_for = seconds(3);
// Samples that others ask for are kept fresher: they grow older on the way.
constexpr duration shared_sample_age = milliseconds(300);
// Samples come with the reports of another instance; one of these was lost.
constexpr duration late_sample_age = milliseconds(1000);

}  // namespace

void upstream_group::suspend(upstream& what) {
  ++what.failures;
  auto wait = first_retry * (1U << std::min(what.failures - 1, 3U));
  what.next_probe = loop_.now() + std::min<duration>(wait, longest_retry);
  if (last_leader() == what.entry.id) watch_.leader_failed(loop_.now());
  if (what.suspended) return;
  what.suspended = true;
  log_.write(journal_kind::dependency, "upstream_lost",
             {{"group", id_.value}, {"upstream", what.entry.id.value}});
}

duration upstream_group::patience(std::size_t index) const {
  duration usual = upstreams_[index]->response_time * patience_factor;
  return std::clamp<duration>(usual, least_patience, most_patience);
}

// A database is silent if nothing has come from it on any connection since the
// oldest statement that waits was sent.
void upstream_group::find_silent() {
  instant now = loop_.now();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    upstream& up = *upstreams_[i];
    auto links = up.links;
    std::optional<instant> oldest;
    for (const auto& link : links) {
      auto since = link->waits_since();
      if (!since) continue;
      if (!oldest || *since < *oldest) oldest = since;
      if (!link->user() && now - *since > lost_answer) link->abort();
    }
    if (!oldest || now - *oldest < patience(i)) continue;
    if (up.answered && *up.answered >= *oldest) continue;
    if (!up.suspended) suspend(up);
    for (const auto& link : links) {
      bool waits = link->waits_since() && link->user();
      if (waits) link->user()->on_link_silent(*link);
    }
  }
}

void upstream_group::probe_suspended(std::size_t index) {
  upstream& up = *upstreams_[index];
  if (!up.suspended || is_gone(up) || loop_.now() < up.next_probe) return;
  if (upstream_link* idle = exchangeable(up)) {
    up.next_probe = loop_.now() + longest_retry;
    ++up.in_flight;
    idle->send_probe();
    return;
  }
  open_probe(index);
}

// Any team will do: the connection shows whether the database is there.
bool upstream_group::open_probe(std::size_t index) {
  const upstream& up = *upstreams_[index];
  bool trying =
      std::any_of(up.links.begin(), up.links.end(), [](const auto& link) {
        return link->where() == upstream_link::state::connecting;
      });
  if (trying) return false;
  for (const auto& other : upstreams_) {
    if (!other->last_team.empty()) return open_link(index, other->last_team);
  }
  return !probe_team_.empty() && open_link(index, probe_team_);
}

bool upstream_group::samples_are_wanted(duration older_than) const {
  instant now = loop_.now();
  return now - samples_wanted_ < samples_wanted_for &&
         now - samples_.newest_time() > older_than;
}

bool upstream_group::needs_samples() const {
  return probing_ == probing::none && last_leader() &&
         samples_are_wanted(late_sample_age);
}

bool upstream_group::borrows() const {
  auto index = believed_index();
  return index && upstreams_[*index]->allowed.borrows;
}

void upstream_group::probe_leader() {
  instant now = loop_.now();
  auto index = believed_index();
  if (!index) return;
  upstream& up = *upstreams_[*index];
  if (up.suspended || probing_ == probing::none) return;
  // One that was named is asked until it leads, sooner than discovery tells.
  bool awaited = record() && leader_index() != index;
  bool quiet = awaited || !up.answered || now - *up.answered > probe_after;
  auto age = probing_ == probing::shared ? shared_sample_age : sample_age;
  if (!quiet && !samples_are_wanted(age)) return;
  if (upstream_link* idle = exchangeable(up)) {
    ++up.in_flight;
    idle->send_probe();
  } else if (up.links.empty()) {
    open_probe(*index);
  }
}

// Gives back what is beyond the share and what has been idle too long.
void upstream_group::trim() {
  auto leader = believed_index();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    trim_one(*upstreams_[i], leader == i);
  }
}

void upstream_group::trim_one(upstream& on, bool leads) {
  instant now = loop_.now();
  auto limit = on.rest.value(on.allowed.borrows);
  // The next probe of the leader would only open one again.
  std::size_t kept = leads && probing_ != probing::none ? 1 : 0;
  bool leaves = !usable(on) && (on.removed || on.draining);
  auto links = on.links;
  std::size_t held = links.size();
  for (const auto& link : links) {
    if (!link->idle()) continue;
    bool surplus = held > on.allowed.most;
    bool unused = held > kept && now - link->rested_since() > limit;
    if (!leaves && !surplus && !unused) continue;
    link->retire(retire_limit);
    --held;
  }
}

// Ends what runs on a database that must get nothing any more.
void upstream_group::drop_gone() {
  for (auto& up : upstreams_) {
    bool over =
        up->removed && loop_.now() - *up->removed > drain_bound_ + removed_use;
    if (!over) continue;
    auto links = up->links;
    for (const auto& link : links) link->abort();
  }
}

}  // namespace toucanmux
