#include "proxy/client-session.h"

#include <algorithm>

namespace toucanmux {

namespace {

using wire::failure_kind;

// Bounds the memory for a session's unread input.
constexpr std::size_t max_unread = wire::max_line_size + 64;

// Bounds the memory for answers that the caller has yet to take, together with
// the size of one answer.
constexpr std::size_t max_unsent = 65'536;

// A session that has not sent its opening message by then is closed.
constexpr duration open_timeout = std::chrono::seconds(10);

// The team of callers without a known key.
const team_id anonymous_team("-");

}  // namespace

client_session::client_session(proxy_state& state, session_owner& owner,
                               int descriptor)
    : state_(state),
      owner_(owner),
      stream_(state.loop, *this),
      timer_([this] { on_timer(); }) {
  values = &values_;
  stream_.adopt(descriptor, true);
  state_.loop.arm_in(timer_, open_timeout);
}

client_session::~client_session() {
  auto unsent = stream_.unsent().size() + stream_.discarded();
  if (unsent == 0) return;
  ++state_.answers_cut;
  state_.log.write(journal_kind::process, "answer_cut",
                   {{"request", last_statement_id_},
                    {"unsent_bytes", std::uint64_t{unsent}},
                    {"since_answer_ms", state_.loop.now() - answered_at_},
                    {"stopping", state_.stopping}});
}

void client_session::finish() {
  if (ended_) return;
  session_ptr keep(this);
  ended_ = true;
  timer_.disarm();
  if (is_linked()) unlink();
  release_link();
  return_token();
  stream_.finish();
}

void client_session::on_closed() {
  session_ptr keep(this);
  finish();
  owner_.on_session_ended(*this);
}

void client_session::on_input() {
  if (handling_input_ || ended_) return;
  session_ptr keep(this);
  // A caller that is late reading may send more statements until it learns of
  // the end of its session.
  bool caller_reads = stream_.unsent().empty();
  handling_input_ = true;
  handle_lines();
  // Statements that have arrived behind a refused one are refused, too.
  bool closes = refused_for_stop_ && caller_reads;
  if (closes && can_close()) {
    stream_.pause_input(false);
    closes = stream_.poll_input();
    handle_lines();
  }
  handling_input_ = false;
  if (ended_) return;
  if (closes && can_close()) return finish_when_delivered();
  bool is_full = stream_.unread().size() > max_unread;
  bool must_wait = running_ || waits_for_caller_;
  stream_.pause_input(must_wait && is_full);
  if (must_wait || !is_full) return;
  wire::write_failure(stream_.output(), failure_kind::too_big,
                      "line of more than 1 MiB", duration{0});
  finish();
}

void client_session::on_sent() {
  if (!waits_for_caller_ || !may_answer()) return;
  state_.loop.defer([keep = session_ptr(this)] { keep->on_input(); });
}

// What has arrived when an instance gives up its work is refused.
bool client_session::may_answer() const {
  return stream_.unsent().size() < max_unsent ||
         state_.stop.over(state_.loop.now());
}

void client_session::handle_lines() {
  std::string& input = stream_.input();
  std::size_t consumed = 0;
  waits_for_caller_ = false;
  while (!ended_ && !running_) {
    auto line_end = input.find("\r\n", consumed);
    if (line_end == std::string::npos) break;
    waits_for_caller_ = !may_answer();
    if (waits_for_caller_) break;
    std::string_view line(input.data() + consumed, line_end - consumed);
    consumed = line_end + 2;
    handle_line(line);
  }
  if (!ended_) input.erase(0, consumed);
}

void client_session::handle_line(std::string_view line) {
  auto message = wire::parse_caller_line(line);
  if (const auto* statement = std::get_if<session_statement>(&message)) {
    if (opened_) return handle_statement(*statement);
  } else if (const auto* request = std::get_if<wire::open_session>(&message)) {
    if (!opened_) return handle_open(*request);
  } else if (std::holds_alternative<wire::end_session>(message)) {
    return finish();
  }
  wire::write_failure(stream_.output(), failure_kind::bad_statement,
                      "not a message of this protocol at this point",
                      duration{0});
  finish();
}

void client_session::handle_open(const wire::open_session& request) {
  database_ = request.database;
  key_ = request.key;
  const fleet_config& config = *state_.config;
  if (auto refused = check_open()) {
    wire::write_failure(stream_.output(), refused->kind,
                        text_of(refused->reason), refused->retry_after);
    state_.metrics.refusals().count(refused->reason, {}, anonymous_team,
                                    state_.settings.domain, config);
    log_refusal("-", *refused);
    return finish();
  }
  opened_ = true;
  timer_.disarm();
  wire::write_ready(stream_.output(), wire::transaction_state::idle, {});
  stream_.schedule_flush();
}

std::optional<client_session::refusal> client_session::check_open() const {
  const fleet_config& config = *state_.config;
  if (!state_.stop.accepts_operations(state_.loop.now()))
    return refusal{failure_kind::busy, refusal_reason::instance_stops,
                   stop_retry_after};
  if (config.version() == 0)
    return refusal{failure_kind::busy, refusal_reason::no_configuration,
                   unconfirmed_retry_after};
  const route* known_route = config.find_route(database_);
  if (!known_route)
    return refusal{failure_kind::unknown_database,
                   refusal_reason::unknown_database};
  if (!known_route->open_to_all && !config.find_team_by_key(key_))
    return refusal{failure_kind::unknown_key, refusal_reason::unknown_key};
  return {};
}

void client_session::handle_statement(const session_statement& statement) {
  last_statement_id_ = statement.id;
  bool ends_transaction = statement.verb == statement_verb::rollback ||
                          statement.verb == statement_verb::commit;
  if (transaction_phase_ == phase::failed && !ends_transaction) {
    return reply_failure(
        {failure_kind::bad_statement, refusal_reason::roll_back_first});
  }
  switch (statement.verb) {
    case statement_verb::begin:
    case statement_verb::begin_read_only:
      return handle_begin(statement);
    case statement_verb::rollback:
      return handle_rollback();
    case statement_verb::commit:
      return handle_commit(statement);
    case statement_verb::set_value:
      return handle_set_value(statement);
    case statement_verb::prepare:
      return handle_prepare(statement);
    case statement_verb::close_prepared:
      return handle_close_prepared(statement);
    case statement_verb::read:
    case statement_verb::write:
    case statement_verb::execute:
      return handle_query(statement);
    case statement_verb::unknown:
      break;
  }
  reply_failure(
      {failure_kind::bad_statement, refusal_reason::unknown_statement});
}

void client_session::handle_begin(const session_statement& statement) {
  if (transaction_phase_ != phase::none) {
    return reply_failure(
        {failure_kind::bad_statement, refusal_reason::transaction_open});
  }
  if (auto refused = begin_operation()) return reply_failure(*refused);
  transaction_phase_ = phase::open;
  transaction_read_only_ = statement.verb == statement_verb::begin_read_only;
  transaction_wrote_ = false;
  transaction_started_ = false;
  reply_done();
}

void client_session::handle_rollback() {
  if (transaction_phase_ == phase::none) {
    return reply_failure(
        {failure_kind::bad_statement, refusal_reason::no_transaction});
  }
  transaction_phase_ = phase::none;
  timer_.disarm();
  release_link();
  return_token();
  reply_done();
}

void client_session::handle_commit(const session_statement& statement) {
  if (transaction_phase_ == phase::none) {
    return reply_failure(
        {failure_kind::bad_statement, refusal_reason::no_transaction});
  }
  if (transaction_phase_ != phase::open) {
    transaction_phase_ = phase::none;
    return reply_failure(
        {failure_kind::aborted, refusal_reason::transaction_failed});
  }
  start_statement(statement);
}

void client_session::handle_set_value(const session_statement& statement) {
  values_.values[std::string(statement.name)] = statement.value;
  reply_done();
}

void client_session::handle_prepare(const session_statement& statement) {
  values_.prepared[std::string(statement.name)] = {
      statement.writes, std::string(statement.value)};
  reply_done();
}

void client_session::handle_close_prepared(const session_statement& statement) {
  auto found = values_.prepared.find(statement.name);
  if (found != values_.prepared.end()) values_.prepared.erase(found);
  reply_done();
}

void client_session::handle_query(const session_statement& statement) {
  if (transaction_phase_ == phase::broken) {
    transaction_phase_ = phase::failed;
    return reply_failure(
        {failure_kind::aborted, refusal_reason::transaction_lost});
  }
  if (statement.verb == statement_verb::execute &&
      !values_.prepared.contains(statement.name)) {
    return reply_failure(
        {failure_kind::unknown_prepared, refusal_reason::unknown_prepared});
  }
  if (transaction_phase_ == phase::none) {
    if (auto refused = begin_operation()) return reply_failure(*refused);
    transaction_started_ = false;
    transaction_read_only_ = false;
  }
  start_statement(statement);
}

// Looks up the route and the key's team; both are kept for the whole operation.
std::optional<client_session::refusal> client_session::begin_operation() {
  if (!state_.stop.accepts_operations(state_.loop.now())) {
    refused_for_stop_ = true;
    return refusal{failure_kind::busy, refusal_reason::instance_stops,
                   stop_retry_after};
  }
  const fleet_config& config = *state_.config;
  const route* found = config.find_route(database_);
  if (!found)
    return refusal{failure_kind::unknown_database,
                   refusal_reason::unknown_database};
  route_ = *found;
  return check_key(*found);
}

std::optional<client_session::refusal> client_session::check_key(
    const route& current_route) {
  instant now = state_.loop.now();
  const team_plan* plan = state_.config->find_team_by_key(key_);
  limit_regions(plan);
  key_required_ = !current_route.open_to_all;
  operation_team_ = plan ? plan->team : anonymous_team;
  if (!key_required_) return {};
  if (!plan)
    return refusal{failure_kind::unknown_key, refusal_reason::unknown_key};
  if (!state_.confirmation.valid(now)) {
    return refusal{failure_kind::busy, refusal_reason::keys_unconfirmed,
                   unconfirmed_retry_after};
  }
  auto verdict = state_.rate_limits.reserve(now, plan->team);
  token_reserved_ = verdict.admitted;
  if (verdict.admitted) return {};
  if (state_.log.would_write(journal_kind::refusal)) {
    auto to_integer = [](double value) {
      return static_cast<std::int64_t>(value);
    };
    state_.log.write(
        journal_kind::refusal, "over_rate",
        {{"request", last_statement_id_},
         {"team", plan->team.value},
         {"rate", to_integer(plan->rate)},
         {"burst", to_integer(plan->burst)},
         {"tokens", to_integer(verdict.level)},
         {"available_percent", to_integer(verdict.available_share * 100)},
         {"peers_use_per_s", to_integer(verdict.expected_rate)},
         {"unreported", to_integer(verdict.unreported)}});
  }
  return refusal{failure_kind::busy, refusal_reason::over_rate,
                 verdict.retry_after};
}

void client_session::spend_token() {
  if (token_reserved_) state_.rate_limits.spend_reserved(operation_team_);
  token_reserved_ = false;
}

// Nothing of the operation was sent to a database, so its team may use the
// token again.
void client_session::return_token() {
  if (!token_reserved_) return;
  token_reserved_ = false;
  state_.rate_limits.release_reserved(state_.loop.now(), operation_team_);
}

wire::transaction_state client_session::reported_state() const {
  if (transaction_phase_ == phase::none) return wire::transaction_state::idle;
  if (transaction_phase_ == phase::failed)
    return wire::transaction_state::failed;
  return wire::transaction_state::open;
}

void client_session::reply_done() {
  wire::write_done(stream_.output());
  reply_ready({});
}

void client_session::reply_failure(const refusal& refused) {
  state_.metrics.count_refused(refused.kind);
  auto kind =
      route_.database.empty() ? std::nullopt : std::optional(route_.kind);
  state_.metrics.refusals().count(refused.reason, kind, operation_team_,
                                  state_.settings.domain, *state_.config);
  log_refusal(last_statement_id_, refused);
  wire::write_failure(stream_.output(), refused.kind, text_of(refused.reason),
                      refused.retry_after);
  reply_ready({});
}

void client_session::reply_ready(const std::optional<log_position>& position) {
  wire::write_ready(stream_.output(), reported_state(), position);
  stream_.schedule_flush();
  answered_at_ = state_.loop.now();
}

void client_session::log_refusal(std::string_view id, const refusal& refused) {
  if (!state_.log.would_write(journal_kind::refusal)) return;
  std::string code;
  wire::write_failure(code, refused.kind, text_of(refused.reason), duration{0});
  code.resize(code.size() - 2);
  instant now = state_.loop.now();
  auto config_age = state_.confirmation.confirmed()
                        ? state_.confirmation.age(now)
                        : duration{0};
  state_.log.write(
      journal_kind::refusal, "refused",
      {{"request", id},
       {"answer", code},
       {"database", database_},
       {"team", operation_team_.value},
       {"group", route_.group.value},
       {"attempts",
        std::uint64_t{statement_.id == id ? statement_.attempts : 0}},
       {"taken_ms",
        statement_.id == id ? now - statement_.arrived_at : duration{0}},
       {"config_version", state_.config->version()},
       {"config_age_ms", config_age},
       {"retry_after_ms", refused.retry_after}});
}

}  // namespace toucanmux
