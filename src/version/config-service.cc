#include "version/config-service.h"

#include "process/clock.h"
#include "process/log.h"
#include "process/timeline.h"
#include "toucanmux/hash.h"
#include "toucanmux/version/list-codec.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};
// A link for a fetch that is older than this is dropped.
constexpr std::chrono::seconds link_time_limit{10};
// Far below the limit of a frame, as one object may be a megabyte more.
constexpr std::size_t reply_limit_bytes = 2U << 20U;

config_follower::settings make_settings(const process_settings& from) {
  config_follower::settings out;
  out.self = from.self.id;
  out.random_seed =
      mix(stable_hash(from.self.id.value) + from.self.incarnation);
  return out;
}

std::string name_of(const config_object& object) {
  return object.kind + "/" + object.key;
}

}  // namespace

struct config_service::fetch {
  member_id peer;
  std::unique_ptr<frame_link> link;
  std::vector<config_object> objects;
};

config_service::config_service(const process_settings& settings,
                               platform_client& platform,
                               member_service& members, view_handler publish)
    : platform_(platform),
      members_(members),
      publish_(std::move(publish)),
      follower_(make_settings(settings)),
      peer_listener_([this](qintptr descriptor) { accept_link(descriptor); }) {
  QObject::connect(&timer_, &QTimer::timeout,
                   [this] { step(config_follower::tick()); });
}

config_service::~config_service() = default;

void config_service::start() {
  peer_listener_.open(members_.self().address, members_.self().control_port);
  timer_.start(tick_interval);
}

duration config_service::age() const { return follower_.age(now()); }

void config_service::members_changed() {
  view_outdated_ = true;
  step(config_follower::domain_members{members_.domain_members()});
}

void config_service::handle_peer_digest(const member_id& from,
                                        const std::string& digest) {
  step(config_follower::peer_digest{from, digest});
}

void config_service::step(const config_follower::event& what) {
  for (auto& action : follower_.step(now(), what)) {
    std::visit([this](auto& one) { execute(std::move(one)); }, action);
  }
  if (view_outdated_ && follower_.ready()) publish_view();
}

void config_service::execute(config_follower::watch_kind&& asked) {
  auto done = [this, kind = asked.kind](const object_batch& batch) {
    config_follower::watch_ended ended{kind, batch.reached, batch.revision, {}};
    for (const auto& one : batch.objects) {
      ended.objects.push_back({one.kind, one.key, one.version, one.value});
    }
    step(ended);
  };
  if (asked.since == 0) return platform_.list(asked.kind, done);
  platform_.watch(asked.kind, asked.since, asked.wait, done);
}

void config_service::execute(config_follower::fetch_from_peer&& asked) {
  const member* peer = members_.find(asked.peer);
  if (peer == nullptr) {
    return step(config_follower::fetch_ended{asked.peer, false, {}});
  }
  auto id = ++last_link_id_;
  fetch& made = fetches_[id];
  made.peer = asked.peer;
  made.link =
      std::make_unique<frame_link>(endpoint{peer->address, peer->control_port});
  made.link->on(
      [this, id](link_message&& got) {
        handle_fetch_reply(id, std::move(got));
      },
      [this, id] { finish_fetch(id, false); });
  made.link->send(hello{members_.self().id, members_.self().incarnation});
  made.link->send(objects_request{asked.newer_than});
  QTimer::singleShot(link_time_limit, &timer_,
                     [this, id] { finish_fetch(id, false); });
}

void config_service::handle_fetch_reply(std::uint64_t id,
                                        link_message&& message) {
  auto* reply = std::get_if<objects_reply>(&message);
  auto it = fetches_.find(id);
  if (reply == nullptr || it == fetches_.end()) return;
  for (auto& object : reply->objects) {
    it->second.objects.push_back(std::move(object));
  }
  if (!reply->more) finish_fetch(id, true);
}

void config_service::finish_fetch(std::uint64_t id, bool reached) {
  auto it = fetches_.find(id);
  if (it == fetches_.end()) return;
  fetch done = std::move(it->second);
  fetches_.erase(it);
  if (!reached) done.objects.clear();
  step(config_follower::fetch_ended{done.peer, reached,
                                    std::move(done.objects)});
}

void config_service::accept_link(qintptr descriptor) {
  auto id = ++last_link_id_;
  auto made = std::make_unique<frame_link>(static_cast<int>(descriptor));
  made->on(
      [this, id](link_message&& message) {
        const auto* asked = std::get_if<objects_request>(&message);
        if (asked == nullptr) return;
        step(config_follower::peer_fetches{id, asked->newer_than});
      },
      [this, id] { peer_links_.erase(id); });
  peer_links_.emplace(id, std::move(made));
  QTimer::singleShot(link_time_limit, &timer_,
                     [this, id] { peer_links_.erase(id); });
}

void config_service::execute(config_follower::give_objects&& given) {
  auto it = peer_links_.find(given.request);
  if (it == peer_links_.end()) return;
  objects_reply reply;
  std::size_t size = 0;
  for (auto& object : given.objects) {
    size += object.value.size();
    reply.objects.push_back(std::move(object));
    if (size < reply_limit_bytes) continue;
    reply.more = true;
    it->second->send(std::exchange(reply, {}));
    size = 0;
  }
  it->second->send(reply);
}

void config_service::execute(config_follower::take_object&& taken) {
  const auto& object = taken.object;
  if (object.kind == "groups") {
    auto group = parse_database_group(object.value);
    groups_[group.id] = group;
  }
  if (object.kind == "lists") lists_changed_ = true;
  view_outdated_ = true;
  process_timeline().record("config_taken",
                            {{"object", name_of(object)},
                             {"version", std::to_string(object.version)}});
}

void config_service::execute(config_follower::refuse_object&& refused) {
  process_timeline().record("config_refused",
                            {{"object", refused.kind + "/" + refused.key},
                             {"version", std::to_string(refused.version)}});
  log_warning(log_part::lists, "Kept the last good " + refused.kind + "/" +
                                   refused.key + ", version " +
                                   std::to_string(refused.version) + ": " +
                                   refused.why + ".");
}

void config_service::execute(config_follower::set_digest&& digest) {
  members_.set_digest(digest.digest, digest.urgent);
}

void config_service::execute(config_follower::become_ready&&) {
  view_outdated_ = true;
  process_timeline().record("config_ready", {});
  log_info(log_part::lists, "Both lists are in force.");
}

void config_service::publish_view() {
  view_outdated_ = false;
  if (std::exchange(lists_changed_, false)) {
    teams_ = new team_index(follower_.teams(), follower_.plans());
  }
  auto* view = new fleet_view;
  fleet_view_ptr out(view);
  view->domain = members_.self().domain;
  view->groups = groups_;
  view->teams = teams_;
  view->pools = members_.pools();
  view->choose_owners();
  publish_(out);
}

}  // namespace toucanmux
