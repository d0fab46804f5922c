#include "proxy/connections/connection-sharing.h"

#include <algorithm>

#include "proxy/journal.h"
#include "proxy/upstream-group.h"

namespace toucanmux {

namespace {

// Time for an owner to close a link on request.
constexpr duration retire_timeout = std::chrono::milliseconds(300);
// A link without a user whose answer is this late is aborted, which ends the
// use of the connection at the owner.
constexpr duration abandoned_answer_timeout = std::chrono::seconds(3);

}  // namespace

connection_sharing::connection_sharing(event_loop& loop, journal& log,
                                       const member_id& self,
                                       const domain_id& domain,
                                       const settings& values)
    : loop_(loop), log_(log), self_(self), domain_(domain), settings_(values) {}

connection_sharing::~connection_sharing() = default;

bool connection_sharing::set_instances(
    std::vector<sharing_instance> instances) {
  if (instances == instances_) return false;
  instances_ = std::move(instances);
  owners_.clear();
  return true;
}

const connection_owners& connection_sharing::owners_of(
    const upstream_entry& entry, unsigned max_connections) {
  auto [found, inserted] = owners_.try_emplace(entry.id);
  known_owners& known = found->second;
  bool current = !inserted && known.domain == entry.domain &&
                 known.max_connections == max_connections;
  if (current) return known.owners;
  std::vector<owner_candidate> candidates;
  for (const auto& instance : instances_) {
    if (instance.relay_address.port != 0)
      candidates.push_back(instance.candidate);
  }
  known = {
      entry.domain, max_connections,
      connection_owners(entry.id, entry.domain, max_connections, candidates)};
  return known.owners;
}

const sharing_instance* connection_sharing::find(const member_id& id) const {
  for (const auto& instance : instances_) {
    if (instance.candidate.id == id) return &instance;
  }
  return nullptr;
}

const sharing_instance* connection_sharing::relay_for(
    const upstream_group& group, std::size_t index, const team_id& team) {
  const auto& owners =
      owners_of(group.at(index).entry, group.max_connections());
  const member_id* owner = owners.owner_of(team);
  if (!owner || *owner == self_) return nullptr;
  const auto& database = group.at(index).entry.id;
  if (avoided_.avoided(loop_.now(), *owner, database)) return nullptr;
  return find(*owner);
}

bool connection_sharing::uses_relay(const upstream_group& group,
                                    std::size_t index, const team_id& team) {
  return relay_for(group, index, team) != nullptr;
}

bool connection_sharing::matches(const owner_link& candidate,
                                 const upstream_group& group, std::size_t index,
                                 const link_request& request) const {
  return candidate.group == &group && candidate.link->upstream() == index &&
         candidate.priority == request.priority &&
         candidate.database == group.at(index).entry.id &&
         candidate.link->team() == request.team;
}

connection_sharing::owner_link* connection_sharing::idle_link(
    const upstream_group& group, std::size_t index, const link_request& request,
    const sharing_instance& owner) {
  owner_link* best = nullptr;
  for (auto& candidate : links_) {
    bool usable = candidate.link->idle() && !candidate.in_use &&
                  candidate.owner == owner.candidate.id;
    if (!usable || !matches(candidate, group, index, request)) continue;
    bool fits = request.values &&
                candidate.link->values().values == request.values->values;
    if (!best || fits) best = &candidate;
    if (fits) break;
  }
  return best;
}

std::optional<relay_offer> connection_sharing::offer(
    const upstream_group& group, std::size_t index,
    const link_request& request) {
  const auto* owner = relay_for(group, index, request.team);
  if (!owner) return {};
  relay_offer out;
  out.has_idle_link = idle_link(group, index, request, *owner) != nullptr;
  out.can_open = out.has_idle_link || can_open(group, index, request);
  out.in_flight = in_flight(group, index);
  return out;
}

relay_capacity connection_sharing::capacity(const upstream_group& group,
                                            std::size_t index,
                                            const link_request& request) const {
  auto in_use =
      std::count_if(links_.begin(), links_.end(), [&](const owner_link& one) {
        return one.in_use && matches(one, group, index, request);
      });
  return {settings_.max_parallel_links, static_cast<std::size_t>(in_use)};
}

bool connection_sharing::can_open(const upstream_group& group,
                                  std::size_t index,
                                  const link_request& request) const {
  auto known = capacity(group, index, request);
  if (known.in_use >= known.links) return false;
  if (links_.size() < settings_.max_links) return true;
  return std::any_of(links_.begin(), links_.end(),
                     [](const owner_link& one) { return one.link->idle(); });
}

upstream_link* connection_sharing::acquire(upstream_group& group,
                                           std::size_t index,
                                           const link_request& request) {
  const auto* owner = relay_for(group, index, request.team);
  if (!owner) return nullptr;
  if (owner_link* idle = idle_link(group, index, request, *owner)) {
    idle->in_use = true;
    return idle->link.get();
  }
  bool opening =
      std::any_of(links_.begin(), links_.end(), [&](const owner_link& one) {
        return one.link->current_state() == upstream_link::state::connecting &&
               matches(one, group, index, request);
      });
  if (opening) return nullptr;
  if (links_.size() >= settings_.max_links && !retire_oldest_idle())
    return nullptr;
  open(group, index, request, *owner);
  return nullptr;
}

// A retired link no longer counts, although it is still being closed.
bool connection_sharing::retire_oldest_idle() {
  owner_link* oldest = nullptr;
  for (auto& one : links_) {
    if (!one.link->idle() || one.in_use) continue;
    if (!oldest || one.link->idle_since() < oldest->link->idle_since())
      oldest = &one;
  }
  if (!oldest) return false;
  link_ptr retired = oldest->link;
  retired->retire(retire_timeout);
  return true;
}

void connection_sharing::retire_idle_links(const member_id& owner) {
  auto links = links_;
  for (const auto& one : links) {
    if (one.owner == owner && one.link->idle())
      one.link->retire(retire_timeout);
  }
}

void connection_sharing::open(upstream_group& group, std::size_t index,
                              const link_request& request,
                              const sharing_instance& owner) {
  const auto& entry = group.at(index).entry;
  const auto& owner_id = owner.candidate.id;
  auto timeout = owner.candidate.domain == domain_
                     ? settings_.near_connect_timeout
                     : settings_.far_connect_timeout;
  link_ptr link(new upstream_link(loop_, *this, index, request.team));
  bool started = link->connect_relay(entry, owner.relay_address,
                                     request.priority, timeout);
  if (!started) {
    avoid(owner_id, {}, "no connection can be started");
    return group.schedule_serve();
  }
  links_.push_back(
      {std::move(link), &group, entry.id, owner_id, request.priority, false});
}

unsigned connection_sharing::in_flight(const upstream_group& group,
                                       std::size_t index) const {
  return static_cast<unsigned>(
      std::count_if(links_.begin(), links_.end(), [&](const owner_link& one) {
        return one.in_use && one.group == &group &&
               one.link->upstream() == index;
      }));
}

void connection_sharing::avoid(const member_id& owner,
                               const database_id& database,
                               std::string_view reason) {
  if (!avoided_.record_failure(loop_.now(), owner, database)) return;
  ++counters_.failures;
  log_.write(journal_kind::dependency, "owner_avoided",
             {{"owner", owner.value},
              {"upstream", database.value},
              {"reason", reason}});
}

void connection_sharing::tick() {
  auto checked = links_;
  for (const auto& one : checked) check_silence(one);
  for (const auto& one : checked) close_if_unused(one);
}

// An owner is silent if an answer is late and nothing has arrived from it since
// the statement was sent. Either the owner or its database does not answer, so
// the owner is avoided for this database only; new links show whether it is
// the owner. A direct connection shows whether the database answers.
void connection_sharing::check_silence(const owner_link& checked) {
  instant now = loop_.now();
  auto sent_at = checked.link->oldest_unanswered_at();
  if (!sent_at || checked.link->current_state() == upstream_link::state::ended)
    return;
  if (!checked.link->user() && now - *sent_at > abandoned_answer_timeout)
    return checked.link->abort();
  auto timeout = checked.group->answer_timeout(checked.link->upstream());
  auto heard = last_answers_.find(checked.owner);
  bool heard_since = heard != last_answers_.end() && heard->second >= *sent_at;
  if (now - *sent_at < timeout || heard_since) return;
  avoid(checked.owner, checked.database, "no answer in time");
  retire_idle_links(checked.owner);
  if (auto* user = checked.link->user()) user->on_link_silent(*checked.link);
}

void connection_sharing::close_if_unused(const owner_link& checked) {
  if (!checked.link->idle()) return;
  const auto& entry = checked.group->at(checked.link->upstream()).entry;
  bool idle_too_long =
      loop_.now() - checked.link->idle_since() > settings_.link_idle_timeout;
  const member_id* owner = nullptr;
  if (entry.id == checked.database) {
    owner = owners_of(entry, checked.group->max_connections())
                .owner_of(checked.link->team());
  }
  bool is_current = owner && *owner == checked.owner;
  if (idle_too_long || !is_current) checked.link->retire(retire_timeout);
}

void connection_sharing::stop() {
  set_instances({});
  auto links = links_;
  for (const auto& one : links) {
    if (one.link->idle()) one.link->retire(retire_timeout);
  }
}

connection_sharing::owner_link* connection_sharing::find(
    const upstream_link& link) {
  auto found = std::find_if(
      links_.begin(), links_.end(),
      [&](const owner_link& one) { return one.link.get() == &link; });
  return found != links_.end() ? &*found : nullptr;
}

void connection_sharing::on_link_ready(upstream_link& link) {
  if (auto* one = find(link)) one->group->schedule_serve();
}

void connection_sharing::on_link_idle(upstream_link& link) {
  auto* one = find(link);
  if (!one) return;
  one->in_use = false;
  one->group->schedule_serve();
}

// An owner that closes an unused link may do so to make room. All other ends
// that neither this instance caused nor the owner announced, since it lost its
// connection to the database, mean that the owner can't serve.
void connection_sharing::on_link_ended(upstream_link& link) {
  auto* one = find(link);
  if (!one) return;
  owner_link ended = *one;
  links_.erase(links_.begin() + (one - links_.data()));
  // One of the link's own functions may be running.
  loop_.defer([kept = ended.link] {});
  bool was_opened = link.opened_at() != instant{};
  if (link.refusal()) ++counters_.refusals;
  bool unexpected = ended.in_use && !link.aborted() && !link.ended_with_error();
  bool lacks_database = link.refusal() == wire::failure_kind::wrong_upstream;
  if (!was_opened) {
    avoid(ended.owner, lacks_database ? ended.database : database_id(),
          link.refusal() ? "refused" : "no connection");
  } else if (unexpected) {
    avoid(ended.owner, {}, "the connection was lost");
  }
  ended.group->schedule_serve();
}

void connection_sharing::on_link_answer(upstream_link& link,
                                        const link_answer& answer) {
  auto* one = find(link);
  if (!one) return;
  instant now = loop_.now();
  last_answers_[one->owner] = now;
  avoided_.record_success(now, one->owner, one->database);
  if (answer.purpose == link_purpose::statement) ++counters_.statements;
  // The owner leaves, is slow, or does not reach the database.
  if (!answer.ok && answer.error == wire::failure_kind::wrong_upstream) {
    ++counters_.refusals;
    avoid(one->owner, one->database, "refused");
  }
  one->group->record_relayed_answer(link, answer);
}

}  // namespace toucanmux
