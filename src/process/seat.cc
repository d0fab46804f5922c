#include "toucanmux/process/seat.h"

#include <algorithm>
#include <cmath>

namespace toucanmux {

namespace {

constexpr double rounding_tolerance = 1e-9;
// Below this part of its burst a bucket requests tokens from other domains.
constexpr double rebalance_below = 0.6;
// Smaller transfers are not worth a message.
constexpr double min_rebalanced_tokens = 0.25;
constexpr duration rebalance_interval = std::chrono::milliseconds(50);
constexpr duration reclaim_interval = std::chrono::milliseconds(250);

}  // namespace

seat::seat(const settings& values) : settings_(values) {}

std::vector<seat::action> seat::step(instant now, const event& input) {
  actions_.clear();
  std::visit([&](const auto& item) { on(now, item); }, input);
  return std::move(actions_);
}

void seat::on(instant now, const seat_configured& input) {
  std::unordered_set<team_id> configured;
  for (const auto& limit : input.teams) {
    configured.insert(limit.team);
    auto [it, added] =
        teams_.try_emplace(limit.team, team_account(now, settings_.timing));
    it->second.account.configure(now, limit.rate, limit.burst);
    it->second.burst = limit.burst;
  }
  std::erase_if(teams_, [&](const auto& item) {
    return !configured.contains(item.first);
  });
  std::erase_if(waiting_teams_,
                [&](const auto& id) { return !configured.contains(id); });
}

void seat::on(instant now, const seat_opened&) {
  open_ = true;
  for (auto& [id, team] : teams_) {
    team.account.reset(now);
    team.pending.clear();
    team.loans_requested = false;
    team.loans.clear();
  }
  waiting_teams_.clear();
}

void seat::on(instant, const seat_closed&) {
  open_ = false;
  waiting_teams_.clear();
}

void seat::on(instant, const lenders_known& input) { lenders_ = input.domains; }

seat::team_state* seat::find(const team_id& team) {
  if (!open_) return nullptr;
  auto it = teams_.find(team);
  return it == teams_.end() ? nullptr : &it->second;
}

void seat::on(instant now, const grant_request_received& input) {
  auto* team = find(input.request.team);
  if (!team) return;
  if (!team->account.record_request(now, input.from, input.incarnation,
                                    input.request))
    return;
  if (input.request.tokens <= 0) return answer_renewal(now, *team, input);
  team->pending.push_back(
      {input.from, input.request.sequence, input.request.tokens});
  serve_pending(now, input.request.team, *team);
}

void seat::answer_renewal(instant now, team_state& team,
                          const grant_request_received& input) {
  team_grant grant;
  grant.team = input.request.team;
  grant.sequence = input.request.sequence;
  grant.renewed = true;
  grant.allocation =
      team.account.renew_allocation(now, input.from, grant.tokens);
  actions_.emplace_back(send_grant{input.from, std::move(grant)});
}

double seat::missing_tokens(instant now, team_state& team) {
  double wanted = 0;
  for (const auto& request : team.pending) wanted += request.tokens;
  return wanted - team.account.tokens(now);
}

bool seat::awaits_loans(instant now, const team_state& team) const {
  return std::any_of(team.loans.begin(), team.loans.end(), [&](auto& loan) {
    return loan.awaited &&
           now - loan.requested_at < settings_.timing.loan_timeout;
  });
}

// Grants the requests that the bucket covers. For the remaining ones it
// requests loans once, and after the answers or `loan_timeout` grants the
// tokens that it has.
void seat::serve_pending(instant now, const team_id& id, team_state& team) {
  while (!team.pending.empty() && grant_first(now, id, team, false)) {
  }
  if (team.pending.empty()) {
    finish_pending(now, id, team);
    return;
  }
  waiting_teams_.insert(id);
  if (awaits_loans(now, team)) return;
  if (!team.loans_requested && !lenders_.empty()) {
    team.loans_requested = true;
    return request_loans(now, id, team, missing_tokens(now, team));
  }
  while (!team.pending.empty()) grant_first(now, id, team, true);
  finish_pending(now, id, team);
}

void seat::finish_pending(instant now, const team_id& id, team_state& team) {
  waiting_teams_.erase(id);
  team.loans_requested = false;
  rebalance(now, id, team);
}

// Grants the requested tokens, reduced by a whole number if the bucket has
// fewer.
bool seat::grant_first(instant now, const team_id& id, team_state& team,
                       bool allow_partial) {
  auto& request = team.pending.front();
  double spare = team.account.tokens(now) + rounding_tolerance;
  bool enough = spare >= request.tokens;
  if (!enough && !allow_partial) return false;
  team_grant grant;
  grant.team = id;
  grant.sequence = request.sequence;
  grant.tokens = request.tokens;
  if (!enough) {
    grant.tokens -= std::ceil(request.tokens - spare);
    double next = std::max(0.0, grant.tokens) + 1;
    grant.retry_after =
        team.account.time_until(now, std::min(next, request.tokens));
  }
  if (grant.tokens > 0) {
    auto until = now + settings_.timing.grant_hold_time();
    team.account.take(now, grant.tokens, until);
  } else {
    grant.tokens = 0;
  }
  actions_.emplace_back(send_grant{request.from, std::move(grant)});
  team.pending.pop_front();
  return true;
}

void seat::request_loans(instant now, const team_id& id, team_state& team,
                         double tokens) {
  std::erase_if(team.loans, [&](const auto& loan) {
    return now - loan.requested_at >= settings_.timing.loan_lifetime();
  });
  team.last_loans_at = now;
  double level = std::max(0.0, team.account.tokens(now));
  for (const auto& lender : lenders_) {
    team.loans.push_back({lender, ++last_loan_id_, now, tokens > 0});
    actions_.emplace_back(request_loan{
        lender, {id, last_loan_id_, std::max(0.0, tokens), level}});
  }
}

// A full bucket discards its refill while a bucket in another domain runs
// empty. A low bucket therefore asks for tokens before a request must wait.
void seat::rebalance(instant now, const team_id& id, team_state& team) {
  if (lenders_.empty() || now - team.last_loans_at < rebalance_interval) return;
  if (team.account.tokens(now) >= rebalance_below * team.burst) return;
  request_loans(now, id, team, 0);
}

void seat::on(instant now, const loan_request_received& input) {
  team_loan loan{input.request.team, input.request.loan_id, 0};
  if (auto* team = find(input.request.team)) {
    double spare = team->account.tokens(now);
    // If both sides lack tokens, only one of them lends, so that one gets a
    // whole token.
    if (!team->pending.empty() && settings_.domain < input.from) spare = 0;
    double surplus = (spare - input.request.tokens - input.request.level) / 2;
    if (surplus < min_rebalanced_tokens) surplus = 0;
    loan.tokens =
        std::clamp(input.request.tokens + surplus, 0.0, std::max(0.0, spare));
    auto until = now + settings_.timing.loan_hold_time();
    if (loan.tokens > 0) team->account.take(now, loan.tokens, until);
  }
  actions_.emplace_back(send_loan{input.from, std::move(loan)});
}

void seat::on(instant now, const loan_received& input) {
  auto* team = find(input.loan.team);
  if (!team) return;
  auto it = std::find_if(
      team->loans.begin(), team->loans.end(), [&](const auto& item) {
        return item.lender == input.from && item.loan_id == input.loan.loan_id;
      });
  if (it == team->loans.end()) return;
  auto until = it->requested_at + settings_.timing.loan_lifetime();
  team->loans.erase(it);
  if (input.loan.tokens > 0) team->account.add(now, input.loan.tokens, until);
  if (!team->pending.empty()) serve_pending(now, input.loan.team, *team);
}

void seat::on(instant now, const tick&) {
  if (!open_) return;
  auto ids = std::vector<team_id>(waiting_teams_.begin(), waiting_teams_.end());
  for (const auto& id : ids) {
    auto& team = teams_.at(id);
    serve_pending(now, id, team);
  }
  if (now - reclaimed_at_ < reclaim_interval) return;
  reclaimed_at_ = now;
  for (auto& [id, team] : teams_) team.account.reclaim_silent(now);
}

}  // namespace toucanmux
