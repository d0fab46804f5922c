#include "toucanmux/process/team-account.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Part of an instance's demand that its allocation covers. For the remaining
// demand it requests single tokens, so that tokens accumulate at the seat and
// not as fractions on instances.
constexpr double allocated_demand_part = 0.5;
// Parts of the slice's rate and burst that instances may hold while the holder
// is reachable.
constexpr double allocated_rate_part = 0.7;
constexpr double allocated_burst_part = 0.25;
// With less than one token nothing can be admitted.
constexpr double min_cap = 1;

double seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

team_account::team_account(instant now, const limits_timing& timing)
    : timing_(timing), advanced_at_(now) {}

void team_account::configure(instant now, double rate, double burst) {
  advance(now);
  rate_ = rate;
  burst_ = burst;
  tokens_ = std::min(tokens_, std::max(0.0, cap()));
}

void team_account::reset(instant now) {
  tokens_ = 0;
  advanced_at_ = now;
  outstanding_.clear();
  instances_.clear();
  counted_ = {};
  demand_ = 0;
}

double team_account::cap() const {
  double value = burst_ - counted_.cap;
  for (const auto& entry : outstanding_) value += entry.cap_change;
  return value;
}

void team_account::refill(instant now) {
  if (now <= advanced_at_) return;
  // After the slice has shrunk, allocations may exceed it. The growth is then
  // negative and the bucket goes into debt.
  double growth = (rate_ - counted_.rate) * seconds(now - advanced_at_);
  double limit = std::max(0.0, cap());
  tokens_ = std::min(tokens_ + growth, limit);
  advanced_at_ = now;
}

// The cap changes whenever an outstanding entry expires, so that the bucket is
// refilled piecewise up to each expiry.
void team_account::advance(instant now) {
  while (!outstanding_.empty()) {
    auto first =
        std::min_element(outstanding_.begin(), outstanding_.end(),
                         [](const outstanding& a, const outstanding& b) {
                           return a.until < b.until;
                         });
    if (first->until > now) break;
    refill(first->until);
    outstanding_.erase(first);
    tokens_ = std::min(tokens_, std::max(0.0, cap()));
  }
  refill(now);
}

double team_account::tokens(instant now) {
  advance(now);
  return tokens_;
}

duration team_account::time_until(instant now, double wanted) {
  advance(now);
  if (tokens_ >= wanted) return duration(0);
  if (rate_ <= 0) return timing_.reclaim_timeout;
  auto micros = (wanted - tokens_) / rate_ * 1e6;
  return duration(static_cast<std::int64_t>(std::min(micros, 6e7)) + 1);
}

void team_account::take(instant now, double amount, instant counted_until) {
  advance(now);
  tokens_ -= amount;
  outstanding_.push_back({counted_until, -amount});
}

void team_account::add(instant now, double amount, instant usable_until) {
  if (usable_until <= now) return;
  advance(now);
  outstanding_.push_back({usable_until, amount});
  tokens_ = std::min(tokens_ + amount, std::max(0.0, cap()));
}

void team_account::set_counted(instance_state& instance,
                               const rate_allocation& value) {
  counted_.rate += value.rate - instance.counted.rate;
  counted_.cap += value.cap - instance.counted.cap;
  counted_.fallback_rate +=
      value.fallback_rate - instance.counted.fallback_rate;
  counted_.fallback_cap += value.fallback_cap - instance.counted.fallback_cap;
  instance.counted = value;
}

bool team_account::record_sequence(instance_state& instance,
                                   std::uint64_t sequence) {
  constexpr std::uint64_t window = 64;
  if (sequence > instance.last_sequence) {
    auto ahead = sequence - instance.last_sequence;
    instance.seen_sequences =
        ahead < window ? instance.seen_sequences << ahead : 0;
    instance.seen_sequences |= 1;
    instance.last_sequence = sequence;
    return true;
  }
  auto behind = instance.last_sequence - sequence;
  if (behind >= window) return false;
  auto bit = std::uint64_t{1} << behind;
  if ((instance.seen_sequences & bit) != 0) return false;
  instance.seen_sequences |= bit;
  return true;
}

