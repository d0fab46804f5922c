#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "proxy/duty-sync.h"
#include "proxy/http-caller.h"
#include "proxy/peer-service.h"
#include "proxy/proxy-state.h"
#include "proxy/store-api.h"
#include "toucanmux/proxy/config-read-policy.h"

namespace toucanmux {

/// Follows the objects in the store: the configuration, the databases, the
/// duties and the other instances.
class store_sync {
 public:
  store_sync(proxy_state& state, peer_service& peers);

  void start();
  /// Starts the reads that are due. Called a few times a second.
  void tick();
  /// Calls the store. `on_done` is called once, from the event loop. An answer
  /// of another generation than the known one counts as none.
  void call(http_call request, duration timeout,
            http_caller::result_handler on_done);
  std::uint64_t calls() const { return store_caller_.calls(); }
  /// Notes whether a call reached the store.
  void record_call(bool reached, std::string_view operation);
  unsigned consecutive_failures() const {
    return state_.contact.consecutive_failures();
  }
  /// The store's generation has become settled: reads of the configuration
  /// confirm it from now on.
  void handle_settled();
  /// The group's duty as of the start of the store's generation.
  duty_read inherited_duty(const group_id& group) const {
    return duties_.inherited_duty(group);
  }
  /// True while this instance is registered and has read all registrations.
  bool members_known() const { return registered_ && members_listed_; }
  /// True once the databases were listed.
  bool upstreams_known() const { return upstreams_known_; }

  /// Applies changes of the database list sent by the domain reader.
  void apply_update(const upstream_update& update);

  /// Reads one database's entry, and passes its sequence number to the leader
  /// watch of its group.
  void read_upstream_entry(const group_id& group, const database_id& id);

 private:
  void call_from(http_caller& caller, http_call request, duration timeout,
                 http_caller::result_handler on_done);
  void check_generation(std::uint64_t sent_in, http_result& result);
  void discard_older_generation();
  void probe_store();
  void read_config(read_consistency consistency);
  void handle_config(read_consistency consistency, http_result&& result);
  config_read_policy::situation config_situation() const;
  void apply_config(std::string_view body);
  bool list_allowed() const;
  void list_upstreams(const std::string& after);
  void handle_upstreams(read_consistency consistency, http_result&& result);
  void apply_upstream_list();
  void watch_upstreams();
  void handle_upstream_events(http_result&& result);
  void send_update(const store_api::upstream_events& events);
  void set_changed_version(const store_version& version);
  bool update_reader_lag();
  void apply_entry(const upstream_entry& entry);
  void remove_entry(const database_id& id);
  void register_self();
  void handle_registration(http_result&& result);
  void replace_own_record(std::string_view stored_object);
  store_api::member_record own_record() const;
  bool is_own(const store_api::member_record& record) const;
  void list_members(const std::string& after);
  void handle_members(read_consistency consistency, http_result&& result);
  void check_members();
  void forget_unregistered();
  void remove_silent_members();
  duration max_config_age() const;

  proxy_state& state_;
  peer_service& peers_;
  http_caller store_caller_;
  http_caller watch_caller_;
  duty_sync duties_;
  config_read_policy config_read_policy_;
  bool reading_config_ = false;
  instant next_config_read_;
  std::string last_config_body_;
  bool listing_ = false;
  instant next_list_;
  std::vector<upstream_entry> listed_upstreams_;
  instant list_sent_at_;  ///< When the first page of that list was requested.
  /// The revision to watch from; 0 requests a new list.
  std::uint64_t watch_from_ = 0;
  store_version changed_version_;  ///< Of the last change in the database list.
  std::optional<instant> reader_lag_since_;
  bool watching_upstreams_ = false;
  instant next_watch_;
  bool upstreams_known_ = false;
  bool registered_ = false;
  bool registering_ = false;
  bool members_listed_ = false;
  /// A newly registered instance has to see the instances that registered just
  /// before it.
  read_consistency members_consistency_ = read_consistency::stale;
  bool listing_members_ = false;
  /// Members found by the last listing.
  std::set<member_id> registered_members_;
  /// The last listing contained this process's record.
  bool own_record_found_ = false;
  instant next_member_call_;
  instant next_member_check_;
  bool store_reached_ = true;
  instant next_store_probe_;
};

}  // namespace toucanmux
