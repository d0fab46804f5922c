#include <algorithm>

#include "proxy/peer-service.h"

namespace toucanmux {

std::vector<member_id> peer_service::known_members() const {
  std::vector<member_id> out{state_.settings.self};
  for (const auto& [id, entry] : peers_.all()) out.push_back(id);
  return out;
}

// A new instance knows few others, but hears from peers that know all.
std::size_t peer_service::fleet_size() const {
  std::size_t others = peers_.all().size();
  for (const auto& [id, entry] : peers_.all()) {
    bool counts = entry.ever_heard && peers_.is_alive(state_.loop.now(), entry);
    if (counts) others = std::max<std::size_t>(others, entry.known_peers);
  }
  return others + 1;
}

// Each instance keeps the newest list that any peer reports, so a reader that
// is cut off from the store learns of a drain from the other failure domains.
void peer_service::apply_drained_domains(const peer& sender,
                                         const peer_report& report) {
  if (report.drained.items.empty()) return;
  instant now = state_.loop.now();
  if (peers_.domain_reader(now) == &sender) drained_domains_reported_at_ = now;
  const auto& drained = report.drained.items.front();
  // Stamps of an earlier process confirm nothing to this one.
  std::optional<instant> confirmed_at;
  instant sent_at(duration(static_cast<std::int64_t>(sender.echoed_stamp)));
  if (sender.echoed_stamp >= incarnation_ && sent_at <= now)
    confirmed_at = sent_at - std::chrono::milliseconds(drained.age_ms);
  state_.domains.drained.apply_report(report.store_generation, drained,
                                      confirmed_at);
}

}  // namespace toucanmux
