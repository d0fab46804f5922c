#include "proxy/proxy-process.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>

#include "proxy/erase-deferred.h"
#include "proxy/signal-pipe.h"
#include "toucanmux/error.h"
#include "toucanmux/proxy/connections/connection-share.h"
#include "toucanmux/proxy/contention-policy.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// All periodic control work runs in one wake-up at this interval.
constexpr duration tick_interval = milliseconds(200);
constexpr std::uint16_t metrics_port = 9464;
// How often a stopping process looks for sessions that it can close.
constexpr duration stop_interval = milliseconds(20);
// From the last answer until the process ends, so that the answer is sent.
constexpr duration drain_linger = milliseconds(100);

}  // namespace

proxy_process::proxy_process(event_loop& loop, const proxy_settings& settings,
                             std::string settings_path)
    : loop_(loop),
      settings_path_(std::move(settings_path)),
      state_(loop, settings),
      sharing_(loop, state_.log, settings.self, settings.domain),
      peers_(state_,
             {[this] { update_connection_shares(); },
              [this](const auto& update) { store_.apply_update(update); }}),
      store_(state_, peers_),
      leaders_(state_, peers_, store_),
      domains_(state_, peers_, store_),
      drain_({}),
      tick_timer_([this] { tick(); }),
      stop_timer_([this] { advance_stop(); }),
      signals_(std::make_unique<signal_pipe>(
          loop, [this](int number, instant at) { handle_signal(number, at); })),
      readiness_port_(
          loop, settings.readiness_address,
          [this](std::string_view path) { return answer_probe(path); }),
      caller_listener_(loop, settings.caller_address,
                       [this](int descriptor) { accept(descriptor); }) {
  try {
    metrics_port_ = std::make_unique<http_port>(
        loop, inet_address{settings.ip, metrics_port},
        [this](std::string_view path) { return answer_probe(path); });
  } catch (const platform_error& e) {
    state_.log.write(journal_kind::dependency, "no_metrics",
                     {{"reason", e.what()}});
  }
}

// Runs the callbacks deferred to the end of the turn, since they use members of
// this object.
proxy_process::~proxy_process() {
  auto sessions = sessions_;
  for (const auto& session : sessions) session->finish();
  sessions.clear();
  if (relay_server_) relay_server_->finish();
  loop_.turn(duration{0});
  relay_server_.reset();
  sessions_.clear();
}

void proxy_process::start() {
  state_.log.write(journal_kind::process, "start",
                   {{"failure_domain", state_.settings.domain.value},
                    {"callers", to_text(state_.settings.caller_address)},
                    {"store", to_text(state_.settings.store_address)}});
  store_.start();
  tick();
}

void proxy_process::run() {
  start();
  loop_.run();
  state_.log.write(journal_kind::process, "stop",
                   {{"sessions", std::uint64_t{sessions_.size()}},
                    {"taken_ms", state_.stop.elapsed(loop_.now())},
                    {"dropped_lines", state_.log.dropped()}});
}

void proxy_process::accept(int descriptor) {
  if (sessions_.size() >= state_.settings.max_sessions) {
    close(descriptor);
    state_.log.write(journal_kind::dependency, "caller_turned_away",
                     {{"sessions", std::uint64_t{sessions_.size()}}});
    return;
  }
  sessions_.push_back(new client_session(state_, *this, descriptor));
}

void proxy_process::on_session_ended(client_session& session) {
  erase_deferred(loop_, sessions_, session);
}

probe_response proxy_process::answer_probe(std::string_view path) {
  if (path == "/metrics") {
    update_metrics();
    return {200, state_.metrics.text()};
  }
  return {is_ready() ? 200U : 503U, ""};
}

bool proxy_process::is_ready() const {
  return !state_.stopping && store_.upstreams_known() && domains_.ready() &&
         state_.confirmation.valid(loop_.now());
}

