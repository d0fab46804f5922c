#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "soak/fault-relay.h"
#include "soak/soak-caller.h"
#include "soak/soak-plan.h"
#include "soak/stop-check.h"
#include "standin/proxy/line-database.h"
#include "standin/proxy/platform-stub.h"

namespace toucanmux::soak {

/// The environment of real proxy processes under test: a platform store,
/// databases and callers. The script support/soak starts and signals the
/// processes by the commands that this class writes to standard output. Faults
/// come from relays, stand-ins and signals; the consistency guarantees are
/// checked against what callers and databases saw.
class soak_environment {
 public:
  soak_environment(event_loop& loop, const soak_plan& plan);
  /// @return false if a guarantee was violated or the fleet did not recover.
  bool run();

 private:
  struct database {
    std::unique_ptr<standin::line_database> server;
    std::unique_ptr<fault_relay> relay;
    /// Set while it keeps executing after it was replaced as leader: the number
    /// of statements that it had executed by then.
    std::optional<std::size_t> replaced_after;
  };
  struct instance {
    inet_address client_address;
    inet_address readiness_address;
    inet_address peer_address;
    std::unique_ptr<fault_relay> store_relay;
    instant settled_at;  ///< Time at which its last signal has taken effect.
    bool in_trouble = false;  ///< Killed or paused.
  };
  struct scheduled_call {
    instant due_at;
    std::function<void()> callback;
  };

  void add_database(const std::string& id);
  void add_instance(int number);
  void add_caller(int number);
  void write_config();
  void write_heartbeats();
  void tick();
  void apply_failovers();
  void replace_leader(database& former);
  void stop_former_leader(database& former);
  void inject_fault();
  void inject_unplanned_fault();
  void inject_planned_work();
  void inject_instance_fault(int number);
  void inject_database_fault(database& target);
  void inject_store_fault(int number);
  void kill_instance(int number);
  void pause_instance(int number);
  void plan_stop(int number, duration delay);
  void stop_instance(int number);
  void hang_up(int number);
  void change_keys();
  void report_trouble();
  void call_later(duration delay, std::function<void()> callback);
  void send_command(const std::string& command);
  void signal(const std::string& name, int number);
  void start(int number);
  void turn();
  void end_faults();
  bool wait_for_recovery();
  void fail(const std::string& violation);
  void check_outcomes();
  void check_transaction(const soak_outcome& outcome);
  void check_cuts();
  std::string api_key() const;
  /// Connections that all instances together may have to a database.
  unsigned max_connections() const;

  event_loop& loop_;
  soak_plan plan_;
  std::mt19937 random_;
  std::mt19937 fault_random_;  ///< Drawn from in the order of the faults only.
  stop_check stop_check_;
  standin::platform_stub store_;
  std::vector<database> databases_;
  std::vector<instance> instances_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  std::vector<soak_outcome> outcomes_;
  std::vector<scheduled_call> scheduled_calls_;
  /// Ids of statements that ran at a replaced leader.
  std::set<std::string> ran_at_former_leader_;
  /// Number of executions by statement id, over all databases.
  std::map<std::string, unsigned> execution_counts_;
  /// Database and connection by statement id.
  std::map<std::string, std::string> locations_;
  instant previous_turn_;  ///< Start of the turn before the current one.
  timer timer_;
  instant next_heartbeat_;
  instant fault_time_;  ///< Planned time of the fault being injected.
  instant next_fault_;
  instant unplanned_from_;  ///< Unplanned faults begin.
  unsigned config_version_ = 1;
  unsigned key_number_ = 1;
  std::uint64_t sequence_ = 0;
  std::size_t handled_failovers_ = 0;
  std::uint64_t acknowledged_number_ = 0;  ///< Highest acknowledged log number.
  bool injecting_faults_ = true;
  unsigned served_reads_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace toucanmux::soak
