#include "process/member-service.h"

#include "process/clock.h"
#include "process/json-fields.h"
#include "process/log.h"
#include "process/timeline.h"
#include "toucanmux/codec.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/rendezvous.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};
// More frequent reads bring nothing because the platform's list lags behind.
constexpr std::chrono::seconds instances_interval{10};

membership::settings make_settings(const process_settings& from) {
  membership::settings out;
  out.self = from.self;
  for (const auto& seed : from.seeds) {
    out.seeds.push_back({seed.address, seed.control_port});
  }
  out.random_seed =
      mix(stable_hash(from.self.id.value) ^ from.self.incarnation);
  return out;
}

std::string_view state_name(member_state state) {
  switch (state) {
    case member_state::alive:
      return "alive";
    case member_state::suspect:
      return "suspect";
    case member_state::leaving:
      return "leaving";
    case member_state::dead:
      return "dead";
  }
  return "";
}

// Parses an entry of the platform's list. Missing fields stay empty: the list
// provides only addresses to contact and the leaving state.
member parse_instance(const object_read& object) {
  member out;
  json_fields fields(object.value);
  if (!fields.is_object()) return out;
  out.id = member_id(fields.text("id", object.key));
  out.domain = domain_id(fields.text("domain"));
  out.address = fields.text("address");
  bool pool = fields.text("role") == "pool";
  out.role = pool ? member_role::pool : member_role::entry;
  out.control_port = fields.port("control_port");
  out.service_port = fields.port("service_port");
  out.incarnation = fields.number("incarnation");
  if (fields.flag("leaving")) out.state = member_state::leaving;
  return out;
}

}  // namespace

member_service::member_service(const process_settings& settings,
                               control_bus& bus, platform_client& platform)
    : self_(settings.self),
      bus_(bus),
      platform_(platform),
      members_(make_settings(settings)) {
  bus_.on(control_part::membership, [this](const member_id& from, std::uint64_t,
                                           std::span<const char> payload) {
    handle_message(from, payload);
  });
  QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
}

void member_service::start() {
  next_instances_read_ = now() + instances_interval;
  timer_.start(tick_interval);
  tick();
}

void member_service::set_digest(const std::string& digest, bool urgent) {
  step(membership::set_digest{digest, urgent});
}

void member_service::leave() {
  self_.state = member_state::leaving;
  step(membership::leave());
}

void member_service::stop() {
  step(membership::stop());
  timer_.stop();
}

void member_service::handle_message(const member_id& from,
                                    std::span<const char> payload) {
  auto message = decode<member_message>(payload);
  std::visit(
      [&](auto& received) {
        using type = std::decay_t<decltype(received)>;
        step(membership::received<type>{from, std::move(received)});
      },
      message);
}

void member_service::tick() {
  step(membership::tick());
  if (now() >= next_instances_read_) read_instances();
  if (!std::exchange(changed_, false) || !handlers_.members_changed) return;
  handlers_.members_changed();
}

// One member of each failure domain reads the list for all. A member that has
// not joined reads it too.
void member_service::read_instances() {
  next_instances_read_ = now() + instances_interval;
  if (members_.joined() && !owns(self_.id, "instances", domain_members(), 1)) {
    return;
  }
  platform_.list("instances", [this](const object_batch& batch) {
    membership::instance_list list;
    auto skipped = batch.skipped;
    for (const auto& object : batch.objects) {
      auto instance = parse_instance(object);
      if (instance.id.empty()) {
        ++skipped;
      } else {
        list.members.push_back(std::move(instance));
      }
    }
    note_skipped(skipped);
    if (batch.reached) step(list);
  });
}

void member_service::note_skipped(std::size_t count) {
  if (std::exchange(skipped_instances_, count) == count || count == 0) return;
  log_warning(log_part::members,
              "Skipped " + std::to_string(count) +
                  " instances of the platform's list that can't be read.");
}

void member_service::step(const membership::event& new_event) {
  for (const auto& action : members_.step(now(), new_event)) {
    std::visit(overloaded{
                   [&](const membership::member_changed& event) {
                     record_change(event.info);
                   },
                   [&](const membership::peer_digest& event) {
                     if (handlers_.digest_received)
                       handlers_.digest_received(event.from, event.digest);
                   },
                   [&](const membership::told_to_leave&) {
                     if (handlers_.drain_requested) handlers_.drain_requested();
                   },
                   [&](const auto& sent) {
                     bus_.send({sent.address, sent.port},
                               control_part::membership,
                               encode(member_message(sent.message)));
                   },
               },
               action);
  }
}

void member_service::record_change(const member& changed) {
  changed_ = true;
  std::string state(state_name(changed.state));
  process_timeline().record("member",
                            {{"id", changed.id.value}, {"state", state}});
  log_debug(log_part::members, changed.id.value + " is " + state + ".");
}

std::vector<member> member_service::pools() const {
  std::vector<member> out;
  for (const auto& [key, view] : members_.table().domains()) {
    auto before = out.size();
    add_pools(view, false, out);
    if (out.size() == before) add_pools(view, true, out);
  }
  return out;
}

void member_service::add_pools(const member_table::domain_view& view,
                               bool leaving, std::vector<member>& out) const {
  for (const auto* record : view.live) {
    const auto& info = record->known.info;
    if (info.role != member_role::pool) continue;
    bool matches = (info.state == member_state::leaving) == leaving;
    if (matches || info.id == self_.id) out.push_back(info);
  }
}

std::vector<member_id> member_service::domain_members() const {
  std::vector<member_id> out;
  for (const auto* record : members_.table().own().live) {
    if (record->known.info.state == member_state::leaving) continue;
    out.push_back(record->known.info.id);
  }
  return out;
}

const member* member_service::find(const member_id& id) const {
  const auto* record = members_.table().find(id);
  return record == nullptr ? nullptr : &record->known.info;
}

}  // namespace toucanmux