void proxy_process::handle_signal(int number, instant raised_at) {
  if (number == SIGHUP) return reload();
  if (state_.stopping) return;
  state_.stopping = true;
  state_.stop.begin(raised_at, state_.settings.shutdown_timeout);
  drain_ = drain({state_.stop.notice(), drain_linger});
  state_.log.write(journal_kind::process, "stopping",
                   {{"sessions", std::uint64_t{sessions_.size()}},
                    {"raised_ms", boot_time() - raised_at},
                    {"timeout_ms", state_.settings.shutdown_timeout}});
  drain_.step(raised_at, drain::leave{});
  loop_.arm_in(stop_timer_, stop_interval);
  peers_.expedite_reports();
  peers_.tick();
}

// Only the shutdown timeout is reloaded: addresses stay bound until the process
// ends.
void proxy_process::reload() {
  try {
    auto reloaded = read_proxy_settings(settings_path_);
    state_.settings.shutdown_timeout = reloaded.shutdown_timeout;
    state_.log.write(journal_kind::process, "reloaded",
                     {{"path", settings_path_}});
  } catch (const settings_error& e) {
    state_.log.write(journal_kind::process, "reload_refused",
                     {{"reason", e.what()}});
  }
}

void proxy_process::tick() {
  for (auto& [id, group] : state_.groups) group->tick();
  check_leases();
  update_contention();
  update_sharing();
  store_.tick();
  domains_.tick();
  leaders_.tick();
  peers_.tick();
  tick_due_ = loop_.now() + tick_interval;
  loop_.arm_in(tick_timer_, tick_interval);
}

void proxy_process::update_contention() {
  contention_inputs inputs;
  inputs.pressure = state_.settings.pressure;
  inputs.known_instances = peers_.known_count() + 1;
  inputs.teams = state_.config->teams().size();
  // Instances that are down return, so they count here.
  auto instances = static_cast<unsigned>(inputs.known_instances);
  for (const auto& policy : state_.config->groups()) {
    auto share = connection_quotient(instances, policy.max_connections);
    bool smallest =
        inputs.connection_share == 0 || share < inputs.connection_share;
    if (smallest) inputs.connection_share = share;
  }
  bool contended = is_contended(inputs);
  if (contended == state_.contended) return;
  state_.contended = contended;
  state_.log.write(journal_kind::belief, "contention_changed",
                   {{"contended", contended},
                    {"instances", std::uint64_t{inputs.known_instances}},
                    {"teams", std::uint64_t{inputs.teams}},
                    {"connections", std::uint64_t{inputs.connection_share}}});
}

void proxy_process::update_sharing() {
  bool active = state_.contended && state_.settings.relay_address.port != 0;
  if (active) {
    start_relay_server();
    if (sharing_.set_instances(peers_.sharing_instances()))
      update_connection_shares();
  } else if (sharing_.instance_count() > 0) {
    sharing_.stop();
  }
  for (auto& [id, group] : state_.groups)
    group->set_sharing(active ? &sharing_ : nullptr);
  sharing_.tick();
  bool ticked = tick_due_ != instant{};
  if (relay_server_)
    relay_server_->tick(ticked ? boot_time() - tick_due_ : duration{0});
}

// Without the relay address this instance still uses the relays of others. It
// fails requests to its own, which makes them avoid it.
void proxy_process::start_relay_server() {
  if (relay_started_) return;
  relay_started_ = true;
  const auto& address = state_.settings.relay_address;
  try {
    relay_server_ = std::make_unique<relay_server>(state_, address);
    state_.log.write(journal_kind::process, "relay_started",
                     {{"address", to_text(address)}});
  } catch (const platform_error& e) {
    state_.log.write(journal_kind::dependency, "no_relay",
                     {{"reason", e.what()}});
  }
}

void proxy_process::check_leases() {
  bool leases_held = state_.leader_leases.valid(loop_.now());
  if (leases_held == leases_held_) return;
  leases_held_ = leases_held;
  auto age = state_.leader_leases.confirmed()
                 ? state_.leader_leases.age(loop_.now())
                 : duration{0};
  state_.log.write(journal_kind::belief,
                   leases_held ? "leases_held" : "leases_ended",
                   {{"age_ms", age}});
}

