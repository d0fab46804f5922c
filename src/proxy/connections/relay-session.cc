#include "proxy/connections/relay-session.h"

#include <utility>

#include "proxy/connections/relay-server.h"
#include "proxy/proxy-state.h"

namespace toucanmux {

namespace {

using std::chrono::seconds;
using wire::failure_kind;
using wire::transaction_state;

// Bounds the memory for unread input: a statement that waits for a connection,
// and the lines behind it.
constexpr std::size_t max_unread = 2 * wire::max_line_size;
// Senders have up to two; more are read when earlier ones are answered.
constexpr std::size_t max_outstanding = 16;
// A session that has not sent its opening line by then is closed.
constexpr duration open_timeout = seconds(2);
// The sender ends a transaction that is idle for too long. If it can't, since
// it lost power, the transaction ends here after this additional time.
constexpr duration idle_margin = seconds(1);
// The same where the configuration has no limit.
constexpr duration max_transaction_idle = seconds(60);

}  // namespace

relay_session::relay_session(proxy_state& state, relay_server& server,
                             int descriptor)
    : state_(state),
      server_(server),
      stream_(state.loop, *this),
      timer_([this] { on_timer(); }),
      used_at_(state.loop.now()) {
  values = &values_;
  stream_.adopt(descriptor);
  state_.loop.arm_in(timer_, open_timeout);
}

void relay_session::finish() {
  if (ended_) return;
  relay_session_ptr keep(this);
  ended_ = true;
  timer_.disarm();
  if (is_linked()) unlink();
  if (link_ptr used = std::move(link_)) {
    link_.reset();
    used->set_user(nullptr);
    used->abort();
  }
  stream_.finish();
}

void relay_session::on_closed() {
  relay_session_ptr keep(this);
  finish();
  server_.on_session_ended(*this);
}

void relay_session::on_input() {
  if (handling_input_ || ended_) return;
  relay_session_ptr keep(this);
  handling_input_ = true;
  std::string& input = stream_.input();
  std::size_t consumed = 0;
  while (!ended_ && !is_linked()) {
    auto line_end = input.find("\r\n", consumed);
    if (line_end == std::string::npos) break;
    std::string_view line(input.data() + consumed, line_end - consumed);
    if (!handle_line(line)) break;
    consumed = line_end + 2;
  }
  handling_input_ = false;
  if (ended_) return;
  input.erase(0, consumed);
  if (input.size() > max_unread) finish();
}

// Returns false if the line has to be handled again later: it waits for a
// connection or for the answers to earlier statements.
bool relay_session::handle_line(std::string_view line) {
  auto message = wire::parse_relay_line(line);
  if (const auto* relayed = std::get_if<wire::relayed_statement>(&message)) {
    if (opened_) return handle_statement(*relayed);
  } else if (const auto* request = std::get_if<wire::open_relay>(&message)) {
    if (!opened_) return open(*request);
  }
  finish();
  return true;
}

bool relay_session::open(const wire::open_relay& request) {
  group_ = group_id(request.group);
  database_ = database_id(request.database);
  team = team_id(request.team);
  priority = request.priority;
  const auto* group = state_.find_group(group_);
  std::optional<refusal> refused;
  if (server_.is_late()) {
    refused = refusal{failure_kind::busy, "this instance is slow"};
  } else if (!group || !group->index_of(database_)) {
    refused = refusal{failure_kind::wrong_upstream, "no such database here"};
  } else {
    refused = check_use();
  }
  if (refused) {
    wire::write_failure(stream_.output(), refused->kind, refused->reason,
                        duration{0});
    server_.count_refusal();
    finish();
    return true;
  }
  opened_ = true;
  timer_.disarm();
  wire::write_ready(stream_.output(), transaction_state::idle, {});
  stream_.schedule_flush();
  return true;
}

// An instance that is slow refuses uses of open links like one that leaves, so
// that the sender uses another connection at once.
std::optional<relay_session::refusal> relay_session::check_use() {
  if (state_.stopping)
    return refusal{failure_kind::wrong_upstream, "this instance leaves"};
  if (!state_.contended)
    return refusal{failure_kind::wrong_upstream, "connections are not shared"};
  if (server_.is_late())
    return refusal{failure_kind::wrong_upstream, "this instance is slow"};
  return {};
}

bool relay_session::handle_statement(const wire::relayed_statement& relayed) {
  auto verb = relayed.statement.verb;
  bool sets_values = relayed.is_reset || verb == statement_verb::set_value ||
                     verb == statement_verb::prepare;
  bool needs_prepared = verb == statement_verb::execute;
  if (outstanding_ >= max_outstanding) return false;
  // Answers have the order of the statements.
  if ((sets_values || needs_prepared) && outstanding_ > 0) return false;
  used_at_ = state_.loop.now();
  if (sets_values) {
    apply_values(relayed);
    reply_done();
    return true;
  }
  if (!link_ && verb == statement_verb::rollback) {
    reply_done();
    return true;
  }
  bool was_refused = !link_ && !acquire(relayed.time_left);
  if (was_refused) return !is_linked();
  bool ends_transaction = verb == statement_verb::rollback;
  if (!ends_transaction && !may_send()) {
    if (outstanding_ > 0) return false;
    refuse_for_stop();
    return true;
  }
  if (link_) forward(relayed);
  return true;
}

// The sender alone knows when the statement ends.
bool relay_session::may_send() const {
  return state_.stop.accepts_statement(state_.loop.now(), instant::max());
}

// Releasing the connection rolls the transaction back.
void relay_session::refuse_for_stop() {
  timer_.disarm();
  transaction_ = transaction_state::idle;
  release_if_unused();
  refuse({failure_kind::wrong_upstream, "this instance leaves"});
}

void relay_session::apply_values(const wire::relayed_statement& relayed) {
  const auto& statement = relayed.statement;
  if (relayed.is_reset) {
    values_ = session_values{};
  } else if (statement.verb == statement_verb::set_value) {
    values_.values[std::string(statement.name)] = statement.value;
  } else {
    auto value = statement.value;
    auto shape = value.substr(value.find(' ') + 1);
    values_.prepared[std::string(statement.name)] = {statement.writes,
                                                     std::string(shape)};
  }
}

// Takes a connection to the database. Returns false if the statement was
// refused or waits in the group's queue, where its deadline puts it in the same
// order as the statements of this instance's own callers.
bool relay_session::acquire(duration time_left) {
  bool expired = std::exchange(wait_expired_, false);
  upstream_group* group = state_.find_group(group_);
  auto index = group ? group->index_of(database_) : std::nullopt;
  if (auto refused = check_use()) {
    refuse(*refused);
    return false;
  }
  // Another instance may reach a database that this one does not.
  if (index && group->at(*index).suspended) {
    refuse({failure_kind::wrong_upstream, "the database does not answer"});
    return false;
  }
  if (!index || !group->may_use(*index)) {
    refuse({failure_kind::busy, "the database is not available"});
    return false;
  }
  if (expired) {
    refuse({failure_kind::busy, "no connection was free in time"});
    return false;
  }
  only_upstream = index;
  requirements = {};
  waiting_since = state_.loop.now();
  deadline = waiting_since + time_left;
  if (upstream_link* free_link = group->try_acquire(*this)) {
    use(*free_link);
    return true;
  }
  auto estimate = group->estimate_finish(*this);
  if (!estimate.meets(waiting_since, deadline)) {
    refuse({failure_kind::busy, text_of(refusal_reason::queue_too_long)});
    return false;
  }
  group->enqueue(*this);
  state_.loop.arm(timer_, estimate.latest_start(deadline));
  return false;
}

// The statement that waited is the first line of the input, which is handled
// again and finds that its time is over.
void relay_session::on_refused(refusal_reason) { on_timer(); }

void relay_session::use(upstream_link& link) {
  timer_.disarm();
  link_ = &link;
  link.set_user(this);
  server_.count_use();
}

// The statement that waited is the first line of the input.
void relay_session::on_link(upstream_link& link) {
  relay_session_ptr keep(this);
  use(link);
  on_input();
}

void relay_session::forward(const wire::relayed_statement& relayed) {
  const auto& statement = relayed.statement;
  timer_.disarm();
  link_->send_values(values_);
  switch (statement.verb) {
    case statement_verb::begin:
    case statement_verb::begin_read_only:
      link_->send_begin(statement.verb == statement_verb::begin_read_only,
                        relayed.after);
      break;
    case statement_verb::rollback:
      link_->send_rollback();
      break;
    case statement_verb::execute:
      if (!forward_prepared(relayed)) return;
      break;
    default:
      link_->send_statement(statement.id, relayed.after, statement.text);
  }
  ++outstanding_;
}

// Names of prepared statements differ between the link and the connection.
bool relay_session::forward_prepared(const wire::relayed_statement& relayed) {
  const auto& statement = relayed.statement;
  auto found = values_.prepared.find(statement.name);
  if (found == values_.prepared.end()) {
    wire::write_failure(stream_.output(), failure_kind::unknown_prepared, "-",
                        duration{0});
    wire::write_ready(stream_.output(), transaction_, {});
    stream_.schedule_flush();
    release_if_unused();
    return false;
  }
  auto name = link_->prepared_name(found->second);
  link_->send_statement(statement.id, relayed.after,
                        wire::execute_text(name, statement.value));
  return true;
}

void relay_session::reply_done() {
  wire::write_done(stream_.output());
  wire::write_ready(stream_.output(), transaction_, {});
  stream_.schedule_flush();
}

// Nothing of the refused statement was sent to the database.
void relay_session::refuse(const refusal& reason) {
  server_.count_refusal();
  wire::write_failure(stream_.output(), reason.kind, reason.reason,
                      duration{0});
  wire::write_ready(stream_.output(), transaction_state::idle, {});
  stream_.schedule_flush();
}

void relay_session::on_answer(upstream_link& link, const link_answer& answer) {
  if (answer.purpose == link_purpose::set_values) return;
  if (outstanding_ > 0) --outstanding_;
  used_at_ = state_.loop.now();
  transaction_ = answer.state;
  auto* group = state_.find_group(group_);
  if (!answer.ok && answer.error == failure_kind::unknown_prepared)
    link.forget_prepared();
  if (!answer.ok && answer.error == failure_kind::not_leader && group)
    group->record_not_leader(link.upstream());
  if (!answer.ok && answer.error == failure_kind::busy && group)
    group->record_refusal(link.upstream(), group->leader() == database_);
  stream_.output().append(answer.rows).append(answer.end_line);
  wire::write_ready(stream_.output(), answer.state, answer.position);
  stream_.schedule_flush();
  release_if_unused();
  schedule_input();
}

void relay_session::release_if_unused() {
  if (!link_ || outstanding_ > 0) return;
  if (transaction_ != transaction_state::idle) {
    auto limit = state_.config->transaction_idle() > duration{0}
                     ? state_.config->transaction_idle()
                     : max_transaction_idle;
    return state_.loop.arm_in(timer_, limit + idle_margin);
  }
  link_ptr released = std::move(link_);
  link_.reset();
  released->release();
}

// Lines may have waited for the answer.
void relay_session::schedule_input() {
  if (stream_.input().empty()) return;
  state_.loop.defer([keep = relay_session_ptr(this)] { keep->on_input(); });
}

// The sender treats the end of the session as a lost connection. The error,
// which no READY follows, tells it that the database's connection was lost.
void relay_session::on_link_lost(upstream_link& link) {
  link_.reset();
  auto* group = state_.find_group(group_);
  if (outstanding_ > 0 && group)
    group->record_failure(link.upstream(), group->leader() == database_);
  wire::write_failure(stream_.output(), failure_kind::aborted,
                      "the database's connection was lost", duration{0});
  finish();
}

void relay_session::on_timer() {
  relay_session_ptr keep(this);
  if (!is_linked()) return finish();
  unlink();
  wait_expired_ = true;
  on_input();
}

}  // namespace toucanmux
