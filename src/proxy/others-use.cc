#include "toucanmux/proxy/others-use.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Several times what is on its way before a hub counts as silent.
constexpr std::size_t kept_reports = 16;

}  // namespace

void others_use::sent(std::uint64_t stamp, std::span<const team_use> own) {
  sent_.push_front({stamp, {own.begin(), own.end()}});
  if (sent_.size() > kept_reports) sent_.pop_back();
}

team_use others_use::own_at(std::uint32_t team, std::uint64_t echo) const {
  for (const auto& report : sent_) {
    if (report.stamp > echo) continue;
    for (const auto& use : report.uses) {
      if (use.team == team) return use;
    }
  }
  return {};
}

// The sums may lack what was reported in a datagram that was lost; it shows in
// a later one.
void others_use::advance(counter& what, std::uint32_t fleet,
                         std::uint32_t own) {
  auto all = static_cast<std::int32_t>(fleet - what.fleet);
  auto change = all - static_cast<std::int32_t>(own) + what.owed;
  what.fleet = fleet;
  what.owed = std::min(change, 0);
  what.others += static_cast<std::uint32_t>(std::max(change, 0));
}

std::vector<team_use> others_use::take(std::uint64_t hub, bool whole,
                                       std::uint64_t echo,
                                       std::span<const team_use> fleet) {
  if (hub != hub_) {
    hub_ = hub;
    first_echo_ = echo;
    begun_ = false;
    teams_.clear();
  }
  std::vector<team_use> out;
  out.reserve(fleet.size());
  for (const auto& use : fleet) {
    auto [at, fresh] = teams_.try_emplace(use.team);
    team_count& known = at->second;
    if (fresh) known.echo = first_echo_;
    if (fresh && !begun_) {
      known.admitted.fleet = use.admitted;
      known.wanted.fleet = use.wanted;
    }
    auto now = own_at(use.team, echo);
    // A hub that had not heard this instance begins with what it hears first.
    auto before = known.echo != 0 ? own_at(use.team, known.echo) : now;
    advance(known.admitted, use.admitted, now.admitted - before.admitted);
    advance(known.wanted, use.wanted, now.wanted - before.wanted);
    known.echo = echo;
    team_use others = use;
    others.admitted = known.admitted.others;
    others.wanted = known.wanted.others;
    out.push_back(others);
  }
  begun_ = begun_ || whole;
  return out;
}

}  // namespace toucanmux
