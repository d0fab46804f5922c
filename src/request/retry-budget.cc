#include "toucanmux/request/retry-budget.h"

#include <algorithm>

namespace toucanmux {

retry_budget::retry_budget(const settings& values)
    : settings_(values),
      tokens_(std::min(values.floor_rate, values.capacity)) {}

retry_budget::actions retry_budget::step(instant now, const event& new_event) {
  if (std::holds_alternative<request_counted>(new_event)) {
    count_request(now);
    return {};
  }
  if (!may_retry(now)) return {retry_refused()};
  count_retry(now);
  return {retry_allowed()};
}

void retry_budget::count_request(instant now) {
  refill(now);
  add_tokens(settings_.share);
}

bool retry_budget::may_retry(instant now) {
  refill(now);
  return tokens_ >= 1;
}

void retry_budget::count_retry(instant now) {
  refill(now);
  tokens_ = std::max(0.0, tokens_ - 1);
}

void retry_budget::refill(instant now) {
  if (refilled_at_ == instant()) refilled_at_ = now;
  if (now <= refilled_at_) return;
  std::chrono::duration<double> passed = now - refilled_at_;
  refilled_at_ = now;
  add_tokens(passed.count() * settings_.floor_rate);
}

void retry_budget::add_tokens(double tokens) {
  tokens_ = std::min(settings_.capacity, tokens_ + tokens);
}

}  // namespace toucanmux
