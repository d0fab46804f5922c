#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "proxy/http-caller.h"
#include "proxy/peer-service.h"
#include "proxy/proxy-state.h"
#include "proxy/store-api.h"
#include "toucanmux/proxy/config-reads.h"

namespace toucanmux {

/// Follows what the store holds: the configuration, the databases and the
/// other instances.
class store_sync {
 public:
  store_sync(proxy_state& state, peer_service& peers);

  void start();
  /// Called a few times a second.
  void tick();
  /// The store's connection for everything that is not a watch.
  http_caller& store() { return store_; }
  /// True once the databases have been listed.
  bool upstreams_known() const { return upstreams_known_; }

  /// The failure domain's reader tells what has changed.
  void take_news(const upstream_update& news);

  /// Reads one database's entry for its group's leader watch.
  void look_at(const group_id& group, const database_id& id);

 private:
  void read_config(read_consistency age);
  void take_config(read_consistency age, http_result&& result);
  config_reads::situation config_situation() const;
  void apply(std::string_view body);
  bool duties_are_due() const;
  void note_leads_elsewhere();
  void read_duties(const std::string& after);
  void take_duties(http_result&& result);
  void list_upstreams(const std::string& after);
  void take_list(http_result&& result);
  void finish_list();
  void watch_upstreams();
  void take_events(http_result&& result);
  void tell_news(const store_api::upstream_events& events);
  void note_change(std::uint64_t revision);
  bool lags_behind_reader();
  void place(const upstream_entry& entry);
  void remove(const database_id& id);
  void register_self();
  void take_registration(http_result&& result);
  void replace_own_record(std::string_view present);
  store_api::member_record own_record() const;
  bool is_own(const store_api::member_record& record) const;
  void list_members(const std::string& after);
  void take_members(read_consistency age, http_result&& result);
  void check_members();
  void forget_unrecorded();
  void remove_silent();
  void note_store(bool reached, std::string_view call);
  duration read_interval() const;
  duration duty_interval() const;

  proxy_state& state_;
  peer_service& peers_;
  http_caller store_;
  http_caller watcher_;
  config_reads config_reads_;
  bool reading_ = false;
  instant next_read_;
  bool reading_duties_ = false;
  instant next_duties_;
  std::vector<lead_record> duties_;  ///< Of the pages read so far.
  std::optional<instant> leads_differ_since_;
  std::optional<instant> duties_asked_;  ///< When the first was asked for.
  std::string last_body_;
  bool listing_ = false;
  instant next_list_;
  std::vector<upstream_entry> listed_;
  std::uint64_t revision_ = 0;  ///< Watched from; 0 lists first.
  /// Of the last change in discovery that is known here.
  std::uint64_t changed_revision_ = 0;
  std::optional<instant> lags_since_;
  bool watching_ = false;
  instant next_watch_;
  bool upstreams_known_ = false;
  bool registered_ = false;
  bool registering_ = false;
  bool members_listed_ = false;
  /// A new record's owner has to see who registered just before it.
  read_consistency members_age_ = read_consistency::stale;
  bool listing_members_ = false;
  std::set<member_id> recorded_;   ///< Found by the last listing.
  bool own_record_found_ = false;  ///< By it, with this process's address.
  instant next_members_;
  instant next_check_;
  bool store_reached_ = true;
  unsigned failures_ = 0;
};

}  // namespace toucanmux
