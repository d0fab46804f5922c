#include "process/load-history.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace toucanmux {

namespace {

constexpr double us_per_second = 1e6;
// A withdrawn key must stop working within seconds.
constexpr std::chrono::seconds withdrawal_bound{5};

double seconds(duration time) {
  return static_cast<double>(time.count()) / us_per_second;
}

double milliseconds(duration time) {
  return static_cast<double>(time.count()) / 1e3;
}

bool is_read(const load_call& call) {
  return call.kind == call_kind::read || call.kind == call_kind::aged_read;
}

double quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  auto index = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

// For each call: whether one central token bucket with the team's rate and
// burst would admit all its statements.
std::vector<bool> admitted_by_central_bucket(
    const std::vector<const load_call*>& sent, const load_team& team) {
  std::vector<bool> out;
  double tokens = team.burst;
  instant last_sent_at = sent.empty() ? instant() : sent.front()->sent_at;
  for (const auto* call : sent) {
    tokens += seconds(call->sent_at - last_sent_at) * team.rate;
    tokens = std::min(tokens, team.burst);
    last_sent_at = call->sent_at;
    bool admitted = tokens >= call->statements;
    if (admitted) tokens -= call->statements;
    out.push_back(admitted);
  }
  return out;
}

}  // namespace

void promise_result::check(bool holds, const std::string& details) {
  ++checks;
  if (holds) return;
  if (broken++ == 0) first_violation = details;
}

bool load_report::all_promises_kept() const {
  return std::all_of(promises.begin(), promises.end(),
                     [](const auto& one) { return one.broken == 0; });
}

load_history::load_history(const load_settings& settings)
    : settings_(settings) {}

promise_result& load_history::promise(const std::string& name) {
  for (auto& one : promises_) {
    if (one.promise == name) return one;
  }
  return promises_.emplace_back(promise_result{name, 0, 0, ""});
}

void load_history::check(const std::string& name, bool holds,
                         const std::string& details) {
  promise(name).check(holds, details);
}

load_report load_history::report(const found_orders& found) {
  check_writes(found);
  check_rates();
  check_withdrawn();
  load_report out;
  out.calls = calls_.size();
  std::uint64_t replica_reads = 0;
  for (const auto& call : calls_) {
    std::string result_name(call.answered ? to_string(call.result)
                                          : "no answer");
    if (!call.error_kind.empty()) result_name += " " + call.error_kind;
    ++out.calls_by_result[result_name];
    if (!is_read(call) || call.result != outcome_code::done) continue;
    ++out.reads;
    if (call.from_replica) ++replica_reads;
  }
  if (out.reads > 0) {
    out.replica_read_share =
        static_cast<double>(replica_reads) / static_cast<double>(out.reads);
  }
  std::uint64_t in_rate = 0;
  std::uint64_t refused = 0;
  for (std::size_t i = 0; i < settings_.teams.size(); ++i) {
    auto team = evaluate_team(i);
    in_rate += team.in_rate;
    refused += team.refused_in_rate;
    out.worst_team_share = std::min(out.worst_team_share, team.served_share);
    out.teams.push_back(team);
  }
  if (in_rate > 0) {
    out.refused_in_rate_share =
        static_cast<double>(refused) / static_cast<double>(in_rate);
  }
  out.failover_gap_ms = failover_gap();
  out.promises.assign(promises_.begin(), promises_.end());
  return out;
}

void load_history::check_writes(const found_orders& found) {
  auto& lost = promise("no acknowledged write is lost");
  auto& doubled = promise("no write is doubled");
  auto& not_run = promise("a refusal that says not run is true");
  auto& rolled_back = promise("a transaction that rolled back left nothing");
  for (const auto& call : calls_) {
    if (call.order_id.empty()) continue;
    auto it = found.find(call.order_id);
    int count = it == found.end() ? 0 : it->second;
    doubled.check(count <= 1, call.order_id);
    if (call.rolled_back) {
      rolled_back.check(count == 0, call.order_id);
    } else if (call.answered && call.result == outcome_code::done) {
      lost.check(count >= 1, call.order_id);
    } else if (call.answered && call.result == outcome_code::not_run) {
      not_run.check(count == 0, call.order_id + " " + call.error_kind);
    }
  }
}

// A statement is admitted between its sending and its answer. So all calls that
// were sent and answered within a window were admitted within it.
void load_history::check_rates() {
  auto& within_rate = promise("no team gets more than its rate and burst");
  for (std::size_t i = 0; i < settings_.teams.size(); ++i) {
    const auto& team = settings_.teams[i];
    std::vector<const load_call*> served;
    for (const auto& call : calls_) {
      bool ran = call.answered && call.result != outcome_code::not_run;
      if (call.team == i && ran) served.push_back(&call);
    }
    std::sort(served.begin(), served.end(), [](const auto* a, const auto* b) {
      return a->ended_at < b->ended_at;
    });
    for (const auto* first : served) {
      double statements = 0;
      bool holds = true;
      for (const auto* call : served) {
        if (call->sent_at < first->sent_at) continue;
        statements += call->statements;
        double window = seconds(call->ended_at - first->sent_at);
        holds = holds && statements <= team.rate * window + team.burst;
      }
      within_rate.check(holds, team.id.value);
    }
  }
}

