#include "proxy/upstream-link.h"

namespace toucanmux {

bool upstream_link::connect(const upstream_entry& to, duration limit) {
  wire::write_connect(hello_, to.group, team_.value, to.id);
  loop_.arm_in(limit_, limit);
  return stream_.connect(to.address);
}

std::optional<instant> upstream_link::waits_since() const {
  if (expected_.empty()) return {};
  return expected_.front().sent;
}

void upstream_link::release() {
  user_ = nullptr;
  rested_since_ = loop_.now();
  if (!answering_) settle();
}

void upstream_link::settle() {
  if (state_ != state::open || user_ || !expected_.empty()) return;
  // A transaction that nobody ended must not stay open.
  if (transaction_ != wire::transaction_state::idle) return send_rollback();
  keeper_.on_link_idle(*this);
}

void upstream_link::expect(link_step step) {
  expected_.push_back({step, loop_.now()});
  stream_.schedule_flush();
}

void upstream_link::send_values(const session_values& session) {
  if (needs_reset(session, values_)) {
    wire::write_reset(stream_.output());
    expect(link_step::values);
    values_.values.clear();
    prepared_.clear();
  }
  for (const auto& [name, value] : session.values) {
    auto known = values_.values.find(name);
    if (known != values_.values.end() && known->second == value) continue;
    wire::write_set(stream_.output(), name, value);
    expect(link_step::values);
    values_.values[name] = value;
  }
}

std::string upstream_link::prepared_name(const prepared_shape& shape) {
  auto [at, fresh] = prepared_.try_emplace(shape);
  if (!fresh) return at->second;
  // A name is never used twice on a connection, whatever was reset.
  at->second = "p" + std::to_string(++prepared_count_);
  wire::write_prepare(stream_.output(), at->second, shape.writes, shape.shape);
  expect(link_step::values);
  return at->second;
}

void upstream_link::send_begin(bool read_only,
                               const std::optional<log_position>& after) {
  wire::write_begin(stream_.output(), read_only, after);
  expect(read_only ? link_step::begin_read : link_step::begin);
}

void upstream_link::send_statement(std::string_view id,
                                   const std::optional<log_position>& after,
                                   std::string_view text) {
  wire::write_statement(stream_.output(), id, after, text);
  expect(link_step::statement);
}

void upstream_link::send_rollback() {
  wire::write_rollback(stream_.output());
  expect(link_step::rollback);
}

void upstream_link::send_probe() {
  wire::write_begin(stream_.output(), false, {});
  expect(link_step::probe);
  send_rollback();
}

void upstream_link::send_question(link_step step, std::uint64_t term) {
  if (step == link_step::fence) {
    wire::write_fence(stream_.output(), term);
  } else if (step == link_step::step_down) {
    wire::write_step_down(stream_.output(), term);
  } else {
    wire::write_status_query(stream_.output());
  }
  expect(step);
}

void upstream_link::retire(duration limit) {
  if (state_ != state::open) return;
  state_ = state::retiring;
  wire::write_quit(stream_.output());
  stream_.schedule_flush();
  loop_.arm_in(limit_, limit);
}

void upstream_link::abort() {
  if (state_ == state::ended) return;
  stream_.close();
  end();
}

void upstream_link::on_open() { stream_.send(hello_); }

void upstream_link::on_input() {
  link_ptr keep(this);
  std::string& input = stream_.input();
  std::size_t used = 0;
  while (state_ != state::ended) {
    auto stop = input.find("\r\n", used);
    if (stop == std::string::npos) break;
    std::string_view line(input.data() + used, stop - used);
    used = stop + 2;
    take_line(line);
  }
  if (state_ == state::ended) return;
  input.erase(0, used);
  if (input.size() > wire::max_line_size) abort();
}

void upstream_link::on_closed() { end(); }

void upstream_link::take_line(std::string_view line) {
  auto what = wire::parse_upstream_line(line);
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
    take_ready(*ready);
  } else {
    abort();
  }
}

void upstream_link::take_ready(const wire::ready& what) {
  if (state_ == state::connecting) return finish_connect(what);
  if (expected_.empty()) return abort();
  answer(what);
}

void upstream_link::finish_connect(const wire::ready&) {
  limit_.disarm();
  state_ = state::open;
  rested_since_ = opened_at_ = loop_.now();
  keeper_.on_link_ready(*this);
}

void upstream_link::answer(const wire::ready& what) {
  auto first = expected_.front();
  expected_.pop_front();
  link_answer out;
  out.step = first.step;
  out.sent = first.sent;
  out.ok = done_ && !error_;
  out.error = error_.value_or(wire::failure_kind::other);
  out.rows = rows_;
  out.end = last_line_;
  out.state = what.state;
  out.position = what.position;
  transaction_ = what.state;
  answering_ = true;
  keeper_.on_link_answer(*this, out);
  bool lost_values = out.step == link_step::values && !out.ok;
  if (user_ && !lost_values) user_->on_answer(*this, out);
  answering_ = false;
  rows_.clear();
  last_line_.clear();
  done_ = false;
  error_.reset();
  // Whatever follows would run with other values than its session has.
  if (lost_values) return abort();
  settle();
}

void upstream_link::end() {
  if (state_ == state::ended) return;
  link_ptr keep(this);
  state_ = state::ended;
  limit_.disarm();
  auto* user = user_;
  user_ = nullptr;
  keeper_.on_link_ended(*this);
  if (user) user->on_link_lost(*this);
}

void upstream_link::give_up() { abort(); }

}  // namespace toucanmux
