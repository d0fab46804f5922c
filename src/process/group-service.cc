#include "process/group-service.h"

#include <set>

#include "process/clock.h"
#include "process/log.h"
#include "process/timeline.h"
#include "toucanmux/codec.h"

namespace toucanmux {

namespace {

void record_command(std::string_view event, const group_id& group,
                    const database_id& database, std::uint64_t term) {
  process_timeline().record(event, {{"group", group.value},
                                    {"database", database.value},
                                    {"term", std::to_string(term)}});
}

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds publish_interval{200};

}  // namespace

struct group_service::served_group {
  explicit served_group(const promoter::settings& values)
      : group_promoter(values), positions({}) {}

  database_group group;
  promoter group_promoter;
  position_watch positions;
  std::map<database_id, database_status> statuses;
  std::set<database_id> unreachable;
  bool owned = false;  ///< This pool owns a database of the group.

  std::map<database_id, std::unique_ptr<database_control>> controls;
  instant heartbeat_sent_at{};
  instant next_publish{};
};

group_service::group_service(const member& self, platform_client& platform,
                             control_bus& bus, publish_handler publish)
    : self_(self),
      platform_(platform),
      bus_(bus),
      publish_(std::move(publish)) {
  bus_.on(control_part::promotion,
          [this](const member_id& from, std::uint64_t,
                 std::span<const char> payload) { receive(from, payload); });
  QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
  timer_.start(tick_interval);
}

group_service::~group_service() = default;

void group_service::update(fleet_view_ptr view) {
  view_ = std::move(view);
  for (const auto& [id, group] : view_->groups) {
    owners_changed new_owners;
    bool owned = false;
    for (const auto& database : group.databases) {
      const auto* owner = view_->owner(database);
      new_owners.owners.push_back(
          {database.id, owner ? owner->id : member_id()});
      owned |= owner && owner->id == self_.id;
    }
    if (!owned && !serves(id)) continue;
    auto& served = groups_[id];
    if (!served) {
      promoter::settings values;
      values.self = self_.id;
      values.group = id;
      served = std::make_unique<served_group>(values);
    }
    served->group = group;
    served->owned = owned;
    handle_event(id, new_owners);
    if (group.term > served->group_promoter.term()) read_group_record(id);
  }
}

void group_service::tick() {
  for (auto& [id, served] : groups_) {
    handle_event(id, group_tick{});
    if (now() >= served->next_publish) publish(*served);
  }
}

void group_service::handle_event(const group_id& id,
                                 const promoter::event& event) {
  auto it = groups_.find(id);
  if (it == groups_.end()) return;
  auto& served = *it->second;
  update_positions(served, event);
  auto handlers = overloaded{
      [&](const send_heartbeat& a) {
        served.heartbeat_sent_at = now();
        if (auto* to = control_for(id, a.database)) to->heartbeat();
      },
      [&](const poll_database& a) {
        if (auto* to = control_for(id, a.database)) to->poll();
      },
      [&](const fence_database& a) {
        record_command("fence", id, a.database, a.term);
        log_info(log_part::promotion, "Fencing " + a.database.value +
                                          " for term " +
                                          std::to_string(a.term));
        if (auto* to = control_for(id, a.database)) to->fence(a.term);
      },
      [&](const promote_database& a) {
        record_command("promote", id, a.database, a.term);
        log_info(log_part::promotion, "Promoting " + a.database.value +
                                          " in term " + std::to_string(a.term));
        if (auto* to = control_for(id, a.database)) to->promote(a.term);
      },
      [&](const follow_database& a) {
        const auto* primary =
            fleet_view::find_database(served.group, a.primary);
        auto* replica = control_for(id, a.database);
        if (replica && primary) replica->follow(a.term, *primary);
      },
      [&](const read_object&) { read_group_record(id); },
      [&](const write_object& a) {
        platform_.write(a, [this, id](const object_written& result) {
          handle_event(id, result);
        });
      },
      [&](const send_report& a) { send(a.to, a.report); },
      [&](const send_fence_request& a) { send(a.to, a.request); },
      [&](const send_fence_reply& a) { send(a.to, a.reply); },
      [&](const group_view&) { publish(served); }};
  for (const auto& action : served.group_promoter.step(now(), event)) {
    std::visit(handlers, action);
  }
}

void group_service::update_positions(served_group& served,
                                     const promoter::event& event) {
  auto time = now();
  if (const auto* heartbeat = std::get_if<heartbeat_ended>(&event)) {
    if (heartbeat->result != heartbeat_result::ok) return;
    served.positions.step(time, heartbeat_confirmed{served.heartbeat_sent_at,
                                                    heartbeat->position});
  } else if (const auto* poll = std::get_if<database_polled>(&event)) {
    served.unreachable.erase(poll->database);
    if (!poll->reached) served.unreachable.insert(poll->database);
    if (!poll->reached) return;
    served.statuses[poll->database] = poll->status;
    served.positions.step(time,
                          replay_seen{poll->database, poll->status.replayed});
  } else if (const auto* received = std::get_if<report_received>(&event)) {
    const auto& report = received->report;
    served.statuses[report.database] = report.status;
    bool database_reached = report.status.replayed != log_position{};
    if (database_reached) served.unreachable.erase(report.database);
    if (!database_reached) served.unreachable.insert(report.database);

    served.positions.step(
        time, heartbeat_reported{report.echo, report.echo_age,
                                 report.heartbeat_age, report.heartbeat});
    served.positions.step(time,
                          replay_seen{report.database, report.status.replayed});
  }
}

void group_service::read_group_record(const group_id& id) {
  platform_.read({"groups", id.value}, [this, id](const object_read& result) {
    handle_event(id, result);
  });
}

database_control* group_service::control_for(const group_id& id,
                                             const database_id& database) {
  auto& served = *groups_.at(id);
  const auto* target = fleet_view::find_database(served.group, database);
  if (!target) return nullptr;
  auto& created = served.controls[database];
  if (!created) {
    created = std::make_unique<database_control>(
        *target,
        [this, id](const promoter::event& event) { handle_event(id, event); });
  }
  return created.get();
}

void group_service::receive(const member_id& from,
                            std::span<const char> payload) {
  auto message = decode<group_message>(payload);
  auto handlers = overloaded{[&](const group_report& m) {
                               handle_event(m.group, report_received{from, m});
                             },
                             [&](const fence_request& m) {
                               handle_event(m.group, fence_requested{from, m});
                             },
                             [&](const fence_reply& m) {
                               handle_event(m.group, fence_answered{from, m});
                             }};
  std::visit(handlers, message);
}

void group_service::send(const member_id& to, const group_message& message) {
  for (const auto& pool : view_->pools) {
    if (pool.id != to) continue;
    return bus_.send({pool.address, pool.control_port}, control_part::promotion,
                     encode(message));
  }
}

void group_service::publish(served_group& served) {
  served.next_publish = now() + publish_interval;
  // A pool that no longer owns a database of the group gets no reports about
  // it, so its state would be stale.
  if (!served.owned) return;
  const auto& view = served.group_promoter.view();
  if (view.term == 0) return;
  group_state state;
  state.hint.group = view.group;
  state.hint.term = view.term;
  state.hint.primary = view.primary;
  state.hint.writable = view.state == write_state::open;
  state.hint.retry_after = view.retry_after;
  for (const auto& [id, status] : served.statuses) {
    database_hint hint;
    hint.database = id;
    hint.position = status.replayed;
    hint.age = served.positions.age_bound(now(), status.replayed);
    hint.usable = !served.unreachable.contains(id);

    state.hint.databases.push_back(hint);
  }
  publish_(state);
}

}  // namespace toucanmux
