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
#include "standin/proxy/line-database.h"
#include "standin/proxy/object-port.h"

namespace toucanmux::soak {

/// A store, databases and callers around real proxy processes, which the
/// script starts and signals as this world tells it on standard output. Faults
/// come from relays, from the stand-ins and by signals, and the promises are
/// checked from what callers and databases see.
class soak_world {
 public:
  soak_world(event_loop& loop, const soak_plan& plan);
  /// @return false if a promise was broken or the fleet did not come back.
  bool run();

 private:
  struct database {
    std::unique_ptr<standin::line_database> server;
    std::unique_ptr<fault_relay> relay;
    /// Set while it goes on though it was replaced: what had run before.
    std::optional<std::size_t> replaced_after;
  };
  struct instance {
    inet_address callers;
    inet_address readiness;
    inet_address peers;
    std::unique_ptr<fault_relay> store;
    instant settled;  ///< When its last signal has had its effect.
  };
  struct repair {
    instant at;
    std::function<void()> call;
  };

  void add_database(const std::string& id);
  void add_instance(int number);
  void add_caller(int number);
  void write_config();
  void beat();
  void tick();
  void promote();
  void replace(database& what);
  void give_up(database& what);
  void disturb();
  void disturb_instance(int number);
  void disturb_database(database& what);
  void disturb_store(int number);
  void later(duration wait, std::function<void()> call);
  void tell(const std::string& command);
  void heal();
  bool comes_back();
  void fail(const std::string& what);
  void check_outcomes();
  void check_transaction(const soak_outcome& what);
  std::string key() const;

  event_loop& loop_;
  soak_plan plan_;
  std::mt19937 random_;
  standin::platform_stub store_;
  std::vector<database> databases_;
  std::vector<instance> instances_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  std::vector<soak_outcome> outcomes_;
  std::vector<repair> repairs_;
  std::set<std::string> at_replaced_;  ///< Ran at a leader that was replaced.
  std::map<std::string, unsigned> runs_;       ///< By id, over all databases.
  std::map<std::string, std::string> places_;  ///< Database and connection.
  timer timer_;
  instant next_beat_;
  instant next_fault_;
  unsigned version_ = 1;
  unsigned key_number_ = 1;
  std::uint64_t sequence_ = 0;
  std::size_t failovers_ = 0;
  std::uint64_t acknowledged_ = 0;  ///< The highest position of a commit.
  bool disturbs_ = true;
  unsigned served_reads_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace toucanmux::soak