void proxy_process::advance_stop() {
  instant now = loop_.now();
  if (!state_.stop.accepts_operations(now)) close_idle_sessions();
  if (!state_.stop.accepts_statement(now, instant::max())) end_unsent_work();
  if (state_.stop.over(now) && !work_given_up_) give_up_work();
  drain_.step(now, drain::work{busy_sessions()});
  drain_.step(now, drain::tick{});
  bool drained = drain_.state() == drain::phase::drained;
  if (drained || state_.stop.expired(now)) return loop_.stop();
  loop_.arm_in(stop_timer_, stop_interval);
}

void proxy_process::close_idle_sessions() {
  auto sessions = sessions_;
  for (const auto& session : sessions) session->close_if_idle();
}

void proxy_process::end_unsent_work() {
  auto sessions = sessions_;
  for (const auto& session : sessions) session->end_unsent_work();
}

// Callers learn whether the outcome of their statement is known.
void proxy_process::give_up_work() {
  work_given_up_ = true;
  auto count_if = [this](auto predicate) {
    return static_cast<std::uint64_t>(
        std::count_if(sessions_.begin(), sessions_.end(), predicate));
  };
  auto running = count_if([](const auto& s) { return s->running(); });
  auto transactions =
      count_if([](const auto& s) { return s->in_transaction(); });
  auto relayed = relay_server_ ? relay_server_->busy_sessions() : 0;
  state_.log.write(journal_kind::process, "work_given_up",
                   {{"statements", running},
                    {"transactions", transactions},
                    {"relayed", std::uint64_t{relayed}}});
  auto sessions = sessions_;
  for (const auto& session : sessions) session->give_up();
}

std::uint64_t proxy_process::busy_sessions() const {
  auto busy = std::count_if(
      sessions_.begin(), sessions_.end(), [](const auto& session) {
        return !session->can_close() || session->is_sending();
      });
  auto out = static_cast<std::uint64_t>(busy);
  if (relay_server_) out += relay_server_->busy_sessions();
  return out;
}

void proxy_process::update_connection_shares() {
  const auto& members = peers_.members();
  for (auto& [id, group] : state_.groups) group->set_members(members);
}

void proxy_process::update_metrics() {
  auto& metrics = state_.metrics;
  metrics.set("sessions", static_cast<double>(sessions_.size()));
  metrics.set("answers_cut", static_cast<double>(state_.answers_cut));
  metrics.set("store_calls", static_cast<double>(store_.calls()));
  metrics.set("store_generation", static_cast<double>(state_.store.current()));
  metrics.set("dropped_log_lines", static_cast<double>(state_.log.dropped()));
  metrics.set("config_version", static_cast<double>(state_.config->version()));
  double waiting = 0;
  double opened = 0;
  double refused = 0;
  for (const auto& [id, group] : state_.groups) {
    waiting += static_cast<double>(group->queue_length());
    opened += static_cast<double>(group->connections_opened());
    refused += static_cast<double>(group->connections_refused());
  }
  update_sharing_metrics(opened);
  domains_.update_metrics();
  metrics.set("statements_waiting", waiting);
  metrics.set("connections_opened", opened);
  metrics.set("connections_refused", refused);
}

void proxy_process::update_sharing_metrics(double connections_opened) {
  auto& metrics = state_.metrics;
  double evicted = 0;
  double answered = 0;
  for (const auto& [id, group] : state_.groups) {
    evicted += static_cast<double>(group->connections_evicted());
    answered += static_cast<double>(group->statements_answered());
  }
  const auto& counts = sharing_.counts();
  metrics.set("connections_evicted", evicted);
  metrics.set("connections_per_statement",
              connections_opened / std::max(answered, 1.0));
  metrics.set("relayed_statements", static_cast<double>(counts.statements));
  metrics.set("relay_refusals", static_cast<double>(counts.refusals));
  metrics.set("relay_links", static_cast<double>(sharing_.link_count()));
  metrics.set("owners_avoided", static_cast<double>(sharing_.avoided_count()));
  if (!relay_server_) return;
  metrics.set("relay_sessions",
              static_cast<double>(relay_server_->session_count()));
  metrics.set("relay_uses", static_cast<double>(relay_server_->uses()));
  metrics.set("relay_uses_refused",
              static_cast<double>(relay_server_->refusals()));
}

}  // namespace toucanmux
