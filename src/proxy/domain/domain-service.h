#pragma once

#include <string>
#include <vector>

#include "proxy/http-caller.h"
#include "proxy/peer-service.h"
#include "proxy/proxy-state.h"
#include "proxy/store-sync.h"

namespace toucanmux {

/// Follows the list of drained failure domains, and divides the budgets of cold
/// databases over the known instances.
class domain_service {
 public:
  domain_service(proxy_state& state, peer_service& peers, store_sync& store)
      : state_(state), peers_(peers), store_(store) {}

  /// Starts the reads that are due. Called a few times a second.
  void tick();
  /// True once this process has read the list, if the deployment has one.
  bool ready() const {
    return !state_.domains.drained.followed() || read_once_;
  }
  void update_metrics();

 private:
  void follow_list();
  bool read_due() const;
  void read_list(const std::string& after);
  void handle_list(http_result&& result);
  void note_skipped(std::size_t count);
  void order_known_first();
  std::string name_of(std::uint32_t hash) const;
  std::vector<domain_id> known_domains() const;
  void note_changes();
  void log_change(std::uint32_t hash, bool drained);
  void check_age();
  void update_warm_ups();

  proxy_state& state_;
  peer_service& peers_;
  store_sync& store_;
  bool read_once_ = false;
  bool reading_ = false;
  unsigned failed_reads_ = 0;  ///< Since the last one that succeeded.
  instant next_read_;
  instant read_at_;  ///< When the last read was answered.
  // The pages of the list that is being read.
  std::vector<domain_id> listed_;
  std::size_t skipped_ = 0;
  instant list_sent_at_;
  std::uint64_t list_revision_ = 0;
  std::size_t logged_skipped_ = 0;
  bool age_logged_ = false;
  std::vector<std::uint32_t> seen_;  ///< The drained domains at the last check.
  bool fleet_known_ = false;         ///< The registrations were read once.
};

}  // namespace toucanmux
