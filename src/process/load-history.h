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

/// One call as its caller saw it. A transaction is one call; its outcome is
/// that of its commit.
struct load_call {
  std::size_t team = 0;  ///< Index into the settings.
  std::uint64_t session = 0;
  int shard = 0;
  call_kind kind = call_kind::read;
  std::string order_id;  ///< Of a write: the row that it makes.
  bool rolled_back = false;
  int statements = 1;  ///< Sent for it.
  instant sent_at;
  instant ended_at;
  bool answered = false;
  outcome result = outcome::unknown;
  std::string error_kind;
  bool from_replica = false;
};

/// A promise, how often it was checked and how often it was broken.
struct promise_result {
  std::string promise;
  std::uint64_t checks = 0;
  std::uint64_t broken = 0;
  std::string first_breach;  ///< The first breach.

  void check(bool holds, const std::string& what);
};

/// How one team fared.
struct team_result {
  team_id id;
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t in_rate = 0;          ///< What one central bucket admits.
  std::uint64_t refused_in_rate = 0;  ///< Of these, refused.
  double served_share = 1;            ///< Done, of those in rate.
  double p50_ms = 0;
  double p99_ms = 0;
};

/// The four measures of the brief, the teams, and the promises.
struct load_report {
  std::uint64_t calls = 0;
  std::uint64_t reads = 0;
  double replica_read_share = 0;
  double failover_gap_ms = 0;  ///< Longest time without a write in a shard.
  double worst_team_share = 1;
  double refused_in_rate_share = 0;
  std::vector<team_result> teams;
  std::vector<promise_result> promises;
  std::map<std::string, std::uint64_t> endings;

  bool all_promises_kept() const;
  std::string text() const;
  std::string json() const;
};

/// The rows that were found in the end: how often each order stands there.
using found_orders = std::map<std::string, int, std::less<>>;

/// What the callers of a run were answered, and what follows from it.
class load_history {
 public:
  explicit load_history(const load_settings& settings);

  void add(load_call&& call) { calls_.push_back(std::move(call)); }
  /// A check that a caller made itself, such as of its own last write.
  void check(const std::string& promise, bool holds, const std::string& what);
  const std::vector<load_call>& calls() const { return calls_; }

  load_report report(const found_orders& found);

 private:
  promise_result& promise(const std::string& name);
  void check_orders(const found_orders& found);
  void check_rates();
  void check_withdrawn();
  team_result evaluate_team(std::size_t team) const;
  double failover_gap() const;

  const load_settings& settings_;
  std::vector<load_call> calls_;
  // A deque: references to its items stay good while it grows.
  std::deque<promise_result> promises_;
};

}  // namespace toucanmux