bool team_account::record_request(instant now, const member_id& from,
                                  std::uint64_t incarnation,
                                  const team_grant_request& request) {
  advance(now);
  auto& instance = instances_[from];
  if (incarnation < instance.incarnation) return false;
  if (incarnation > instance.incarnation) {
    // The earlier process, which had the allocation, has ended.
    set_counted(instance, {});
    demand_ -= instance.demand;
    instance = {};
    instance.incarnation = incarnation;
  }
  bool newest = request.sequence > instance.last_sequence;
  if (!record_sequence(instance, request.sequence)) return false;
  // A reordered request is answered, but its demand and allocation are stale.
  if (!newest) return true;
  instance.heard_at = now;
  demand_ += request.demand - instance.demand;
  instance.demand = request.demand;
  if (request.allocation_number != 0 &&
      request.allocation_number == instance.sent_allocation.number) {
    set_counted(instance, instance.sent_allocation);
  } else if (request.allocation_number == 0 &&
             request.min_valid_sequence > instance.answered_sequence) {
    set_counted(instance, {});
  }
  return true;
}

rate_allocation team_account::allocation_for(
    const instance_state& instance) const {
  rate_allocation allocation;
  if (demand_ <= 0 || instance.demand <= 0) return allocation;
  double demand_part = instance.demand / demand_;
  double spare_rate =
      rate_ - counted_.fallback_rate + instance.counted.fallback_rate;
  double spare_cap =
      burst_ - counted_.fallback_cap + instance.counted.fallback_cap;
  allocation.fallback_cap =
      std::min(std::max(min_cap, burst_ * demand_part), spare_cap);
  if (allocation.fallback_cap < min_cap || spare_rate <= 0) return {};
  allocation.fallback_rate = std::min(rate_ * demand_part, spare_rate);
  allocation.cap = std::min(allocated_burst_part * burst_ * demand_part,
                            allocation.fallback_cap);
  if (allocation.cap < min_cap) {
    allocation.cap = 0;
    return allocation;
  }
  allocation.rate = std::min({allocated_demand_part * instance.demand,
                              allocated_rate_part * rate_ * demand_part,
                              allocation.fallback_rate});
  return allocation;
}

rate_allocation team_account::renew_allocation(instant now,
                                               const member_id& from,
                                               double& extra_tokens) {
  advance(now);
  auto& instance = instances_[from];
  rate_allocation allocation = allocation_for(instance);
  allocation.number = ++last_number_;
  instance.sent_allocation = allocation;
  instance.answered_sequence = instance.last_sequence;
  double cap_before = instance.counted.cap;
  rate_allocation upper_bound = instance.counted;
  upper_bound.rate = std::max(upper_bound.rate, allocation.rate);
  upper_bound.cap = std::max(upper_bound.cap, allocation.cap);
  upper_bound.fallback_rate =
      std::max(upper_bound.fallback_rate, allocation.fallback_rate);
  upper_bound.fallback_cap =
      std::max(upper_bound.fallback_cap, allocation.fallback_cap);
  set_counted(instance, upper_bound);
  // Tokens above the reduced cap go to the instance, up to the growth of its
  // own cap.
  double excess = tokens_ - std::max(0.0, cap());
  extra_tokens = std::clamp(excess, 0.0, instance.counted.cap - cap_before);
  tokens_ = std::min(tokens_, std::max(0.0, cap()));
  return allocation;
}

void team_account::reclaim_silent(instant now) {
  advance(now);
  for (auto it = instances_.begin(); it != instances_.end();) {
    if (now - it->second.heard_at < timing_.reclaim_timeout) {
      ++it;
      continue;
    }
    set_counted(it->second, {});
    demand_ -= it->second.demand;
    it = instances_.erase(it);
  }
  if (instances_.empty()) {
    counted_ = {};
    demand_ = 0;
  }
}

}  // namespace toucanmux
