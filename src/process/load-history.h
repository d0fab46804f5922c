#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "process/load-settings.h"
#include "toucanmux/core.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

enum class call_kind : std::uint8_t { read, aged_read, write, transaction };

/// One call as its caller saw it. A transaction is one call, with the outcome
/// of its commit or rollback.
struct load_call {
  std::size_t team = 0;  ///< Index into the settings.
  std::uint64_t session = 0;
  int shard = 0;
  call_kind kind = call_kind::read;
  std::string order_id;      ///< Id of the row that a write inserts.
  bool rolled_back = false;  ///< A transaction that ends by rollback.
  int statements = 1;        ///< Statements sent for the call.
  instant sent_at;
  instant ended_at;
  bool answered = false;
  outcome_code result = outcome_code::unknown;
  std::string error_kind;  ///< Empty if the call succeeded.
  bool from_replica = false;
};

/// One consistency promise, with the numbers of its checks and of its
/// violations.
struct promise_result {
  std::string promise;
  std::uint64_t checks = 0;
  std::uint64_t broken = 0;
  std::string first_violation;  ///< Details of the first failed check.

  void check(bool holds, const std::string& details);
};

/// Results of one team's calls.
struct team_result {
  team_id id;
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  /// Calls that one central token bucket would admit.
  std::uint64_t in_rate = 0;
  std::uint64_t refused_in_rate = 0;  ///< Of these, refused as over the rate.
  double served_share = 1;            ///< done / in_rate, at most 1.
  double p50_ms = 0;
  double p99_ms = 0;
};

/// Results of a run: four measures of the whole fleet, the teams and the
/// promises.
struct load_report {
  std::uint64_t calls = 0;
  std::uint64_t reads = 0;
  double replica_read_share = 0;
  double failover_gap_ms = 0;   ///< Longest write outage of a shard.
  double worst_team_share = 1;  ///< Lowest served_share.
  double refused_in_rate_share = 0;
  std::vector<team_result> teams;
  std::vector<promise_result> promises;
  /// Calls by outcome and error kind.
  std::map<std::string, std::uint64_t> calls_by_result;

  bool all_promises_kept() const;
  std::string text() const;
  std::string json() const;
};

/// How often each order id was found in the databases after the run.
using found_orders = std::map<std::string, int, std::less<>>;

/// Records the calls of a run and their answers, and checks the promises
/// against them.
class load_history {
 public:
  explicit load_history(const load_settings& settings);

  void add(load_call&& call) { calls_.push_back(std::move(call)); }
  /// Records a check that a caller made itself, such as reading its last write.
  void check(const std::string& promise, bool holds,
             const std::string& details);
  const std::vector<load_call>& calls() const { return calls_; }

  /// Checks the remaining promises and sums up the run. Call it once, after the
  /// last call.
  load_report report(const found_orders& found);

 private:
  promise_result& promise(const std::string& name);
  void check_writes(const found_orders& found);
  void check_rates();
  void check_withdrawn();
  team_result evaluate_team(std::size_t team) const;
  double failover_gap() const;

  const load_settings& settings_;
  std::vector<load_call> calls_;
  // A deque, because references to its items stay valid while it grows.
  std::deque<promise_result> promises_;
};

}  // namespace toucanmux
