#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/peer-report.h"
#include "toucanmux/proxy/placement/load-view.h"
#include "toucanmux/proxy/placement/sent-loads.h"

namespace toucanmux {

struct peer;
struct proxy_state;

/// Puts the databases' loads into reports and takes them from those of peers.
/// Does nothing in a deployment that is not contended.
class load_exchange {
 public:
  explicit load_exchange(proxy_state& state) : state_(state) {}

  /// Passes the known loads to the groups. Called a few times a second.
  void tick();
  /// The loads for a report; nothing if the report is to carry none.
  std::optional<std::vector<database_load>> loads(peer_report::scope scope);
  /// Records a report of this instance that was made.
  /// @param stamp of its first part, which carries the loads.
  /// @param parts all encoded parts.
  void record_sent(peer_report::scope scope, std::uint64_t stamp,
                   const load_list& loads, std::span<const std::string> parts);

  /// Applies the report of one instance.
  void apply_instance(const peer& sender, const peer_report& report);
  /// Applies the sums of another failure domain.
  void apply_domain(const domain_id& domain, const peer_report& report);
  /// Applies the fleet's sums, which contain the own loads that the hub had
  /// received.
  void apply_fleet(const peer& sender, const peer_report& report);
  /// Forgets what peers have reported, since the role has changed.
  void clear();

 private:
  std::vector<database_load> own_loads() const;
  void update_metrics();

  proxy_state& state_;
  load_view view_;
  sent_loads sent_;
  bool active_ = false;
  /// Bytes that a hub's reports may carry as loads, for each scope.
  double allowances_[3] = {0, 0, 0};
  instant next_metrics_;
};

}  // namespace toucanmux
