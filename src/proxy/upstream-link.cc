#include "proxy/upstream-link.h"

namespace toucanmux {

bool upstream_link::connect(const upstream_entry& entry, duration timeout) {
  wire::write_connect(connect_line_, entry.group, team_.value, entry.id);
  loop_.arm_in(timeout_timer_, timeout);
  created_at_ = loop_.now();
  return stream_.connect(entry.address);
}

bool upstream_link::connect_relay(const upstream_entry& entry,
                                  const inet_address& relay, unsigned priority,
                                  duration timeout) {
  relayed_ = true;
  wire::write_relay_connect(connect_line_, entry.group, team_.value, entry.id,
                            priority);
  loop_.arm_in(timeout_timer_, timeout);
  return stream_.connect(relay);
}

std::optional<instant> upstream_link::oldest_unanswered_at() const {
  if (expected_answers_.empty()) return {};
  return expected_answers_.front().sent_at;
}

void upstream_link::release() {
  user_ = nullptr;
  idle_since_ = loop_.now();
  if (!delivering_answer_) notify_if_idle();
}

void upstream_link::notify_if_idle() {
  if (state_ != state::open || user_ || !expected_answers_.empty()) return;
  // The user released the link without ending its transaction.
  if (transaction_state_ != wire::transaction_state::idle)
    return send_rollback();
  owner_.on_link_idle(*this);
}

void upstream_link::expect_answer(link_purpose purpose) {
  expected_answers_.push_back({purpose, loop_.now()});
  stream_.schedule_flush();
}

std::optional<duration> upstream_link::time_left() const {
  if (!relayed_) return {};
  return deadline_ - loop_.now();
}

void upstream_link::send_values(const session_values& session) {
  if (needs_reset(session, values_)) {
    wire::write_reset(stream_.output());
    expect_answer(link_purpose::set_values);
    values_.values.clear();
    prepared_.clear();
  }
  for (const auto& [name, value] : session.values) {
    auto current = values_.values.find(name);
    if (current != values_.values.end() && current->second == value) continue;
    wire::write_set(stream_.output(), name, value);
    expect_answer(link_purpose::set_values);
    values_.values[name] = value;
  }
}

std::string upstream_link::prepared_name(const prepared_statement& statement) {
  auto [entry, inserted] = prepared_.try_emplace(statement);
  if (!inserted) return entry->second;
  // Names are not reused on a connection, not even after a reset.
  entry->second = "p" + std::to_string(++prepared_count_);
  wire::write_prepare(stream_.output(), entry->second, statement.writes,
                      statement.shape);
  expect_answer(link_purpose::set_values);
  return entry->second;
}

void upstream_link::send_begin(bool read_only,
                               const std::optional<log_position>& after) {
  wire::write_begin(stream_.output(), read_only, after, time_left());
  expect_answer(read_only ? link_purpose::begin_read_only
                          : link_purpose::begin);
}

void upstream_link::send_statement(std::string_view id,
                                   const std::optional<log_position>& after,
                                   std::string_view text) {
  wire::write_statement(stream_.output(), id, after, text, time_left());
  expect_answer(link_purpose::statement);
}

void upstream_link::send_rollback() {
  wire::write_rollback(stream_.output());
  expect_answer(link_purpose::rollback);
}

void upstream_link::send_probe() {
  wire::write_begin(stream_.output(), false, {});
  expect_answer(link_purpose::probe);
  send_rollback();
}

void upstream_link::send_control_request(link_purpose purpose,
                                         std::uint64_t term) {
  if (purpose == link_purpose::fence) {
    wire::write_fence(stream_.output(), term);
  } else if (purpose == link_purpose::step_down) {
    wire::write_step_down(stream_.output(), term);
  } else {
    wire::write_status_query(stream_.output());
  }
  expect_answer(purpose);
}

void upstream_link::retire(duration timeout) {
  if (state_ != state::open) return;
  state_ = state::retiring;
  wire::write_quit(stream_.output());
  stream_.schedule_flush();
  loop_.arm_in(timeout_timer_, timeout);
}

void upstream_link::abort() {
  if (state_ == state::ended) return;
  aborted_ = true;
  stream_.close();
  end();
}

void upstream_link::on_open() { stream_.send(connect_line_); }

void upstream_link::on_input() {
  link_ptr keep(this);
  std::string& input = stream_.input();
  std::size_t consumed = 0;
  while (state_ != state::ended) {
    auto line_end = input.find("\r\n", consumed);
    if (line_end == std::string::npos) break;
    std::string_view line(input.data() + consumed, line_end - consumed);
    consumed = line_end + 2;
    handle_line(line);
  }
  if (state_ == state::ended) return;
  input.erase(0, consumed);
  if (input.size() > wire::max_line_size) abort();
}

void upstream_link::on_closed() { end(); }

void upstream_link::handle_line(std::string_view line) {
  auto message = wire::parse_upstream_line(line);
  if (std::holds_alternative<wire::row>(message)) {
    rows_.append(line).append("\r\n");
  } else if (std::holds_alternative<wire::done>(message)) {
    done_ = true;
    last_line_.assign(line).append("\r\n");
  } else if (const auto* failed = std::get_if<wire::failure>(&message)) {
    error_ = failed->kind;
    last_line_.assign(line).append("\r\n");
    if (state_ == state::connecting) refusal_ = failed->kind;
  } else if (const auto* ready = std::get_if<wire::ready>(&message)) {
    handle_ready(*ready);
  } else {
    abort();
  }
}

void upstream_link::handle_ready(const wire::ready& ready) {
  if (state_ == state::connecting) return finish_connect(ready);
  if (expected_answers_.empty()) return abort();
  complete_answer(ready);
}

void upstream_link::finish_connect(const wire::ready&) {
  timeout_timer_.disarm();
  state_ = state::open;
  idle_since_ = opened_at_ = loop_.now();
  owner_.on_link_ready(*this);
}

void upstream_link::complete_answer(const wire::ready& ready) {
  auto expected = expected_answers_.front();
  expected_answers_.pop_front();
  link_answer answer;
  answer.purpose = expected.purpose;
  answer.sent_at = expected.sent_at;
  answer.ok = done_ && !error_;
  answer.error = error_.value_or(wire::failure_kind::other);
  answer.rows = rows_;
  answer.end_line = last_line_;
  answer.state = ready.state;
  answer.position = ready.position;
  transaction_state_ = ready.state;
  delivering_answer_ = true;
  owner_.on_link_answer(*this, answer);
  bool lost_values = answer.purpose == link_purpose::set_values && !answer.ok;
  if (user_ && !lost_values) user_->on_answer(*this, answer);
  delivering_answer_ = false;
  rows_.clear();
  last_line_.clear();
  done_ = false;
  error_.reset();
  // Later statements would run without the session's values.
  if (lost_values) return abort();
  notify_if_idle();
}

void upstream_link::end() {
  if (state_ == state::ended) return;
  link_ptr keep(this);
  state_ = state::ended;
  timeout_timer_.disarm();
  auto* user = user_;
  user_ = nullptr;
  owner_.on_link_ended(*this);
  if (user) user->on_link_lost(*this);
}

void upstream_link::on_timeout() { abort(); }

}  // namespace toucanmux
