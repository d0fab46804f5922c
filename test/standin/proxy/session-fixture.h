#pragma once

#include <memory>
#include <string>
#include <vector>

#include "proxy/client-session.h"
#include "proxy/proxy-state.h"
#include "proxy/tcp-listener.h"
#include "standin/proxy/line-client.h"
#include "standin/proxy/line-database.h"

namespace toucanmux::standin {

/// Sessions of a proxy before a group of three databases, without the store
/// and without peers.
class session_fixture : public session_keeper {
 public:
  session_fixture();
  ~session_fixture() override;
  session_fixture(const session_fixture&) = delete;
  session_fixture(session_fixture&&) = delete;
  session_fixture& operator=(const session_fixture&) = delete;
  session_fixture& operator=(session_fixture&&) = delete;

  /// A session on `name`, whose connect was answered.
  std::unique_ptr<line_client> connect(const std::string& name,
                                       const std::string& key = "key-1");
  /// Puts the configuration in force anew, with these keys.
  void configure(std::vector<std::string> keys);
  /// The leases hold from now on.
  void renew_leases();
  /// The store's record of the group's leader, proven just now.
  void set_leader(const std::string& database, lead_phase phase);
  /// Turns the loop for this long, with the group's tick.
  void run_for(duration length);
  upstream_group& group() { return *state.groups.begin()->second; }

  void on_session_ended(client_session& session) override;

  event_loop loop;
  line_database first;
  line_database second;
  line_database third;
  proxy_state state;

 private:
  std::vector<session_ptr> sessions_;
  std::unique_ptr<tcp_listener> listener_;
  std::uint64_t version_ = 0;
  std::uint64_t lead_revision_ = 0;
};

}  // namespace toucanmux::standin