void load_history::check_withdrawn() {
  auto& ended = promise("a withdrawn key stops working within seconds");
  std::map<std::size_t, instant> refused_at;
  for (const auto& call : calls_) {
    if (call.error_kind != "key_refused") continue;
    auto [it, first] = refused_at.emplace(call.team, call.ended_at);
    if (!first) it->second = std::min(it->second, call.ended_at);
  }
  for (const auto& call : calls_) {
    auto it = refused_at.find(call.team);
    if (it == refused_at.end()) continue;
    if (call.sent_at < it->second + withdrawal_bound) continue;
    ended.check(call.result != outcome_code::done,
                settings_.teams[call.team].id.value);
  }
}

team_result load_history::evaluate_team(std::size_t team) const {
  team_result out;
  out.id = settings_.teams[team].id;
  std::vector<const load_call*> sent;
  bool withdrawn = false;
  for (const auto& call : calls_) {
    if (call.team != team) continue;
    withdrawn = withdrawn || call.error_kind == "key_refused";
    sent.push_back(&call);
  }
  // Refusing a team whose key was withdrawn is correct, so it counts as served.
  if (withdrawn) return out;
  std::sort(sent.begin(), sent.end(), [](const auto* a, const auto* b) {
    return a->sent_at < b->sent_at;
  });
  auto admitted = admitted_by_central_bucket(sent, settings_.teams[team]);
  std::uint64_t admitted_total = 0;
  std::vector<double> times;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    ++out.sent;
    bool done = sent[i]->result == outcome_code::done;
    if (done)
      times.push_back(milliseconds(sent[i]->ended_at - sent[i]->sent_at));
    if (done) ++out.done;
    if (sent[i]->error_kind != "over_rate") ++admitted_total;
    if (!admitted[i]) continue;
    ++out.in_rate;
    if (sent[i]->error_kind == "over_rate") ++out.refused_in_rate;
  }
  // If a team exceeds its rate, the fleet may admit other calls than the
  // central bucket does. Only admitting fewer calls in total is a wrongful
  // refusal.
  out.refused_in_rate = std::min(
      out.refused_in_rate, out.in_rate - std::min(out.in_rate, admitted_total));
  if (out.in_rate > 0) {
    double share =
        static_cast<double>(out.done) / static_cast<double>(out.in_rate);
    out.served_share = std::min(1.0, share);
  }
  out.p50_ms = quantile(times, 0.5);
  out.p99_ms = quantile(times, 0.99);
  return out;
}

// The longest time between two acknowledged writes of a shard during which at
// least one write failed other than by rate or key.
double load_history::failover_gap() const {
  std::map<int, std::vector<const load_call*>> writes;
  for (const auto& call : calls_) {
    if (call.kind == call_kind::write) writes[call.shard].push_back(&call);
  }
  duration longest{0};
  for (auto& [shard, calls] : writes) {
    std::sort(calls.begin(), calls.end(), [](const auto* a, const auto* b) {
      return a->ended_at < b->ended_at;
    });
    instant last_done = calls.front()->sent_at;
    bool failed = false;
    for (const auto* call : calls) {
      if (call->result != outcome_code::done) {
        bool refused = call->error_kind == "over_rate" ||
                       call->error_kind == "key_refused";
        failed = failed || !refused;
        continue;
      }
      if (failed) longest = std::max(longest, call->ended_at - last_done);
      failed = false;
      last_done = call->ended_at;
    }
  }
  return milliseconds(longest);
}

std::string load_report::text() const {
  std::ostringstream out;
  out.setf(std::ios::fixed);
  out.precision(2);
  out << "calls " << calls << "\n";
  for (const auto& [result_name, count] : calls_by_result) {
    out << "  " << result_name << ": " << count << "\n";
  }
  out << "share of reads served by replicas: " << replica_read_share * 100
      << "%\n"
      << "failover gap: " << failover_gap_ms << " ms\n"
      << "worst-served team, share served of the calls within its rate: "
      << worst_team_share * 100 << "%\n"
      << "refused although within the team's rate: "
      << refused_in_rate_share * 100 << "%\n";
  for (const auto& team : teams) {
    out << "  " << team.id.value << ": sent " << team.sent << ", done "
        << team.done << ", in rate " << team.in_rate << ", refused in rate "
        << team.refused_in_rate << ", p50 " << team.p50_ms << " ms, p99 "
        << team.p99_ms << " ms\n";
  }
  for (const auto& one : promises) {
    out << (one.broken == 0 ? "kept    " : "BROKEN  ") << one.promise << ": "
        << one.checks << " checks, " << one.broken << " broken";
    if (one.broken > 0) out << ", first " << one.first_violation;
    out << "\n";
  }
  return out.str();
}

std::string load_report::json() const {
  nlohmann::json out{{"calls", calls},
                     {"endings", calls_by_result},
                     {"replica_read_share", replica_read_share},
                     {"failover_gap_ms", failover_gap_ms},
                     {"worst_team_share", worst_team_share},
                     {"refused_in_rate_share", refused_in_rate_share}};
  for (const auto& team : teams) {
    out["teams"].push_back({{"id", team.id.value},
                            {"sent", team.sent},
                            {"done", team.done},
                            {"in_rate", team.in_rate},
                            {"refused_in_rate", team.refused_in_rate},
                            {"served_share", team.served_share},
                            {"p50_ms", team.p50_ms},
                            {"p99_ms", team.p99_ms}});
  }
  for (const auto& one : promises) {
    out["promises"].push_back({{"promise", one.promise},
                               {"checks", one.checks},
                               {"broken", one.broken},
                               {"first", one.first_violation}});
  }
  return out.dump(2);
}

}  // namespace toucanmux
