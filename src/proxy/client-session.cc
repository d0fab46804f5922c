#include "proxy/client-session.h"

#include <algorithm>

namespace toucanmux {

namespace {

using wire::failure_kind;

// A session with more unread input than this is not worth its memory.
constexpr std::size_t most_unread = wire::max_line_size + 64;

// A session that has not said by then what it wants is closed.
constexpr duration hello_limit = std::chrono::seconds(10);

const team_id anyone("-");

}  // namespace

client_session::client_session(proxy_state& state, session_keeper& keeper,
                               int descriptor)
    : state_(state),
      keeper_(keeper),
      stream_(state.loop, *this),
      timer_([this] { on_timer(); }) {
  values = &values_;
  stream_.adopt(descriptor);
  state_.loop.arm_in(timer_, hello_limit);
}

void client_session::finish() {
  if (ended_) return;
  session_ptr keep(this);
  ended_ = true;
  timer_.disarm();
  if (is_linked()) unlink();
  leave_link();
  return_token();
  stream_.finish();
  keeper_.on_session_ended(*this);
}

void client_session::on_closed() { finish(); }

void client_session::on_input() {
  if (taking_ || ended_) return;
  session_ptr keep(this);
  taking_ = true;
  std::string& input = stream_.input();
  std::size_t used = 0;
  while (!ended_ && !running_) {
    auto stop = input.find("\r\n", used);
    if (stop == std::string::npos) break;
    std::string_view line(input.data() + used, stop - used);
    used = stop + 2;
    take_line(line);
  }
  taking_ = false;
  if (ended_) return;
  input.erase(0, used);
  if (input.size() <= most_unread) return;
  wire::write_failure(stream_.output(), failure_kind::too_big,
                      "line of more than 1 MiB", duration{0});
  finish();
}

void client_session::take_line(std::string_view line) {
  auto what = wire::parse_caller_line(line);
  if (const auto* statement = std::get_if<session_statement>(&what)) {
    if (opened_) return take(*statement);
  } else if (const auto* hello = std::get_if<wire::open_session>(&what)) {
    if (!opened_) return open(*hello);
  } else if (std::holds_alternative<wire::end_session>(what)) {
    return finish();
  }
  wire::write_failure(stream_.output(), failure_kind::bad_statement,
                      "not a message of this protocol at this point",
                      duration{0});
  finish();
}

void client_session::open(const wire::open_session& what) {
  database_ = what.database;
  key_ = what.key;
  const fleet_config& config = *state_.config;
  std::optional<refusal> refused;
  if (config.version() == 0) {
    refused =
        refusal{failure_kind::busy, "no configuration yet", unproven_retry};
  } else if (const route* to = config.find_route(database_)) {
    if (!to->open_to_all && !config.find_key(key_)) {
      refused = refusal{failure_kind::unknown_key, "no team has this key"};
    }
  } else {
    refused = refusal{failure_kind::unknown_database, "no such database"};
  }
  if (refused) {
    wire::write_failure(stream_.output(), refused->kind, refused->why,
                        refused->retry_after);
    log_refusal("-", *refused);
    return finish();
  }
  opened_ = true;
  timer_.disarm();
  wire::write_ready(stream_.output(), wire::transaction_state::idle, {});
  stream_.schedule_flush();
}

void client_session::take(const session_statement& what) {
  id_ = what.id;
  bool ends = what.verb == statement_verb::rollback ||
              what.verb == statement_verb::commit;
  if (transaction_ == phase::failed && !ends) {
    return reply_failure({failure_kind::bad_statement, "roll back first"});
  }
  switch (what.verb) {
    case statement_verb::begin:
    case statement_verb::begin_read:
      return take_begin(what);
    case statement_verb::rollback:
      return take_rollback();
    case statement_verb::commit:
      return take_commit(what);
    case statement_verb::set_value:
      return take_value(what);
    case statement_verb::prepare:
      return take_prepare(what);
    case statement_verb::close_prepared:
      return take_close_prepared(what);
    case statement_verb::read:
    case statement_verb::write:
    case statement_verb::execute:
      return take_run(what);
    case statement_verb::unknown:
      break;
  }
  reply_failure({failure_kind::bad_statement, "unknown statement"});
}

void client_session::take_begin(const session_statement& what) {
  if (transaction_ != phase::none) {
    return reply_failure(
        {failure_kind::bad_statement, "a transaction is open already"});
  }
  if (auto refused = begin_operation()) return reply_failure(*refused);
  transaction_ = phase::open;
  read_only_ = what.verb == statement_verb::begin_read;
  wrote_ = false;
  started_ = false;
  reply_done();
}

void client_session::take_rollback() {
  if (transaction_ == phase::none) {
    return reply_failure({failure_kind::bad_statement, "no transaction"});
  }
  transaction_ = phase::none;
  timer_.disarm();
  leave_link();
  return_token();
  reply_done();
}

void client_session::take_commit(const session_statement& what) {
  if (transaction_ == phase::none) {
    return reply_failure({failure_kind::bad_statement, "no transaction"});
  }
  if (transaction_ != phase::open) {
    transaction_ = phase::none;
    return reply_failure({failure_kind::aborted, "the transaction has failed"});
  }
  start(what);
}

void client_session::take_value(const session_statement& what) {
  values_.values[std::string(what.name)] = what.value;
  reply_done();
}

void client_session::take_prepare(const session_statement& what) {
  values_.prepared[std::string(what.name)] = {what.writes,
                                              std::string(what.value)};
  reply_done();
}

void client_session::take_close_prepared(const session_statement& what) {
  auto known = values_.prepared.find(what.name);
  if (known != values_.prepared.end()) values_.prepared.erase(known);
  reply_done();
}

void client_session::take_run(const session_statement& what) {
  if (transaction_ == phase::broken) {
    transaction_ = phase::failed;
    return reply_failure(
        {failure_kind::aborted, "the transaction's connection was lost"});
  }
  if (what.verb == statement_verb::execute &&
      !values_.prepared.contains(what.name)) {
    return reply_failure(
        {failure_kind::unknown_prepared, "no such prepared name"});
  }
  if (transaction_ == phase::none) {
    if (auto refused = begin_operation()) return reply_failure(*refused);
    started_ = false;
    read_only_ = false;
  }
  start(what);
}

// The route and the key hold for one operation and are looked up for each.
std::optional<client_session::refusal> client_session::begin_operation() {
  const fleet_config& config = *state_.config;
  const route* to = config.find_route(database_);
  if (!to) return refusal{failure_kind::unknown_database, "no such database"};
  route_ = *to;
  return check_key(*to);
}

std::optional<client_session::refusal> client_session::check_key(
    const route& to) {
  instant now = state_.loop.now();
  const team_plan* plan = state_.config->find_key(key_);
  keyed_ = !to.open_to_all;
  operation_team_ = plan ? plan->team : anyone;
  if (!keyed_) return {};
  if (!plan) return refusal{failure_kind::unknown_key, "no team has this key"};
  if (!state_.confirmation.holds(now)) {
    return refusal{failure_kind::busy, "keys can't be checked now",
                   unproven_retry};
  }
  auto verdict = state_.rate_limits.reserve(now, plan->team);
  token_reserved_ = verdict.admitted;
  if (verdict.admitted) return {};
  if (state_.log.would_write(journal_kind::refusal)) {
    auto whole = [](double value) { return static_cast<std::int64_t>(value); };
    state_.log.write(journal_kind::refusal, "over_rate",
                     {{"request", id_},
                      {"team", plan->team.value},
                      {"rate", whole(plan->rate)},
                      {"burst", whole(plan->burst)},
                      {"tokens", whole(verdict.level)},
                      {"available_percent", whole(verdict.available * 100)},
                      {"peers_use_per_s", whole(verdict.expected_rate)},
                      {"unreported", whole(verdict.recent)}});
  }
  return refusal{failure_kind::busy, "over the team's rate",
                 verdict.retry_after};
}

void client_session::spend_token() {
  if (token_reserved_) state_.rate_limits.spend_reserved(operation_team_);
  token_reserved_ = false;
}

// No database has seen the operation, so its team may use the token again.
void client_session::return_token() {
  if (!token_reserved_) return;
  token_reserved_ = false;
  state_.rate_limits.give_back(state_.loop.now(), operation_team_);
}

wire::transaction_state client_session::shown_state() const {
  if (transaction_ == phase::none) return wire::transaction_state::idle;
  if (transaction_ == phase::failed) return wire::transaction_state::failed;
  return wire::transaction_state::open;
}

void client_session::reply_done() {
  wire::write_done(stream_.output());
  reply_ready({});
}

void client_session::reply_failure(const refusal& what) {
  state_.metrics.count_refused(what.kind);
  log_refusal(id_, what);
  wire::write_failure(stream_.output(), what.kind, what.why, what.retry_after);
  reply_ready({});
}

void client_session::reply_ready(const std::optional<log_position>& position) {
  wire::write_ready(stream_.output(), shown_state(), position);
  stream_.schedule_flush();
}

void client_session::log_refusal(std::string_view id, const refusal& what) {
  if (!state_.log.would_write(journal_kind::refusal)) return;
  std::string code;
  wire::write_failure(code, what.kind, what.why, duration{0});
  code.resize(code.size() - 2);
  instant now = state_.loop.now();
  auto proof_age =
      state_.confirmation.proven() ? state_.confirmation.age(now) : duration{0};
  state_.log.write(
      journal_kind::refusal, "refused",
      {{"request", id},
       {"answer", code},
       {"database", database_},
       {"team", operation_team_.value},
       {"group", route_.group.value},
       {"attempts", std::uint64_t{run_.id == id ? run_.attempts : 0}},
       {"taken_ms", run_.id == id ? now - run_.arrived : duration{0}},
       {"config_version", state_.config->version()},
       {"config_age_ms", proof_age},
       {"retry_after_ms", what.retry_after}});
}

}  // namespace toucanmux
