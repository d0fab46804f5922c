#include <algorithm>

#include "proxy/connections/connection-sharing.h"
#include "proxy/upstream-group.h"
#include "toucanmux/proxy/admission/leader-change-estimate.h"

namespace toucanmux {

namespace {

// Weight of one connection in the moving average of opening times.
constexpr double open_weight = 0.2;

}  // namespace

void upstream_group::record_opening(const upstream_link& link) {
  upstream& up = *upstreams_[link.upstream()];
  auto open_time = link.opened_at() - link.created_at();
  up.open_time += std::chrono::duration_cast<duration>(
      (open_time - up.open_time) * open_weight);
}

// A more urgent statement of another team can use a connection only by taking
// its place, which it needs where no further connection may be opened.
void upstream_group::withhold_claimed(const link_request& request,
                                      upstream_candidate& candidate) const {
  const upstream& up = *upstreams_[candidate.index];
  auto claims =
      queue_.claims_before(request, candidate.index, candidate.leader);
  bool full = up.links.size() >= up.allowance.limit;
  if (claims.place) candidate.can_open = false;
  if (claims.link || (claims.place && full)) candidate.warm = false;
}

// Where a connection of the team is being opened, the statement does not wait
// for it while another database has a free one.
std::optional<std::size_t> upstream_group::choose_free(
    std::span<upstream_candidate> candidates,
    const link_request& request) const {
  auto chosen = choose(candidates, request);
  if (!chosen || candidates[*chosen].warm) return chosen;
  if (!is_opening(*chosen, request.team)) return chosen;
  for (auto& each : candidates) each.can_open = false;
  return choose(candidates, request);
}

bool upstream_group::may_run(std::size_t index,
                             const link_request& request) const {
  const auto& requirements = request.requirements;
  if (request.only_upstream && *request.only_upstream != index) return false;
  if (requirements.leader_only && leader_index() != index) return false;
  if (requirements.excluded >> (index % 64) & 1U) return false;
  return may_use(*upstreams_[index], requirements);
}

bool upstream_group::has_link_of(const link_request& request) const {
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (!may_run(i, request)) continue;
    const auto& links = upstreams_[i]->links;
    bool found =
        std::any_of(links.begin(), links.end(), [&](const link_ptr& link) {
          return link->current_state() == upstream_link::state::open &&
                 link->team() == request.team;
        });
    if (found) return true;
  }
  return false;
}

// More statements than slots wait in the database instead of here. The response
// time over a link to another instance includes the wait there.
serving_state upstream_group::serving_state_at(
    std::size_t index, const link_request& request) const {
  const upstream& database = *upstreams_[index];
  serving_state out;
  out.response_time = database.response_time;
  if (uses_relay(index, request)) {
    auto capacity = sharing_->capacity(*this, index, request);
    out.lanes = static_cast<unsigned>(capacity.links);
    out.running = static_cast<unsigned>(capacity.in_use);
    return out;
  }
  std::size_t lanes = database.links.size();
  bool may_open = loop_.now() >= database.full_until;
  if (may_open) lanes = std::max<std::size_t>(lanes, database.allowance.limit);
  if (database.entry.slots > 0)
    lanes = std::min<std::size_t>(lanes, database.entry.slots);
  out.lanes = static_cast<unsigned>(std::max<std::size_t>(lanes, 1));
  out.running = database.in_flight;
  out.open_time = database.open_time;
  return out;
}

// Adds the request's expected time to the work of the databases that may run
// it, in proportion to their lanes.
void upstream_group::add_work(const link_request& request,
                              std::vector<duration>& work) const {
  std::vector<unsigned> lanes(upstreams_.size());
  unsigned sum = 0;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (may_run(i, request))
      sum += lanes[i] = serving_state_at(i, request).lanes;
  }
  work.resize(upstreams_.size());
  for (std::size_t i = 0; sum > 0 && i < upstreams_.size(); ++i)
    work[i] += request.cost * lanes[i] / sum;
}

duration upstream_group::work_for(const link_request& request,
                                  std::span<const duration> work) const {
  duration out{0};
  for (std::size_t i = 0; i < work.size(); ++i) {
    if (may_run(i, request)) out += work[i];
  }
  return out;
}

serving_state upstream_group::serving_state_for(
    const link_request& request) const {
  serving_state out;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (!may_run(i, request)) continue;
    auto part = serving_state_at(i, request);
    auto weight = static_cast<duration::rep>(part.lanes);
    out.lanes += part.lanes;
    out.running += part.running;
    out.response_time += part.response_time * weight;
    out.open_time += part.open_time * weight;
  }
  if (out.lanes > 0) {
    out.response_time /= static_cast<duration::rep>(out.lanes);
    out.open_time /= static_cast<duration::rep>(out.lanes);
  }
  if (has_link_of(request)) out.open_time = duration{0};
  return out;
}

duration upstream_group::expected_cost(const link_request& request) const {
  auto state = serving_state_for(request);
  return state.response_time + state.open_time;
}

finish_estimate upstream_group::estimate_finish(
    const link_request& request) const {
  auto state = serving_state_for(request);
  std::vector<duration> work;
  for (const auto* ahead : queue_.served_before(request))
    add_work(*ahead, work);
  state.work_ahead = work_for(request, work);
  return finish_estimate(state);
}

duration upstream_group::schedule_retry(const link_request& request,
                                        duration expected) {
  auto state = serving_state_for(request);
  auto lanes = static_cast<duration::rep>(std::max(state.lanes, 1U));
  auto spacing = (state.response_time + state.open_time) / lanes;
  return retries_.next(loop_.now(), expected, request.priority, spacing,
                       request.deadline - request.waiting_since);
}

bool upstream_group::refusals_increase() {
  return std::any_of(upstreams_.begin(), upstreams_.end(), [&](auto& up) {
    return up->refusals.increasing(loop_.now());
  });
}

duration upstream_group::leader_change_remaining() const {
  instant now = loop_.now();
  leader_change_state state;
  state.lease_valid = leases_.valid(now);
  if (const leader_record* stored = record()) {
    state.phase = stored->phase;
    state.in_phase = now - leases_.known_since(hash_);
  }
  if (leaderless_since_) state.leaderless = now - *leaderless_since_;
  state.suspected = watch_.is_suspected(now);
  state.promotion_time = promotion_time_->value();
  return toucanmux::leader_change_remaining(state);
}

void upstream_group::schedule_check() {
  if (check_scheduled_ || queue_.empty()) return;
  check_scheduled_ = true;
  loop_.defer([this] {
    check_scheduled_ = false;
    check_waiting();
  });
}

// Refuses the statements that can't be served any more before their deadlines.
// The cost of each one that stays counts for those behind it.
void upstream_group::check_waiting() {
  std::vector<duration> work;
  queue_.for_each([&](link_request& request) {
    if (!may_serve(request.requirements)) {
      return request.on_refused(refusal_reason::no_database);
    }
    auto state = serving_state_for(request);
    state.work_ahead = work_for(request, work);
    finish_estimate estimate(state);
    if (!estimate.meets(loop_.now(), request.deadline)) {
      return request.on_refused(refusal_reason::queue_too_long);
    }
    add_work(request, work);
  });
}

}  // namespace toucanmux
