#include "toucanmux/proxy/admission/fair-order.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace toucanmux {

namespace {

// Teams whose virtual time has passed are removed when a level has more than
// this number of teams.
constexpr std::size_t max_idle_teams = 64;

}  // namespace

duration fair_order::start_of(unsigned priority, std::string_view team) const {
  auto found = levels_.find(priority);
  if (found == levels_.end()) return duration{0};
  const level& current = found->second;
  auto finish = current.finish.find(team);
  if (finish == current.finish.end()) return current.virtual_time;
  return std::max(current.virtual_time, finish->second);
}

std::vector<std::size_t> fair_order::sort(
    std::span<const waiting_statement> waiting) const {
  std::vector<std::size_t> order(waiting.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  if (order.size() < 2) return order;
  auto by_team = [&](std::size_t index) {
    const auto& each = waiting[index];
    return std::tuple(each.priority, each.team, each.deadline, index);
  };
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return by_team(a) < by_team(b);
  });
  std::vector<duration> starts(waiting.size());
  const waiting_statement* previous = nullptr;
  duration next_start{0};
  for (auto index : order) {
    const auto& each = waiting[index];
    bool same_team = previous && previous->priority == each.priority &&
                     previous->team == each.team;
    if (!same_team) next_start = start_of(each.priority, each.team);
    starts[index] = next_start;
    next_start += each.cost;
    previous = &each;
  }
  auto by_start = [&](std::size_t index) {
    const auto& each = waiting[index];
    return std::tuple(each.priority, starts[index], each.deadline, index);
  };
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return by_start(a) < by_start(b);
  });
  return order;
}

void fair_order::record_start(unsigned priority, std::string_view team,
                              duration cost) {
  duration start = start_of(priority, team);
  level& current = levels_[priority];
  current.virtual_time = std::max(current.virtual_time, start);
  auto found = current.finish.find(team);
  if (found == current.finish.end()) {
    found = current.finish.emplace(team, duration{0}).first;
  }
  found->second = start + cost;
  if (current.finish.size() <= max_idle_teams) return;
  std::erase_if(current.finish, [&](const auto& item) {
    return item.second <= current.virtual_time;
  });
}

}  // namespace toucanmux
