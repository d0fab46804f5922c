#include "toucanmux/process/team-bucket.h"

#include <algorithm>
#include <cmath>

namespace toucanmux {

namespace {

// Further requests would only wait for their refusal.
constexpr std::size_t max_waiting_requests = 1024;
constexpr std::size_t max_sent_requests = 8;
// Tolerance for rounding errors in the number of tokens.
constexpr double rounding_tolerance = 1e-9;
// Weight of the newest interval in the measured demand.
constexpr double demand_weight = 0.2;
// Below this demand the allocation is not renewed.
constexpr double min_renewed_demand = 0.01;

double seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

team_bucket::team_bucket(const settings& values) : settings_(values) {}

std::vector<team_bucket::action> team_bucket::step(instant now,
                                                   const event& input) {
  actions_.clear();
  // Tokens that are about to be revoked must not admit waiting requests.
  if (!std::holds_alternative<revoke>(input)) advance(now);
  std::visit([&](const auto& item) { on(now, item); }, input);
  return std::move(actions_);
}

double team_bucket::rate() const {
  if (contact_ == seat_contact::fallback) return allocation_.fallback_rate;
  return allocation_.rate;
}

double team_bucket::cap() const {
  if (contact_ == seat_contact::fallback) return allocation_.fallback_cap;
  return allocation_.cap;
}

void team_bucket::advance(instant now) {
  instant refill_until = now;
  // The fallback rate does not expire, because no holder could renew it.
  bool expired =
      contact_ != seat_contact::fallback && now > allocation_expires_at_;
  if (expired) refill_until = std::max(advanced_at_, allocation_expires_at_);
  if (refill_until > advanced_at_) {
    tokens_ = std::min(cap(),
                       tokens_ + rate() * seconds(refill_until - advanced_at_));
  }
  advanced_at_ = std::max(advanced_at_, now);
  if (expired && allocation_.number != 0) discard_allocation();
}

void team_bucket::discard_allocation() {
  allocation_ = {};
  tokens_ = 0;
  min_valid_sequence_ = last_sequence_ + 1;
  sent_.clear();
  pending_token_request_ = 0;
}

void team_bucket::on(instant now, const arrival& input) {
  ++arrival_count_;
  expire_waiting(now);
  if (waiting_.empty() && tokens_ >= 1 - rounding_tolerance) {
    tokens_ = std::max(0.0, tokens_ - 1);
    actions_.emplace_back(admitted{input.request});
    return;
  }
  if (contact_ != seat_contact::holder) {
    actions_.emplace_back(refused{input.request, time_to_next_token()});
    return;
  }
  if (now < backoff_until_ || waiting_.size() >= max_waiting_requests) {
    auto retry_after = std::max(backoff_until_ - now, duration(1000));
    actions_.emplace_back(refused{input.request, retry_after});
    return;
  }
  waiting_.push_back({input.request, now + settings_.timing.grant_timeout});
  if (pending_token_request_ == 0) request_tokens(now);
}

void team_bucket::on(instant now, const team_grant& input) {
  auto it = std::find_if(sent_.begin(), sent_.end(), [&](const auto& item) {
    return item.sequence == input.sequence;
  });
  if (it == sent_.end() || contact_ != seat_contact::holder) return;
  sent_request request = *it;
  sent_.erase(it);
  if (input.renewed) apply_allocation(now, request.sent_at, input.allocation);
  bool in_time = now - request.sent_at <= settings_.timing.grant_timeout;
  if (in_time) tokens_ += input.tokens;
  admit_waiting();
  tokens_ = std::min(tokens_, cap());
  if (request.sequence != pending_token_request_) return;
  pending_token_request_ = 0;
  if (input.retry_after > duration(0)) {
    backoff_until_ =
        now + std::min(input.retry_after, settings_.timing.max_backoff);
    refuse_oldest(waiting_.size(), input.retry_after);
  }
  if (!waiting_.empty()) request_tokens(now);
}

void team_bucket::on(instant now, const renew&) {
  double elapsed = seconds(now - demand_measured_at_);
  if (elapsed > 0) {
    double measured = static_cast<double>(arrival_count_) / elapsed;
    bool first = demand_measured_at_ == instant();
    if (!first) demand_ += demand_weight * (measured - demand_);
    arrival_count_ = 0;
    demand_measured_at_ = now;
  }
  if (contact_ != seat_contact::holder) return;
  if (demand_ < min_renewed_demand) demand_ = 0;
  if (demand_ > 0 || allocation_.number != 0) send_request(now, 0);
}

void team_bucket::on(instant, const contact_changed& input) {
  if (input.contact == contact_) return;
  // Tokens are not carried over between the fallback rate and the holder's
  // allocation.
  bool from_fallback = contact_ == seat_contact::fallback;
  contact_ = input.contact;
  if (from_fallback || contact_ == seat_contact::none) discard_allocation();
  if (contact_ != seat_contact::holder) {
    refuse_oldest(waiting_.size(), time_to_next_token());
    pending_token_request_ = 0;
  }
}

void team_bucket::on(instant now, const revoke&) {
  discard_allocation();
  advanced_at_ = std::max(advanced_at_, now);
  refuse_oldest(waiting_.size(), time_to_next_token());
}

void team_bucket::on(instant now, const tick&) { expire_waiting(now); }

void team_bucket::apply_allocation(instant now, instant sent_at,
                                   const rate_allocation& allocation) {
  instant deadline = sent_at + settings_.timing.allocation_lifetime;
  if (deadline <= now || allocation.number < allocation_.number) return;
  allocation_ = allocation;
  allocation_expires_at_ = std::max(allocation_expires_at_, deadline);
}

void team_bucket::admit_waiting() {
  while (!waiting_.empty() && tokens_ >= 1 - rounding_tolerance) {
    tokens_ = std::max(0.0, tokens_ - 1);
    actions_.emplace_back(admitted{waiting_.front().request});
    waiting_.pop_front();
  }
}

void team_bucket::refuse_oldest(std::size_t count, duration retry_after) {
  for (; count > 0 && !waiting_.empty(); --count) {
    actions_.emplace_back(refused{waiting_.front().request, retry_after});
    waiting_.pop_front();
  }
}

void team_bucket::expire_waiting(instant now) {
  admit_waiting();
  while (!waiting_.empty() && waiting_.front().deadline <= now) {
    refuse_oldest(1, settings_.timing.grant_timeout);
    // The grant request or its answer was lost; the next waiting request sends
    // a new one.
    pending_token_request_ = 0;
  }
  if (pending_token_request_ == 0 && !waiting_.empty()) request_tokens(now);
}

void team_bucket::request_tokens(instant now) {
  send_request(now, static_cast<double>(waiting_.size()) - tokens_);
  pending_token_request_ = last_sequence_;
}

void team_bucket::send_request(instant now, double tokens) {
  if (sent_.size() >= max_sent_requests) sent_.erase(sent_.begin());
  sent_.push_back({++last_sequence_, now});
  actions_.emplace_back(
      team_grant_request{settings_.team, last_sequence_, min_valid_sequence_,
                         allocation_.number, tokens, demand_});
}

duration team_bucket::time_to_next_token() const {
  double missing = std::max(0.0, 1 - tokens_);
  if (cap() < 1 || rate() <= 0) return settings_.timing.holder_timeout;
  return duration(static_cast<std::int64_t>(missing / rate() * 1e6) + 1);
}

}  // namespace toucanmux
