#include "process/entry-process.h"

#include <map>

#include "process/clock.h"
#include "process/log.h"
#include "process/status-page.h"
#include "process/timeline.h"

namespace toucanmux {

namespace {

constexpr std::chrono::seconds owners_timeout{5};

instance_limits::settings limits_settings(const entry_settings& settings) {
  instance_limits::settings out;
  out.self = settings.process.self.id;
  out.incarnation = settings.process.self.incarnation;
  out.domain = settings.process.self.domain;
  out.domains = settings.domains;
  return out;
}

}  // namespace

struct entry_process::traffic {
  traffic_thread thread;
  std::unique_ptr<entry_thread> state;
};

entry_process::entry_process(const entry_settings& settings)
    : settings_(settings),
      metrics_(std::make_shared<prometheus::Registry>()),
      control_metrics_(*metrics_),
      statement_metrics_(*metrics_),
      platform_(settings.process.platform),
      bus_(settings.process.self),
      limiter_(limits_settings(settings), bus_, platform_),
      caller_listener_([this](qintptr descriptor) { adopt(descriptor); }),
      admin_(settings.process.self.address, settings.process.admin_port,
             metrics_),
      view_(new fleet_view),
      members_(settings.process, bus_, platform_),
      config_(settings.process, platform_, members_,
              [this](fleet_view_ptr view) { publish(std::move(view)); }),
      drain_(settings.process.drain_notice, members_,
             {[this] { stop_new_work(); }, [this] { return idle(); }}) {
  for (int i = 0; i < settings.process.threads; ++i) {
    auto& one = *threads_.emplace_back(std::make_unique<traffic>());
    one.thread.run([&] {
      one.state = std::make_unique<entry_thread>(
          settings_,
          [this, &one](const team_id& team, auto done) {
            admit(one, team, std::move(done));
          },
          statement_metrics_);
    });
  }
  members_.on({[this] {
                 config_.members_changed();
                 update_limiter_members();
               },
               [this](const member_id& from, const std::string& digest) {
                 config_.handle_peer_digest(from, digest);
               },
               [this] { drain_.start({}); }});
  QObject::connect(&transaction_timer_, &QTimer::timeout,
                   [this] { end_transactions(); });
  update_limiter_members();
  add_pages();
}

entry_process::~entry_process() {
  for (auto& one : threads_) {
    one->thread.run([&] { one->state.reset(); });
  }
}

void entry_process::start() {
  caller_listener_.open(settings_.caller_address, settings_.caller_port);
  config_.start();
  members_.start();
  log_info(log_part::process,
           "Serving callers at port " +
               std::to_string(caller_listener_.serverPort()));
  process_timeline().record("started", {});
}

void entry_process::adopt(qintptr descriptor) {
  auto& one = *threads_[next_thread_++ % threads_.size()];
  one.thread.post([&one, descriptor] { one.state->adopt(descriptor); });
}

void entry_process::publish(fleet_view_ptr view) {
  if (!view_->ready()) first_view_at_ = now();
  view_ = std::move(view);
  if (view_->teams) limiter_.update(*view_->teams);
  for (auto& one : threads_) {
    one->thread.post([&one = *one, view = view_] { one.state->update(view); });
  }
}

void entry_process::admit(traffic& requester, const team_id& team,
                          const std::function<void(admission)>& done) {
  auto on_decision = [&requester, done](const admission& decision) {
    requester.thread.post([done, decision] { done(decision); });
  };
  if (auto decision = limiter_.admit(team, on_decision)) done(*decision);
}

// Membership keeps no entries of other failure domains, only pools. So the
// entries there that may hold seats are taken from the seeds in the settings.
void entry_process::update_limiter_members() {
  std::map<member_id, member> known;
  for (const auto& seed : settings_.process.seeds) known[seed.id] = seed;
  for (const auto& id : members_.domain_members()) {
    if (const auto* live = members_.find(id)) known[id] = *live;
  }
  std::vector<member> out;
  out.reserve(known.size());
  for (const auto& [id, one] : known) out.push_back(one);
  limiter_.set_members(out);
}

void entry_process::drain(std::function<void()> done) {
  drain_.start(std::move(done));
}

void entry_process::stop_new_work() {
  caller_listener_.close();
  for (auto& one : threads_) {
    one->thread.post([&one = *one] { one.state->drain(); });
  }
  auto transaction_time = std::chrono::ceil<std::chrono::milliseconds>(
      settings_.process.drain_notice);
  transaction_timer_.setSingleShot(true);
  transaction_timer_.start(transaction_time);
}

// Open transactions have the time of the notice once more to end by themselves.
void entry_process::end_transactions() {
  for (auto& one : threads_) {
    one->thread.post([&one = *one] { one.state->end_transactions(); });
  }
}

bool entry_process::idle() {
  bool idle = true;
  for (auto& one : threads_) {
    one->thread.run([&] { idle = idle && one->state->idle(); });
  }
  return idle;
}

// Databases of other failure domains can't be reached until their pools are
// known. The timeout keeps a partitioned domain from delaying readiness
// forever.
bool entry_process::ready() {
  if (!view_->ready() || !limiter_.ready() || !drain_.serving()) return false;
  return view_->all_owned() || now() - first_view_at_ > owners_timeout;
}

void entry_process::add_pages() {
  admin_.on("/healthz", [this](const auto&) {
    http_response out;
    bool is_ready = ready();
    out.status = is_ready ? 200 : 503;
    out.body = is_ready ? R"({"ready":true})" : R"({"ready":false})";
    return out;
  });
  admin_.on("/status", [this](const auto&) {
    return make_status_page(settings_.process.self, *view_, ready(), {});
  });
  admin_.before_metrics([this] { control_metrics_.update(bus_, platform_); });
}

}  // namespace toucanmux
