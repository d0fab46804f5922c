#include "process/pool-process.h"

#include "process/clock.h"
#include "process/log.h"
#include "process/status-page.h"
#include "process/timeline.h"

namespace toucanmux {

namespace {

// Extra notice time, so that an entry of the same instance stops first and is
// served until then.
constexpr std::chrono::seconds notice_after_entries{1};

group_state state_of(const database_group& group) {
  group_state out;
  out.hint.group = group.id;
  out.hint.term = group.term;
  out.hint.primary = group.primary;
  return out;
}

}  // namespace

struct pool_process::traffic {
  traffic_thread thread;
  std::unique_ptr<pool_thread> state;
};

pool_process::pool_process(const pool_settings& settings)
    : settings_(settings),
      metrics_(std::make_shared<prometheus::Registry>()),
      control_metrics_(*metrics_),
      platform_(settings.process.platform),
      bus_(settings.process.self),
      entry_listener_([this](qintptr descriptor) { adopt(descriptor); }),
      admin_(settings.process.self.address, settings.process.admin_port,
             metrics_),
      view_(new fleet_view),
      groups_(settings.process.self, platform_, bus_,
              [this](const group_state& state) { publish(state); }),
      members_(settings.process, bus_, platform_),
      config_(settings.process, platform_, members_,
              [this](fleet_view_ptr view) { publish(std::move(view)); }),
      drain_(settings.process.drain_notice + notice_after_entries, members_,
             {[this] { stop_new_work(); }, [this] { return idle(); }}) {
  auto count = static_cast<std::size_t>(settings.process.threads);
  auto post = [this](std::size_t number,
                     std::function<void(pool_thread&)> work) {
    auto& one = *threads_[number];
    one.thread.post([&one, work = std::move(work)] { work(*one.state); });
  };
  for (std::size_t i = 0; i < count; ++i) {
    auto& one = *threads_.emplace_back(std::make_unique<traffic>());
    one.thread.run([&] {
      one.state = std::make_unique<pool_thread>(i, count, settings_, post);
    });
  }
  members_.on({[this] { config_.members_changed(); },
               [this](const member_id& from, const std::string& digest) {
                 config_.handle_peer_digest(from, digest);
               },
               [this] { drain_.start({}); }});
  add_pages();
}

pool_process::~pool_process() {
  for (auto& one : threads_) {
    one->thread.run([&] { one->state.reset(); });
  }
}

void pool_process::start() {
  const auto& self = settings_.process.self;
  entry_listener_.open(self.address, self.service_port);
  config_.start();
  members_.start();
  log_info(log_part::process, "Serving entries at port " +
                                  std::to_string(entry_listener_.serverPort()));
  process_timeline().record("started", {});
}

void pool_process::adopt(qintptr descriptor) {
  auto& one = *threads_[next_thread_++ % threads_.size()];
  one.thread.post([&one, descriptor] { one.state->adopt(descriptor); });
}

void pool_process::publish(fleet_view_ptr view) {
  view_ = std::move(view);
  for (auto& one : threads_) {
    one->thread.post([&one = *one, view = view_] { one.state->update(view); });
  }
  groups_.update(view_);
  for (const auto& [id, group] : view_->groups) {
    if (!groups_.serves(id)) publish(state_of(group));
  }
}

void pool_process::publish(const group_state& state) {
  hints_[state.hint.group] = state.hint;
  for (auto& one : threads_) {
    one->thread.post([&one = *one, state] { one.state->update(state); });
  }
}

void pool_process::drain(std::function<void()> done) {
  drain_.start(std::move(done));
}

void pool_process::stop_new_work() {
  for (auto& one : threads_) {
    one->thread.post([&one = *one] { one.state->drain(); });
  }
}

bool pool_process::idle() {
  bool idle = true;
  for (auto& one : threads_) {
    one->thread.run([&] { idle = one->state->idle(now()) && idle; });
  }
  return idle;
}

void pool_process::add_pages() {
  admin_.on("/healthz", [this](const auto&) {
    http_response out;
    out.status = ready() ? 200 : 503;
    out.body = ready() ? R"({"ready":true})" : R"({"ready":false})";
    return out;
  });
  admin_.on("/status", [this](const auto&) {
    return make_status_page(settings_.process.self, *view_, ready(), hints_);
  });
  admin_.before_metrics([this] { control_metrics_.update(bus_, platform_); });
}

bool pool_process::ready() const {
  return !view_->groups.empty() && drain_.serving();
}

}  // namespace toucanmux
