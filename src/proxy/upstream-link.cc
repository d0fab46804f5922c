#include "proxy/upstream-link.h"

namespace toucanmux {

bool upstream_link::connect(const upstream_entry& to, duration limit) {
  wire::write_connect(connect_line_, to.group, team_.value, to.id);
  loop_.arm_in(timeout_timer_, limit);
  return stream_.connect(to.address);
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
  // A transaction that nobody ended must not stay open.
  if (transaction_state_ != wire::transaction_state::idle)
    return send_rollback();
  owner_.on_link_idle(*this);
}

void upstream_link::expect_answer(link_purpose step) {
  expected_answers_.push_back({step, loop_.now()});
  stream_.touch();
}

void upstream_link::send_values(const session_values& session) {
  if (needs_reset(session, values_)) {
    wire::write_reset(stream_.output());
    expect_answer(link_purpose::set_values);
    values_.values.clear();
    prepared_.clear();
  }
  for (const auto& [name, value] : session.values) {
    auto known = values_.values.find(name);
    if (known != values_.values.end() && known->second == value) continue;
    wire::write_set(stream_.output(), name, value);
    expect_answer(link_purpose::set_values);
    values_.values[name] = value;
  }
}

std::string upstream_link::prepared_name(const prepared_statement& shape) {
  auto [at, fresh] = prepared_.try_emplace(shape);
  if (!fresh) return at->second;
  // A name is never used twice on a connection, whatever was reset.
  at->second = "p" + std::to_string(++prepared_count_);
  wire::write_prepare(stream_.output(), at->second, shape.writes, shape.shape);
  expect_answer(link_purpose::set_values);
  return at->second;
}

void upstream_link::send_begin(bool read_only,
                               const std::optional<log_position>& after) {
  wire::write_begin(stream_.output(), read_only, after);
  expect_answer(read_only ? link_purpose::begin_read_only
                          : link_purpose::begin);
}

void upstream_link::send_statement(std::string_view id,
                                   const std::optional<log_position>& after,
                                   std::string_view text) {
  wire::write_statement(stream_.output(), id, after, text);
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

void upstream_link::send_control_request(link_purpose step,
                                         std::uint64_t term) {
  if (step == link_purpose::fence) {
    wire::write_fence(stream_.output(), term);
  } else if (step == link_purpose::step_down) {
    wire::write_step_down(stream_.output(), term);
  } else {
    wire::write_ask_status(stream_.output());
  }
  expect_answer(step);
}

void upstream_link::retire(duration limit) {
  if (state_ != state::open) return;
  state_ = state::retiring;
  wire::write_quit(stream_.output());
  stream_.touch();
  loop_.arm_in(timeout_timer_, limit);
}

void upstream_link::abort() {
  if (state_ == state::ended) return;
  stream_.close();
  end();
}

void upstream_link::on_open() { stream_.send(connect_line_); }

void upstream_link::on_input() {
  link_ptr keep(this);
  std::string& input = stream_.input();
  std::size_t used = 0;
  while (state_ != state::ended) {
    auto stop = input.find("\r\n", used);
    if (stop == std::string::npos) break;
    std::string_view line(input.data() + used, stop - used);
    used = stop + 2;
    handle_line(line);
  }
  if (state_ == state::ended) return;
  input.erase(0, used);
  if (input.size() > wire::longest_line) abort();
}

void upstream_link::on_closed() { end(); }

void upstream_link::handle_line(std::string_view line) {
  auto what = wire::read_upstream_line(line);
  if (std::holds_alternative<wire::row>(what)) {
    rows_.append(line).append("\r\n");
  } else if (std::holds_alternative<wire::done>(what)) {
    done_ = true;
    last_line_.assign(line).append("\r\n");
  } else if (const auto* failed = std::get_if<wire::failure>(&what)) {
    error_ = failed->kind;
    last_line_.assign(line).append("\r\n");
    if (state_ == state::connecting) refusal_ = failed->kind;
  } else if (const auto* ready = std::get_if<wire::ready>(&what)) {
    handle_ready(*ready);
  } else {
    abort();
  }
}

void upstream_link::handle_ready(const wire::ready& what) {
  if (state_ == state::connecting) return finish_connect(what);
  if (expected_answers_.empty()) return abort();
  complete_answer(what);
}

void upstream_link::finish_connect(const wire::ready&) {
  timeout_timer_.disarm();
  state_ = state::open;
  idle_since_ = opened_at_ = loop_.now();
  owner_.on_link_ready(*this);
}

void upstream_link::complete_answer(const wire::ready& what) {
  auto first = expected_answers_.front();
  expected_answers_.pop_front();
  link_answer out;
  out.purpose = first.purpose;
  out.sent_at = first.sent_at;
  out.ok = done_ && !error_;
  out.error = error_.value_or(wire::failure_kind::other);
  out.rows = rows_;
  out.end_line = last_line_;
  out.state = what.state;
  out.position = what.position;
  transaction_state_ = what.state;
  delivering_answer_ = true;
  owner_.on_link_answer(*this, out);
  bool lost_values = out.purpose == link_purpose::set_values && !out.ok;
  if (user_ && !lost_values) user_->on_answer(*this, out);
  delivering_answer_ = false;
  rows_.clear();
  last_line_.clear();
  done_ = false;
  error_.reset();
  // Whatever follows would run with other values than its session has.
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
