#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/client-session.h"
#include "proxy/connections/connection-sharing.h"
#include "proxy/connections/relay-server.h"
#include "proxy/domain/domain-service.h"
#include "proxy/http-port.h"
#include "proxy/leader-service.h"
#include "proxy/peer-service.h"
#include "proxy/proxy-state.h"
#include "proxy/store-sync.h"
#include "proxy/tcp-listener.h"
#include "toucanmux/process/drain.h"

namespace toucanmux {

class signal_pipe;

/// A proxy process: serves callers and talks to the peers, the store and the
/// databases, on one thread.
class proxy_process final : public session_owner {
 public:
  /// @param settings_path the settings file, read again on SIGHUP.
  /// @throws platform_error if an address can't be bound.
  proxy_process(event_loop& loop, const proxy_settings& settings,
                std::string settings_path);
  ~proxy_process() override;
  proxy_process(const proxy_process&) = delete;
  proxy_process(proxy_process&&) = delete;
  proxy_process& operator=(const proxy_process&) = delete;
  proxy_process& operator=(proxy_process&&) = delete;

  /// Starts to read the store. All further work happens in the event loop.
  void start();
  /// Starts, then serves until a signal has stopped the process.
  void run();

  void on_session_ended(client_session& session) override;

 private:
  void accept(int descriptor);
  probe_response answer_probe(std::string_view path);
  bool is_ready() const;
  void handle_signal(int number, instant raised_at);
  void reload();
  void tick();
  void update_contention();
  void update_sharing();
  void start_relay_server();
  void check_leases();
  void advance_stop();
  void close_idle_sessions();
  void end_unsent_work();
  void give_up_work();
  std::uint64_t busy_sessions() const;
  void update_connection_shares();
  void update_metrics();
  void update_sharing_metrics(double connections_opened);

  event_loop& loop_;
  std::string settings_path_;
  proxy_state state_;
  connection_sharing sharing_;
  std::unique_ptr<relay_server> relay_server_;
  bool relay_started_ = false;
  instant tick_due_;
  peer_service peers_;
  store_sync store_;
  leader_service leaders_;
  domain_service domains_;
  drain drain_;
  bool work_given_up_ = false;
  bool leases_held_ = false;
  std::list<session_ptr> sessions_;
  timer tick_timer_;
  timer stop_timer_;
  std::unique_ptr<signal_pipe> signals_;
  http_port readiness_port_;
  std::unique_ptr<http_port> metrics_port_;
  tcp_listener caller_listener_;
};

}  // namespace toucanmux
